//! Detects restarts of targets under the same id.
//!
//! A target may restart under its former id and address. The new incarnation runs nothing of the
//! previous one, has seen no fencing token, and restarts its clock and the numbering of its ends.
//! Once a reply shows a restart, this host discards what it knows of the previous incarnation, ends
//! its attempts, and acquires the lease with a higher fencing token, which makes earlier calls
//! ineffective.
//!
//! Two things show a restart: a listing with another start time of the incarnation, and a clock
//! that went back, which any reply may show. Only replies to calls with the present token count:
//! earlier calls show nothing about an incarnation found since.

use std::collections::BTreeMap;

use crate::decision::{EndEvidence, StateSource, TargetState};
use crate::event::{ProcessStartTime, TargetReply};
use crate::message::{AttemptId, AttemptOutcome};
use crate::rules::crashes::TargetLoss;
use crate::Millis;

use super::attempt::EndReport;
use super::target::Target;
use super::{PendingCall, Purpose, TargetLeases};

impl TargetLeases {
    /// Marks the incarnations of all targets as unconfirmed after this host was stalled: the
    /// targets may have restarted or be held by another host. Replies to calls from before the
    /// stall show nothing.
    pub fn mark_incarnations_unconfirmed(&mut self) {
        for pending in self.calls.values_mut() {
            pending.sent_before_stall = true;
        }
        self.for_each_active(|target| {
            target.mark_incarnation_unconfirmed();
            target.lease.renewal = None;
            target.lease.next_renewal = 0;
        });
    }

    /// Returns the latest time at which a lost target can have stopped; `None` if the safeguard
    /// that accounts for ends that weren't received is off.
    pub(super) fn latest_loss(&self, now: Millis, target: &Target) -> Option<Millis> {
        let counted = self.safeguards.unreported_ends_are_considered;
        counted.then(|| target.refuses_since.unwrap_or(now))
    }

    /// Discards what is known of a target's previous incarnation if a reply comes from another one.
    pub(super) fn detect_restart(
        &mut self,
        now: Millis,
        pending: &PendingCall,
        reply: &TargetReply,
    ) {
        let Some(target) = self.targets.get_mut(&pending.target) else {
            return;
        };
        let is_current = pending.token == target.lease.token && !target.lease.is_free();
        if !is_current
            || pending.sent_before_stall
            || !self.safeguards.incarnations_are_distinguished
        {
            return;
        }
        if !target.is_other_incarnation(pending.clock, reply) {
            if let Some(incarnation_start) = incarnation_start(reply) {
                target.incarnation_start = Some(incarnation_start);
            }
            return;
        }
        let latest_loss = self.latest_loss(now, &self.targets[&pending.target]);
        let Some(target) = self.targets.get_mut(&pending.target) else {
            return;
        };
        let token = self.tokens.next(now);
        let requested = listing_requested_at(pending);
        self.reports.extend(target.end_unsent(now));
        let outcomes = target.lost_outcomes(TargetLoss::Restarted, latest_loss);
        let longest_attempts_over = self.times.longest_attempts_over_ms;
        let reports = target.start_incarnation(
            now,
            token,
            longest_attempts_over,
            requested,
            outcomes,
            reply,
        );
        self.reports.extend(reports);
        let by = StateSource::WrongIncarnation;
        self.record_target(&pending.target, TargetState::Restarted, by);
        self.send_stops(now);
    }
}

impl Target {
    /// Returns true if a reply comes from another incarnation than the known one. `clock` is the
    /// target's last known clock before the call: within one incarnation it never goes back.
    fn is_other_incarnation(&self, clock: Option<Millis>, reply: &TargetReply) -> bool {
        self.reports_other_incarnation(reply)
            || accepted_call_clock(reply).is_some_and(|now| Some(now) < clock)
    }

    /// Returns true if a reply reports another incarnation than the known one.
    fn reports_other_incarnation(&self, reply: &TargetReply) -> bool {
        let (known, reported) = (self.incarnation_start, incarnation_start(reply));
        reported.is_some() && known.is_some() && reported != known
    }

