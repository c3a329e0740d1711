//! A model of a target: one fencing token, one lease, one list of ends, a clock of its
//! own that may be slow.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::event::{
    ListedAttempt, ListedEnd, ListedOutcome, ProcessStartTime, TargetEntry, TargetReply,
};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::{Millis, StartOrder};
use gannetridge_wire::Name;

/// A target's clock when the world begins, in ms.
const FIRST_CLOCK_MS: f64 = 400_000.0;
/// A target's clock when it starts again, in ms.
const RESTARTED_CLOCK_MS: f64 = 1_000.0;

/// How a target behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
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
pub struct Attempt {
    /// What it takes.
    pub resources: Resources,
    /// Its work.
    pub work_ms: f64,
    /// What is left of it.
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
    pub behaviour: Behaviour,
    /// What runs there.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Ends that were not taken note of.
    pub ended: Vec<ListedEnd>,
    /// A part of true time that its clock shows.
    pub rate: f64,
    /// When this life began.
    pub born: ProcessStartTime,
    /// The highest number of an end that any listing of this life showed.
    shown: u64,
    clock_base: f64,
    token: u64,
    lease_until: f64,
    max_target_lease_ms: f64,
    last_end: u64,
    /// The highest run of each task that was stopped or ended here.
    past: BTreeMap<Name, u32>,
    advanced: Millis,
}

fn listed((id, attempt): (&AttemptId, &Attempt)) -> ListedAttempt {
    let done = 1.0 - attempt.left_ms / attempt.work_ms;
    ListedAttempt {
        id: id.clone(),
        percent: Some((done * 100.0) as u8),
    }
}

/// What a renewal did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Renewed {
    /// Nothing: a higher fencing token was seen.
    StaleToken,
    /// It was carried out.
    Done {
        /// A run whose end was forgotten, though no listing ever showed it.
        unseen: Option<AttemptId>,
    },
}

/// What happened to a run, for the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ended {
    /// The run.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: ListedOutcome,
}

impl Target {
    /// Creates a target whose clock runs at `rate`.
    #[must_use]
    pub fn new(entry: TargetEntry, guards: bool, rate: f64, max_target_lease_ms: Millis) -> Self {
        Self {
            entry,
            guards,
            up: true,
            behaviour: Behaviour::Well,
            attempts: BTreeMap::new(),
            ended: Vec::new(),
            rate,
            born: ProcessStartTime(0),
            shown: 0,
            clock_base: FIRST_CLOCK_MS,
            token: 0,
            lease_until: 0.0,
            max_target_lease_ms: max_target_lease_ms as f64,
            last_end: 0,
            past: BTreeMap::new(),
            advanced: 0,
        }
    }

    /// Starts again under the same id: knows nothing of its last life.
    pub fn start_again(&mut self, now: Millis, born: ProcessStartTime) {
        let longest = self.max_target_lease_ms as Millis;
        let entry = self.entry.clone();
        *self = Self::new(entry, self.guards, self.rate, longest);
        self.born = born;
        self.clock_base = RESTARTED_CLOCK_MS - now as f64 * self.rate;
        self.advanced = now;
    }

    /// Returns its clock.
    #[must_use]
    pub fn clock(&self, now: Millis) -> f64 {
        self.clock_base + now as f64 * self.rate
    }

    /// Returns how much room its runs take beyond its capacity.
    #[must_use]
    pub fn used_cpu(&self) -> u32 {
        self.attempts
            .values()
            .map(|attempt| attempt.resources.cpu)
            .sum()
    }

    /// Lets its runs work until `now`; returns what ended.
    pub fn advance(&mut self, now: Millis) -> Vec<Ended> {
        let passed = now.saturating_sub(self.advanced) as f64;
        self.advanced = now;
        let speed = match self.behaviour {
            Behaviour::Well | Behaviour::Fails => 1.0,
            Behaviour::Hangs => 0.0,
            Behaviour::Slow => 1.0 / 7.0,
        };
        let lease_expired = self.clock(now) > self.lease_until;
        let mut over = Vec::new();
        for (key, attempt) in &mut self.attempts {
            attempt.left_ms -= passed * speed;
            if lease_expired {
                over.push((key.clone(), ListedOutcome::Interrupted));
            } else if attempt.left_ms <= 0.0 {
                let fails = attempt.fails || self.behaviour == Behaviour::Fails;
                let outcome = if fails {
                    ListedOutcome::Failed
                } else {
                    ListedOutcome::Done
                };
                over.push((key.clone(), outcome));
            }
        }
        let ends = over.into_iter();
        ends.map(|(key, outcome)| self.end(key, outcome)).collect()
    }

