//! The settings file of a dispatcher host: TOML with kebab-case keys and defaults.
//!
//! `docs/OPERATIONS.md` lists the settings; unknown keys are rejected. Some keys differ from
//! the terms of the code and are translated here.

use std::net::SocketAddr;

use gannetridge_dispatcher_core::{Bounds, Scheduling};
use gannetridge_process::budget::MachineLimits;
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

/// The settings of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The host's unique name.
    pub name: Name,
    /// The data hall that the host is in.
    pub hall: Name,
    /// The address that serves callers.
    pub callers: SocketAddr,
    /// The address that serves the platform's readiness probe.
    pub readiness: SocketAddr,
    /// The address that peers connect to.
    pub peers: SocketAddr,
    /// The address that serves peers, if it differs from `peers`, as behind a forwarder.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers_bind: Option<SocketAddr>,
    /// The address that serves metrics.
    pub metrics: SocketAddr,
    /// The address of the platform's store.
    pub store: SocketAddr,
    /// Addresses of possible peers, contacted to find the others.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The processor time that is available to the process.
    #[serde(default)]
    pub processor: ProcessorSettings,
    /// The host's network link.
    #[serde(default)]
    pub link: LinkSettings,
    /// The memory and file descriptors that are available to the process. Servers limit what
    /// clients may take to a part of them.
    #[serde(default)]
    pub limits: MachineLimits,
    /// Bounds that hold in the deployment.
    #[serde(default)]
    pub bounds: BoundsSettings,
    /// The scheduling policies.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// The log's level and buffer.
    #[serde(default)]
    pub log: LogSettings,
}

/// Bounds that hold in the deployment.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct BoundsSettings {
    /// The earliest time after a broken answer at which a caller retries.
    pub retransmit_ms: u64,
    /// The longest lease that a target grants.
    pub max_hold_ms: u64,
    /// The longest time that a target takes to stop an attempt.
    pub stop_grace_ms: u64,
    /// The longest time that a graceful shutdown of the process may take, in s.
    pub grace_period_s: f64,
    /// How long a target goes on serving after it announces that it is leaving.
    pub drain_ms: u64,
    /// The slowdown of a task that runs in another rack than its data.
    pub remote_factor: f64,
}

impl Default for BoundsSettings {
    fn default() -> Self {
        Self {
            retransmit_ms: 1_300,
            max_hold_ms: 1_000,
            stop_grace_ms: 50,
            grace_period_s: 6.0,
            drain_ms: 2_000,
            remote_factor: 1.5,
        }
    }
}

impl BoundsSettings {
    /// Converts the settings into the dispatcher's bounds.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        Bounds {
            retransmit_ms: self.retransmit_ms,
            max_target_lease_ms: self.max_hold_ms,
            stop_grace_ms: self.stop_grace_ms,
            grace_period_ms: (self.grace_period_s * 1_000.0) as u64,
            drain_ms: self.drain_ms,
        }
    }
}

/// The processor time that is available to the process. Hosts hold the leases of targets in
/// proportion to it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ProcessorSettings {
    /// The process's share of a core.
    pub share: f64,
    /// The speed of that core relative to other hosts' cores.
    pub speed: f64,
}

impl Default for ProcessorSettings {
    fn default() -> Self {
        Self {
            share: 1.0,
            speed: 1.0,
        }
    }
}

impl ProcessorSettings {
    /// Returns the processor time in thousandths of a core of speed 1.
    #[must_use]
    pub fn weight(&self) -> u32 {
        (self.share * self.speed * 1_000.0) as u32
    }
}

/// The host's network link. Long bodies use only part of its bandwidth.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LinkSettings {
    /// The bandwidth in megabits per second.
    pub mbps: f64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { mbps: 1_000.0 }
    }
}

impl LinkSettings {
    /// Returns the bandwidth in bytes per second.
    #[must_use]
    pub fn bytes_per_s(&self) -> u64 {
        const BYTES_PER_MEGABIT: f64 = 125_000.0;
        (self.mbps * BYTES_PER_MEGABIT) as u64
    }
}

/// The log's level and buffer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LogSettings {
    /// A `tracing` filter such as `info` or `gannetridge=debug`.
    pub level: String,
    /// The most lines that are buffered for a slow reader; further ones are dropped and
    /// counted.
    pub waiting_lines: usize,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            level: "info".to_owned(),
            waiting_lines: 4_096,
        }
    }
}
