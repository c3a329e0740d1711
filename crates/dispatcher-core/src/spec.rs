//! Jobs as callers describe them, and the checks that need no other knowledge.

use std::fmt;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Millis;

/// The most tasks that one job may have. The size aimed for has jobs of up to
/// 1,600 (docs/CAPACITY.md).
pub const MAX_TASKS: usize = 2_000;
/// The longest specification, in bytes: the platform's bound.
pub const MAX_SPECIFICATION_BYTES: usize = 4_000;

/// No estimate of a running time counts as longer than this, in ms: sums of many stay far below
/// what a clock's time can hold.
pub const MAX_ESTIMATE_MS: Millis = 86_400_000;

/// Resources of a target: what it has, what is free, what a task takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u32,
    /// Memory in MB.
    pub memory_mb: u32,
    /// Accelerators.
    pub gpus: u32,
}

impl Resources {
    /// Returns whether `need` fits into these resources.
    #[must_use]
    pub fn fits(&self, need: &Self) -> bool {
        need.cpu <= self.cpu && need.memory_mb <= self.memory_mb && need.gpus <= self.gpus
    }

    /// Returns the processor time that they do in so many ms, in core-ms.
    #[must_use]
    pub fn core_ms(&self, ms: Millis) -> u64 {
        u64::from(self.cpu) * ms / 1_000
    }

    /// Returns of each resource the less of both.
    #[must_use]
    pub fn componentwise_min(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.min(other.cpu),
            memory_mb: self.memory_mb.min(other.memory_mb),
            gpus: self.gpus.min(other.gpus),
        }
    }

    /// Returns of each resource the more of both.
    #[must_use]
    pub fn componentwise_max(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.max(other.cpu),
            memory_mb: self.memory_mb.max(other.memory_mb),
            gpus: self.gpus.max(other.gpus),
        }
    }

    /// Returns both together.
    #[must_use]
    pub fn saturating_add(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            gpus: self.gpus.saturating_add(other.gpus),
        }
    }

    /// Returns what is left without `need`, 0 where there isn't so much.
    #[must_use]
    pub fn saturating_sub(&self, need: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(need.cpu),
            memory_mb: self.memory_mb.saturating_sub(need.memory_mb),
            gpus: self.gpus.saturating_sub(need.gpus),
        }
    }
}

/// What a job may ask that this program doesn't support.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Feature {
    /// The job must outlast the hosts.
    Durable,
    /// Tasks that run together or not at all.
    Gang,
    /// A job without an end.
    LongRunning,
    /// A job that runs at set times.
    Repetitions,
    /// A step with as many tasks as there are resources.
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
    /// How many tasks.
    pub count: u32,
    /// What each takes.
    pub resources: Resources,
    /// The caller's rough estimate of a task's running time.
    pub estimate_ms: Millis,
    /// Steps that must be done first, by number.
    pub after: Vec<usize>,
    /// A label that the target must have.
    pub requirement: Option<Name>,
    /// The rack where the data lies.
    pub rack: Option<Name>,
    /// The most tasks of this step that one target holds at a time.
    pub spread: Option<u32>,
    /// What is asked that this program doesn't support, if anything.
    pub unsupported: Option<Feature>,
}

/// A job as its caller describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JobSpec {
    /// What the tasks are given to work on.
    pub specification: Name,
    /// Whether an accepted job must outlast the hosts.
    pub durable: bool,
    /// The steps.
    pub steps: Vec<StepSpec>,
}

/// Why a job can't be accepted.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum JobError {
    /// The id isn't 16 hex digits.
    #[error("the id must be 16 hex digits")]
    Id,
    /// The specification is too long.
    #[error("the specification is over {MAX_SPECIFICATION_BYTES} bytes")]
    Specification,
    /// There is no task.
    #[error("a job needs a step, and a step a task")]
    Empty,
    /// There are too many tasks.
    #[error("a job has {MAX_TASKS} tasks at most")]
    TooManyTasks,
    /// A step waits for itself, for a later one or for none.
    #[error("step {0} may only come after earlier steps")]
    After(usize),
    /// The job asks what this program doesn't support.
    #[error("{0} isn't carried")]
    Unsupported(Feature),
}

impl JobSpec {
    /// Returns the time of the longest chain of steps, by estimates.
    ///
    /// # Panics
    ///
    /// Panics if a step comes after itself or a later one; see
    /// [`JobSpec::check`].
    #[must_use]
    pub fn chain_ms(&self) -> Millis {
        let mut ends: Vec<Millis> = Vec::new();
        for step in &self.steps {
            let before = step.after.iter().map(|earlier| ends[*earlier]).max();
            ends.push(before.unwrap_or(0) + step.estimate_ms);
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns the processor time that all tasks take, by estimates, in core-ms.
    #[must_use]
    pub fn core_ms(&self) -> u64 {
        let steps = self.steps.iter();
        let work =
            steps.map(|step| u64::from(step.count) * step.resources.core_ms(step.estimate_ms));
        work.sum()
    }

    /// Bounds what the caller says of running times; see [`MAX_ESTIMATE_MS`].
    pub fn bound_estimates(&mut self) {
        for step in &mut self.steps {
            step.estimate_ms = step.estimate_ms.min(MAX_ESTIMATE_MS);
        }
    }

    /// Checks what doesn't depend on targets.
    ///
    /// # Errors
    ///
    /// Fails on the first fault.
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

/// Checks a job's id.
///
/// # Errors
///
/// Fails unless it is 16 hex digits.
pub fn check_id(id: &str) -> Result<(), JobError> {
    if id.len() == 16 && id.bytes().all(|b| b.is_ascii_hexdigit()) {
        return Ok(());
    }
    Err(JobError::Id)
}
