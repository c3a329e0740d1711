//! Divides the process's memory and file descriptors among its servers, its jobs and its own
//! calls.
//!
//! Each server has a share of its own: callers can't take what readiness probes, peers and
//! outgoing calls need. What isn't given to a server is left to the process itself.

use gannetridge_net::{ServerLimits, MAX_WAITING_CONNECTIONS};
use serde::{Deserialize, Serialize};

/// The share of the memory for callers' connections.
const CALLER_CONNECTIONS_MEMORY_SHARE: f64 = 1.0 / 3.0;
/// The share of the memory for peers' connections.
const PEER_CONNECTIONS_MEMORY_SHARE: f64 = 1.0 / 6.0;
/// The share of the memory for the long bodies of callers, and for those of peers.
const BODIES_MEMORY_SHARE: f64 = 1.0 / 8.0;
/// The share of the memory for the jobs in progress.
const JOBS_MEMORY_SHARE: f64 = 1.0 / 8.0;
/// The share of the sockets for callers' connections.
const CALLER_SOCKET_SHARE: f64 = 3.0 / 8.0;
/// The share of the sockets for peers' connections.
const PEER_SOCKET_SHARE: f64 = 1.0 / 4.0;
/// The share of the sockets for readiness probes, and for reading metrics.
const PROBE_SOCKET_SHARE: f64 = 1.0 / 16.0;
/// The file descriptors that are left to files.
const FILE_DESCRIPTORS: usize = 200;
/// The most servers of a process.
const MAX_SERVERS: usize = 4;
/// The memory of a caller's connection: its buffers, its task and what the kernel holds, in
/// bytes.
const CALLER_CONNECTION_BYTES: usize = 48 * 1024;
/// The memory of a peer's connection, in bytes.
const PEER_CONNECTION_BYTES: usize = 16 * 1024;
/// The least memory for the bodies of a server, in bytes: enough for a few of the longest.
const MIN_BODIES_BYTES: usize = 1024 * 1024;
/// The longest body of a peer's message, in bytes.
const MAX_PEER_BODY_BYTES: usize = 16 * 1024 * 1024;
/// The most connections to the readiness address, and to that of the metrics.
const MAX_PROBE_CONNECTIONS: usize = 32;
/// The longest body of a request for readiness or metrics, in bytes.
const PROBE_BODY_BYTES: usize = 4 * 1024;

/// The memory and file descriptors that are available to the process, in its settings file.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MachineLimits {
    /// The memory in MB of 1,000,000 bytes.
    pub memory_mb: f64,
    /// The number of file descriptors.
    pub max_file_descriptors: usize,
}

impl Default for MachineLimits {
    fn default() -> Self {
        Self {
            memory_mb: 256.0,
            max_file_descriptors: 4_096,
        }
    }
}

/// What the servers and the jobs of a process may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    /// The limits of the server for callers.
    pub callers: ServerLimits,
    /// The limits of the server for peers.
    pub peers: ServerLimits,
    /// The limits of the servers for readiness probes and for metrics, each.
    pub probes: ServerLimits,
    /// The memory of the jobs in progress, in bytes.
    pub job_bytes: usize,
}

impl Budget {
    /// Divides what the settings say is available.
    #[must_use]
    pub fn new(machine: &MachineLimits) -> Self {
        let memory = (machine.memory_mb * 1e6) as usize;
        let reserved = FILE_DESCRIPTORS + MAX_SERVERS * MAX_WAITING_CONNECTIONS;
        let sockets = machine.max_file_descriptors.saturating_sub(reserved);
        Self {
            callers: callers(memory, sockets),
            peers: peers(memory, sockets),
            probes: probes(sockets),
            job_bytes: share_of(memory, JOBS_MEMORY_SHARE).max(MIN_BODIES_BYTES),
        }
    }
}

fn callers(memory: usize, sockets: usize) -> ServerLimits {
    let by_memory = share_of(memory, CALLER_CONNECTIONS_MEMORY_SHARE) / CALLER_CONNECTION_BYTES;
    let connections = by_memory.min(share_of(sockets, CALLER_SOCKET_SHARE));
    with_connections(connections, share_of(memory, BODIES_MEMORY_SHARE))
}

fn peers(memory: usize, sockets: usize) -> ServerLimits {
    let by_memory = share_of(memory, PEER_CONNECTIONS_MEMORY_SHARE) / PEER_CONNECTION_BYTES;
    let connections = by_memory.min(share_of(sockets, PEER_SOCKET_SHARE));
    let limits = with_connections(connections, share_of(memory, BODIES_MEMORY_SHARE));
    ServerLimits {
        body_bytes: MAX_PEER_BODY_BYTES.min(limits.memory_bytes),
        ..limits
    }
}

fn probes(sockets: usize) -> ServerLimits {
    let connections = MAX_PROBE_CONNECTIONS.min(share_of(sockets, PROBE_SOCKET_SHARE));
    ServerLimits {
        body_bytes: PROBE_BODY_BYTES,
        ..with_connections(connections, 0)
    }
}

fn share_of(total: usize, share: f64) -> usize {
    (total as f64 * share) as usize
}

fn with_connections(connections: usize, memory_bytes: usize) -> ServerLimits {
    let connections = connections.max(1);
    ServerLimits {
        connections,
        // A balancer may show one address for all clients.
        connections_per_address: connections + MAX_WAITING_CONNECTIONS,
        memory_bytes: memory_bytes.max(MIN_BODIES_BYTES),
        ..ServerLimits::default()
    }
}
