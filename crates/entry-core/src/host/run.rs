//! Starts tasks on targets and takes their results.

use gannetridge_entry_wire::target::{StartRefusal, StartTask, TaskReport};
use gannetridge_entry_wire::{FailureCause, TaskId, Time};
use gannetridge_wire::Name;

use super::timers::Timer;
use super::Host;
use crate::action::{Action, Waste};
use crate::charts::TaskEvent;
use crate::event::{CallId, SendFailure};
use crate::keys::{AccountIndex, JobKey};
use crate::loans::LoanKey;
use crate::queue::FreeSlots;
use crate::targets::TargetIndex;

/// Shortest lease of a task, in ms.
const LEAST_LEASE_MS: u64 = 1_000;
/// How long the reply to a question is awaited, in ms.
pub(super) const ASK_WAIT_MS: u64 = 500;
/// Longest wait before a target is asked again, in ms.
pub(super) const LAST_ASK_MS: u64 = 500;
/// Most times that one task is sent again.
const MOST_RETRIES: u32 = 8;
/// Wait before a task goes again when the retry budget is used up, in ms.
const OUT_OF_BUDGET_MS: u64 = 200;
/// How long a slot is left alone after its target was full, in ms.
const FULL_PAUSE_MS: u64 = 50;
/// A repeatable task is a straggler after this many times its expected time.
const STRAGGLER_FACTOR: u64 = 4;

/// Whose slot a task takes.
#[derive(Clone, Debug)]
pub(super) enum SlotSource {
    Own,
    Loan(LoanKey),
}

/// A run of a task that was sent to a target.
#[derive(Clone, Debug)]
pub(super) struct RunningTask {
    pub(super) job: JobKey,
    pub(super) index: u32,
    pub(super) id: TaskId,
    pub(super) account: AccountIndex,
    pub(super) target: TargetIndex,
    pub(super) source: SlotSource,
    pub(super) expected_ms: u32,
    pub(super) sent: Time,
    pub(super) lease_past: Time,
    /// True once the target is asked what became of the run.
    pub(super) asking: bool,
    /// True once the target was asked to stop the run.
    pub(super) stopped: bool,
}

impl Host {
    /// Starts tasks for as long as there are some and slots for them.
    pub(super) fn pump(&mut self) {
        let mut passed = Vec::new();
        while self.queue.tasks() > 0 {
            let slots = FreeSlots {
                free: self.targets.own_free() + self.borrowed.idle() as u32,
                capacity: self.targets.own_capacity(),
            };
            if slots.free == 0 {
                break;
            }
            let Some((account, job)) = self.queue.next(slots, &passed) else {
                break;
            };
            if self.cannot_start(job) {
                continue;
            }
            match self.take_slot(job) {
                Some((target, source)) => self.start(job, target, source),
                None => passed.push(account),
            }
        }
        if self.queue.tasks() > 0 {
            self.borrow_more();
        } else if self.borrowed.idle() > 0 {
            self.borrowed.give_back_idle();
        }
        self.schedule_returns();
    }

    /// Fails a job whose tasks may not, or can't usefully, be started.
    pub(super) fn cannot_start(&mut self, key: JobKey) -> bool {
        let job = &self.jobs[&key];
        let next = job.waiting.front().expect("the queue names waiting jobs");
        let expected_ms = f64::from(job.tasks[*next as usize].expected_ms);
        let needed_ms = expected_ms * f64::from(self.pace.ratio());
        if self.now.plus_millis(needed_ms as u64) >= job.deadline {
            self.fail_job(key, FailureCause::DeadlinePassed);
            return true;
        }
        let authority = job.authority;
        let limit = self
            .ownership
            .begin_limit(authority.shard, authority.epoch, self.now);
        if limit.is_none() {
            self.fail_job(key, FailureCause::OwnerLost);
            return true;
        }
        false
    }

    fn take_slot(&mut self, key: JobKey) -> Option<(TargetIndex, SlotSource)> {
        let halls = &self.jobs[&key].account.halls;
        let allowed = |hall: &Name| halls.contains(hall);
        if let Some(target) = self.targets.choose(&mut self.rng, allowed) {
            self.targets.update(target, |t| t.in_use += 1);
            return Some((target, SlotSource::Own));
        }
        let targets = &self.targets;
        let can_take = |index| {
            let target = targets.get(index);
            target.usable() && allowed(&target.hall)
        };
        let (target, loan) = self.borrowed.take(self.now, can_take)?;
        Some((target, SlotSource::Loan(loan)))
    }

