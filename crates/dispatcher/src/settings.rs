//! The settings file of a dispatcher, TOML, in kebab-case and with defaults.
//!
//! `docs/OPERATIONS.md` lists the settings; unknown keys are refused. Their names are
//! the operators': where the code has a better word, it is translated here.

use std::net::SocketAddr;

use gannetridge_dispatcher_core::{Bounds, Scheduling};
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

/// The settings of one host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The host's name.
    pub name: Name,
    /// Its hall.
    pub hall: Name,
    /// Where callers are served.
    pub callers: SocketAddr,
    /// Where the platform asks whether the host is ready.
    pub readiness: SocketAddr,
    /// Where peers reach it.
    pub peers: SocketAddr,
    /// Where peers are served, if that isn't where they reach it: a forwarder
    /// may stand between.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peers_bind: Option<SocketAddr>,
    /// Where metrics are served.
    pub metrics: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Peers that may be there.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// The processor time that the process has.
    #[serde(default)]
    pub processor: ProcessorSettings,
    /// The host's link.
    #[serde(default)]
    pub link: LinkSettings,
    /// Bounds that the deployment sets.
    #[serde(default)]
    pub bounds: BoundsSettings,
    /// Which of several ways of scheduling are used.
    #[serde(default)]
    pub scheduling: Scheduling,
    /// What is logged.
    #[serde(default)]
    pub log: LogSettings,
}

/// Bounds that the deployment sets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct BoundsSettings {
    /// The earliest time after a broken answer at which a caller sends again.
    pub retransmit_ms: u64,
    /// The longest hold that a target grants.
    pub max_hold_ms: u64,
    /// The longest that a stop of a run takes.
    pub stop_grace_ms: u64,
    /// How long a stop in order of the process may take.
    pub grace_period_s: f64,
    /// How long a target serves on after it said that it leaves.
    pub drain_ms: u64,
    /// How many times as long a task takes in a rack without its data.
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
    /// Returns the bounds in the dispatcher's form.
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

/// The processor time that the process has: hosts with more of it look after
/// more targets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ProcessorSettings {
    /// Its share of a core.
    pub share: f64,
    /// How many times as fast as others that core is.
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
    /// Returns it in thousandths of a core.
    #[must_use]
    pub fn weight(&self) -> u32 {
        (self.share * self.speed * 1_000.0) as u32
    }
}

/// The host's link: long messages leave a part of it to short ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LinkSettings {
    /// Its bandwidth, in megabits a second.
    pub mbps: f64,
}

impl Default for LinkSettings {
    fn default() -> Self {
        Self { mbps: 1_000.0 }
    }
}

impl LinkSettings {
    /// Returns its bandwidth in bytes a second.
    #[must_use]
    pub fn bytes_per_s(&self) -> u64 {
        /// Bytes in a megabit.
        const MEGABIT: f64 = 125_000.0;
        (self.mbps * MEGABIT) as u64
    }
}

/// What is logged.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LogSettings {
    /// A filter such as `info` or `gannetridge=debug`.
    pub level: String,
    /// Lines that may wait for a slow reader; more are dropped and counted.
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
