//! Decides whether a new submission becomes a job.
//!
//! A submission is rejected if it doesn't match the configuration. A job is refused if
//! its deadline has passed, if the host is stopping and can't hand over its shards, if
//! the queue is full, or if `admission::check_admission` finds that it would end late
//! behind the work ahead of it.

use std::collections::BTreeMap;
use std::sync::Arc;

use gannetridge_entry_config::Account;
use gannetridge_entry_wire::answer::Refusal;
use gannetridge_entry_wire::submission::ParameterValue;
use gannetridge_entry_wire::{Answer, Rejection, Submission, Time};

use super::submit::RETRY_AFTER_MS;
use super::timers::Timer;
use super::Host;
use crate::admission::{check_admission, AdmissionDecision, JobDemand, Load};
use crate::job::{Job, JobAuthority, JobPlan};
use crate::keys::{EntryKey, JobKey};
use crate::ledger::{Entry, EntryState, Waiter};
use crate::ownership::Right;
use crate::retry::spread_ms;

/// Fraction of the slots that the admission of a job over its account's quota assumes.
const OVER_QUOTA_FRACTION: f64 = 0.4;
/// A job is due after this many times the time that it needs without other load.
const DUE_FACTOR: u64 = 8;

/// The configuration that applies to a valid submission.
struct ValidatedSubmission {
    account: Arc<Account>,
    expected_ms: u32,
    parameters: BTreeMap<String, ParameterValue>,
}

impl Host {
    /// Validates a new submission and returns the plan of its job.
    pub(super) fn plan(
        &mut self,
        entry: EntryKey,
        shard: u16,
        submission: Submission,
        right: Right,
    ) -> Result<JobPlan, Rejection> {
        let validated = self.validate(&submission)?;
        let quota = self.quota(&entry.account, &validated.account);
        let urgency = validated.account.urgency;
        let queue = self.queue.set_account(&entry.account, urgency, quota);
        Ok(JobPlan {
            entry,
            authority: JobAuthority {
                shard,
                epoch: right.epoch,
                fence: right.fence,
            },
            account: validated.account,
            queue,
            submission: Arc::new(submission),
            parameters: Arc::new(validated.parameters),
            expected_ms: validated.expected_ms,
        })
    }

    /// Validates a submission against the configuration.
    fn validate(&self, submission: &Submission) -> Result<ValidatedSubmission, Rejection> {
        let latest = self.now.plus_millis(self.settings.tuning.caller_skew_ms);
        if submission.id.created() > latest {
            return Err(Rejection::CreatedInFuture);
        }
        let Some(account) = self.config.account(&submission.account) else {
            return Err(Rejection::UnknownAccount(submission.account.clone()));
        };
        if !account.halls.contains(&submission.id.hall) {
            return Err(Rejection::HallNotAllowed(submission.id.hall.clone()));
        }
        let Some(template) = self.config.template(&submission.template) else {
            return Err(Rejection::UnknownTemplate(submission.template.clone()));
        };
        let Some(set) = account.templates.get(&*submission.template) else {
            return Err(Rejection::TemplateNotAllowed(submission.template.clone()));
        };
        let count = submission.tasks.len();
        if count == 0 || count > template.max_tasks {
            return Err(Rejection::TaskCount(count as u64));
        }
        let mut parameters = set.clone();
        for (key, value) in &submission.parameters {
            let rule = template.parameters.get(key);
            if !rule.is_some_and(|r| r.admits(value)) {
                let allowed =
                    rule.map_or("no such parameter".to_owned(), |r| r.allowed_description());
                let key = key.clone();
                return Err(Rejection::Parameter { key, allowed });
            }
            parameters.insert(key.clone(), value.clone());
        }
        for (key, rule) in &template.parameters {
            let default = || rule.default_value();
            parameters.entry(key.clone()).or_insert_with(default);
        }
        Ok(ValidatedSubmission {
            account: account.clone(),
            expected_ms: template.expected_ms,
            parameters,
        })
    }

