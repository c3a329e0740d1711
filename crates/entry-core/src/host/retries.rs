//! Decides whether and when a task without an output is sent again.
//!
//! A start that the target refused is sent again while its job has time; one that was
//! not sent, at most `MAX_RETRIES` times per task. A run that started is repeated only
//! if the account allows it, with the same limit. Each retry spends from the host's
//! budget (`crate::retry`); when it is exhausted, a task that never started waits
//! `BUDGET_WAIT_MS`, and one whose run ended without an output fails its job.

use gannetridge_entry_wire::FailureCause;

use super::run::RunningTask;
use super::timers::Timer;
use super::Host;
use crate::charts::TaskEvent;
use crate::keys::JobKey;

/// Largest number of retries of one task.
const MAX_RETRIES: u32 = 8;
/// Wait before a task is requeued when the retry budget is exhausted, in ms.
const BUDGET_WAIT_MS: u64 = 200;

impl Host {
    /// Repeats a run that has ended without an output if the account, the limit and the
    /// budget allow it, else fails the job.
    pub(super) fn repeat_or_fail(&mut self, task: &RunningTask, cause: FailureCause) {
        let job = self
            .jobs
            .get_mut(&task.job)
            .expect("the caller looked it up");
        job.advance(task.index, TaskEvent::Failed);
        let repeatable = job.account.repeatable;
        let retries = job.tasks[task.index as usize].retries;
        if repeatable && retries < MAX_RETRIES && self.budget.try_spend(self.now) {
            let job = self.jobs.get_mut(&task.job).expect("looked up above");
            job.has_run = true;
            job.tasks[task.index as usize].retries += 1;
            job.advance(task.index, TaskEvent::Repeated);
            self.requeue(task.job, task.index);
        } else {
            self.fail_job(task.job, cause);
        }
    }

    /// Requeues a task whose run has certainly ended or never started, within the limit.
    pub(super) fn retry_task(&mut self, key: JobKey, index: u32) {
        let retries = self.jobs[&key].tasks[index as usize].retries;
        if retries >= MAX_RETRIES {
            return self.fail_job(key, FailureCause::TargetLost);
        }
        self.jobs.get_mut(&key).expect("looked up above").tasks[index as usize].retries += 1;
        self.requeue_within_budget(key, index);
    }

    /// Requeues a task at once if the retry budget allows it, else after a wait.
    pub(super) fn requeue_within_budget(&mut self, key: JobKey, index: u32) {
        if self.budget.try_spend(self.now) {
            self.requeue(key, index);
        } else {
            self.set_timer_in(BUDGET_WAIT_MS, Timer::Requeue(key, index));
        }
    }

    /// Puts a task back among the waiting ones.
    pub(super) fn requeue(&mut self, key: JobKey, index: u32) {
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        job.requeue(index);
        let expected_ms = job.tasks[index as usize].expected_ms;
        self.queue.add_task(job.queue, expected_ms);
        self.queue.add_job(job.queue, job.due, key);
    }
}
