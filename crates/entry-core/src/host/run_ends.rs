//! Handles the targets' replies to starts and status queries, and updates tasks and
//! targets accordingly.
//!
//! `retries` decides what follows a run without output.

use gannetridge_entry_wire::target::{StartRefusal, TaskReport};
use gannetridge_entry_wire::FailureCause;

use super::run::{RunningTask, SlotSource};
use super::timers::Timer;
use super::Host;
use crate::action::WastedMessage;
use crate::charts::TaskEvent;
use crate::event::{CallId, SendFailure};
use crate::targets::TargetIndex;

/// How long a slot stays unused after its target refused a task as full, in ms.
const FULL_PAUSE_MS: u64 = 50;

impl Host {
    pub(super) fn on_task_reply(&mut self, call: CallId, reply: Result<TaskReport, SendFailure>) {
        let Some(task) = self.running.get(&call).cloned() else {
            return;
        };
        match reply {
            Ok(TaskReport::Done { output, ran_ms }) => {
                self.release_run(call, &task);
                self.record_run_time(&task, ran_ms);
                self.on_done(&task, output, ran_ms);
            }
            Ok(TaskReport::Failed { ran_ms }) => {
                self.release_run(call, &task);
                self.on_failed(&task, ran_ms);
            }
            Ok(TaskReport::Over) => {
                self.release_run(call, &task);
                self.on_run_over(&task);
            }
            Ok(TaskReport::Refused { reason }) => {
                self.record_wasted(WastedMessage::StartRefused);
                self.on_start_refused(&task, reason);
                self.release_run(call, &task);
                self.on_never_started(&task, reason == StartRefusal::StaleEpoch);
            }
            Ok(TaskReport::NeverStarted) => {
                self.release_run(call, &task);
                self.on_never_started(&task, false);
            }
            Ok(TaskReport::Running) => self.schedule_query(call, &task),
            Err(failure) => self.on_no_reply(call, &task, failure),
        }
    }

    /// Frees the slot of a run that has ended or never started.
    pub(super) fn release_run(&mut self, call: CallId, task: &RunningTask) {
        self.running.remove(&call);
        self.queue.release_slot(task.account);
        match &task.source {
            SlotSource::Own => {
                self.targets.update(task.target, |t| t.in_use -= 1);
            }
            SlotSource::Loan(key) => {
                let keep = self.queue.waiting_tasks() > 0;
                self.borrowed
                    .release(key.clone(), task.target, keep, self.now);
            }
        }
    }

    /// Updates the run time averages with a run that ended with an output.
    fn record_run_time(&mut self, task: &RunningTask, ran_ms: u64) {
        let ratio = ran_ms as f32 / task.expected_ms as f32;
        let relative = ratio / self.run_time_ratio.ratio();
        self.run_time_ratio.add(ratio);
        self.targets
            .update(task.target, |t| t.health.record_success(relative));
    }

    fn on_done(&mut self, task: &RunningTask, output: String, ran_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.record_wasted(WastedMessage::Late);
        };
        assert_eq!(
            job.task_id(task.index),
            task.id,
            "a result belongs to its own run"
        );
        job.finish_task(task.index, output, ran_ms);
        if job.unfinished == 0 || !self.settings.safeguards.require_all_tasks {
            self.complete_job(task.job);
        }
    }

    /// Handles a run that ended without an output.
    fn on_failed(&mut self, task: &RunningTask, ran_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.record_wasted(WastedMessage::Late);
        };
        job.has_run = true;
        job.slowest_ms = job.slowest_ms.max(ran_ms);
        self.repeat_or_fail(task, FailureCause::TaskFailed);
    }

    /// Handles a run that has ended, which may never have started.
    fn on_run_over(&mut self, task: &RunningTask) {
        if !self.jobs.contains_key(&task.job) {
            return self.record_wasted(WastedMessage::Late);
        }
        self.repeat_or_fail(task, FailureCause::TargetLost);
    }

    /// Records a report that a target is leaving.
    pub(super) fn mark_target_leaving(&mut self, target: TargetIndex) {
        let now = self.now;
        if self.settings.safeguards.exclude_leaving_targets {
            self.targets.update(target, |t| t.health.mark_leaving(now));
        }
    }

    /// Updates a target by the reason for which it refused a task.
    fn on_start_refused(&mut self, task: &RunningTask, reason: StartRefusal) {
        match reason {
            StartRefusal::Full => {
                self.targets.update(task.target, |t| t.blocked += 1);
                self.set_timer_in(FULL_PAUSE_MS, Timer::Unblock(task.target));
            }
            StartRefusal::Leaving => self.mark_target_leaving(task.target),
            StartRefusal::StaleEpoch | StartRefusal::TooLate => {}
        }
    }

    /// Handles a run that never started and never will.
    fn on_never_started(&mut self, task: &RunningTask, stale: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.advance(task.index, TaskEvent::Refused);
        if stale {
            return self.fail_job(task.job, FailureCause::OwnerLost);
        }
        // A start without effect doesn't count against the task's retries.
        self.requeue_within_budget(task.job, task.index);
    }

    /// Handles a start or query that got no reply.
    fn on_no_reply(&mut self, call: CallId, task: &RunningTask, failure: SendFailure) {
        self.record_wasted(WastedMessage::Lost);
        let now = self.now;
        self.targets
            .update(task.target, |t| t.health.record_failure(now));
        let lost =
            failure == SendFailure::Unknown && self.settings.safeguards.query_after_lost_start;
        if task.queried {
            return self.schedule_query(call, task);
        }
        if lost {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.advance(task.index, TaskEvent::Lost);
                self.schedule_query(call, task);
            } else {
                self.release_run(call, task);
            }
            return;
        }
        self.release_run(call, task);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.advance(task.index, TaskEvent::NotSent);
            self.retry_task(task.job, task.index);
        }
    }
}