    fn start(&mut self, key: JobKey, target: TargetIndex, source: SlotSource) {
        let job = self
            .jobs
            .get_mut(&key)
            .expect("the queue names running jobs");
        let index = job
            .waiting
            .pop_front()
            .expect("the queue names jobs with waiting tasks");
        job.advance(index, TaskEvent::Sent);
        let account = job.queue;
        let expected_ms = job.tasks[index as usize].expected_ms;
        if job.waiting.is_empty() {
            self.queue.remove_job(account, job.due, key);
        }
        self.queue.task_leaves(account, expected_ms);
        self.queue.slot_taken(account);
        let start = self.compose_start(key, index);
        let left_ms = start.latest_begin.millis_since(self.now);
        let skew_ms = self.settings.tuning.skew_ms;
        let over_ms = left_ms + start.lease_ms + skew_ms;
        let lease_past = self.now.plus_millis(over_ms);
        let job = self.jobs.get_mut(&key).expect("just seen");
        job.tasks[index as usize].lease_past = lease_past;
        job.tasks[index as usize].target = Some(target);
        let running = RunningTask {
            job: key,
            index,
            id: start.task.clone(),
            account,
            target,
            source,
            expected_ms,
            sent: self.now,
            lease_past,
            asking: false,
            stopped: false,
        };
        let repeatable = job.account.repeatable;
        let call = self.new_call();
        self.running.insert(call, running);
        self.budget.earn();
        if repeatable {
            let pace = f64::from(self.pace.ratio()).max(1.0);
            let usual_ms = (f64::from(expected_ms) * pace) as u64;
            self.after(usual_ms * STRAGGLER_FACTOR, Timer::Straggler(call));
        }
        let place = self.targets.get(target);
        self.out.push(Action::Start {
            call,
            target: place.name.clone(),
            address: place.address.clone(),
            start: Box::new(start),
            wait_ms: over_ms + ASK_WAIT_MS,
        });
    }

    fn compose_start(&self, key: JobKey, index: u32) -> StartTask {
        let job = &self.jobs[&key];
        let tuning = &self.settings.tuning;
        let authority = job.authority;
        let right = self
            .ownership
            .begin_limit(authority.shard, authority.epoch, self.now);
        let mut latest_begin = self
            .now
            .plus_millis(tuning.begin_window_ms)
            .min(job.deadline);
        if self.settings.safeguards.begin_limit {
            let limit = right.expect("checked before the start");
            assert!(
                limit >= self.now || !self.settings.safeguards.lapse_check,
                "nothing is started under a lapsed right"
            );
            latest_begin = latest_begin.min(limit);
        }
        let expected_ms = u64::from(job.tasks[index as usize].expected_ms);
        let longest_ms = job.deadline.millis_since(self.now).max(LEAST_LEASE_MS);
        let lease_ms = (expected_ms * tuning.lease_factor).clamp(LEAST_LEASE_MS, longest_ms);
        StartTask {
            task: job.task_id(index),
            shard: gannetridge_entry_wire::ShardId {
                hall: self.settings.hall.clone(),
                index: job.authority.shard,
            },
            epoch: job.authority.epoch,
            fence: job.authority.fence,
            latest_begin,
            lease_ms,
            template: job.template().clone(),
            parameters: job.parameters.clone(),
            input: job.submission.tasks[index as usize].input.clone(),
        }
    }

    // ---- replies ----

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

    /// Frees the slot of a run that is over or never began.
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

    /// The target reported that a run ended without an output.
    fn on_failed(&mut self, task: &RunningTask, ran_ms: u64) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return self.waste(Waste::Late);
        };
        job.ran = true;
        job.slowest_ms = job.slowest_ms.max(ran_ms);
        self.end_without_output(task, FailureCause::TaskFailed);
    }

    /// The target reported that a run is over, whether or not it ever began.
    fn on_over(&mut self, task: &RunningTask) {
        if !self.jobs.contains_key(&task.job) {
            return self.waste(Waste::Late);
        }
        self.end_without_output(task, FailureCause::TargetLost);
    }

    /// Repeats a run that is proved over, if the account allows it.
    fn end_without_output(&mut self, task: &RunningTask, cause: FailureCause) {
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

    /// Takes note that some source says a target is leaving.
    pub(super) fn target_leaves(&mut self, target: TargetIndex) {
        let now = self.now;
        if self.settings.safeguards.heed_leaving {
            self.targets.update(target, |t| t.health.leaves(now));
        }
    }

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

    /// The target proved that the run never began and never will.
    fn on_never_begun(&mut self, task: &RunningTask, stale: bool) {
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.advance(task.index, TaskEvent::Refused);
        if stale {
            return self.fail_job(task.job, FailureCause::OwnerLost);
        }
        // A full target is no fault: its task waits for as long as its job.
        self.pay_and_requeue(task.job, task.index);
    }

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

    /// Sends a task again that is proved not to run, within the budget.
    pub(super) fn send_again(&mut self, key: JobKey, index: u32) {
        let retries = self.jobs[&key].tasks[index as usize].retries;
        if retries >= MOST_RETRIES {
            return self.fail_job(key, FailureCause::TargetLost);
        }
        self.jobs.get_mut(&key).expect("just seen").tasks[index as usize].retries += 1;
        self.pay_and_requeue(key, index);
    }

    fn pay_and_requeue(&mut self, key: JobKey, index: u32) {
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
