//! Messages between entry hosts and targets.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::submission::ParameterValue;
use crate::{Epoch, ShardId, TaskId, Time};
use gannetridge_wire::Name;

/// Asks a target to run one task and to reply when it has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartTask {
    /// Identifies the task; a target starts each id at most once.
    pub task: TaskId,
    /// The shard to which the submission belongs.
    pub shard: ShardId,
    /// The shard's epoch under which the sender acts.
    pub epoch: Epoch,
    /// The lowest epoch of this shard that may still start tasks.
    pub fence: Epoch,
    /// The latest time, on the target's clock, at which the task may start.
    pub latest_begin: Time,
    /// How long the task may run before the target stops it, in milliseconds.
    pub lease_ms: u64,
    /// The template, from which the runner knows the kind of work.
    pub template: Name,
    /// The template's parameters, from the caller, the account or the defaults.
    pub parameters: Arc<BTreeMap<String, ParameterValue>>,
    /// The task's input as the caller gave it.
    pub input: String,
}

/// Why a target didn't start a task. After a refusal, that request can't start
/// the task later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// No slot is free.
    Full,
    /// The target is leaving.
    Leaving,
    /// The epoch is below the shard's fence.
    StaleEpoch,
    /// `latest_begin` has passed.
    TooLate,
}

/// The state of a task as its target reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum TaskReport {
    /// The task has succeeded.
    Done {
        /// Returned to the caller unchanged.
        output: String,
        /// How long the task ran, in milliseconds.
        ran_ms: u64,
    },
    /// The task ran and has ended without an output: it failed, was stopped, or
    /// its lease expired.
    Failed {
        /// How long the task ran, in milliseconds.
        ran_ms: u64,
    },
    /// The request didn't start the task.
    Refused {
        /// What prevented the start.
        reason: StartRefusal,
    },
    /// The task was started and hasn't ended.
    Running,
    /// The target never started the task and never will.
    #[serde(rename = "never-begun")]
    NeverStarted,
    /// The task isn't running and won't be started, but may have run before the
    /// target restarted.
    Over,
}

/// Asks a target for the state of a task. If the target doesn't know the task,
/// it never starts it afterwards.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TaskQuery {
    /// The run to report on.
    pub task: TaskId,
    /// When [`StartTask`] was sent, on the sender's clock. A target that was
    /// restarted later can't know whether the task was started.
    pub sent: Time,
    /// True if the target is to stop the task.
    pub stop: bool,
}
