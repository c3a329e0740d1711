//! The settings file of an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use gannetridge_entry_core::{HostSettings, Safeguards, Tuning};
use gannetridge_entry_wire::{HostId, Time};
use gannetridge_net::ServerLimits;
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

/// How log lines look.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// For people.
    #[default]
    Text,
    /// One JSON object a line.
    Json,
}

/// Settings of the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LogSettings {
    /// How lines look.
    pub format: LogFormat,
    /// The least level, as `tracing` filters write it.
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

/// Bounds on what the process reads from others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Longest head of a request, in bytes.
    pub head_bytes: usize,
    /// Longest body of a caller's or operator's request, in bytes.
    pub body_bytes: usize,
    /// Longest body of a peer's request, in bytes.
    pub peer_body_bytes: usize,
    /// Longest time without a request on a connection, in ms.
    pub idle_ms: u64,
    /// Longest time for a body, in ms.
    pub body_ms: u64,
    /// Connections from one address at a time.
    pub connections_per_address: usize,
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
        }
    }
}

impl LimitSettings {
    /// Returns the bounds for callers and operators.
    #[must_use]
    pub fn for_callers(&self) -> ServerLimits {
        ServerLimits {
            head_bytes: self.head_bytes,
            body_bytes: self.body_bytes,
            idle: Duration::from_millis(self.idle_ms),
            body_time: Duration::from_millis(self.body_ms),
            connections_per_peer: self.connections_per_address,
        }
    }

    /// Returns the bounds for peers.
    #[must_use]
    pub fn for_peers(&self) -> ServerLimits {
        ServerLimits {
            body_bytes: self.peer_body_bytes,
            ..self.for_callers()
        }
    }
}

/// Settings of an entry host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Settings {
    /// The host's name, unique in the system.
    pub name: Name,
    /// The host's data hall.
    pub hall: Name,
    /// Where callers and operators reach the host.
    pub listen: SocketAddr,
    /// Where other entry hosts reach it.
    pub peer_listen: SocketAddr,
    /// Where the platform's table and list are.
    pub platform: SocketAddr,
    /// Other entry hosts, to ask while the table is out.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// The log.
    #[serde(default)]
    pub log: LogSettings,
    /// Bounds.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Times and limits of the decisions.
    #[serde(default)]
    pub tuning: Tuning,
}

impl Settings {
    /// Returns what the host's decisions depend on.
    #[must_use]
    pub fn host(&self, now: Time) -> HostSettings {
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
