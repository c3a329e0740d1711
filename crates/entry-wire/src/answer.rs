//! What a caller gets back.

use serde::{Deserialize, Serialize};

use gannetridge_wire::Name;

/// What is known of whether any task of a failed job ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunStatus {
    /// No task was started and none will be.
    NotRun,
    /// Some task may have run.
    Unknown,
    /// At least one task did run.
    Ran,
}

/// Why a job ended without its results.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FailureCause {
    /// A target reported that a task failed.
    TaskFailed,
    /// A target was lost with a task whose outcome can't be learnt.
    TargetLost,
    /// The deadline passed before the last task ended.
    DeadlinePassed,
    /// An earlier owner of the shard may have started the job and is gone.
    OwnerLost,
    /// The id is older than the ledger's memory.
    Expired,
}

/// Why a request was turned away without being run.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The tasks can't all be finished before the deadline.
    NoCapacity,
    /// The account is over its quota and nothing is spare.
    OverQuota,
    /// No host holds the shard at the moment.
    NoOwner,
    /// The host has no configuration yet.
    NotReady,
    /// The host is stopping and could hand the shard to nobody.
    Stopping,
    /// The deadline has passed already.
    TooLate,
    /// A later sending of the same id was refused before.
    Superseded,
}

/// Why a request can't be accepted as it stands, however often it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rejection {
    /// The id was used before with other contents.
    ContentsDiffer,
    /// The account isn't known.
    UnknownAccount(Name),
    /// The template isn't known.
    UnknownTemplate(Name),
    /// The account may not use the hall that the id names.
    HallNotAllowed(Name),
    /// The account doesn't use the template.
    TemplateNotAllowed(Name),
    /// The job has no task, or more than allowed.
    TaskCount(u64),
    /// The id's creation time lies in the future.
    CreatedInFuture,
    /// A parameter is unknown, of the wrong type or out of bounds.
    Parameter {
        /// The parameter's name.
        key: String,
        /// What is allowed.
        allowed: String,
    },
}

/// The output of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskResult {
    /// The task's position in the submission.
    pub index: u32,
    /// What the target answered.
    pub output: String,
}

/// The answer to one request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Answer {
    /// All tasks ended; `results` holds one entry for each, in order. Final.
    Complete {
        /// The outputs in the order of the tasks.
        results: Vec<TaskResult>,
    },
    /// The job has no results and never will. Final.
    Failed {
        /// Why.
        cause: FailureCause,
        /// What is known of whether it ran.
        ran: RunStatus,
    },
    /// Nothing was run. The caller may come back with a new id.
    Refused {
        /// Why.
        reason: Refusal,
        /// When to come back, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The outcome isn't known here yet. The same id may be sent again.
    Pending {
        /// When to ask again, in milliseconds from now.
        retry_after_ms: u64,
    },
    /// The request is wrong and was not run.
    Rejected {
        /// Why.
        reason: Rejection,
    },
}

impl Answer {
    /// Tells whether the answer is the job's last word.
    #[must_use]
    pub fn is_final(&self) -> bool {
        matches!(self, Self::Complete { .. } | Self::Failed { .. })
    }
}
