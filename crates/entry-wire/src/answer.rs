//! Answers to callers.

use serde::{Deserialize, Serialize};

use gannetridge_wire::Name;

/// What is known about the execution of a failed or refused job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// No task was started, and none will be.
    NotRun,
    /// Some task may have run.
    Unknown,
    /// At least one task ran.
    Ran,
}

/// Why a job ended without its results.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureCause {
    /// A target reported that a task failed.
    TaskFailed,
    /// A target was lost, and the outcome of a task that it may have run can't
    /// be determined.
    TargetLost,
    /// The deadline passed before the last task ended.
    DeadlinePassed,
    /// An owner of the shard was lost after it may have started the job.
    OwnerLost,
    /// The ledger doesn't know the id, which is too old to be started safely.
    Expired,
}

/// Why a submission was refused without being run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The tasks can't all end before the deadline, or the queue is full.
    NoCapacity,
    /// The account is over its quota, and too little other capacity is free.
    OverQuota,
    /// No host is known to own the shard, or its owner lost it before it
    /// started the job.
    NoOwner,
    /// The host has no configuration yet.
    NotReady,
    /// The host is stopping and has no peer to hand the shard to.
    Stopping,
    /// The deadline has already passed.
    TooLate,
    /// This send of the id, or a later one, was refused before.
    Superseded,
}

/// Why a submission is invalid. Sending it again unchanged doesn't help.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The id was used before for different contents.
    ContentsDiffer,
    /// No such account is configured.
    UnknownAccount(Name),
    /// No such template is configured.
    UnknownTemplate(Name),
    /// The account may not use the hall named in the id.
    HallNotAllowed(Name),
    /// The account may not use the template.
    TemplateNotAllowed(Name),
    /// The job has this many tasks: none, or more than the template allows.
    TaskCount(u64),
    /// The id's creation time lies in the future.
    CreatedInFuture,
    /// A parameter is unknown, has the wrong type or a value that isn't
    /// allowed.
    Parameter {
        /// The parameter's name.
        key: String,
        /// Describes the allowed values.
        allowed: String,
    },
}

/// The output of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskResult {
    /// The task's position in the submission.
    pub index: u32,
    /// The output as the target returned it.
    pub output: String,
}

/// The answer to one submission.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Answer {
    /// All tasks have succeeded. Final.
    Complete {
        /// One entry for each task, in the order of the submission.
        results: Vec<TaskResult>,
    },
    /// The job has no results and never will have. Final.
    Failed {
        /// What ended the job.
        cause: FailureCause,
        /// Tells the caller whether a task may have run.
        ran: RunStatus,
    },
    /// No task was run. The caller may submit the job under a new id.
    Refused {
        /// What prevented the job from running.
        reason: Refusal,
        /// How long to wait before submitting again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The outcome isn't known yet. The caller may send the same id again.
    Pending {
        /// How long to wait before sending again, in milliseconds.
        retry_after_ms: u64,
    },
    /// The submission is invalid and was not run.
    Rejected {
        /// What is wrong with the submission.
        reason: Rejection,
    },
}

impl Answer {
    /// Returns true if the answer is the job's final outcome.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Complete { .. } | Self::Failed { .. })
    }
}
