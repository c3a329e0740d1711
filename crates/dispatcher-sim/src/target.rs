//! A model of a target: its fencing token, its lease, its attempts and their ends, and its own
//! clock, which may run slow.
//!
//! Its time advances only by calls, so that runs are reproducible.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::event::{
    ListedAttempt, ListedEnd, ListedOutcome, ProcessStartTime, TargetEntry, TargetReply,
};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::{Millis, StartOrder};
use gannetridge_wire::Name;

/// A target's clock at simulated time 0, in ms.
const FIRST_CLOCK_MS: f64 = 400_000.0;
/// A target's clock right after a restart, in ms.
const RESTARTED_CLOCK_MS: f64 = 1_000.0;

/// How a target behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// Attempts run at normal speed.
    Normal,
    /// Every attempt that reaches its end fails.
    Fails,
    /// Attempts make no progress.
    Hangs,
    /// Attempts take seven times as long.
    Slow,
}

/// An attempt at a task on a target.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The resources that it uses.
    pub resources: Resources,
    /// How long it takes at normal speed.
    pub work_ms: f64,
    /// What remains of `work_ms`.
    pub remaining_ms: f64,
    /// It ends as failed.
    pub will_fail: bool,
}

/// One incarnation of a target.
#[derive(Debug)]
pub struct Target {
    /// Its entry in the store's list of targets.
    pub entry: TargetEntry,
    /// It rejects attempts that exceed its capacity.
    pub enforces_capacity: bool,
    /// Its process is running.
    pub is_up: bool,
    /// How its attempts currently progress and end.
    pub behaviour: Behaviour,
    /// The attempts that run on it.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Ends that no renewal has acknowledged yet, in ascending order of their numbers.
    pub unacknowledged_ends: Vec<ListedEnd>,
    /// The speed of its clock; 1.0 is exact.
    pub clock_rate: f64,
    /// Identifies this incarnation.
    pub process_start: ProcessStartTime,
    /// The number of the last end when this incarnation last sent a listing.
    last_listed_end: u64,
    clock_base: f64,
    highest_token: u64,
    lease_until: f64,
    max_target_lease_ms: f64,
    last_end_number: u64,
    /// The highest attempt of each task that was stopped or has ended here.
    past_attempts: BTreeMap<Name, u32>,
    /// The simulated time up to which attempts have progressed.
    advanced_to: Millis,
}

fn list_attempt((id, attempt): (&AttemptId, &Attempt)) -> ListedAttempt {
    let done = 1.0 - attempt.remaining_ms / attempt.work_ms;
    ListedAttempt {
        id: id.clone(),
        percent: Some((done * 100.0) as u8),
    }
}

/// The outcome of a lease renewal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RenewalOutcome {
    /// Nothing was changed: the target has seen a higher fencing token.
    StaleToken,
    /// Acknowledged ends were removed, and the lease was extended if a time was given.
    Applied {
        /// An attempt whose end was acknowledged though no listing has shown it.
        unlisted_end: Option<AttemptId>,
    },
}

/// The end of an attempt, for the checks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// The attempt that ended.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: ListedOutcome,
}

impl Target {
    /// Creates a running target without attempts or lease.
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
            process_start: ProcessStartTime(0),
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

    /// Restarts under the same id, without any state of the previous incarnation.
    pub fn restart(&mut self, now: Millis, process_start: ProcessStartTime) {
        let max_lease_ms = self.max_target_lease_ms as Millis;
        let entry = self.entry.clone();
        *self = Self::new(entry, self.enforces_capacity, self.clock_rate, max_lease_ms);
        self.process_start = process_start;
        self.clock_base = RESTARTED_CLOCK_MS - now as f64 * self.clock_rate;
        self.advanced_to = now;
    }

    /// Returns the time that its clock shows, in ms.
    #[must_use]
    pub fn clock(&self, now: Millis) -> f64 {
        self.clock_base + now as f64 * self.clock_rate
    }

    /// Returns the CPU that its attempts use, in thousandths of a core.
    #[must_use]
    pub fn used_cpu(&self) -> u32 {
        self.attempts
            .values()
            .map(|attempt| attempt.resources.cpu)
            .sum()
    }

    /// Advances its attempts to `now` and returns those that ended. An expired lease ends all.
    pub fn advance(&mut self, now: Millis) -> Vec<AttemptEnd> {
        let elapsed_ms = now.saturating_sub(self.advanced_to) as f64;
        self.advanced_to = now;
        let speed = match self.behaviour {
            Behaviour::Normal | Behaviour::Fails => 1.0,
            Behaviour::Hangs => 0.0,
            Behaviour::Slow => 1.0 / 7.0,
        };
        let lease_expired = self.clock(now) > self.lease_until;
        let mut ends = Vec::new();
        for (key, attempt) in &mut self.attempts {
            attempt.remaining_ms -= elapsed_ms * speed;
            if lease_expired {
                ends.push((key.clone(), ListedOutcome::Interrupted));
            } else if attempt.remaining_ms <= 0.0 {
                let fails = attempt.will_fail || self.behaviour == Behaviour::Fails;
                let outcome = if fails {
                    ListedOutcome::Failed
                } else {
                    ListedOutcome::Done
                };
                ends.push((key.clone(), outcome));
            }
        }
        let ends = ends.into_iter();
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

    /// Raises the highest token; returns `true` if `token` is below it.
    fn is_stale_token(&mut self, token: u64) -> bool {
        let token_superseded = token < self.highest_token;
        self.highest_token = self.highest_token.max(token);
        token_superseded
    }

    fn extend_lease(&mut self, now: Millis, until: Millis) {
        let longest = self.clock(now) + self.max_target_lease_ms;
        self.lease_until = self.lease_until.max((until as f64).min(longest));
    }

    /// Handles a start; returns the reply, and `true` if the attempt was started.
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

    /// Handles a stop; returns the reply, and the attempt's end if it was running.
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
        let is_running = self.attempts.contains_key(key);
        let ended = is_running.then(|| self.end_attempt(key.clone(), ListedOutcome::Interrupted));
        (TargetReply::Accepted { clock }, ended)
    }

    /// Extends the lease if `until` is given, and removes ends numbered up to `acknowledged`.
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
        let is_acknowledged = |end: &ListedEnd| end.number <= acknowledged;
        let unlisted_end = self
            .unacknowledged_ends
            .iter()
            .find(|end| is_acknowledged(end) && end.number > last_listed_end);
        let unlisted_end = unlisted_end.map(|end| end.id.clone());
        self.unacknowledged_ends.retain(|end| !is_acknowledged(end));
        RenewalOutcome::Applied { unlisted_end }
    }

    /// Returns a listing of the running attempts and the unacknowledged ends.
    pub fn listing(&mut self, now: Millis) -> TargetReply {
        self.last_listed_end = self.last_end_number;
        TargetReply::Listing {
            clock: self.clock(now) as Millis,
            running: self.attempts.iter().map(list_attempt).collect(),
            ended: self.unacknowledged_ends.clone(),
            process_start: Some(self.process_start),
            capacity: None,
        }
    }
}
