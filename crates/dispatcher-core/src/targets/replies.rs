//! What targets reply.

use super::*;

impl TargetLeases {
    /// Takes a target's reply in, or that there is none.
    pub fn replied(&mut self, now: Millis, call: CallId, reply: Result<TargetReply, SendFailure>) {
        let Some(Sent { token, purpose }) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Renew { target, asked } => {
                self.renewal_replied(now, call, &target, asked, reply)
            }
            Purpose::Start { target, key } => self.started(now, token, &target, &key, reply),
            Purpose::Stop { target, key } => {
                self.stopped(now, call, token, &target, &key, reply);
            }
        }
    }

    pub(super) fn renewal_replied(
        &mut self,
        now: Millis,
        call: CallId,
        id: &Name,
        asked: Millis,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.renewal.is_none_or(|(current, _)| current != call) {
            return;
        }
        target.renewal = None;
        let was_silent = target.silent_since.is_some();
        let stage = target.stage;
        match reply {
            Ok(TargetReply::Listing {
                clock,
                running,
                ended,
            }) => {
                target.read_clock(now, clock);
                let settles = self.safeguards.new_holders_settle;
                let reports = target.list(now, asked, &running, &ended, settles);
                let pressing = target.is_pressing();
                let idle = target.attempts.is_empty() && !pressing;
                target.next_renewal = now + if idle { IDLE_LOOK_MS } else { 0 };
                let leased = target.stage == LeaseStage::Held;
                if was_silent {
                    self.record_target(id, "answers", "hold");
                }
                if leased && stage != LeaseStage::Held {
                    self.record_target(id, "kept", "hold");
                }
                self.reports.extend(reports);
            }
            Ok(TargetReply::StaleToken { .. }) => {
                self.token_superseded(now, id, self.targets[id].token)
            }
            Ok(TargetReply::WrongIncarnation) => self.incarnation_over(now, id),
            Ok(_) => {
                // It answers, if not to the point: a look later shows more.
                target.next_renewal = now + RETRY_MS;
            }
            Err(_) => self.missed(now, id, "hold"),
        }
    }

    pub(super) fn missed(&mut self, now: Millis, id: &Name, by: &'static str) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if !target.missed(now) {
            // One lost answer is not silence.
            target.next_renewal = now;
            return;
        }
        let first = target.silent_since == Some(now);
        let retry = if target.stage == LeaseStage::Acquiring {
            TAKE_RETRY_MS
        } else {
            RETRY_MS
        };
        target.next_renewal = now + retry;
        if first {
            self.record_target(id, "silent", by);
        }
    }

    pub(super) fn started(
        &mut self,
        now: Millis,
        token: u64,
        id: &Name,
        key: &AttemptId,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let report = match reply {
            Ok(TargetReply::Accepted { clock } | TargetReply::Listing { clock, .. }) => {
                target.read_clock(now, clock);
                target.start_taken(now, key);
                None
            }
            Ok(TargetReply::StartDeadlinePassed { clock }) => {
                target.read_clock(now, clock);
                target.end(now, key, AttemptOutcome::Lost, "late")
            }
            Ok(TargetReply::InsufficientResources { clock }) => {
                target.read_clock(now, clock);
                target.next_renewal = now;
                target.failed(now);
                target.end(now, key, AttemptOutcome::Lost, "full")
            }
            Ok(TargetReply::StaleAttempt { .. }) => {
                target.end(now, key, AttemptOutcome::StaleAttempt, "outnumbered")
            }
            Ok(TargetReply::Refused { .. }) => {
                target.suspend(now);
                target.end(now, key, AttemptOutcome::Lost, "refused")
            }
            Ok(TargetReply::StaleToken { .. }) => {
                let report = target.end(now, key, AttemptOutcome::Lost, "fenced");
                self.reports.extend(report);
                self.token_superseded(now, id, token);
                return;
            }
            Ok(TargetReply::WrongIncarnation) => {
                self.incarnation_over(now, id);
                return;
            }
            Err(SendFailure::Refused | SendFailure::NotSent) => {
                let report = target.end(now, key, AttemptOutcome::Lost, "not sent");
                self.reports.extend(report);
                self.missed(now, id, "start");
                return;
            }
            Err(SendFailure::Unknown) if !self.safeguards.starts_are_doubted => {
                target.end(now, key, AttemptOutcome::Lost, "no reply")
            }
            Err(SendFailure::Unknown) => {
                target.doubt(key);
                self.missed(now, id, "start");
                self.send_stops(now);
                return;
            }
        };
        self.reports.extend(report);
    }

    pub(super) fn stopped(
        &mut self,
        now: Millis,
        call: CallId,
        token: u64,
        id: &Name,
        key: &AttemptId,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match reply {
            Ok(TargetReply::Accepted { clock } | TargetReply::Listing { clock, .. }) => {
                target.read_clock(now, clock);
                target.stop_replied(now, key, call, true);
                target.next_renewal = target.next_renewal.min(now);
            }
            Ok(TargetReply::StaleToken { .. }) => {
                target.stop_replied(now, key, call, false);
                self.token_superseded(now, id, token);
            }
            Ok(TargetReply::WrongIncarnation) => self.incarnation_over(now, id),
            Ok(_) => target.stop_replied(now, key, call, false),
            Err(_) => {
                target.stop_replied(now, key, call, false);
                self.missed(now, id, "stop");
            }
        }
    }
}
