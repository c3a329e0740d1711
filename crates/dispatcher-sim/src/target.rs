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
    Normal,
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
    pub remaining_ms: f64,
    /// Whether it fails at its end.
    pub will_fail: bool,
}

/// One life of a target.
#[derive(Debug)]
pub struct Target {
    /// What it says of itself.
    pub entry: TargetEntry,
    /// Whether it rejects what doesn't fit.
    pub enforces_capacity: bool,
    /// Whether its process lives.
    pub is_up: bool,
    /// How it misbehaves.
    pub behaviour: Behaviour,
    /// What runs there.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Ends that were not taken note of.
    pub unacknowledged_ends: Vec<ListedEnd>,
    /// A part of true time that its clock shows.
    pub clock_rate: f64,
    /// When this life began.
    pub born: ProcessStartTime,
    /// The highest number of an end that any listing of this life showed.
    last_listed_end: u64,
    clock_base: f64,
    highest_token: u64,
    lease_until: f64,
    max_target_lease_ms: f64,
    last_end_number: u64,
    /// The highest run of each task that was stopped or ended here.
    past_attempts: BTreeMap<Name, u32>,
    advanced_to: Millis,
}

fn list_attempt((id, attempt): (&AttemptId, &Attempt)) -> ListedAttempt {
    let done = 1.0 - attempt.remaining_ms / attempt.work_ms;
    ListedAttempt {
        id: id.clone(),
        percent: Some((done * 100.0) as u8),
    }
}

/// What a renewal did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// Nothing: a higher fencing token was seen.
    StaleToken,
    /// It was carried out.
    Applied {
        /// A run whose end was forgotten, though no listing ever showed it.
        unlisted_end: Option<AttemptId>,
    },
}

/// What happened to a run, for the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The run.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: ListedOutcome,
}

impl Target {
    /// Creates a target whose clock runs at `clock_rate`.
    #[must_use]
    pub fn new(
        entry: TargetEntry,
        enforces_capacity: bool,
        clock_rate: f64,
        max_target_lease_ms: Millis,
    ) -> Self {
        Self {
            entry,
            enforces_capacity,
            is_up: true,
            behaviour: Behaviour::Normal,
            attempts: BTreeMap::new(),
            unacknowledged_ends: Vec::new(),
            clock_rate,
            born: ProcessStartTime(0),
            last_listed_end: 0,
            clock_base: FIRST_CLOCK_MS,
            highest_token: 0,
            lease_until: 0.0,
            max_target_lease_ms: max_target_lease_ms as f64,
            last_end_number: 0,
            past_attempts: BTreeMap::new(),
            advanced_to: 0,
        }
    }

    /// Starts again under the same id: knows nothing of its last life.
    pub fn restart(&mut self, now: Millis, born: ProcessStartTime) {
        let longest = self.max_target_lease_ms as Millis;
        let entry = self.entry.clone();
        *self = Self::new(entry, self.enforces_capacity, self.clock_rate, longest);
        self.born = born;
        self.clock_base = RESTARTED_CLOCK_MS - now as f64 * self.clock_rate;
        self.advanced_to = now;
    }

    /// Returns its clock.
    #[must_use]
    pub fn clock(&self, now: Millis) -> f64 {
        self.clock_base + now as f64 * self.clock_rate
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
    pub fn advance(&mut self, now: Millis) -> Vec<AttemptEnd> {
        let passed = now.saturating_sub(self.advanced_to) as f64;
        self.advanced_to = now;
        let speed = match self.behaviour {
            Behaviour::Normal | Behaviour::Fails => 1.0,
            Behaviour::Hangs => 0.0,
            Behaviour::Slow => 1.0 / 7.0,
        };
        let lease_expired = self.clock(now) > self.lease_until;
        let mut over = Vec::new();
        for (key, attempt) in &mut self.attempts {
            attempt.remaining_ms -= passed * speed;
            if lease_expired {
                over.push((key.clone(), ListedOutcome::Interrupted));
            } else if attempt.remaining_ms <= 0.0 {
                let fails = attempt.will_fail || self.behaviour == Behaviour::Fails;
                let outcome = if fails {
                    ListedOutcome::Failed
                } else {
                    ListedOutcome::Done
                };
                over.push((key.clone(), outcome));
            }
        }
        let ends = over.into_iter();
        ends.map(|(key, outcome)| self.end_attempt(key, outcome))
            .collect()
    }

    fn end_attempt(&mut self, id: AttemptId, outcome: ListedOutcome) -> AttemptEnd {
        self.attempts.remove(&id);
        self.record_past_attempt(&id);
        self.last_end_number += 1;
        self.unacknowledged_ends.push(ListedEnd {
            number: self.last_end_number,
            id: id.clone(),
            outcome,
        });
        AttemptEnd { id, outcome }
    }

    fn record_past_attempt(&mut self, key: &AttemptId) {
        let past = self.past_attempts.entry(key.task.clone()).or_default();
        *past = (*past).max(key.attempt);
    }

    fn is_stale_token(&mut self, token: u64) -> bool {
        let token_superseded = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
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
        let past = self.past_attempts.get(&order.id.task);
        if past.is_some_and(|past| order.id.attempt <= *past) {
            return (TargetReply::StaleAttempt { clock }, false);
        }
        let used = self.used_cpu() + attempt.resources.cpu;
        if self.enforces_capacity && used > self.entry.capacity.cpu {
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
    ) -> (TargetReply, Option<AttemptEnd>) {
        let clock = self.clock(now) as Millis;
        if self.is_stale_token(token) {
            return (TargetReply::StaleToken { clock }, None);
        }
        self.record_past_attempt(key);
        let there = self.attempts.contains_key(key);
        let ended = there.then(|| self.end_attempt(key.clone(), ListedOutcome::Interrupted));
        (TargetReply::Accepted { clock }, ended)
    }

    /// Renews the lease and forgets acknowledged ends.
    pub fn renew(
        &mut self,
        now: Millis,
        token: u64,
        until: Option<Millis>,
        acknowledged: u64,
    ) -> RenewalOutcome {
        if self.is_stale_token(token) {
            return RenewalOutcome::StaleToken;
        }
        if let Some(until) = until {
            self.extend_lease(now, until);
        }
        let last_listed_end = self.last_listed_end;
        let forgotten = |end: &ListedEnd| end.number <= acknowledged;
        let unlisted_end = self
            .unacknowledged_ends
            .iter()
            .find(|end| forgotten(end) && end.number > last_listed_end);
        let unlisted_end = unlisted_end.map(|end| end.id.clone());
        self.unacknowledged_ends.retain(|end| !forgotten(end));
        RenewalOutcome::Applied { unlisted_end }
    }

    /// Lists what runs and what has ended.
    pub fn listing(&mut self, now: Millis) -> TargetReply {
        self.last_listed_end = self.last_end_number;
        TargetReply::Listing {
            clock: self.clock(now) as Millis,
            running: self.attempts.iter().map(list_attempt).collect(),
            ended: self.unacknowledged_ends.clone(),
            born: Some(self.born),
            capacity: None,
        }
    }
}
