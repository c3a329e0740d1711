//! The lives of a target under one id.
//!
//! A target may start again under its former id and address. The new life runs nothing of the
//! old one, has seen no fencing token, and numbers its ends and counts its clock anew. Once a
//! reply shows it, what this host knows of the old life is dropped, and its attempts are over.
//! A higher fencing token sees to it that what was sent before does nothing any more.
//!
//! Two things show another life: a listing that tells when it began, and a clock that went
//! back, which any reply tells. Only calls that carry the present token count: what was sent
//! before says nothing of the life that was found since.

use std::collections::BTreeMap;

use crate::decision::{BeliefSource, EndEvidence, TargetBelief};
use crate::event::{Born, TargetReply};
use crate::message::{AttemptId, AttemptOutcome};
use crate::rules::crashes::TargetLoss;
use crate::Millis;

use super::attempt::EndReport;
use super::target::Target;
use super::{Purpose, Sent, TargetLeases};

impl TargetLeases {
    /// Doubts the lives of all targets, since this host stood still: they may have started again
    /// and be another host's by now. What was on its way says nothing of them.
    pub fn mark_incarnations_unconfirmed(&mut self) {
        for sent in self.calls.values_mut() {
            sent.sent_before_suspension = true;
        }
        self.for_each_active(|target| {
            target.mark_incarnation_unconfirmed();
            target.lease.renewal = None;
            target.lease.next_renewal = 0;
        });
    }

    /// Returns when a target that is lost was known to be gone, at the latest now; none if ends
    /// that weren't heard aren't reckoned with.
    pub(super) fn gone_by(&self, now: Millis, target: &Target) -> Option<Millis> {
        let counted = self.safeguards.unheard_ends_are_reckoned;
        counted.then(|| target.refuses_since.unwrap_or(now))
    }

    /// Drops what is known of a target's last life where a reply is of another one.
    pub(super) fn detect_restart(&mut self, now: Millis, sent: &Sent, reply: &TargetReply) {
        let Some(target) = self.targets.get_mut(&sent.target) else {
            return;
        };
        let is_current = sent.token == target.lease.token && !target.lease.is_free();
        if !is_current || sent.sent_before_suspension || !self.safeguards.lives_are_told_apart {
            return;
        }
        if !target.is_other_incarnation(sent.clock, reply) {
            if let Some(incarnation_start) = incarnation_start(reply) {
                target.incarnation_start = Some(incarnation_start);
            }
            return;
        }
        let gone_by = self.gone_by(now, &self.targets[&sent.target]);
        let Some(target) = self.targets.get_mut(&sent.target) else {
            return;
        };
        let token = self.tokens.next(now);
        let requested = listing_requested_at(sent);
        self.reports.extend(target.end_unsent(now));
        let lost = target.lost_outcomes(TargetLoss::Restarted, gone_by);
        let longest_attempts_over = self.times.longest_attempts_over;
        let reports =
            target.start_incarnation(now, token, longest_attempts_over, requested, lost, reply);
        self.reports.extend(reports);
        let by = BeliefSource::WrongIncarnation;
        self.record_target(&sent.target, TargetBelief::Restarted, by);
        self.send_stops(now);
    }
}

impl Target {
    /// Returns whether a reply is of another life than the one that is known. `clock` is the
    /// target's clock as heard before the call: within one life it never goes back.
    fn is_other_incarnation(&self, clock: Option<Millis>, reply: &TargetReply) -> bool {
        self.reports_other_incarnation(reply)
            || accepted_call_clock(reply).is_some_and(|now| Some(now) < clock)
    }

    /// Returns whether a reply tells that it is of another life.
    fn reports_other_incarnation(&self, reply: &TargetReply) -> bool {
        let (known, reported) = (self.incarnation_start, incarnation_start(reply));
        reported.is_some() && known.is_some() && reported != known
    }

    /// Begins to acquire the lease of a new life; returns the attempts that ended with the old
    /// one: those that a target had confirmed before it was asked for the listing (`asked`), and
    /// that aren't listed. Those whose start may have come to the new life are stopped there:
    /// they carried a time of the old clock, so that it may have granted them the longest lease.
    /// `lost` tells how attempts end that the new life doesn't list.
    ///
    /// A clock that went back ends no attempt by itself, so that nothing rests on the clocks
    /// of targets alone: the next listing shows what runs.
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
        // What a life before that had is known better from then.
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
        // An order with a time of the old clock may have come to the new life: what runs there
        // from now on may then run for as long as it grants at all.
        self.lease.extend(now + longest_attempts_over);
        reports
    }
}

/// Returns the clock that a reply tells of a target that took the call in. A target that has
/// seen a higher token is another host's by now, whatever its clock shows.
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

/// Returns when a listing was asked for, if the call did.
fn listing_requested_at(sent: &Sent) -> Option<Millis> {
    match sent.purpose {
        Purpose::Renewal { requested } => Some(requested),
        Purpose::Start(_) | Purpose::Stop(_) => None,
    }
}

/// Returns when the life began that sent a reply, if it tells.
fn incarnation_start(reply: &TargetReply) -> Option<Born> {
    match reply {
        TargetReply::Listing { born, .. } => *born,
        _ => None,
    }
}

/// Returns whether a reply lists an attempt as running.
fn lists_as_running(reply: &TargetReply, id: &AttemptId) -> bool {
    match reply {
        TargetReply::Listing { running, .. } => running.iter().any(|listed| listed.id == *id),
        _ => false,
    }
}
