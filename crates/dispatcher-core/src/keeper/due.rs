//! What is due from time to time.

use super::*;

impl Keeper {
    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.ended_early.retain(|_, until| *until > now);
        for target in self.targets.values_mut() {
            target.offered.take_if(|(_, until)| *until <= now);
        }
        self.forget_unlisted(now);
        self.end_what_is_over(now);
        self.stop_overruns(now);
        self.send_stops(now);
    }

    pub(super) fn end_what_is_over(&mut self, now: Millis) {
        for target in self.targets.values_mut() {
            let waits = self.safeguards.silent_runs_are_waited_for;
            let over = target.is_over(now) || (!waits && target.silent_since.is_some());
            if !target.runs.is_empty() && over {
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
        self.note_stops(stopped, "overrun");
    }

    /// Holds targets on and asks for news, where no such call is on its way.
    pub fn send_holds(&mut self, now: Millis) {
        let ours = self.ours.iter();
        let due = ours.filter(|id| {
            let target = &self.targets[*id];
            target.holding.is_none() && is_call_due(target, now)
        });
        let due: Vec<Name> = due.cloned().collect();
        for id in due {
            self.send_hold(now, &id);
        }
    }

    pub(super) fn send_hold(&mut self, now: Millis, id: &Name) {
        let times = self.times;
        let target = self.targets.get_mut(id).expect("the target was found");
        // What a newcomer finds is nobody's: it isn't held on. Nor are runs of
        // its own as long as it doesn't know what others run beside them.
        let until = if target.stage == Stage::Kept && !target.runs.is_empty() {
            target.extend(now, &times)
        } else {
            None
        };
        let quick = target.silent_since.is_some()
            || target.stage == Stage::Taking
            || (target.runs.is_empty() && target.stage == Stage::Kept);
        let wait_ms = if quick {
            0
        } else if target.is_pressing() {
            PRESSING_WAIT_MS
        } else {
            times.hold_wait
        };
        let order = TargetCall::Hold {
            until,
            noted: target.noted,
            wait_ms,
        };
        let purpose = Purpose::Hold {
            target: id.clone(),
            asked: now,
        };
        let call = self.call(id, purpose, order, wait_ms + REPLY_WAIT_MS);
        let target = self.targets.get_mut(id).expect("the target was found");
        target.holding = Some((call, now));
    }
}