    fn end(&mut self, id: AttemptId, outcome: ListedOutcome) -> Ended {
        self.attempts.remove(&id);
        self.pass(&id);
        self.last_end += 1;
        self.ended.push(ListedEnd {
            number: self.last_end,
            id: id.clone(),
            outcome,
        });
        Ended { id, outcome }
    }

    fn pass(&mut self, key: &AttemptId) {
        let past = self.past.entry(key.task.clone()).or_default();
        *past = (*past).max(key.attempt);
    }

    fn is_stale_token(&mut self, token: u64) -> bool {
        let token_superseded = token < self.token;
        self.token = self.token.max(token);
        token_superseded
    }

    fn extend_lease(&mut self, now: Millis, until: Millis) {
        let longest = self.clock(now) + self.max_target_lease_ms;
        self.lease_until = self.lease_until.max((until as f64).min(longest));
    }

    /// Starts a task; returns whether a run began.
    pub fn start(
        &mut self,
        now: Millis,
        token: u64,
        order: &StartOrder,
        attempt: Attempt,
    ) -> (TargetReply, bool) {
        let clock = self.clock(now) as Millis;
        if self.is_stale_token(token) {
            return (TargetReply::StaleToken { clock }, false);
        }
        if self.attempts.contains_key(&order.id) {
            return (TargetReply::Accepted { clock }, false);
        }
        if (order.until as f64) < self.clock(now) {
            return (TargetReply::StartDeadlinePassed { clock }, false);
        }
        self.extend_lease(now, order.until);
        let past = self.past.get(&order.id.task);
        if past.is_some_and(|past| order.id.attempt <= *past) {
            return (TargetReply::StaleAttempt { clock }, false);
        }
        let used = self.used_cpu() + attempt.resources.cpu;
        if self.guards && used > self.entry.capacity.cpu {
            return (TargetReply::InsufficientResources { clock }, false);
        }
        self.attempts.insert(order.id.clone(), attempt);
        (TargetReply::Accepted { clock }, true)
    }

    /// Stops a run; returns its end.
    pub fn stop(
        &mut self,
        now: Millis,
        token: u64,
        key: &AttemptId,
    ) -> (TargetReply, Option<Ended>) {
        let clock = self.clock(now) as Millis;
        if self.is_stale_token(token) {
            return (TargetReply::StaleToken { clock }, None);
        }
        self.pass(key);
        let there = self.attempts.contains_key(key);
        let ended = there.then(|| self.end(key.clone(), ListedOutcome::Interrupted));
        (TargetReply::Accepted { clock }, ended)
    }

    /// Renews the lease and forgets acknowledged ends.
    pub fn renew(
        &mut self,
        now: Millis,
        token: u64,
        until: Option<Millis>,
        acknowledged: u64,
    ) -> Renewed {
        if self.is_stale_token(token) {
            return Renewed::StaleToken;
        }
        if let Some(until) = until {
            self.extend_lease(now, until);
        }
        let shown = self.shown;
        let forgotten = |end: &ListedEnd| end.number <= acknowledged;
        let unseen = self
            .ended
            .iter()
            .find(|end| forgotten(end) && end.number > shown);
        let unseen = unseen.map(|end| end.id.clone());
        self.ended.retain(|end| !forgotten(end));
        Renewed::Done { unseen }
    }

    /// Lists what runs and what has ended.
    pub fn listing(&mut self, now: Millis) -> TargetReply {
        self.shown = self.last_end;
        TargetReply::Listing {
            clock: self.clock(now) as Millis,
            running: self.attempts.iter().map(listed).collect(),
            ended: self.ended.clone(),
            born: Some(self.born),
            capacity: None,
        }
    }
}
