//! The limits of a server: those of each request, and those of all connections together.
//!
//! [`SharedLimits`] lets a program change the limits of requests while its servers run.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Limits of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerLimits {
    /// Longest accepted head, in bytes.
    pub head_bytes: usize,
    /// Longest accepted body, in bytes.
    pub body_bytes: usize,
    /// Longest time from the start of a connection, or its last reply, until the first byte of
    /// the next request is received.
    pub idle_timeout: Duration,
    /// Longest time from the first byte of a head to its last one.
    pub head_timeout: Duration,
    /// Longest time from the receipt of a head to that of its body.
    pub body_timeout: Duration,
    /// Longest time until the client has taken a reply.
    pub reply_timeout: Duration,
    /// Maximum number of open connections from one IP address.
    pub connections_per_address: usize,
    /// Maximum number of open connections. Where there are more, the one that has waited
    /// longest for its client is closed.
    pub connections: usize,
    /// Maximum memory of long bodies and of the requests decoded from them, in bytes.
    pub memory_bytes: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 16 * 1024 * 1024,
            idle_timeout: Duration::from_secs(60),
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(10),
            reply_timeout: Duration::from_secs(10),
            connections_per_address: 4_096,
            connections: 4_096,
            memory_bytes: 64 * 1024 * 1024,
        }
    }
}

/// The limits that apply to each request, which may change while the server runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// See [`ServerLimits::head_bytes`].
    pub head_bytes: usize,
    /// See [`ServerLimits::body_bytes`].
    pub body_bytes: usize,
    /// See [`ServerLimits::idle_timeout`].
    pub idle_timeout: Duration,
    /// See [`ServerLimits::head_timeout`].
    pub head_timeout: Duration,
}

/// The limits of a server, shared by its clones. Connections read them before each request.
#[derive(Clone, Debug)]
pub struct SharedLimits(Rc<Cell<ServerLimits>>);

impl From<ServerLimits> for SharedLimits {
    fn from(limits: ServerLimits) -> Self {
        Self(Rc::new(Cell::new(limits)))
    }
}

impl SharedLimits {
    /// Returns the current limits.
    #[must_use]
    pub fn get(&self) -> ServerLimits {
        self.0.get()
    }

    /// Changes the limits of further requests, also on open connections.
    pub fn set_request_limits(&self, limits: RequestLimits) {
        self.0.set(ServerLimits {
            head_bytes: limits.head_bytes,
            // A longer body could never be received.
            body_bytes: limits.body_bytes.min(self.0.get().memory_bytes),
            idle_timeout: limits.idle_timeout,
            head_timeout: limits.head_timeout,
            ..self.0.get()
        });
    }
}
