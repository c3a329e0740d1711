//! A job that this host runs, and the state of its tasks.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use gannetridge_entry_config::Account;
use gannetridge_entry_wire::answer::TaskResult;
use gannetridge_entry_wire::submission::ParameterValue;
use gannetridge_entry_wire::{Epoch, Submission, TaskId, Time};
use gannetridge_wire::Name;

use crate::charts::{TaskEvent, TaskState, TASK};
use crate::keys::{AccountIndex, EntryKey};
use crate::targets::TargetIndex;

/// One task of a running job.
#[derive(Clone, Debug)]
pub struct Task {
    /// The state of the current run in the `TASK` chart.
    pub state: TaskState,
    /// The number of the current run, from 0.
    pub run: u32,
    /// The expected run time, in ms; at least 1.
    pub expected_ms: u32,
    /// The target that the current run was sent to.
    pub target: Option<TargetIndex>,
    /// The time after which the lease of the current run has expired on every clock.
    pub lease_expired_at: Time,
    /// The number of status queries about the current run.
    pub status_queries: u32,
    /// The number of retries that count against the task's limit.
    pub retries: u32,
    /// The output that the target returned.
    pub output: Option<String>,
}

/// The shard ownership under which a job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobAuthority {
    /// The shard's index within the hall.
    pub shard: u16,
    /// The shard's epoch at the acceptance.
    pub epoch: Epoch,
    /// The lowest epoch that may still start tasks.
    pub fence: Epoch,
}

/// The validated input from which a [`Job`] is created.
#[derive(Debug)]
pub struct JobPlan {
    /// The key of the job's ledger entry.
    pub entry: EntryKey,
    /// The shard ownership under which the job is accepted.
    pub authority: JobAuthority,
    /// The account as configured.
    pub account: Arc<Account>,
    /// The account's index in the queue.
    pub queue: AccountIndex,
    /// The submission as received.
    pub submission: Arc<Submission>,
    /// The template's parameters with the values of the account and the caller.
    pub parameters: Arc<BTreeMap<String, ParameterValue>>,
    /// The expected run time of tasks that don't state one, in ms.
    pub expected_ms: u32,
}

/// A job with its tasks. It exists from its acceptance to its answer.
#[derive(Debug)]
pub struct Job {
    /// The key of the job's ledger entry.
    pub entry: EntryKey,
    /// The shard ownership under which the job was accepted.
    pub authority: JobAuthority,
    /// The account as configured when the job was accepted.
    pub account: Arc<Account>,
    /// The account's index in the queue.
    pub queue: AccountIndex,
    /// The submission as received.
    pub submission: Arc<Submission>,
    /// The template's parameters with the values of the account and the caller.
    pub parameters: Arc<BTreeMap<String, ParameterValue>>,
    /// When the job was accepted.
    pub accepted: Time,
    /// The time after which the job fails.
    pub deadline: Time,
    /// The time by which its tasks should have started; orders the waiting jobs of an
    /// account.
    pub due: Time,
    /// The tasks, in the submission's order.
    pub tasks: Vec<Task>,
    /// Indices of waiting tasks, the longest first; requeued ones are in front.
    pub waiting: VecDeque<u32>,
    /// The number of tasks without an output so far.
    pub unfinished: usize,
    /// The longest reported run time of a task, in ms.
    pub slowest_ms: u64,
    /// True once a task is known, or has to be assumed, to have run.
    pub has_run: bool,
}

impl Job {
    /// Creates a job with all tasks waiting.
    #[must_use]
    pub fn new(plan: JobPlan, now: Time) -> Self {
        let JobPlan {
            entry,
            authority,
            account,
            queue,
            submission,
            parameters,
            expected_ms,
        } = plan;
        let task = |expected: Option<u32>| Task {
            state: TASK.initial(),
            run: 0,
            expected_ms: expected.unwrap_or(expected_ms).max(1),
            target: None,
            lease_expired_at: Time::ZERO,
            status_queries: 0,
            retries: 0,
            output: None,
        };
        let specs = &submission.tasks;
        let tasks: Vec<Task> = specs.iter().map(|spec| task(spec.expected_ms)).collect();
        let mut order: Vec<u32> = (0..tasks.len() as u32).collect();
        order.sort_by_key(|i| std::cmp::Reverse(tasks[*i as usize].expected_ms));
        Self {
            entry,
            authority,
            account,
            queue,
            accepted: now,
            deadline: submission.deadline(),
            due: now,
            unfinished: tasks.len(),
            tasks,
            waiting: order.into(),
            submission,
            parameters,
            slowest_ms: 0,
            has_run: false,
        }
    }

    /// Returns the id of a task's current run.
    #[must_use]
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            account: self.entry.account.clone(),
            submission: self.entry.submission.clone(),
            index,
            run: self.tasks[index as usize].run,
        }
    }

    /// Returns the template's name.
    #[must_use]
    pub fn template(&self) -> &Name {
        &self.submission.template
    }

    /// Returns true if any task may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        let idle = |t: &Task| matches!(t.state, TaskState::Queued | TaskState::Dropped);
        self.has_run || !self.tasks.iter().all(idle)
    }

    /// Returns the expected run time of all tasks together, in ms of one slot.
    #[must_use]
    pub fn work_ms(&self) -> u64 {
        self.tasks.iter().map(|t| u64::from(t.expected_ms)).sum()
    }

    /// Returns the longest expected run time of a task, in ms.
    #[must_use]
    pub fn longest_ms(&self) -> u32 {
        self.tasks.iter().map(|t| t.expected_ms).max().unwrap_or(0)
    }

    /// Applies an event to a task's state and returns the new state.
    pub fn advance(&mut self, index: u32, event: TaskEvent) -> TaskState {
        let task = &mut self.tasks[index as usize];
        TASK.advance(&mut task.state, event);
        task.state
    }

    /// Records the output of a task that ended.
    pub fn finish_task(&mut self, index: u32, output: String, ran_ms: u64) {
        self.advance(index, TaskEvent::Done);
        self.tasks[index as usize].output = Some(output);
        self.unfinished -= 1;
        self.has_run = true;
        self.slowest_ms = self.slowest_ms.max(ran_ms);
    }

    /// Puts a task back in front of the waiting ones under a new run number, so that late
    /// messages of the previous run aren't attributed to the new one.
    ///
    /// # Panics
    ///
    /// Panics if the previous run isn't proved to have ended or never to have started.
    pub fn requeue(&mut self, index: u32) {
        let task = &mut self.tasks[index as usize];
        assert_eq!(
            task.state,
            TaskState::Queued,
            "a task is requeued only after its run has ended or never started"
        );
        task.run += 1;
        task.status_queries = 0;
        task.target = None;
        self.waiting.push_front(index);
    }

    /// Takes the results out of the tasks once all are done.
    ///
    /// # Panics
    ///
    /// Panics if a task isn't done: a partial answer must not be sent.
    #[must_use]
    pub fn take_results(&mut self) -> Vec<TaskResult> {
        let mut results = Vec::with_capacity(self.tasks.len());
        for (index, task) in self.tasks.iter_mut().enumerate() {
            assert_eq!(
                task.state,
                TaskState::Done,
                "a complete answer contains every task"
            );
            let output = task
                .output
                .take()
                .expect("a task that is done has an output");
            results.push(TaskResult {
                index: index as u32,
                output,
            });
        }
        results
    }
}
