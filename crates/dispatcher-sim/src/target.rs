//! A target, as the platform's page tells it: one token, one hold, one list of
//! ends, a clock of its own.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::event::{ListedEnd, ListedHow, TargetEntry, TargetReply};
use gannetridge_dispatcher_core::message::RunKey;
use gannetridge_dispatcher_core::spec::Room;
use gannetridge_dispatcher_core::{Millis, RunOrder};
use gannetridge_wire::Name;

/// How a target misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mood {
    /// It works.
    Well,
    /// It fails all that it starts.
    Fails,
    /// All that runs there stands still.
    Hangs,
    /// All takes seven times as long.
    Slow,
}

/// A run on a target.
#[derive(Clone, Debug)]
pub struct Run {
    /// What it takes.
    pub room: Room,
    /// What is left of its work.
    pub left_ms: f64,
    /// Whether it fails at its end.
    pub fails: bool,
}

/// One life of a target.
#[derive(Debug)]
pub struct Target {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// Whether it rejects what doesn't fit.
    pub guards: bool,
    /// Whether its process lives.
    pub up: bool,
    /// How it misbehaves.
    pub mood: Mood,
    /// What runs there.
    pub runs: BTreeMap<RunKey, Run>,
    /// Ends that were not taken note of.
    pub ended: Vec<ListedEnd>,
    /// A part of true time that its clock shows.
    pub rate: f64,
    clock_base: f64,
    fence: u64,
    hold_until: f64,
    max_hold_ms: f64,
    last_end: u64,
    /// The highest run of each task that was stopped or ended here.
    past: BTreeMap<Name, u32>,
    advanced: Millis,
}

/// What happened to a run, for the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The run.
    pub key: RunKey,
    /// How it ended.
    pub how: ListedHow,
}

impl Target {
    /// Creates a target whose clock runs at `rate`.
    #[must_use]
    pub fn new(entry: TargetEntry, guards: bool, rate: f64, max_hold_ms: Millis) -> Self {
        Self {
            entry,
            guards,
            up: true,
            mood: Mood::Well,
            runs: BTreeMap::new(),
            ended: Vec::new(),
            rate,
            clock_base: 400_000.0,
            fence: 0,
            hold_until: 0.0,
            max_hold_ms: max_hold_ms as f64,
            last_end: 0,
            past: BTreeMap::new(),
            advanced: 0,
        }
    }

    /// Returns its clock.
    #[must_use]
    pub fn clock(&self, now: Millis) -> f64 {
        self.clock_base + now as f64 * self.rate
    }

    /// Returns how much room its runs take beyond its capacity.
    #[must_use]
    pub fn used_cpu(&self) -> u32 {
        self.runs.values().map(|run| run.room.cpu).sum()
    }

    /// Lets its runs work until `now`; returns what ended.
    pub fn advance(&mut self, now: Millis) -> Vec<Ended> {
        let passed = now.saturating_sub(self.advanced) as f64;
        self.advanced = now;
        let speed = match self.mood {
            Mood::Well | Mood::Fails => 1.0,
            Mood::Hangs => 0.0,
            Mood::Slow => 1.0 / 7.0,
        };
        let lapsed = self.clock(now) > self.hold_until;
        let mut over = Vec::new();
        for (key, run) in &mut self.runs {
            run.left_ms -= passed * speed;
            if lapsed {
                over.push((key.clone(), ListedHow::Ended));
            } else if run.left_ms <= 0.0 {
                let fails = run.fails || self.mood == Mood::Fails;
                let how = if fails {
                    ListedHow::Failed
                } else {
                    ListedHow::Done
                };
                over.push((key.clone(), how));
            }
        }
        let ends = over.into_iter();
        ends.map(|(key, how)| self.end(key, how)).collect()
    }

    fn end(&mut self, key: RunKey, how: ListedHow) -> Ended {
        self.runs.remove(&key);
        self.pass(&key);
        self.last_end += 1;
        self.ended.push(ListedEnd {
            number: self.last_end,
            key: key.clone(),
            how,
        });
        Ended { key, how }
    }

    fn pass(&mut self, key: &RunKey) {
        let past = self.past.entry(key.task.clone()).or_default();
        *past = (*past).max(key.run);
    }

    fn is_fenced(&mut self, fence: u64) -> bool {
        let fenced = fence < self.fence;
        self.fence = self.fence.max(fence);
        fenced
    }

    fn hold_to(&mut self, now: Millis, until: Millis) {
        let longest = self.clock(now) + self.max_hold_ms;
        self.hold_until = self.hold_until.max((until as f64).min(longest));
    }

    /// Starts a task; returns whether a run began.
    pub fn start(
        &mut self,
        now: Millis,
        fence: u64,
        order: &RunOrder,
        run: Run,
    ) -> (TargetReply, bool) {
        let clock = self.clock(now) as Millis;
        if self.is_fenced(fence) {
            return (TargetReply::Fenced { clock }, false);
        }
        if self.runs.contains_key(&order.key) {
            return (TargetReply::Done { clock }, false);
        }
        if (order.until as f64) < self.clock(now) {
            return (TargetReply::Late { clock }, false);
        }
        self.hold_to(now, order.until);
        let past = self.past.get(&order.key.task);
        if past.is_some_and(|past| order.key.run <= *past) {
            return (TargetReply::Outnumbered { clock }, false);
        }
        let used = self.used_cpu() + run.room.cpu;
        if self.guards && used > self.entry.capacity.cpu {
            return (TargetReply::Full { clock }, false);
        }
        self.runs.insert(order.key.clone(), run);
        (TargetReply::Done { clock }, true)
    }

    /// Stops a run; returns its end.
    pub fn stop(&mut self, now: Millis, fence: u64, key: &RunKey) -> (TargetReply, Option<Ended>) {
        let clock = self.clock(now) as Millis;
        if self.is_fenced(fence) {
            return (TargetReply::Fenced { clock }, None);
        }
        self.pass(key);
        let there = self.runs.contains_key(key);
        let ended = there.then(|| self.end(key.clone(), ListedHow::Ended));
        (TargetReply::Done { clock }, ended)
    }

    /// Extends the hold and takes note of ends; tells whether it may list.
    pub fn hold(&mut self, now: Millis, fence: u64, until: Option<Millis>, noted: u64) -> bool {
        if self.is_fenced(fence) {
            return false;
        }
        if let Some(until) = until {
            self.hold_to(now, until);
        }
        self.ended.retain(|end| end.number > noted);
        true
    }

    /// Lists what runs and what has ended.
    #[must_use]
    pub fn listing(&self, now: Millis) -> TargetReply {
        TargetReply::Listing {
            clock: self.clock(now) as Millis,
            running: self.runs.keys().cloned().collect(),
            ended: self.ended.clone(),
        }
    }
}
