//! A host's view of one target: its entry in the list, its lease, health and clock, and the
//! attempts that this host started there.

use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::decision::StopReason;
use crate::event::{CallId, ListedAttempt, ProcessStartTime, TargetEntry};
use crate::message::{AttemptId, AttemptOutcome, FreeResources, TaskOrder};
use crate::rules::leases::{least_on_target_clock, Times};
use crate::rules::progress::Progress;
use crate::rules::target_choice::{self, Candidate};
use crate::rules::target_health::TargetHealth;
use crate::spec::Resources;
use crate::{Millis, Urgency};

use super::attempt::{Attempt, Owner, StopStage};
use super::capacity::Capacity;
use super::learned_times::LearnedSpeed;
use super::lease::{Lease, LeaseStage};
use super::REPLY_TIMEOUT_MS;

/// The most attempts on one target.
const MAX_ATTEMPTS: usize = 1_024;
/// The most starts at one target that it hasn't confirmed: each takes a connection.
const MAX_UNCONFIRMED_STARTS: usize = 32;

/// A reading of a target's clock, and when it was received on this host's clock.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    received: Millis,
    clock: Millis,
}

/// Free resources reserved for a peer.
#[derive(Clone, Debug)]
struct Reservation {
    peer: Name,
    until: Millis,
}

/// A host's view of one target.
#[derive(Debug)]
pub(super) struct Target {
    /// The last usable entry in the platform's list, with the capacity in force instead of its own.
    pub(super) entry: TargetEntry,
    pub(super) capacity: Capacity,
    /// Since when the list hasn't shown the target; `None` while it is listed.
    pub(super) unlisted_since: Option<Millis>,
    /// True if the target's present entry is unusable.
    pub(super) is_entry_unusable: bool,
    pub(super) lease: Lease,
    pub(super) health: TargetHealth,
    /// The learned speed; `None` if running times aren't learned.
    pub(super) learned_speed: Option<LearnedSpeed>,
    pub(super) attempts: BTreeMap<AttemptId, Attempt>,
    clock: Option<ClockReading>,
    /// The end of the lease as this host last extended it, on the target's clock.
    extended_until: Option<Millis>,
    /// The start time of the incarnation that sent the last listing, if it was reported.
    pub(super) incarnation_start: Option<ProcessStartTime>,
    reservation: Option<Reservation>,
    /// The attempt beside which nothing else may run, as long as it exists.
    exclusive_attempt: Option<AttemptId>,
    /// Since when calls to the target's address have been refused, with no reply since.
    pub(super) refuses_since: Option<Millis>,
    /// The attempts at the last restart, with the outcome of each if the new incarnation doesn't
    /// list it.
    pub(super) restart_outcomes: BTreeMap<AttemptId, AttemptOutcome>,
}

impl Target {
    /// Creates a target that this host doesn't hold.
    ///
    /// `learned_speed` is `None` if running times aren't learned.
    pub(super) fn new(entry: TargetEntry, learned_speed: Option<LearnedSpeed>) -> Self {
        Self {
            capacity: Capacity::new(entry.capacity),
            entry,
            unlisted_since: None,
            is_entry_unusable: false,
            lease: Lease::not_held(),
            health: TargetHealth::default(),
            learned_speed,
            attempts: BTreeMap::new(),
            clock: None,
            extended_until: None,
            incarnation_start: None,
            reservation: None,
            exclusive_attempt: None,
            refuses_since: None,
            restart_outcomes: BTreeMap::new(),
        }
    }

    /// Resets what is no longer known once another host holds the target or it has restarted.
    /// Attempts are kept until their ends are known.
    pub(super) fn reset(&mut self) {
        self.reservation = None;
        self.clock = None;
        self.extended_until = None;
        self.incarnation_start = None;
        self.clear_listed_capacity();
        self.health.clear_silence();
    }

    /// Returns true if no attempt is known on the target.
    pub(super) fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns false if the entry describes another incarnation than the one that sent the last
    /// listing, which may be of another kind. Without both start times they can't be told apart.
    pub(super) fn is_entry_current(&self) -> bool {
        let described = self.entry.process_start;
        let running = self.incarnation_start;
        described.is_none() || running.is_none() || described == running
    }

    /// Returns true if the task may run here, as soon as the resources are free. The labels of an
    /// entry that isn't current meet no requirement.
    pub(super) fn suits(&self, order: &TaskOrder) -> bool {
        let labels_are_known = order.requirement.is_none() || self.is_entry_current();
        labels_are_known && target_choice::suits(&self.entry, order)
    }