    /// Accepts a planned job if it can end in time, or refuses it.
    pub(super) fn accept(&mut self, waiter: Waiter, plan: JobPlan) {
        let mut job = Job::new(plan, self.now);
        // The deadline of a caller whose clock is ahead isn't extended by the difference.
        let waits_until = self.now.plus_millis(job.submission.deadline_ms);
        job.deadline = job.deadline.min(waits_until);
        job.due = self.due_time(&job);
        if let Some(answer) = self.refusal_of(&job) {
            let submission = job.submission.clone();
            let shard = job.authority.shard;
            return self.refuse_new(waiter, shard, &submission, answer);
        }
        self.last_job += 1;
        let key = JobKey(self.last_job);
        let entry = Entry {
            shard: job.authority.shard,
            digest: job.submission.digest(),
            state: EntryState::Running(key),
            attempt: job.submission.attempt,
            deadline: job.deadline,
            waiters: vec![waiter],
        };
        self.ledger.insert(job.entry.clone(), entry);
        for task in &job.tasks {
            self.queue.add_task(job.queue, task.expected_ms);
        }
        self.queue.add_job(job.queue, job.due, key);
        self.timers.set(job.deadline, Timer::JobDeadline(key));
        self.jobs.insert(key, job);
    }

    /// Returns the time by which a job should have started: after a multiple of its own
    /// run time, so that the wait of each job is proportional to its size, but no later
    /// than its deadline allows.
    fn due_time(&self, job: &Job) -> Time {
        let slots = u64::from(self.targets.own_capacity().max(1));
        let alone_ms = u64::from(job.longest_ms()) + job.work_ms() / slots;
        let latest = job.deadline.minus_millis(alone_ms);
        let due = self.now.plus_millis(alone_ms * DUE_FACTOR);
        due.min(latest)
    }

    /// Returns the refusal of a job that can't be accepted.
    fn refusal_of(&mut self, job: &Job) -> Option<Answer> {
        let refused = |reason, retry_after_ms| {
            Some(Answer::Refused {
                reason,
                retry_after_ms,
            })
        };
        if job.deadline <= self.now {
            return refused(Refusal::TooLate, 0);
        }
        let retry_after_ms = spread_ms(&mut self.rng, RETRY_AFTER_MS);
        if self.stop.requested && !self.can_hand_over() {
            return refused(Refusal::Stopping, retry_after_ms);
        }
        if self.queue.waiting_tasks() + job.tasks.len() > self.settings.tuning.queue_limit {
            return refused(Refusal::NoCapacity, retry_after_ms);
        }
        let over_quota = self.queue.is_over_quota(job.queue);
        let load = self.load_for(job, over_quota);
        let ratio = f64::from(self.run_time_ratio.ratio());
        let demand = JobDemand {
            work_ms: job.work_ms() as f64 * ratio,
            longest_ms: f64::from(job.longest_ms()) * ratio,
        };
        match check_admission(load, demand, self.now, job.deadline) {
            AdmissionDecision::Accept => None,
            AdmissionDecision::Refuse { late_ms } => {
                let reason = if over_quota {
                    Refusal::OverQuota
                } else {
                    Refusal::NoCapacity
                };
                let wait_ms = late_ms.max(RETRY_AFTER_MS / 2);
                let retry_after_ms = spread_ms(&mut self.rng, wait_ms);
                refused(reason, retry_after_ms)
            }
        }
    }

    /// Returns the slots available to a job and the work ahead of it.
    fn load_for(&self, job: &Job, over_quota: bool) -> Load {
        let own = f64::from(self.targets.own_capacity());
        let lendable = f64::from(self.lendable_by_peers(&job.account.halls));
        let mut slots = own + lendable;
        if own == 0.0 {
            slots = slots.max(f64::from(self.equal_part_of(&job.account.halls)));
        }
        let ratio = f64::from(self.run_time_ratio.ratio());
        let ahead = self.queue.work_ahead_ms(job.queue) as f64 * ratio;
        let busy = f64::from(self.targets.own_capacity() - self.targets.own_free().min(own as u32));
        // Assumes that running tasks are half done on average.
        let running_ms = busy * f64::from(job.longest_ms()) * ratio / 2.0;
        let queued = self.queue.waiting_tasks() > 0;
        let part = if over_quota { OVER_QUOTA_FRACTION } else { 1.0 };
        Load {
            slots: slots * part,
            ahead_ms: if queued { ahead + running_ms } else { ahead },
        }
    }
}
