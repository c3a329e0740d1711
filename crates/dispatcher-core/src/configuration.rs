//! The configuration: queues and the pools of targets behind them.
//!
//! A version is one value that replaces the one before it whole. Hosts send it to each
//! other, so fields stand by position: see [`crate::message`].

use std::collections::HashSet;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::Millis;

/// The extension of queues that name none. Chosen, not measured.
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
    /// How many attempts at a task may fail before its job does; 0 counts as 1.
    pub max_attempts: u32,
    /// A job's latency objective is this times its longest chain of tasks, plus the
    /// slack; 0 for the default.
    pub extension: f64,
    /// See `extension`; in ms.
    pub slack_ms: Millis,
}

impl Queue {
    /// Returns the latency objective, in ms, of a job whose longest chain of tasks
    /// takes `work_ms`.
    #[must_use]
    pub fn latency_objective(&self, work_ms: Millis) -> Millis {
        (work_ms as f64 * self.extension_or_default()) as Millis + self.slack_ms
    }

    /// Returns how many times its longest chain of tasks a job may take.
    #[must_use]
    pub fn extension_or_default(&self) -> f64 {
        if self.extension > 0.0 {
            self.extension
        } else {
            DEFAULT_EXTENSION
        }
    }
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Configuration {
    /// The version; it only grows.
    pub version: u64,
    /// All queues.
    pub queues: Vec<Queue>,
}

impl Configuration {
    /// Returns the pools behind its queues.
    #[must_use]
    pub fn pools(&self) -> HashSet<Name> {
        let queues = self.queues.iter();
        queues.map(|queue| queue.pool.clone()).collect()
    }

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
