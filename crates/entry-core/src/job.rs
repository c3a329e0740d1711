//! A job that this host runs.

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
    /// The state of the current run.
    pub state: TaskState,
    /// The current run.
    pub run: u32,
    /// How long the task is expected to run, in ms.
    pub expected_ms: u32,
    /// Where the current run was sent.
    pub target: Option<TargetIndex>,
    /// When the current run is over on any clock.
    pub lease_past: Time,
    /// How often the target was asked about the current run.
    pub asked: u32,
    /// How often the task was sent again.
    pub retries: u32,
    /// What the target answered.
    pub output: Option<String>,
}

/// The ownership under which a job was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct JobAuthority {
    /// The shard.
    pub shard: u16,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The lowest epoch that may still start tasks.
    pub fence: Epoch,
}

/// What a job is made from.
#[derive(Debug)]
pub struct JobPlan {
    /// The ledger's entry.
    pub entry: EntryKey,
    /// The ownership under which the job is accepted.
    pub authority: JobAuthority,
    /// The account's parameters.
    pub account: Arc<Account>,
    /// The account's place in the queue.
    pub queue: AccountIndex,
    /// The submission.
    pub submission: Arc<Submission>,
    /// The template's parameters as the account and the caller set them.
    pub parameters: Arc<BTreeMap<String, ParameterValue>>,
    /// The usual time of a task that doesn't name its own, in ms.
    pub expected_ms: u32,
}

/// A job that this host runs.
#[derive(Debug)]
pub struct Job {
    /// The ledger's entry.
    pub entry: EntryKey,
    /// The ownership under which it was accepted.
    pub authority: JobAuthority,
    /// The account's parameters when it was accepted.
    pub account: Arc<Account>,
    /// The account's place in the queue.
    pub queue: AccountIndex,
    /// The submission.
    pub submission: Arc<Submission>,
    /// The template's parameters as the account and the caller set them.
    pub parameters: Arc<BTreeMap<String, ParameterValue>>,
    /// When it was accepted.
    pub accepted: Time,
    /// The latest useful end.
    pub deadline: Time,
    /// When its tasks should have begun, which orders it among those that
    /// wait.
    pub due: Time,
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// Tasks that wait, the longest first.
    pub waiting: VecDeque<u32>,
    /// Tasks whose end is not known yet.
    pub open: usize,
    /// The longest run of a task, in ms.
    pub slowest_ms: u64,
    /// True once a target has reported that a task ran.
    pub ran: bool,
}

impl Job {
    /// Creates a job whose tasks all wait.
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
            lease_past: Time::ZERO,
            asked: 0,
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
            open: tasks.len(),
            tasks,
            waiting: order.into(),
            submission,
            parameters,
            slowest_ms: 0,
            ran: false,
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

    /// Tells whether any task may have run.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        let idle = |t: &Task| matches!(t.state, TaskState::Queued | TaskState::Dropped);
        self.ran || !self.tasks.iter().all(idle)
    }

    /// Returns what all its tasks need together, in ms of one slot.
    #[must_use]
    pub fn work_ms(&self) -> u64 {
        self.tasks.iter().map(|t| u64::from(t.expected_ms)).sum()
    }

    /// Returns the longest expected time of a task, in ms.
    #[must_use]
    pub fn longest_ms(&self) -> u32 {
        self.tasks.iter().map(|t| t.expected_ms).max().unwrap_or(0)
    }

    /// Moves a task on.
    pub fn advance(&mut self, index: u32, event: TaskEvent) -> TaskState {
        let task = &mut self.tasks[index as usize];
        TASK.advance(&mut task.state, event);
        task.state
    }

    /// Notes a task's output.
    pub fn finish_task(&mut self, index: u32, output: String, ran_ms: u64) {
        self.advance(index, TaskEvent::Done);
        self.tasks[index as usize].output = Some(output);
        self.open -= 1;
        self.ran = true;
        self.slowest_ms = self.slowest_ms.max(ran_ms);
    }

    /// Puts a task back among those that wait. The next start goes under a
    /// new run, so that whatever is still on its way for the old one can't be
    /// taken for it.
    pub fn requeue(&mut self, index: u32) {
        let task = &mut self.tasks[index as usize];
        assert_eq!(
            task.state,
            TaskState::Queued,
            "only a proved end allows another run"
        );
        task.run += 1;
        task.asked = 0;
        task.target = None;
        self.waiting.push_front(index);
    }

    /// Takes the results out once all tasks are done.
    ///
    /// # Panics
    ///
    /// Panics if a task is not done: a partial answer must not leave.
    #[must_use]
    pub fn take_results(&mut self) -> Vec<TaskResult> {
        let mut results = Vec::with_capacity(self.tasks.len());
        for (index, task) in self.tasks.iter_mut().enumerate() {
            assert_eq!(
                task.state,
                TaskState::Done,
                "a complete answer has every task"
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
