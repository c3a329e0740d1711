//! Handles targets' replies to renewals, starts and stops.
//!
//! A call without reply may have been carried out, or may be carried out later. A start without
//! reply counts as running until a listing shows otherwise.

use gannetridge_wire::Name;

use crate::decision::{EndEvidence, StateSource, TargetState};
use crate::event::{CallId, SendFailure, TargetReply};
use crate::message::{AttemptId, AttemptOutcome};
use crate::Millis;

use super::ends::Listing;
use super::incarnations::accepted_call_clock;
use super::lease::LeaseStage;
use super::{PendingCall, Purpose, TargetLeases, SILENT_RETRY_INTERVAL_MS};

/// Time between renewals of a target on which nothing runs, in ms.
const IDLE_RENEWAL_INTERVAL_MS: Millis = 3_000;
/// Time between attempts to acquire a target that doesn't answer, in ms.
const ACQUIRE_RETRY_INTERVAL_MS: Millis = 500;

impl TargetLeases {
    /// Handles a target's reply, or the failure of the call.
    pub fn handle_reply(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(pending) = self.calls.remove(&call) else {
            return;
        };
        match &reply {
            Ok(reply) => self.detect_restart(now, &pending, reply),
            Err(SendFailure::Refused) => {
                if let Some(target) = self.targets.get_mut(&pending.target) {
                    target.refuses_since.get_or_insert(now);
                }
            }
            Err(SendFailure::NotSent | SendFailure::Unknown) => {}
        }
        let PendingCall {
            token,
            target,
            purpose,
            sent_before_stall,
            ..
        } = pending;
        match purpose {
            Purpose::Renewal { requested } => {
                self.handle_renewal_reply(now, call, &target, requested, reply)
            }
            Purpose::Start(id) => {
                self.record_reply_clock(now, token, sent_before_stall, &target, &reply);
                if !sent_before_stall {
                    self.observe_start_reply(now, &target, &id, &reply);
                }
                self.handle_start_reply(now, token, &target, &id, reply);
            }
            Purpose::Stop(id) => {
                self.record_reply_clock(now, token, sent_before_stall, &target, &reply);
                self.handle_stop_reply(now, call, token, &target, &id, reply);
            }
        }
    }

    /// Records the clock in a reply to a start or a stop. A call with an earlier token may have
    /// reached another incarnation, and a reply to a call from before this host was stalled is
    /// outdated.
    fn record_reply_clock(
        &mut self,
        now: Millis,
        token: u64,
        sent_before_stall: bool,
        id: &Name,
        reply: &Result<TargetReply, SendFailure>,
    ) {
        let clock = reply.as_ref().ok().and_then(accepted_call_clock);
        if let (Some(clock), Some(target)) = (clock, self.targets.get_mut(id)) {
            if token == target.lease.token && !sent_before_stall {
                target.record_clock(now, clock);
            }
        }
    }

    fn handle_renewal_reply(
        &mut self,
        now: Millis,
        call: CallId,
        id: &Name,
        requested: Millis,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        // A call from before the lease was acquired anew shows nothing about it.
        if target.lease.renewal != Some(call) {
            return;
        }
        target.lease.renewal = None;
        match reply {
            Ok(TargetReply::Listing {
                clock,
                running,
                ended,
                capacity,
                ..
            }) => {
                let change = target.update_listed_capacity(requested, capacity);
                self.record_capacity(id, change, StateSource::Renewal);
                let listing = Listing {
                    requested,
                    clock,
                    running: &running,
                    ended: &ended,
                };
                self.handle_listing(now, id, clock, &listing);
            }
            Ok(TargetReply::StaleToken { .. }) => {
                let token = target.lease.token;
                self.token_superseded(now, id, token);
            }
            Ok(TargetReply::WrongIncarnation) => self.handle_wrong_incarnation(now, id),
            // The target answers, but without a listing; a later renewal may bring one.
            Ok(_) => target.lease.next_renewal = now + SILENT_RETRY_INTERVAL_MS,
            Err(_) => self.handle_missed_reply(now, id, StateSource::Renewal),
        }
    }

    fn handle_listing(&mut self, now: Millis, id: &Name, clock: Millis, listing: &Listing<'_>) {
        let target = self.targets.get_mut(id).expect("the target was found");
        let was_silent = target.health.silent_since().is_some();
        let was_held = target.lease.is_held();
        target.record_clock(now, clock);
        let settles = self.safeguards.new_holders_settle;
        let reports = target.apply_listing(now, listing, settles);
        let idle = target.is_idle() && !target.awaits_end();
        target.lease.next_renewal = now + if idle { IDLE_RENEWAL_INTERVAL_MS } else { 0 };
        let acquired = target.lease.is_held() && !was_held;
        if acquired && self.safeguards.earlier_leases_are_respected {
            // Before it knew this host's token, a new incarnation of the target may have received a
            // deadline on its previous clock from another host, and granted its longest lease to
            // all its attempts.
            target
                .lease
                .extend(now + self.times.longest_attempts_over_ms);
        }
        if was_silent {
            self.record_target(id, TargetState::Answers, StateSource::Renewal);
        }
        if acquired {
            self.record_target(id, TargetState::Held, StateSource::Renewal);
        }
        self.learn_from(now, id, &reports);
        self.reports.extend(reports);
        self.resolve_unsent_starts(now, id);
    }

