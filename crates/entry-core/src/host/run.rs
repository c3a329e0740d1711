//! Starts tasks on targets, on slots of this host's share or on borrowed ones.

use gannetridge_entry_wire::target::StartTask;
use gannetridge_entry_wire::{FailureCause, ShardId, TaskId, Time};
use gannetridge_wire::Name;

use super::timers::Timer;
use super::Host;
use crate::action::Action;
use crate::charts::TaskEvent;
use crate::keys::{AccountIndex, JobKey};
use crate::loans::LoanKey;
use crate::queue::FreeSlots;
use crate::targets::TargetIndex;

/// Shortest lease of a task, in ms.
const MIN_LEASE_MS: u64 = 1_000;
/// Timeout of the reply to a status query, in ms.
pub(super) const QUERY_TIMEOUT_MS: u64 = 500;
/// Longest backoff between status queries, in ms.
pub(super) const QUERY_MAX_BACKOFF_MS: u64 = 500;
/// A repeatable task is a straggler after this many times its expected run time.
const STRAGGLER_FACTOR: u64 = 4;

/// The source of a task's slot.
#[derive(Clone, Debug)]
pub(super) enum SlotSource {
    Own,
    Loan(LoanKey),
}

/// A run of a task that was sent to a target and holds a slot.
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
    /// When the run's lease has expired on every clock.
    pub(super) lease_expired_at: Time,
    /// True once a status query about the run was needed.
    pub(super) queried: bool,
    /// True once the target was requested to stop the run.
    pub(super) stop_requested: bool,
}

impl Host {
    /// Starts waiting tasks while there are slots for them, and borrows slots for the rest.
    pub(super) fn start_waiting_tasks(&mut self) {
        let mut excluded = Vec::new();
        while self.queue.waiting_tasks() > 0 {
            let slots = FreeSlots {
                free: self.targets.own_free() + self.borrowed.idle_count() as u32,
                capacity: self.targets.own_capacity(),
            };
            if slots.free == 0 {
                break;
            }
            let Some((account, job)) = self.queue.next_job(slots, &excluded) else {
                break;
            };
            if self.fail_if_unstartable(job) {
                continue;
            }
            match self.take_slot(job) {
                Some((target, source)) => self.start(job, target, source),
                None => excluded.push(account),
            }
        }
        if self.queue.waiting_tasks() > 0 {
            self.request_slots();
        } else if self.borrowed.idle_count() > 0 {
            self.borrowed.give_back_idle();
        }
        self.schedule_returns();
    }

    /// Fails a job whose next task can't end in time or may not be started any more.
    /// Returns true if it did.
    pub(super) fn fail_if_unstartable(&mut self, key: JobKey) -> bool {
        let job = &self.jobs[&key];
        let next = job.waiting.front().expect("a queued job has waiting tasks");
        let expected_ms = f64::from(job.tasks[*next as usize].expected_ms);
        let needed_ms = expected_ms * f64::from(self.run_time_ratio.ratio());
        if self.now.plus_millis(needed_ms as u64) >= job.deadline {
            self.fail_job(key, FailureCause::DeadlinePassed);
            return true;
        }
        let authority = job.authority;
        let limit = self
            .ownership
            .latest_start(authority.shard, authority.epoch, self.now);
        if limit.is_none() {
            self.fail_job(key, FailureCause::OwnerLost);
            return true;
        }
        false
    }

    /// Takes a slot for a job's next task, of this host's share or else a borrowed one.
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
            target.is_usable() && allowed(&target.hall)
        };
        let (target, loan) = self.borrowed.take_slot(self.now, can_take)?;
        Some((target, SlotSource::Loan(loan)))
    }

    /// Starts a job's next waiting task on a target.
    fn start(&mut self, key: JobKey, target: TargetIndex, source: SlotSource) {
        let job = self.jobs.get_mut(&key).expect("a queued job exists");
        let index = job
            .waiting
            .pop_front()
            .expect("a queued job has waiting tasks");
        job.advance(index, TaskEvent::Sent);
        let account = job.queue;
        let expected_ms = job.tasks[index as usize].expected_ms;
        if job.waiting.is_empty() {
            self.queue.remove_job(account, job.due, key);
        }
        self.queue.remove_task(account, expected_ms);
        self.queue.acquire_slot(account);
        let start = self.compose_start(key, index);
        let left_ms = start.latest_begin.millis_since(self.now);
        let skew_ms = self.settings.tuning.skew_ms;
        let lease_end_ms = left_ms + start.lease_ms + skew_ms;
        let lease_expired_at = self.now.plus_millis(lease_end_ms);
        let job = self.jobs.get_mut(&key).expect("looked up above");
        job.tasks[index as usize].lease_expired_at = lease_expired_at;
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
            lease_expired_at,
            queried: false,
            stop_requested: false,
        };
        let repeatable = job.account.repeatable;
        let call = self.new_call();
        self.running.insert(call, running);
        self.budget.earn();
        if repeatable {
            let ratio = f64::from(self.run_time_ratio.ratio()).max(1.0);
            let expected_run_ms = (f64::from(expected_ms) * ratio) as u64;
            self.set_timer_in(expected_run_ms * STRAGGLER_FACTOR, Timer::Straggler(call));
        }
        let entry = self.targets.get(target);
        self.actions.push(Action::Start {
            call,
            target: entry.name.clone(),
            address: entry.address.clone(),
            start: Box::new(start),
            wait_ms: lease_end_ms + QUERY_TIMEOUT_MS,
        });
    }

    /// Returns the start message of a task.
    fn compose_start(&self, key: JobKey, index: u32) -> StartTask {
        let job = &self.jobs[&key];
        let tuning = &self.settings.tuning;
        let authority = job.authority;
        let right = self
            .ownership
            .latest_start(authority.shard, authority.epoch, self.now);
        let mut latest_begin = self
            .now
            .plus_millis(tuning.begin_window_ms)
            .min(job.deadline);
        if self.settings.safeguards.start_time_limit {
            let limit = right.expect("checked before the start");
            assert!(
                limit >= self.now || !self.settings.safeguards.expiry_check,
                "nothing is started under an expired right"
            );
            latest_begin = latest_begin.min(limit);
        }
        let expected_ms = u64::from(job.tasks[index as usize].expected_ms);
        let longest_ms = job.deadline.millis_since(self.now).max(MIN_LEASE_MS);
        let lease_ms = (expected_ms * tuning.lease_factor).clamp(MIN_LEASE_MS, longest_ms);
        StartTask {
            task: job.task_id(index),
            shard: ShardId {
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
}
