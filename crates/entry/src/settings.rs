//! The settings file of an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use gannetridge_entry_core::{HostSettings, Safeguards, Tuning};
use gannetridge_entry_wire::{HostId, Time};
use gannetridge_net::ServerLimits;
use gannetridge_process::budget::{Budget, MachineLimits};
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

/// How many times the memory of a dispatcher host's peers those of an entry host have.
const PEER_MEMORY_FACTOR: usize = 2;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The lowest level logged, or any filter in the syntax of `tracing`'s `EnvFilter`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Text,
            level: "info".to_owned(),
        }
    }
}

/// Limits on incoming requests and connections.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a caller's or operator's request, in bytes.
    pub body_bytes: usize,
    /// Largest body of a peer's request, in bytes.
    pub peer_body_bytes: usize,
    /// Longest time without a request on a connection, in ms.
    pub idle_ms: u64,
    /// Longest time to receive a body, in ms.
    pub body_ms: u64,
    /// Largest number of simultaneous connections from one address.
    pub connections_per_address: usize,
    /// The memory that is available to the process, in MB. Clients may take a part of it.
    pub memory_mb: u64,
    /// The number of file descriptors that are available to the process.
    pub max_file_descriptors: usize,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            peer_body_bytes: 64 * 1024 * 1024,
            idle_ms: 60_000,
            body_ms: 10_000,
            connections_per_address: 4_096,
            memory_mb: 256,
            max_file_descriptors: 4_096,
        }
    }
}

impl LimitSettings {
    /// Returns the limits of the server for callers and operators.
    #[must_use]
    pub fn for_callers(&self) -> ServerLimits {
        let limits = self.budget().callers;
        ServerLimits {
            // A body of the longest length, and what is decoded from it, must fit.
            memory_bytes: limits.memory_bytes.max(self.body_bytes.saturating_mul(2)),
            body_bytes: self.body_bytes,
            ..self.apply_to(limits)
        }
    }

    /// Returns the limits of the server for peers.
    #[must_use]
    pub fn for_peers(&self) -> ServerLimits {
        let limits = self.budget().peers;
        // Peers hand over what they remember of a shard in one message.
        let memory_bytes = limits.memory_bytes * PEER_MEMORY_FACTOR;
        ServerLimits {
            memory_bytes,
            body_bytes: self.peer_body_bytes.min(memory_bytes),
            ..self.apply_to(limits)
        }
    }

    fn budget(&self) -> Budget {
        Budget::new(&MachineLimits {
            memory_mb: self.memory_mb as f64,
            max_file_descriptors: self.max_file_descriptors,
        })
    }

    /// Applies the settings that all servers share.
    fn apply_to(&self, limits: ServerLimits) -> ServerLimits {
        ServerLimits {
            head_bytes: self.head_bytes,
            idle_timeout: Duration::from_millis(self.idle_ms),
            body_timeout: Duration::from_millis(self.body_ms),
            connections_per_address: self.connections_per_address,
            ..limits
        }
    }
}

/// Settings of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in the system.
    pub name: Name,
    /// The data hall that the host belongs to.
    pub hall: Name,
    /// Address to listen on for callers and operators.
    pub listen: SocketAddr,
    /// Address to listen on for peers, which they also use to reach the host.
    pub peer_listen: SocketAddr,
    /// Address of the platform's table and list of targets.
    pub platform: SocketAddr,
    /// Addresses of other entry hosts, to ask while the table is unavailable.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Format and level of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on incoming requests and connections.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Times and limits of the host's logic.
    #[serde(default)]
    pub tuning: Tuning,
}

impl Settings {
    /// Returns the settings of the host's logic. `now` gives the incarnation and the seed
    /// of this process.
    #[must_use]
    pub fn host_settings(&self, now: Time) -> HostSettings {
        HostSettings {
            id: HostId {
                name: self.name.clone(),
                incarnation: now.0,
            },
            hall: self.hall.clone(),
            address: self.peer_listen.to_string().into(),
            peers: self.peers.iter().map(|p| p.to_string().into()).collect(),
            seed: now.0,
            tuning: self.tuning.clone(),
            safeguards: Safeguards::default(),
        }
    }
}
