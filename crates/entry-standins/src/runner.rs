//! The state of a runner's slots and tasks, without I/O. Shared by the HTTP
//! stand-in and the simulator.

use std::collections::HashMap;

use gannetridge_entry_wire::target::{StartRefusal, StartTask, TaskQuery, TaskReport};
use gannetridge_entry_wire::{Epoch, ShardId, TaskId, Time};
use serde::{Deserialize, Serialize};

/// The assumed bound on the difference between a host's clock and the runner's.
const MAX_CLOCK_SKEW_MS: u64 = 500;
/// The duration of a task whose input doesn't name one.
const DEFAULT_RUN_MS: u64 = 50;

#[derive(Clone, Debug)]
enum TaskState {
    Running {
        /// True once the task was asked to stop.
        stop: bool,
    },
    /// The task has ended, or must never be started; holds the report to give
    /// from now on.
    Ended(TaskReport),
}

/// Counters of a runner, for tests.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// The number of starts in all.
    pub begun: u64,
    /// The number of tasks started more than once, counting all runs of a task
    /// together. Covers the time since the last restart.
    pub begun_twice: u64,
}

/// The slots and tasks of one runner.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    slots: u32,
    busy: u32,
    tasks: HashMap<TaskId, TaskState>,
    fences: HashMap<ShardId, Epoch>,
    starts: u64,
    /// When its process last started.
    started_at: Time,
    /// True while it accepts no new tasks.
    pub leaving: bool,
}

impl Runner {
    /// Creates an idle runner. Call [`Runner::restart`] to set its start time.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Returns the number of slots in use.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the total number of slots.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Starts a task and occupies a slot for it.
    ///
    /// # Errors
    ///
    /// If the task isn't started, returns the report to send at once.
    pub fn start(&mut self, start: &StartTask, now: Time) -> Result<(), TaskReport> {
        let refused = |reason| Err(TaskReport::Refused { reason });
        match self.tasks.get(&start.task) {
            Some(TaskState::Running { .. }) => return Err(TaskReport::Running),
            Some(TaskState::Ended(report)) => return Err(report.clone()),
            None => {}
        }
        if self.leaving {
            return refused(StartRefusal::Leaving);
        }
        let fence = self.fences.entry(start.shard.clone()).or_default();
        *fence = (*fence).max(start.fence);
        if start.epoch < *fence {
            return refused(StartRefusal::StaleEpoch);
        }
        if now > start.latest_begin {
            return refused(StartRefusal::TooLate);
        }
        if self.busy >= self.slots {
            return refused(StartRefusal::Full);
        }
        self.busy += 1;
        self.starts += 1;
        self.tasks
            .insert(start.task.clone(), TaskState::Running { stop: false });
        Ok(())
    }

    /// Records how a running task ended and frees its slot. Ignores tasks that
    /// aren't running.
    pub fn record_end(&mut self, task: &TaskId, report: TaskReport) {
        if let Some(TaskState::Running { .. }) = self.tasks.get(task) {
            self.busy -= 1;
            self.tasks.insert(task.clone(), TaskState::Ended(report));
        }
    }

    /// Returns the state of a task, and stops it if requested. A task that isn't
    /// known is never started afterwards.
    ///
    /// A start sent before this process started, with regard to the clock skew,
    /// may have reached its predecessor, so that the task may have run.
    pub fn query(&mut self, query: &TaskQuery) -> TaskReport {
        match self.tasks.get_mut(&query.task) {
            Some(TaskState::Running { stop }) => {
                *stop |= query.stop;
                TaskReport::Running
            }
            Some(TaskState::Ended(report)) => report.clone(),
            None => {
                let may_have_run = query.sent < self.started_at.plus_millis(MAX_CLOCK_SKEW_MS);
                let report = if may_have_run {
                    TaskReport::Over
                } else {
                    TaskReport::NeverStarted
                };
                let state = TaskState::Ended(report.clone());
                self.tasks.insert(query.task.clone(), state);
                report
            }
        }
    }

    /// Returns true if the task is running and was asked to stop.
    #[must_use]
    pub fn is_stopped(&self, task: &TaskId) -> bool {
        matches!(
            self.tasks.get(task),
            Some(TaskState::Running { stop: true })
        )
    }

    /// Returns how a task ended, if it has, or why it must never be started.
    #[must_use]
    pub fn end_report(&self, task: &TaskId) -> Option<TaskReport> {
        match self.tasks.get(task) {
            Some(TaskState::Ended(report)) => Some(report.clone()),
            _ => None,
        }
    }

    /// Returns the running tasks, in order of their ids.
    #[must_use]
    pub fn running_tasks(&self) -> Vec<TaskId> {
        let is_running =
            |(_, state): &(&TaskId, &TaskState)| matches!(state, TaskState::Running { .. });
        let mut ids: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(is_running)
            .map(|(id, _)| id.clone())
            .collect();
        ids.sort();
        ids
    }

    /// Simulates a restart of the process: no task is running or known, and no
    /// fence. The count of starts and `leaving` stay.
    pub fn restart(&mut self, now: Time) {
        self.busy = 0;
        self.tasks.clear();
        self.fences.clear();
        self.started_at = now;
    }

    /// Returns the counters.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut runs: HashMap<_, u64> = HashMap::new();
        for (id, state) in &self.tasks {
            let never_started = matches!(
                state,
                TaskState::Ended(TaskReport::NeverStarted | TaskReport::Over)
            );
            if !never_started {
                let task = (&id.account, &id.submission, id.index);
                *runs.entry(task).or_default() += 1;
            }
        }
        Counts {
            begun: self.starts,
            begun_twice: runs.values().filter(|n| **n > 1).count() as u64,
        }
    }
}

/// Returns the duration of a task at normal speed, in ms: N for an input that
/// begins with `run-ms=N`.
#[must_use]
pub fn nominal_run_ms(input: &str) -> u64 {
    let rest = input.strip_prefix("run-ms=");
    let digits = rest.map(|rest| rest.split_whitespace().next().unwrap_or_default());
    digits
        .and_then(|d| d.parse().ok())
        .unwrap_or(DEFAULT_RUN_MS)
}
