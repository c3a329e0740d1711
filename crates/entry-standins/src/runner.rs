//! What a runner knows of its tasks, without any input or output.

use std::collections::HashMap;

use gannetridge_entry_wire::target::{AskTask, StartRefusal, StartTask, TaskReport};
use gannetridge_entry_wire::{Epoch, ShardId, TaskId, Time};
use serde::{Deserialize, Serialize};

/// Most that a host's clock differs from the runner's, in ms.
const BOOT_DOUBT_MS: u64 = 500;
/// How long a task without `run-ms=` takes, in ms.
const USUAL_MS: u64 = 50;

#[derive(Clone, Debug)]
enum Known {
    Running {
        stop: bool,
    },
    /// How it ended, or that it never will be begun.
    Ended(TaskReport),
}

/// What a runner has counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Counts {
    /// Tasks begun.
    pub begun: u64,
    /// Tasks of a submission, without regard to runs, begun more than once.
    pub begun_twice: u64,
}

/// A runner's slots and tasks.
#[derive(Clone, Debug, Default)]
pub struct Runner {
    slots: u32,
    busy: u32,
    tasks: HashMap<TaskId, Known>,
    fences: HashMap<ShardId, Epoch>,
    begun: u64,
    /// When its process was started.
    boot: Time,
    /// True once it takes no new work.
    pub leaving: bool,
}

impl Runner {
    /// Creates an idle runner.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        Self {
            slots,
            ..Self::default()
        }
    }

    /// Returns the slots in use.
    #[must_use]
    pub fn busy(&self) -> u32 {
        self.busy
    }

    /// Returns the slots in all.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Takes a slot for a task.
    ///
    /// # Errors
    ///
    /// Fails with what is to be answered at once if the task isn't begun.
    pub fn start(&mut self, start: &StartTask, now: Time) -> Result<(), TaskReport> {
        let refused = |reason| Err(TaskReport::Refused { reason });
        match self.tasks.get(&start.task) {
            Some(Known::Running { .. }) => return Err(TaskReport::Running),
            Some(Known::Ended(report)) => return Err(report.clone()),
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
        self.begun += 1;
        self.tasks
            .insert(start.task.clone(), Known::Running { stop: false });
        Ok(())
    }

    /// Notes how a running task ended.
    pub fn record_end(&mut self, task: &TaskId, report: TaskReport) {
        if let Some(Known::Running { .. }) = self.tasks.get(task) {
            self.busy -= 1;
            self.tasks.insert(task.clone(), Known::Ended(report));
        }
    }

    /// Answers a question. A task that isn't known never will be begun.
    ///
    /// A start sent less than half a second after the process began may
    /// have reached the one before it.
    pub fn query(&mut self, ask: &AskTask) -> TaskReport {
        match self.tasks.get_mut(&ask.task) {
            Some(Known::Running { stop }) => {
                *stop |= ask.stop;
                TaskReport::Running
            }
            Some(Known::Ended(report)) => report.clone(),
            None => {
                let doubt = ask.sent < self.boot.plus_millis(BOOT_DOUBT_MS);
                let report = if doubt {
                    TaskReport::Over
                } else {
                    TaskReport::NeverBegun
                };
                let known = Known::Ended(report.clone());
                self.tasks.insert(ask.task.clone(), known);
                report
            }
        }
    }

    /// Tells whether a running task was asked to stop.
    #[must_use]
    pub fn is_stopped(&self, task: &TaskId) -> bool {
        matches!(self.tasks.get(task), Some(Known::Running { stop: true }))
    }

    /// Returns how a task ended, if it did.
    #[must_use]
    pub fn end_report(&self, task: &TaskId) -> Option<TaskReport> {
        match self.tasks.get(task) {
            Some(Known::Ended(report)) => Some(report.clone()),
            _ => None,
        }
    }

    /// Returns the tasks that run.
    #[must_use]
    pub fn running_tasks(&self) -> Vec<TaskId> {
        let running = |(_, known): &(&TaskId, &Known)| matches!(known, Known::Running { .. });
        let mut ids: Vec<TaskId> = self
            .tasks
            .iter()
            .filter(running)
            .map(|(id, _)| id.clone())
            .collect();
        ids.sort();
        ids
    }

    /// Starts anew, with nothing running and nothing remembered.
    pub fn restart(&mut self, now: Time) {
        self.busy = 0;
        self.tasks.clear();
        self.fences.clear();
        self.boot = now;
    }

    /// Returns what was counted.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut runs: HashMap<_, u64> = HashMap::new();
        for (id, known) in &self.tasks {
            let never = matches!(
                known,
                Known::Ended(TaskReport::NeverBegun | TaskReport::Over)
            );
            if !never {
                let task = (&id.account, &id.submission, id.index);
                *runs.entry(task).or_default() += 1;
            }
        }
        Counts {
            begun: self.begun,
            begun_twice: runs.values().filter(|n| **n > 1).count() as u64,
        }
    }
}

/// Returns how long a task takes on a runner of ordinary speed, in ms.
#[must_use]
pub fn nominal_run_ms(input: &str) -> u64 {
    let named = input.strip_prefix("run-ms=");
    let digits = named.map(|rest| rest.split_whitespace().next().unwrap_or_default());
    digits.and_then(|d| d.parse().ok()).unwrap_or(USUAL_MS)
}
