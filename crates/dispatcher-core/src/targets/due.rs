//! What is due from time to time.

use super::*;

impl TargetLeases {
    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.ended_early.retain(|_, until| *until > now);
        for target in self.targets.values_mut() {
            target.reservation.take_if(|(_, until)| *until <= now);
        }
        self.forget_unlisted(now);
        self.end_what_is_over(now);
        self.stop_overruns(now);
        self.send_stops(now);
    }

    pub(super) fn end_what_is_over(&mut self, now: Millis) {
        for target in self.targets.values_mut() {
            let waits = self.safeguards.silent_attempts_are_waited_for;
            let over = target.is_over(now) || (!waits && target.silent_since.is_some());
            if !target.attempts.is_empty() && over {
                let reports = target.end_all(now, "hold over");
                self.reports.extend(reports);
            }
        }
    }

    pub(super) fn stop_overruns(&mut self, now: Millis) {
        let mut stopped = Vec::new();
        for (id, target) in &mut self.targets {
            let overruns = target.overruns(now);
            if !overruns.is_empty() {
                target.suspend(now);
            }
            for key in overruns {
                if target.stop(&key, true) {
                    stopped.push((id.clone(), key));
                }
            }
        }
        self.record_stops(stopped, "overrun");
    }

    /// Holds targets on and asks for news, where no such call is on its way.
    pub fn send_renewals(&mut self, now: Millis) {
        let leased = self.leased.iter();
        let due = leased.filter(|id| {
            let target = &self.targets[*id];
            target.renewal.is_none() && is_call_due(target, now)
        });
        let due: Vec<Name> = due.cloned().collect();
        for id in due {
            self.send_renewal(now, &id);
        }
    }

    pub(super) fn send_renewal(&mut self, now: Millis, id: &Name) {
        let times = self.times;
        let target = self.targets.get_mut(id).expect("the target was found");
        // What a newcomer finds is nobody's: it isn't held on. Nor are runs of
        // its own as long as it doesn't know what others run beside them.
        let until = if target.stage == LeaseStage::Held && !target.attempts.is_empty() {
            target.extend(now, &times)
        } else {
            None
        };
        let quick = target.silent_since.is_some()
            || target.stage == LeaseStage::Acquiring
            || (target.attempts.is_empty() && target.stage == LeaseStage::Held);
        let wait_ms = if quick {
            0
        } else if target.is_pressing() {
            PRESSING_WAIT_MS
        } else {
            times.long_poll
        };
        let order = TargetCall::Renew {
            until,
            acknowledged: target.acknowledged,
            wait_ms,
        };
        let purpose = Purpose::Renew {
            target: id.clone(),
            asked: now,
        };
        let call = self.call(id, purpose, order, wait_ms + REPLY_WAIT_MS);
        let target = self.targets.get_mut(id).expect("the target was found");
        target.renewal = Some((call, now));
    }
}
