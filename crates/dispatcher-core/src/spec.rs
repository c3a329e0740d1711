//! Job descriptions of callers, and the checks that need nothing but the description.

use std::fmt;
use std::mem::size_of;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Millis;

/// The most tasks that one job may have; see docs/CAPACITY.md.
pub const MAX_TASKS: usize = 2_000;
/// The longest specification, in bytes; a bound of the platform.
pub const MAX_SPECIFICATION_BYTES: usize = 4_000;

/// The upper bound of an estimated running time and of a caller's deadline, in ms: keeps sums of
/// many estimates from overflowing a time.
pub const MAX_ESTIMATE_MS: Millis = 86_400_000;

/// The memory of a job in progress besides its description and its tasks, in bytes, about.
const JOB_BYTES: usize = 1_024;
/// The memory of a task of a job in progress, in bytes, about.
const TASK_BYTES: usize = 160;

/// Amounts of resources: the capacity of a target, its free part, or the need of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// The number of accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Returns true if `need` fits into these resources.
    #[must_use]
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory_mb <= self.memory_mb && need.gpus <= self.gpus
    }

    /// Returns the processor time of these resources over `ms`, in core-ms.
    #[must_use]
    pub fn core_ms(&self, ms: Millis) -> u64 {
        u64::from(self.cpu) * ms / 1_000
    }

    /// Returns the smaller amount of each resource.
    #[must_use]
    pub fn componentwise_min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns the larger amount of each resource.
    #[must_use]
    pub fn componentwise_max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns the sum of each resource, bounded by the numeric range.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns the difference of each resource, 0 where `need` is larger.
    #[must_use]
    pub fn saturating_sub(&self, need: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(need.cpu),
            memory_mb: self.memory_mb.saturating_sub(need.memory_mb),
            gpus: self.gpus.saturating_sub(need.gpus),
        }
    }
}

/// A feature of the platform's job descriptions that this program doesn't support.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// An accepted job that survives the loss of hosts.
    Durable,
    /// Tasks that run all at the same time or not at all.
    Gang,
    /// A job that runs indefinitely.
    LongRunning,
    /// A job that runs repeatedly at set times.
    Repetitions,
    /// A step with as many tasks as the resources allow.
    Fill,
}

impl fmt::Display for Feature {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Durable => "a job that must be kept",
            Self::Gang => "a gang",
            Self::LongRunning => "a job that lasts",
            Self::Repetitions => "a job with times",
            Self::Fill => "a step that fills",
        })
    }
}

/// Tasks of one kind within a job.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct StepSpec {
    /// The number of tasks.
    pub count: u32,
    /// The resources that each task takes.
    pub resources: Resources,
    /// The caller's rough estimate of a task's running time.
    pub estimate_ms: Millis,
    /// The indices of the steps that must be done first; each must be below the step's own.
    pub after: Vec<usize>,
    /// A label that the target must have.
    pub requirement: Option<Name>,
    /// The rack that holds the data of its tasks.
    pub rack: Option<Name>,
    /// The most tasks of this step that one target runs at a time.
    pub spread: Option<u32>,
    /// An unsupported feature that the description uses, if any.
    pub unsupported: Option<Feature>,
}

impl StepSpec {
    /// Returns the memory of the description, in bytes, about.
    fn bytes(&self) -> usize {
        let names = [&self.requirement, &self.rack].into_iter().flatten();
        let names: usize = names.map(|name| name.len()).sum();
        size_of::<Self>() + names + self.after.len() * size_of::<usize>()
    }
}

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// The input of the tasks, opaque to the dispatcher.
    pub specification: Name,
    /// True if the job must survive the loss of hosts, which isn't supported.
    pub durable: bool,
    /// The steps; each may depend on earlier ones.
    pub steps: Vec<StepSpec>,
}

/// Why a job can't be accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum JobError {
    /// The id isn't 16 hex digits.
    #[error("the id must be 16 hex digits")]
    Id,
    /// The specification is longer than [`MAX_SPECIFICATION_BYTES`].
    #[error("the specification is over {MAX_SPECIFICATION_BYTES} bytes")]
    Specification,
    /// The job has no step, or a step has no task.
    #[error("a job needs a step, and a step a task")]
    Empty,
    /// The job has more than [`MAX_TASKS`] tasks.
    #[error("a job has {MAX_TASKS} tasks at most")]
    TooManyTasks,
    /// The step of this index depends on itself or on a later step.
    #[error("step {0} may only come after earlier steps")]
    After(usize),
    /// The job uses an unsupported feature.
    #[error("{0} isn't carried")]
    Unsupported(Feature),
}

impl JobSpec {
    /// Returns the estimated time of the longest chain of dependent steps.
    ///
    /// # Panics
    ///
    /// Panics if a step depends on itself or on a later one, which [`JobSpec::check`] rejects.
    #[must_use]
    pub fn chain_ms(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::new();
        for step in &self.steps {
            let before = step.after.iter().map(|earlier| ends[*earlier]).max();
            ends.push(before.unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the estimated processor time of all tasks, in core-ms.
    #[must_use]
    pub fn core_ms(&self) -> u64 {
        let steps = self.steps.iter();
        let work =
            steps.map(|step| u64::from(step.count) * step.resources.core_ms(step.estimate_ms));
        work.sum()
    }

    /// Returns the memory of the description, in bytes, about.
    #[must_use]
    pub fn description_bytes(&self) -> usize {
        let steps = self.steps.iter().map(StepSpec::bytes);
        self.specification.len() + steps.sum::<usize>()
    }

    /// Returns the memory of a job in progress with this description, in bytes, about.
    #[must_use]
    pub fn job_bytes(&self) -> usize {
        let tasks: usize = self.steps.iter().map(|step| step.count as usize).sum();
        let tasks_bytes = tasks.saturating_mul(TASK_BYTES);
        tasks_bytes.saturating_add(JOB_BYTES + self.description_bytes())
    }

    /// Limits the estimated running times to [`MAX_ESTIMATE_MS`].
    pub fn bound_estimates(&mut self) {
        for step in &mut self.steps {
            step.estimate_ms = step.estimate_ms.min(MAX_ESTIMATE_MS);
        }
    }

    /// Checks the parts of the description that don't depend on targets.
    ///
    /// # Errors
    ///
    /// Returns the first fault found.
    pub fn check(&self) -> Result<(), JobError> {
        if self.specification.len() > MAX_SPECIFICATION_BYTES {
            return Err(JobError::Specification);
        }
        if self.steps.is_empty() || self.steps.iter().any(|step| step.count == 0) {
            return Err(JobError::Empty);
        }
        let tasks: usize = self.steps.iter().map(|step| step.count as usize).sum();
        if tasks > MAX_TASKS {
            return Err(JobError::TooManyTasks);
        }
        for (number, step) in self.steps.iter().enumerate() {
            if step.after.iter().any(|earlier| *earlier >= number) {
                return Err(JobError::After(number));
            }
            if let Some(what) = step.unsupported {
                return Err(JobError::Unsupported(what));
            }
        }
        if self.durable {
            return Err(JobError::Unsupported(Feature::Durable));
        }
        Ok(())
    }
}

/// Checks the format of a job's id.
///
/// # Errors
///
/// Fails unless the id consists of 16 hex digits.
pub fn check_id(id: &str) -> Result<(), JobError> {
    if id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Ok(());
    }
    Err(JobError::Id)
}
