//! The configuration: queues and the pools of targets behind them.
//!
//! A new version replaces the previous one as a whole. Hosts send it to each other with fields
//! encoded by position: see [`crate::message`].

use std::collections::HashSet;

use gannetridge_wire::Name;
use serde::ser::SerializeStruct;
use serde::{Deserialize, Serialize, Serializer};

use crate::{Millis, Urgency};

/// The extension of queues that configure none.
const DEFAULT_EXTENSION: f64 = 2.0;

/// The upper bound of a latency objective, in ms: keeps sums of times from overflowing.
pub const MAX_LATENCY_OBJECTIVE_MS: Millis = 1 << 40;

/// A queue that callers submit to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// The name that logs and metrics use.
    pub name: Name,
    /// The virtual host that callers address.
    pub host: Name,
    /// The path prefix of its jobs.
    pub prefix: Name,
    /// The pool whose targets run its tasks.
    pub pool: Name,
    /// The urgency of its tasks; 0 is the most urgent.
    pub urgency: Urgency,
    /// The number of failed attempts at one task that fails its job; 0 counts as 1.
    pub max_attempts: u32,
    /// The factor of the latency objective: the objective is this times the job's longest chain
    /// of tasks, plus `slack_ms`. 0 stands for the default.
    pub extension: f64,
    /// The constant part of the latency objective, in ms; see `extension`.
    pub slack_ms: Millis,
}

impl Queue {
    /// Returns the latency objective, in ms, of a job whose longest chain of tasks
    /// takes `work_ms`; [`MAX_LATENCY_OBJECTIVE_MS`] at most.
    #[must_use]
    pub fn latency_objective(&self, work_ms: Millis) -> Millis {
        let work_part = (work_ms as f64 * self.extension_or_default()) as Millis;
        work_part
            .saturating_add(self.slack_ms)
            .min(MAX_LATENCY_OBJECTIVE_MS)
    }

    /// Returns the configured extension, or the default if none is configured.
    #[must_use]
    pub fn extension_or_default(&self) -> f64 {
        if self.extension > 0.0 {
            self.extension
        } else {
            DEFAULT_EXTENSION
        }
    }
}

/// A queue whose configuration can't be used; its requests are refused. What can't be read of it is
/// empty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableQueue {
    /// The name that logs use.
    pub name: Name,
    /// The virtual host that callers address.
    pub host: Name,
    /// The path prefix of its jobs.
    pub prefix: Name,
}

/// The limits of each request of a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RequestLimits {
    /// The longest head, in bytes.
    pub head_bytes: u64,
    /// The longest body, in bytes.
    pub body_bytes: u64,
    /// The longest time from the first byte of a head to its last one, in ms.
    pub head_timeout_ms: Millis,
    /// The longest time that a connection stays open without a request, in ms.
    pub idle_timeout_ms: Millis,
}

impl Default for RequestLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 256 * 1024,
            head_timeout_ms: 3_000,
            idle_timeout_ms: 15_000,
        }
    }
}

/// One complete version of the configuration.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Configuration {
    /// The version number; it never decreases.
    pub version: u64,
    /// All queues that callers can submit to.
    pub queues: Vec<Queue>,
    /// The queues whose configuration can't be used. Hosts of earlier releases can't decode a
    /// configuration with such queues.
    #[serde(default)]
    pub unusable: Vec<UnusableQueue>,
    /// The limits of callers' requests. Hosts of earlier releases can't decode a configuration
    /// with other limits than the default.
    #[serde(default)]
    pub limits: RequestLimits,
}

/// Leaves out trailing fields that have their default, as earlier releases expect it.
impl Serialize for Configuration {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let with_limits = self.limits != RequestLimits::default();
        let with_unusable = with_limits || !self.unusable.is_empty();
        let fields = 2 + usize::from(with_unusable) + usize::from(with_limits);
        let mut fields = serializer.serialize_struct("Configuration", fields)?;
        fields.serialize_field("version", &self.version)?;
        fields.serialize_field("queues", &self.queues)?;
        if with_unusable {
            fields.serialize_field("unusable", &self.unusable)?;
        }
        if with_limits {
            fields.serialize_field("limits", &self.limits)?;
        }
        fields.end()
    }
}

impl Configuration {
    /// Returns the pools that its queues use.
    #[must_use]
    pub fn pools(&self) -> HashSet<Name> {
        let queues = self.queues.iter();
        queues.map(|queue| queue.pool.clone()).collect()
    }

    /// Finds the queue of virtual host `host` with the longest prefix of `path`; a port in `host`
    /// is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        self.queues
            .iter()
            .filter(|queue| is_addressed(&queue.host, &queue.prefix, host, path))
            .max_by_key(|queue| queue.prefix.len())
    }

    /// Returns true if an unusable queue has a longer prefix of `path` than any other queue of
    /// virtual host `host`.
    #[must_use]
    pub fn is_unusable(&self, host: &str, path: &str) -> bool {
        if self.unusable.is_empty() {
            return false;
        }
        let unusable = self.unusable.iter();
        let readable = unusable.filter(|queue| !queue.host.is_empty() && !queue.prefix.is_empty());
        let addressed =
            readable.filter(|queue| is_addressed(&queue.host, &queue.prefix, host, path));
        let prefix_bytes = addressed.map(|queue| queue.prefix.len()).max();
        prefix_bytes > self.find(host, path).map(|queue| queue.prefix.len())
    }
}

/// Returns true if a request for a virtual host and a path is for a queue; a port is ignored.
fn is_addressed(queue_host: &str, prefix: &str, host: &str, path: &str) -> bool {
    let host = host.split(':').next().unwrap_or_default();
    queue_host.eq_ignore_ascii_case(host) && path.starts_with(prefix)
}