    /// Returns true if an attempt is being stopped whose task may be started elsewhere once the
    /// lease has expired, even if the stop is never confirmed.
    pub(super) fn has_unconfirmed_stop(&self) -> bool {
        self.attempts.values().any(Attempt::has_unconfirmed_stop)
    }

    /// Returns true if an attempt runs beside which nothing else may run.
    fn is_quarantined(&self) -> bool {
        let exclusive = self.exclusive_attempt.as_ref();
        exclusive.is_some_and(|id| self.attempts.contains_key(id))
    }

    /// Keeps other attempts from running beside this one.
    pub(super) fn quarantine(&mut self, id: &AttemptId) {
        self.exclusive_attempt = Some(id.clone());
    }

    /// Returns the free resources; none while an attempt is quarantined.
    pub(super) fn free(&self) -> Resources {
        if self.is_quarantined() {
            return Resources::default();
        }
        let attempts = self.attempts.values();
        attempts.fold(self.entry.capacity, |free, attempt| {
            free.saturating_sub(&attempt.resources)
        })
    }

    /// Returns the free resources with the target's pool.
    pub(super) fn free_in_pool(&self) -> FreeResources {
        FreeResources {
            pool: self.entry.pool.clone(),
            resources: self.free(),
        }
    }

    /// Returns true if tasks may be started by the target's lease, clock, health and speed.
    pub(super) fn accepts_tasks(&self, now: Millis) -> bool {
        let known = self.lease.is_held() && self.clock.is_some();
        let is_very_slow = self
            .learned_speed
            .as_ref()
            .is_some_and(LearnedSpeed::is_very_slow);
        known && self.health.accepts_task(now, self.is_idle()) && (self.is_idle() || !is_very_slow)
    }

    /// Returns true if the task fits now, by free resources, quarantine and its spread limit.
    pub(super) fn fits(&self, order: &TaskOrder) -> bool {
        let is_within_spread = order.spread.as_ref().is_none_or(|limit| {
            let attempts = self.attempts.values();
            let same_step = attempts.filter(|attempt| attempt.counts_towards(limit));
            same_step.count() < limit.max_tasks as usize
        });
        let is_free = self.free().fits(&order.resources);
        is_free && is_within_spread && !self.is_quarantined() && self.takes_another_attempt()
    }

    /// Returns false while there are so many attempts, or starts without a reply, that tasks which
    /// take hardly any resources would take up the host's memory and descriptors.
    fn takes_another_attempt(&self) -> bool {
        if self.attempts.len() < MAX_UNCONFIRMED_STARTS {
            return true;
        }
        let attempts = self.attempts.values();
        let unconfirmed = attempts.filter(|attempt| attempt.confirmed.is_none());
        self.attempts.len() < MAX_ATTEMPTS && unconfirmed.count() < MAX_UNCONFIRMED_STARTS
    }

    /// Returns the cost of running a task here; see [`target_choice::cost`].
    ///
    /// `far_slowdown` is how many times as long tasks take in racks without their data.
    pub(super) fn cost(&self, now: Millis, order: &TaskOrder, far_slowdown: f64) -> f64 {
        let is_far = target_choice::is_far(&self.entry, order);
        target_choice::cost(&Candidate {
            left_cpu: self.free().saturating_sub(&order.resources).cpu,
            capacity_cpu: self.entry.capacity.cpu,
            slowdown: self.slowdown(now),
            failures: self.health.failures(),
            far_slowdown: if is_far { far_slowdown } else { 1.0 },
        })
    }

    /// Returns how many times as long as expected tasks take here.
    pub(super) fn slowdown(&self, now: Millis) -> f64 {
        if let Some(learned) = &self.learned_speed {
            return learned.slowdown.factor;
        }
        let running = self.attempts.values();
        self.health
            .slowdown(running.map(|attempt| attempt.running_time(now)))
    }

    /// Returns the thousandths of a core that attempts are expected to free within `within_ms`.
    pub(super) fn expected_to_free(&self, now: Millis, within_ms: Millis) -> u32 {
        let slowdown = self.slowdown(now);
        let attempts = self.attempts.values();
        let ending = attempts.filter(|attempt| attempt.remaining_ms(now, slowdown) <= within_ms);
        ending.fold(0, |cpu: u32, attempt| {
            cpu.saturating_add(attempt.resources.cpu)
        })
    }

    /// Reserves the free resources for a peer.
    pub(super) fn reserve(&mut self, peer: &Name, until: Millis) {
        self.reservation = Some(Reservation {
            peer: peer.clone(),
            until,
        });
    }

