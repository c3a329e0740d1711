//! What an entry host and a target say to each other.

use std::collections::BTreeMap;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::submission::ParameterValue;
use crate::{Epoch, ShardId, TaskId, Time};
use gannetridge_wire::Name;

/// Asks a target to run one task and answer when it has ended.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct StartTask {
    /// The task; a target runs a task id once.
    pub task: TaskId,
    /// The shard under whose ownership the task is started.
    pub shard: ShardId,
    /// The owner's epoch.
    pub epoch: Epoch,
    /// The lowest epoch of this shard that may still start tasks.
    pub fence: Epoch,
    /// The latest time, on the target's clock, at which the task may begin.
    pub latest_begin: Time,
    /// How long the task may run before the target ends it, in milliseconds.
    pub lease_ms: u64,
    /// The template, by which the runner knows what to do.
    pub template: Name,
    /// The template's parameters as the account and the caller set them.
    pub parameters: Arc<BTreeMap<String, ParameterValue>>,
    /// What to work on.
    pub input: String,
}

/// Why a target didn't begin a task. Each is proof that it never will begin
/// from that request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartRefusal {
    /// No slot is free.
    Full,
    /// The target is leaving.
    Leaving,
    /// The epoch is below the shard's fence.
    StaleEpoch,
    /// The latest time to begin has passed.
    TooLate,
}

/// What a target says of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum TaskReport {
    /// The task ended with an output.
    Done {
        /// The output.
        output: String,
        /// How long the task ran, in milliseconds.
        ran_ms: u64,
    },
    /// The task ran and failed, was stopped, or its lease lapsed. It is over.
    Failed {
        /// How long the task ran, in milliseconds.
        ran_ms: u64,
    },
    /// The task wasn't begun.
    Refused {
        /// Why.
        reason: StartRefusal,
    },
    /// The task is running.
    Running,
    /// The target has never begun the task and never will.
    NeverBegun,
    /// The task isn't running and never will again, but may have run: the
    /// target was started anew since.
    Over,
}

/// Asks a target about a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AskTask {
    /// The task.
    pub task: TaskId,
    /// When its start was sent, on the sender's clock. A target that was
    /// started later can't know whether the task was begun.
    pub sent: Time,
    /// Stops the task if it runs.
    pub stop: bool,
}
