//! The configuration in force: queues and the pools of targets behind them.

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// Aims used where a queue names none.
const DEFAULT_EXTENSION: f64 = 2.0;

/// A queue that callers submit to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The queue's name.
    pub name: Name,
    /// The virtual host that callers name.
    pub host: Name,
    /// What the path of its jobs begins with.
    pub prefix: Name,
    /// The pool whose targets run its tasks.
    pub pool: Name,
    /// 0 is the most urgent.
    pub urgency: u8,
    /// How often a task may fail.
    pub max_attempts: u32,
    /// A job's aim is this times its longest task, plus the slack.
    pub extension: f64,
    /// See `extension`.
    pub slack_ms: Millis,
}

impl Queue {
    /// Returns the aim of a job whose longest chain takes `work_ms`.
    #[must_use]
    pub fn latency_objective(&self, work_ms: Millis) -> Millis {
        let extension = if self.extension > 0.0 {
            self.extension
        } else {
            DEFAULT_EXTENSION
        };
        (work_ms as f64 * extension) as Millis + self.slack_ms
    }
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Queues {
    /// The version; it only grows.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
}

impl Queues {
    /// Finds the queue with the longest prefix of `path` on `host`.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let host = host.split(':').next().unwrap_or_default();
        self.queues
            .iter()
            .filter(|queue| queue.host.eq_ignore_ascii_case(host))
            .filter(|queue| path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