    /// Starts to acquire the lease of a new incarnation. Returns the attempts that ended with the
    /// previous one: those that the target had confirmed before the listing was requested
    /// (`requested`) and that the listing doesn't show. All attempts are stopped: a start may have
    /// reached the new incarnation with a deadline on the previous clock, for which the target may
    /// have granted its longest lease. `outcomes` are those of attempts that the new incarnation
    /// doesn't list.
    ///
    /// A clock that went back ends no attempt by itself, so that correctness doesn't rest on
    /// targets' clocks: the next listing shows what runs.
    fn start_incarnation(
        &mut self,
        now: Millis,
        token: u64,
        longest_attempts_over: Millis,
        requested: Option<Millis>,
        outcomes: BTreeMap<AttemptId, AttemptOutcome>,
        reply: &TargetReply,
    ) -> Vec<EndReport> {
        let requested = requested.filter(|_| self.reports_other_incarnation(reply));
        self.reset();
        self.reset_speed();
        self.incarnation_start = incarnation_start(reply);
        self.lease.reacquire_after_restart(now, token);
        // Outcomes from an earlier restart are more accurate than those computed now.
        let before = std::mem::take(&mut self.restart_outcomes);
        self.restart_outcomes = outcomes;
        self.restart_outcomes.extend(before);
        let attempts = self.attempts.iter();
        let ended = attempts.filter(|(id, attempt)| {
            let known = attempt.confirmed;
            let of_previous_incarnation =
                requested.is_some_and(|requested| known.is_some_and(|at| at < requested));
            of_previous_incarnation && !lists_as_running(reply, id)
        });
        let ended: Vec<AttemptId> = ended.map(|(id, _)| id.clone()).collect();
        for attempt in self.attempts.values_mut() {
            attempt.request_stop(true);
        }
        let by = EndEvidence::WrongIncarnation;
        let mut reports = Vec::new();
        for id in ended {
            let lost = AttemptOutcome::Lost;
            let outcome = self.restart_outcomes.remove(&id).unwrap_or(lost);
            reports.extend(self.end_attempt(now, &id, outcome, by));
        }
        // A start with a deadline on the previous clock may have reached the new incarnation, which
        // may then run its attempts for the longest lease that it grants.
        self.lease.extend(now + longest_attempts_over);
        reports
    }
}

/// Returns the target's clock, if the reply shows that the target handled the call under its token.
/// A target that has seen a higher token is held by another host, whatever its clock shows.
pub(super) fn accepted_call_clock(reply: &TargetReply) -> Option<Millis> {
    match reply {
        TargetReply::Accepted { clock }
        | TargetReply::Listing { clock, .. }
        | TargetReply::StartDeadlinePassed { clock }
        | TargetReply::InsufficientResources { clock } => Some(*clock),
        TargetReply::StaleToken { .. }
        | TargetReply::StaleAttempt { .. }
        | TargetReply::WrongIncarnation
        | TargetReply::Refused { .. } => None,
    }
}

/// Returns when a call requested a listing, if it did.
fn listing_requested_at(pending: &PendingCall) -> Option<Millis> {
    match pending.purpose {
        Purpose::Renewal { requested } => Some(requested),
        Purpose::Start(_) | Purpose::Stop(_) => None,
    }
}

/// Returns the start time of the replying incarnation, if the reply reports it.
fn incarnation_start(reply: &TargetReply) -> Option<ProcessStartTime> {
    match reply {
        TargetReply::Listing { process_start, .. } => *process_start,
        _ => None,
    }
}

/// Returns true if a reply lists an attempt as running.
fn lists_as_running(reply: &TargetReply, id: &AttemptId) -> bool {
    match reply {
        TargetReply::Listing { running, .. } => running.iter().any(|listed| listed.id == *id),
        _ => false,
    }
}
