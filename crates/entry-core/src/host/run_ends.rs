//! Handles the targets' replies to starts and status queries, and updates tasks and
//! targets accordingly.
//!
//! `retries` decides what follows a run without output.

use gannetridge_entry_wire::target::{StartRefusal, TaskReport};
use gannetridge_entry_wire::FailureCause;

use super::run::{RunningTask, SlotSource};
use super::timers::Timer;
use super::Host;
use crate::action::Waste;
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
                self.end_run(call, &task);
                self.learn(&task, ran_ms);
                self.on_done(&task, output, ran_ms);
            }
            Ok(TaskReport::Failed { ran_ms }) => {
                self.end_run(call, &task);
                self.on_failed(&task, ran_ms);
            }
            Ok(TaskReport::Over) => {
                self.end_run(call, &task);
                self.on_over(&task);
            }
            Ok(TaskReport::Refused { reason }) => {
                self.waste(Waste::Bounced);
                self.note_refusal(&task, reason);
                self.end_run(call, &task);
                self.on_never_begun(&task, reason == StartRefusal::StaleEpoch);
            }
            Ok(TaskReport::NeverBegun) => {
                self.end_run(call, &task);
                self.on_never_begun(&task, false);
            }
            Ok(TaskReport::Running) => self.ask_later(call, &task),
            Err(failure) => self.on_no_reply(call, &task, failure),
        }
    }

    /// Frees the slot of a run that has ended or never started.
    pub(super) fn end_run(&mut self, call: CallId, task: &RunningTask) {
        self.running.remove(&call);
        self.queue.slot_freed(task.account);
        match &task.source {
            SlotSource::Own => {
                self.targets.update(task.target, |t| t.in_use -= 1);
            }
            SlotSource::Loan(key) => {
                let keep = self.queue.tasks() > 0;
                self.borrowed
                    .release(key.clone(), task.target, keep, self.now);
            }
        }
    }

    /// Updates the run time averages with a run that ended with an output.
    fn learn(&mut self, task: &RunningTask, ran_ms: u64) {
        let ratio = ran_ms as f32 / task.expected_ms as f32;
        let relative = ratio / self.pace.ratio();
        self.pace.learn(ratio);
        self.targets
            .update(task.target, |t| t.health.succeeded(relative));
    }

    fn on_done(&mut self, task: &RunningTask, output: String, ran_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.waste(Waste::Late);
        };
        assert_eq!(
            job.task_id(task.index),
            task.id,
            "a result belongs to its own run"
        );
        job.finish_task(task.index, output, ran_ms);
        if job.open == 0 || !self.settings.safeguards.whole_answers {
            self.complete_job(task.job);
        }
    }

    /// Handles a run that ended without an output.
    fn on_failed(&mut self, task: &RunningTask, ran_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.waste(Waste::Late);
        };
        job.ran = true;
        job.slowest_ms = job.slowest_ms.max(ran_ms);
        self.end_without_output(task, FailureCause::TaskFailed);
    }

    /// Handles a run that has ended, which may never have started.
    fn on_over(&mut self, task: &RunningTask) {
        if !self.jobs.contains_key(&task.job) {
            return self.waste(Waste::Late);
        }
        self.end_without_output(task, FailureCause::TargetLost);
    }

    /// Records a report that a target is leaving.
    pub(super) fn target_leaves(&mut self, target: TargetIndex) {
        let now = self.now;
        if self.settings.safeguards.heed_leaving {
            self.targets.update(target, |t| t.health.leaves(now));
        }
    }

    /// Updates a target by the reason for which it refused a task.
    fn note_refusal(&mut self, task: &RunningTask, reason: StartRefusal) {
        match reason {
            StartRefusal::Full => {
                self.targets.update(task.target, |t| t.blocked += 1);
                self.after(FULL_PAUSE_MS, Timer::Unblock(task.target));
            }
            StartRefusal::Leaving => self.target_leaves(task.target),
            StartRefusal::StaleEpoch | StartRefusal::TooLate => {}
        }
    }

    /// Handles a run that never started and never will.
    fn on_never_begun(&mut self, task: &RunningTask, stale: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.advance(task.index, TaskEvent::Refused);
        if stale {
            return self.fail_job(task.job, FailureCause::OwnerLost);
        }
        // A start without effect doesn't count against the task's retries.
        self.pay_and_requeue(task.job, task.index);
    }

    /// Handles a start or query that got no reply.
    fn on_no_reply(&mut self, call: CallId, task: &RunningTask, failure: SendFailure) {
        self.waste(Waste::Lost);
        let now = self.now;
        self.targets.update(task.target, |t| t.health.failed(now));
        let lost = failure == SendFailure::Unknown && self.settings.safeguards.ask_when_lost;
        if task.asking {
            return self.ask_later(call, task);
        }
        if lost {
            if let Some(job) = self.jobs.get_mut(&task.job) {
                job.advance(task.index, TaskEvent::Lost);
                self.ask_later(call, task);
            } else {
                self.end_run(call, task);
            }
            return;
        }
        self.end_run(call, task);
        if let Some(job) = self.jobs.get_mut(&task.job) {
            job.advance(task.index, TaskEvent::NotSent);
            self.send_again(task.job, task.index);
        }
    }
}
