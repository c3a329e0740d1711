//! Targets that crash, by themselves or by a task, and start again under their id.
//!
//! Chances are drawn from a generator of its own, so that a seed's other faults are the same
//! with and without.

use gannetridge_dispatcher_core::event::{ProcessStartTime, TargetChange};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::Millis;
use rand::Rng;

use super::parts::Happening;
use super::{World, EPOCH_MS, LAPSE_MS, QUIET_MS};

/// The longest time for which a target is down, in ms: beyond that after which its entry goes.
/// One of two is back at once, before any call is missed. Chosen, not measured.
const DOWN_MS: Millis = 6_000;

/// How long a task runs that crashes its target, in ms: its start is confirmed by then.
const BAD_WORK_MS: Millis = 20;
/// For how long a target is down that a task crashed, in ms: its entry stays.
const BAD_DOWN_MS: Millis = 3_000;

/// Returns whether a task crashes its targets where one job of so many has one that does.
fn is_bad(task: &str, one_crashing_job_in: u64) -> bool {
    let first = task.split_once('.').filter(|(_, rest)| *rest == "0.0.0");
    let number = first.and_then(|(job, _)| u64::from_str_radix(job, 16).ok());
    one_crashing_job_in > 0 && number.is_some_and(|number| number % one_crashing_job_in == 0)
}

impl World {
    /// Plans the first target that starts again.
    pub(super) fn plan_restarts(&mut self) {
        if self.scenario.restart_gap_ms > 0 {
            self.at(QUIET_MS, Happening::RestartTarget);
        }
    }

    /// Lets a target crash, and plans its return and the next time.
    pub(super) fn restart_target(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let index = self.restart_rng.random_range(0..self.targets.len());
        let at_once = self.restart_rng.random();
        let down_ms = if at_once {
            0
        } else {
            self.restart_rng.random_range(0..DOWN_MS)
        };
        let leaving = self.targets[index].entry.leaving;
        if !leaving && self.stop_target(index) {
            *self.outcome.faults.entry("restart target").or_default() += 1;
            let id = self.targets[index].entry.id.clone();
            if self.scenario.verbose {
                println!("{:6} {id} restarts after {down_ms} ms", self.now);
            }
            if down_ms > LAPSE_MS {
                self.at(self.now + LAPSE_MS, Happening::Lapse(id));
            }
            self.at(self.now + down_ms, Happening::TargetBack(index));
        }
        let gap = 2 * self.scenario.restart_gap_ms;
        let gap = self.restart_rng.random_range(0..gap);
        self.at(self.now + gap, Happening::RestartTarget);
    }

    /// Has a task that has begun crash its target, if it is one that does.
    pub(super) fn plan_crash(&mut self, index: usize, id: &AttemptId) {
        if is_bad(&id.task, self.scenario.one_crashing_job_in) {
            let at = self.now + BAD_WORK_MS;
            self.at(at, Happening::CrashUnder(index, id.clone()));
        }
    }

    /// Lets a target crash, if the task that crashes it runs there.
    pub(super) fn crash_under(&mut self, index: usize, id: &AttemptId) {
        let runs = self.targets[index].attempts.contains_key(id);
        if runs && self.stop_target(index) {
            *self.outcome.faults.entry("crashed by a task").or_default() += 1;
            self.at(self.now + BAD_DOWN_MS, Happening::TargetBack(index));
        }
    }

    /// Starts a target again under its id.
    pub(super) fn target_back(&mut self, index: usize) {
        let born = ProcessStartTime(EPOCH_MS + self.now);
        self.targets[index].restart(self.now, born);
        let entry = self.targets[index].entry.clone();
        self.news(vec![TargetChange::Listed(entry)]);
    }
}