    /// Handles a call without reply.
    fn handle_missed_reply(&mut self, now: Millis, id: &Name, by: StateSource) {
        self.end_unsent(now, id);
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if !target.record_missed_reply(now) {
            // A single lost reply doesn't make a target silent.
            target.lease.next_renewal = now;
            return;
        }
        let silent_now = target.health.silent_since() == Some(now);
        let retry = if target.lease.stage == LeaseStage::Acquiring {
            ACQUIRE_RETRY_INTERVAL_MS
        } else {
            SILENT_RETRY_INTERVAL_MS
        };
        target.lease.next_renewal = now + retry;
        if silent_now {
            self.record_target(id, TargetState::Silent, by);
        }
    }

    /// Learns the reply times of starts.
    fn observe_start_reply(
        &mut self,
        now: Millis,
        target: &Name,
        id: &AttemptId,
        reply: &Result<TargetReply, SendFailure>,
    ) {
        let attempts = self.targets.get(target).map(|target| &target.attempts);
        let Some(attempts) = attempts else {
            return;
        };
        let sent = attempts.get(id).map(|attempt| attempt.started);
        match (reply, sent) {
            (Ok(_), Some(sent)) => self.start_replies.record_reply(now.saturating_sub(sent)),
            (Err(SendFailure::Unknown), _) => self.start_replies.record_missing_reply(),
            (Ok(_) | Err(_), _) => {}
        }
    }

    fn handle_start_reply(
        &mut self,
        now: Millis,
        token: u64,
        target_id: &Name,
        id: &AttemptId,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(target_id) else {
            return;
        };
        let lost = AttemptOutcome::Lost;
        let report = match reply {
            Ok(TargetReply::Accepted { clock } | TargetReply::Listing { clock, .. }) => {
                target.confirm(now, id);
                target.record_start(id, clock);
                None
            }
            Ok(TargetReply::StartDeadlinePassed { .. }) => {
                target.end_attempt(now, id, lost, EndEvidence::StartDeadlinePassed)
            }
            Ok(TargetReply::InsufficientResources { .. }) => {
                target.lease.next_renewal = now;
                target.health.record_failure(now);
                target.end_attempt(now, id, lost, EndEvidence::InsufficientResources)
            }
            Ok(TargetReply::StaleAttempt { .. }) => {
                let outcome = AttemptOutcome::StaleAttempt;
                target.end_attempt(now, id, outcome, EndEvidence::StaleAttempt)
            }
            Ok(TargetReply::Refused { .. }) => {
                target.health.suspend(now);
                target.end_attempt(now, id, lost, EndEvidence::Refused)
            }
            Ok(TargetReply::StaleToken { .. }) => {
                let report = target.end_attempt(now, id, lost, EndEvidence::StaleToken);
                self.reports.extend(report);
                return self.token_superseded(now, target_id, token);
            }
            Ok(TargetReply::WrongIncarnation) => {
                return self.handle_wrong_incarnation(now, target_id)
            }
            Err(SendFailure::Refused | SendFailure::NotSent) => {
                let report = target.end_attempt(now, id, lost, EndEvidence::NotSent);
                self.reports.extend(report);
                return self.handle_missed_reply(now, target_id, StateSource::Start);
            }
            Err(SendFailure::Unknown) if !self.safeguards.unanswered_starts_count_as_running => {
                target.end_attempt(now, id, lost, EndEvidence::NoReply)
            }
            Err(SendFailure::Unknown) => {
                target.request_stop_if_unconfirmed(id);
                self.handle_missed_reply(now, target_id, StateSource::Start);
                return self.send_stops(now);
            }
        };
        self.reports.extend(report);
    }

    fn handle_stop_reply(
        &mut self,
        now: Millis,
        call: CallId,
        token: u64,
        target_id: &Name,
        id: &AttemptId,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(target_id) else {
            return;
        };
        match reply {
            Ok(TargetReply::Accepted { .. } | TargetReply::Listing { .. }) => {
                target.record_stop_reply(now, id, call, true);
                target.lease.next_renewal = target.lease.next_renewal.min(now);
            }
            Ok(TargetReply::StaleToken { .. }) => {
                target.record_stop_reply(now, id, call, false);
                self.token_superseded(now, target_id, token);
            }
            Ok(TargetReply::WrongIncarnation) => self.handle_wrong_incarnation(now, target_id),
            Ok(_) => target.record_stop_reply(now, id, call, false),
            Err(_) => {
                target.record_stop_reply(now, id, call, false);
                self.handle_missed_reply(now, target_id, StateSource::Stop);
            }
        }
    }
}