    /// Ends the reservation if it has expired.
    pub(super) fn expire_reservation(&mut self, now: Millis) {
        self.reservation
            .take_if(|reservation| reservation.until <= now);
    }

    /// Ends the reservation if it is for this peer.
    pub(super) fn end_reservation(&mut self, peer: &Name) {
        self.reservation
            .take_if(|reservation| reservation.peer == *peer);
    }

    pub(super) fn drop_reservation(&mut self) {
        self.reservation = None;
    }

    /// Returns true if the free resources are reserved for any host.
    pub(super) fn is_reserved(&self) -> bool {
        self.reservation.is_some()
    }

    /// Returns true if the free resources are reserved for another host.
    pub(super) fn is_reserved_for_others(&self, now: Millis, host: &Name) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|reservation| reservation.peer != *host && reservation.until > now)
    }

    /// Adds an attempt whose start has yet to be sent.
    pub(super) fn add_attempt(
        &mut self,
        now: Millis,
        times: &Times,
        owner: &Owner,
        order: &TaskOrder,
    ) {
        let latest_start = now + times.target_lease_true_ms;
        let mut attempt = Attempt::new(now, latest_start, owner, order);
        attempt.is_far = target_choice::is_far(&self.entry, order);
        self.attempts.insert(order.id.clone(), attempt);
        self.lease.extend(now + times.target_attempts_over_ms);
    }

    /// Returns the start deadline of attempts whose starts are sent now, on the target's clock. It
    /// is also the end of the lease, which is extended if `extends` is true.
    ///
    /// # Panics
    ///
    /// Panics if the target's clock isn't known; see [`Target::accepts_tasks`].
    pub(super) fn start_deadline(&mut self, now: Millis, times: &Times, extends: bool) -> Millis {
        let until = if extends {
            self.extend_lease(now, times)
        } else {
            self.extended_until
        };
        until.expect("the clock of a target that takes tasks is known")
    }

    /// Sets the urgency of an attempt's queue.
    pub(super) fn set_urgency(&mut self, id: &AttemptId, urgency: Urgency) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.urgency = urgency;
        }
    }

    /// Extends the lease and returns its new end on the target's clock, computed from the earliest
    /// time that the clock may show; `None` if the clock isn't known.
    pub(super) fn extend_lease(&mut self, now: Millis, times: &Times) -> Option<Millis> {
        let until = self.earliest_clock(now)? + times.target_lease_ms;
        self.lease.extend(now + times.target_attempts_over_ms);
        self.extended_until = self.extended_until.max(Some(until));
        Some(until)
    }

    /// Returns the least remaining time of the lease if nothing extends it, in ms of the target's
    /// clock.
    pub(super) fn remaining_lease_ms(&self, now: Millis) -> Millis {
        let left = self.extended_until.zip(self.earliest_clock(now));
        left.map_or(0, |(until, clock)| until.saturating_sub(clock))
    }

    /// Returns the earliest time that the target's clock may show, if the clock is known.
    fn earliest_clock(&self, now: Millis) -> Option<Millis> {
        let reading = self.clock?;
        let since = now.saturating_sub(reading.received);
        Some(reading.clock + least_on_target_clock(since))
    }

    /// Returns true if the target can't have restarted unnoticed: since its last reply no call went
    /// without reply and its lease didn't expire.
    pub(super) fn is_incarnation_certain(&self) -> bool {
        self.clock.is_some() && !self.health.has_missed()
    }

    /// Records that the target may have restarted since its last reply. Nothing is started there
    /// until it replies again. Guards against a host that was stalled and takes a new incarnation
    /// for the known one.
    pub(super) fn mark_incarnation_unconfirmed(&mut self) {
        self.clock = None;
    }

    /// Returns true if the target replied at `time` or later.
    pub(super) fn has_replied_since(&self, time: Millis) -> bool {
        self.clock.is_some_and(|reading| reading.received >= time)
    }

    /// Returns true if starts wait for a reply of the target.
    pub(super) fn has_unsent_starts(&self) -> bool {
        self.attempts
            .values()
            .any(|attempt| attempt.unsent_specification.is_some())
    }

    /// Returns the attempts whose starts wait for a reply of the target.
    pub(super) fn unsent_attempts(&self) -> Vec<AttemptId> {
        let attempts = self.attempts.iter();
        let unsent = attempts.filter(|(_, attempt)| attempt.unsent_specification.is_some());
        unsent.map(|(id, _)| id.clone()).collect()
    }

    /// Returns the clock in the target's last reply.
    pub(super) fn last_clock(&self) -> Option<Millis> {
        self.clock.map(|reading| reading.clock)
    }

    /// Records the clock in a reply; the target counts as answering.
    pub(super) fn record_clock(&mut self, now: Millis, clock: Millis) {
        self.clock = Some(ClockReading {
            received: now,
            clock,
        });
        self.health.record_reply();
        self.refuses_since = None;
    }

    /// Records a call without reply; returns true if the target is silent.
    pub(super) fn record_missed_reply(&mut self, now: Millis) -> bool {
        self.health.record_missed_call(now, self.lease.is_held())
    }

    /// Records that the target has an attempt.
    pub(super) fn confirm(&mut self, now: Millis, id: &AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.confirm(now);
        }
    }

    /// Records that the target started an attempt, at a time of its clock.
    pub(super) fn record_start(&mut self, id: &AttemptId, clock: Millis) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.progress.get_or_insert(Progress::started(clock));
        }
    }

    /// Records the progress of an attempt in a listing.
    pub(super) fn observe_progress(&mut self, now: Millis, listed: &ListedAttempt, clock: Millis) {
        let attempt = self.attempts.get_mut(&listed.id);
        if let (Some(attempt), Some(percent)) = (attempt, listed.percent) {
            attempt.observe_progress(now, percent, clock);
        }
    }

    /// Requests a stop of an attempt whose start had no reply: it may run.
    pub(super) fn request_stop_if_unconfirmed(&mut self, id: &AttemptId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            if attempt.confirmed.is_none() && attempt.stop == StopStage::NotRequested {
                attempt.stop = StopStage::ToSend;
            }
        }
    }

    /// Requests a stop of an attempt; returns false if it is unknown or a stop was already
    /// requested.
    pub(super) fn request_stop(&mut self, id: &AttemptId, report: bool) -> bool {
        let attempt = self.attempts.get_mut(id);
        attempt.is_some_and(|attempt| attempt.request_stop(report))
    }

    /// Returns the attempts for which a stop is to be sent.
    pub(super) fn stops_to_send(&self) -> Vec<AttemptId> {
        let attempts = self.attempts.iter();
        let to_send = attempts.filter(|(_, attempt)| attempt.stop == StopStage::ToSend);
        to_send.map(|(id, _)| id.clone()).collect()
    }

    /// Records that a stop was sent.
    pub(super) fn record_stop_sent(&mut self, now: Millis, id: &AttemptId, call: CallId) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            attempt.stop = StopStage::Sent { call, at: now };
        }
    }

    /// Repeats a stop that was lost: a listing requested long after it, at `requested`, shows the
    /// attempt as running.
    pub(super) fn repeat_lost_stop(&mut self, id: &AttemptId, requested: Millis) {
        if let Some(attempt) = self.attempts.get_mut(id) {
            let lost = matches!(
                attempt.stop,
                StopStage::Sent { at, .. } if at + REPLY_TIMEOUT_MS < requested
            );
            if lost {
                attempt.stop = StopStage::ToSend;
            }
        }
    }

    /// Records the reply to a stop. A stop that wasn't carried out is sent again.
    pub(super) fn record_stop_reply(
        &mut self,
        now: Millis,
        id: &AttemptId,
        call: CallId,
        done: bool,
    ) {
        let Some(attempt) = self.attempts.get_mut(id) else {
            return;
        };
        if matches!(attempt.stop, StopStage::Sent { call: sent, .. } if sent == call) {
            attempt.stop = if done {
                StopStage::Done(now)
            } else {
                StopStage::ToSend
            };
        }
    }

    /// Returns true if an end is awaited that a new listing may show before the target reports it
    /// by itself.
    pub(super) fn awaits_end(&self) -> bool {
        let mut attempts = self.attempts.values();
        self.lease.stage == LeaseStage::Settling
            || attempts.any(|attempt| attempt.stop != StopStage::NotRequested)
    }

    /// Returns the attempts that are stalled or overrunning and not being stopped, with the reason.
    pub(super) fn stalled_or_overrunning(&self, now: Millis) -> Vec<(AttemptId, StopReason)> {
        let not_stopping = self.attempts.iter();
        let not_stopping =
            not_stopping.filter(|(_, attempt)| attempt.stop == StopStage::NotRequested);
        let ending = not_stopping.filter_map(|(id, attempt)| {
            if attempt.is_stalled {
                Some((id.clone(), StopReason::Stalled))
            } else if attempt.overruns(now, &self.health) {
                Some((id.clone(), StopReason::Overrun))
            } else {
                None
            }
        });
        ending.collect()
    }
}
