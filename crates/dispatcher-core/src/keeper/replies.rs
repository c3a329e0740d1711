//! What targets reply.

use super::*;

impl Keeper {
    /// Takes a target's reply in, or that there is none.
    pub fn replied(&mut self, now: Millis, call: CallId, reply: Result<TargetReply, SendFailure>) {
        let Some(Sent { fence, purpose }) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Hold { target, asked } => self.held(now, call, &target, asked, reply),
            Purpose::Start { target, key } => self.started(now, fence, &target, &key, reply),
            Purpose::Stop { target, key } => {
                self.stopped(now, call, fence, &target, &key, reply);
            }
        }
    }

    pub(super) fn held(
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
        if target.holding.is_none_or(|(current, _)| current != call) {
            return;
        }
        target.holding = None;
        let was_silent = target.silent_since.is_some();
        let stage = target.stage;
        match reply {
            Ok(TargetReply::Listing {
                clock,
                running,
                ended,
            }) => {
                target.read_clock(now, clock);
                let settles = self.safeguards.newcomers_settle;
                let reports = target.list(now, asked, &running, &ended, settles);
                let pressing = target.is_pressing();
                let idle = target.runs.is_empty() && !pressing;
                target.next_hold = now + if idle { IDLE_LOOK_MS } else { 0 };
                let kept = target.stage == Stage::Kept;
                if was_silent {
                    self.note_target(id, "answers", "hold");
                }
                if kept && stage != Stage::Kept {
                    self.note_target(id, "kept", "hold");
                }
                self.reports.extend(reports);
            }
            Ok(TargetReply::Fenced { .. }) => self.fenced(now, id, self.targets[id].fence),
            Ok(TargetReply::OtherLife) => self.life_over(now, id),
            Ok(_) => {
                // It answers, if not to the point: a look later shows more.
                target.next_hold = now + RETRY_MS;
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
            target.next_hold = now;
            return;
        }
        let first = target.silent_since == Some(now);
        let retry = if target.stage == Stage::Taking {
            TAKE_RETRY_MS
        } else {
            RETRY_MS
        };
        target.next_hold = now + retry;
        if first {
            self.note_target(id, "silent", by);
        }
    }

    pub(super) fn started(
        &mut self,
        now: Millis,
        fence: u64,
        id: &Name,
        key: &RunKey,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let report = match reply {
            Ok(TargetReply::Done { clock } | TargetReply::Listing { clock, .. }) => {
                target.read_clock(now, clock);
                target.start_taken(now, key);
                None
            }
            Ok(TargetReply::Late { clock }) => {
                target.read_clock(now, clock);
                target.end(now, key, End::Lost, "late")
            }
            Ok(TargetReply::Full { clock }) => {
                target.read_clock(now, clock);
                target.next_hold = now;
                target.failed(now);
                target.end(now, key, End::Lost, "full")
            }
            Ok(TargetReply::Outnumbered { .. }) => {
                target.end(now, key, End::Outnumbered, "outnumbered")
            }
            Ok(TargetReply::Refused { .. }) => {
                target.suspend(now);
                target.end(now, key, End::Lost, "refused")
            }
            Ok(TargetReply::Fenced { .. }) => {
                let report = target.end(now, key, End::Lost, "fenced");
                self.reports.extend(report);
                self.fenced(now, id, fence);
                return;
            }
            Ok(TargetReply::OtherLife) => {
                self.life_over(now, id);
                return;
            }
            Err(SendFailure::Refused | SendFailure::NotSent) => {
                let report = target.end(now, key, End::Lost, "not sent");
                self.reports.extend(report);
                self.missed(now, id, "start");
                return;
            }
            Err(SendFailure::Unknown) if !self.safeguards.starts_are_doubted => {
                target.end(now, key, End::Lost, "no reply")
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
        fence: u64,
        id: &Name,
        key: &RunKey,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match reply {
            Ok(TargetReply::Done { clock } | TargetReply::Listing { clock, .. }) => {
                target.read_clock(now, clock);
                target.stop_replied(now, key, call, true);
                target.next_hold = target.next_hold.min(now);
            }
            Ok(TargetReply::Fenced { .. }) => {
                target.stop_replied(now, key, call, false);
                self.fenced(now, id, fence);
            }
            Ok(TargetReply::OtherLife) => self.life_over(now, id),
            Ok(_) => target.stop_replied(now, key, call, false),
            Err(_) => {
                target.stop_replied(now, key, call, false);
                self.missed(now, id, "stop");
            }
        }
    }
}
