//! Crashes of targets, at random or by a task, and their restarts under the same id.
//!
//! Uses a random generator of its own, so that restarts don't change the other faults of a seed.

use gannetridge_dispatcher_core::event::{ProcessStartTime, TargetChange};
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::Millis;
use rand::Rng;

use super::model::SimEvent;
use super::{World, ENTRY_EXPIRY_MS, EPOCH_MS, WARM_UP_MS};

/// The longest time for which a target is down, in ms; long enough for its entry to expire.
/// Half of the targets restart immediately, before any call fails.
const MAX_DOWN_MS: Millis = 6_000;

/// How long a crashing task runs before the crash, in ms; its start is confirmed by then.
const CRASH_DELAY_MS: Millis = 20;
/// How long a target is down after a task crashed it, in ms; its entry doesn't expire.
const CRASH_DOWN_MS: Millis = 3_000;

/// Returns `true` if a task crashes its targets: the first task of one in `one_crashing_job_in`
/// jobs, chosen by the job's id.
fn is_crashing_task(task: &str, one_crashing_job_in: u64) -> bool {
    let first = task.split_once('.').filter(|(_, rest)| *rest == "0.0.0");
    let number = first.and_then(|(job, _)| u64::from_str_radix(job, 16).ok());
    one_crashing_job_in > 0 && number.is_some_and(|number| number % one_crashing_job_in == 0)
}

impl World {
    /// Schedules the first crash of a random target.
    pub(super) fn schedule_target_restarts(&mut self) {
        if self.scenario.restart_gap_ms > 0 {
            self.schedule(WARM_UP_MS, SimEvent::TargetCrashes);
        }
    }

    /// Crashes a random target, and schedules its restart and the next crash.
    pub(super) fn crash_random_target(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let index = self.restart_rng.random_range(0..self.targets.len());
        let is_immediate = self.restart_rng.random();
        let down_ms = if is_immediate {
            0
        } else {
            self.restart_rng.random_range(0..MAX_DOWN_MS)
        };
        let leaving = self.targets[index].entry.leaving;
        if !leaving && self.stop_target(index) {
            *self.outcome.faults.entry("restart target").or_default() += 1;
            let id = self.targets[index].entry.id.clone();
            if self.scenario.verbose {
                println!("{:6} {id} restarts after {down_ms} ms", self.now);
            }
            if down_ms > ENTRY_EXPIRY_MS {
                self.schedule(self.now + ENTRY_EXPIRY_MS, SimEvent::EntryExpires(id));
            }
            self.schedule(self.now + down_ms, SimEvent::TargetRestarts(index));
        }
        let interval_ms = 2 * self.scenario.restart_gap_ms;
        let interval_ms = self.restart_rng.random_range(0..interval_ms);
        self.schedule(self.now + interval_ms, SimEvent::TargetCrashes);
    }

    /// Schedules the crash of the target on which a crashing task has started.
    pub(super) fn schedule_task_crash(&mut self, index: usize, id: &AttemptId) {
        if is_crashing_task(&id.task, self.scenario.one_crashing_job_in) {
            let at = self.now + CRASH_DELAY_MS;
            self.schedule(at, SimEvent::TaskCrashesTarget(index, id.clone()));
        }
    }

    /// Crashes a target if the crashing task still runs there.
    pub(super) fn crash_target_by_task(&mut self, index: usize, id: &AttemptId) {
        let is_running = self.targets[index].attempts.contains_key(id);
        if is_running && self.stop_target(index) {
            *self.outcome.faults.entry("crashed by a task").or_default() += 1;
            self.schedule(self.now + CRASH_DOWN_MS, SimEvent::TargetRestarts(index));
        }
    }

    /// Restarts a target under its id.
    pub(super) fn restart_target(&mut self, index: usize) {
        let process_start = ProcessStartTime(EPOCH_MS + self.now);
        self.targets[index].restart(self.now, process_start);
        self.targets[index].entry.process_start = Some(process_start);
        let entry = self.targets[index].entry.clone();
        self.announce_target_changes(vec![TargetChange::Listed(entry)]);
    }
}
