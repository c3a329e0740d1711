//! Ends jobs: as complete, failed or not run.

use std::sync::Arc;

use gannetridge_entry_wire::answer::Refusal;
use gannetridge_entry_wire::{Answer, FailureCause, RunStatus};

use super::run::QUERY_MAX_BACKOFF_MS;
use super::timers::Timer;
use super::Host;
use crate::action::TelemetryEvent;
use crate::charts::{TaskEvent, TaskState};
use crate::job::{Job, Task};
use crate::keys::JobKey;
use crate::ledger::EntryState;
use crate::retry::spread_ms;

impl Host {
    /// Ends a job whose tasks are all done.
    pub(super) fn complete_job(&mut self, key: JobKey) {
        let mut job = self.jobs.remove(&key).expect("the caller looked it up");
        let results = job.take_results();
        self.end_job(key, &job, Answer::Complete { results });
    }

    /// Ends a job without results: as not run if no task can have run, else as failed.
    pub(super) fn fail_job(&mut self, key: JobKey, cause: FailureCause) {
        let Some(mut job) = self.jobs.remove(&key) else {
            return;
        };
        let may_have_run = job.may_have_run();
        while let Some(index) = job.waiting.pop_front() {
            job.advance(index, TaskEvent::Dropped);
            let expected_ms = job.tasks[index as usize].expected_ms;
            self.queue.remove_task(job.queue, expected_ms);
        }
        self.queue.remove_job(job.queue, job.due, key);
        let answer = if may_have_run {
            let ran = if job.has_run {
                RunStatus::Ran
            } else {
                RunStatus::Unknown
            };
            Answer::Failed { cause, ran }
        } else {
            let reason = match cause {
                FailureCause::DeadlinePassed => Refusal::NoCapacity,
                _ => Refusal::NoOwner,
            };
            let retry_after_ms = spread_ms(&mut self.rng, QUERY_MAX_BACKOFF_MS);
            Answer::Refused {
                reason,
                retry_after_ms,
            }
        };
        self.end_job(key, &job, answer);
    }

    /// Records a job's answer in the ledger and sends it to everyone who waits for it.
    pub(super) fn end_job(&mut self, key: JobKey, job: &Job, answer: Answer) {
        self.timers.cancel(job.deadline, Timer::JobDeadline(key));
        let entry = self
            .ledger
            .get_mut(&job.entry)
            .expect("a job has an entry until it ends");
        let waiters = std::mem::take(&mut entry.waiters);
        assert!(
            matches!(entry.state, EntryState::Running(running) if running == key),
            "an entry's state changes once, when its own job ends"
        );
        if answer.is_final() {
            entry.state = EntryState::Ended(Arc::new(answer.clone()));
            self.record(TelemetryEvent::Finished {
                account: job.entry.account.clone(),
                urgency: job.account.urgency,
                complete: matches!(answer, Answer::Complete { .. }),
                response_us: self.now.micros_since(job.accepted),
                ideal_us: job.slowest_ms * 1_000,
            });
        } else {
            let account = job.entry.account.clone();
            entry.state = EntryState::Refused;
            self.record(TelemetryEvent::Refused { account });
        }
        for waiter in waiters {
            self.answer(waiter, answer.clone());
        }
        self.report_job_end(job, &answer);
    }

    pub(super) fn on_job_deadline(&mut self, key: JobKey) {
        self.fail_job(key, FailureCause::DeadlinePassed);
    }

    /// Fails the jobs that still have queued tasks in a shard that this host lost.
    pub(super) fn fail_jobs_of_lost_shard(&mut self, shard: u16) {
        let of_shard = |(_, job): &(&JobKey, &Job)| job.authority.shard == shard;
        let keys: Vec<JobKey> = self.jobs.iter().filter(of_shard).map(|(k, _)| *k).collect();
        for key in keys {
            let waits = |t: &Task| t.state == TaskState::Queued;
            if self.jobs[&key].tasks.iter().any(waits) {
                self.fail_job(key, FailureCause::OwnerLost);
            }
        }
    }
}
