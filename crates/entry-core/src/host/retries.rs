//! Decides whether a task without an output is sent again, and when.
//!
//! A start that the target refused goes again for as long as its job has time; one
//! that was not sent, at most `MOST_RETRIES` times a task. A run that began is
//! repeated only where the account allows it, as often. Each retry spends from the
//! host's budget (`crate::retry`); once that is used up, a task that never began
//! waits `OUT_OF_BUDGET_MS`, and one that began fails its job.

use gannetridge_entry_wire::FailureCause;

use super::run::RunningTask;
use super::timers::Timer;
use super::Host;
use crate::charts::TaskEvent;
use crate::keys::JobKey;

/// Most times that one task is sent again. Chosen, not measured.
const MOST_RETRIES: u32 = 8;
/// Wait before a task goes again when the retry budget is used up, in ms; chosen, not measured.
const OUT_OF_BUDGET_MS: u64 = 200;

impl Host {
    /// Repeats a run that is proved over, if the account allows it.
    pub(super) fn end_without_output(&mut self, task: &RunningTask, cause: FailureCause) {
        let job = self.jobs.get_mut(&task.job).expect("the caller found it");
        job.advance(task.index, TaskEvent::Failed);
        let repeatable = job.account.repeatable;
        let retries = job.tasks[task.index as usize].retries;
        if repeatable && retries < MOST_RETRIES && self.budget.spend(self.now) {
            let job = self.jobs.get_mut(&task.job).expect("just seen");
            job.ran = true;
            job.tasks[task.index as usize].retries += 1;
            job.advance(task.index, TaskEvent::Repeated);
            self.requeue(task.job, task.index);
        } else {
            self.fail_job(task.job, cause);
        }
    }

    /// Sends a task again that is proved not to run, within the budget.
    pub(super) fn send_again(&mut self, key: JobKey, index: u32) {
        let retries = self.jobs[&key].tasks[index as usize].retries;
        if retries >= MOST_RETRIES {
            return self.fail_job(key, FailureCause::TargetLost);
        }
        self.jobs.get_mut(&key).expect("just seen").tasks[index as usize].retries += 1;
        self.pay_and_requeue(key, index);
    }

    pub(super) fn pay_and_requeue(&mut self, key: JobKey, index: u32) {
        if self.budget.spend(self.now) {
            self.requeue(key, index);
        } else {
            self.after(OUT_OF_BUDGET_MS, Timer::Requeue(key, index));
        }
    }

    /// Puts a task back among those that wait.
    pub(super) fn requeue(&mut self, key: JobKey, index: u32) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.requeue(index);
        let expected_ms = job.tasks[index as usize].expected_ms;
        self.queue.task_waits(job.queue, expected_ms);
        self.queue.add_job(job.queue, job.due, key);
    }
}
