//! Counts what servers refuse, by server and reason.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Why a server refused a request or closed a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Refusal {
    /// All connections are in use, and none of them waits for its client.
    TooManyConnections,
    /// The connection had waited longest for its client when another one needed its slot.
    Evicted,
    /// The memory for bodies and decoded requests is in use.
    OutOfMemory,
    /// The head or the body is over its limit.
    TooLong,
    /// The head is malformed, or the body has no plain length.
    Malformed,
    /// The request wasn't received in time.
    TooSlow,
    /// The client didn't take a reply in time.
    UnreadReply,
}

impl Refusal {
    /// Returns the text that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::TooManyConnections => "too many connections",
            Self::Evicted => "evicted",
            Self::OutOfMemory => "out of memory",
            Self::TooLong => "too long",
            Self::Malformed => "malformed",
            Self::TooSlow => "too slow",
            Self::UnreadReply => "unread reply",
        }
    }
}

/// What was refused: the server's name in logs and metrics, and the reason.
pub type RefusalKind = (&'static str, Refusal);

/// The number of refusals of all servers since the start. Clones share the counts.
#[derive(Clone, Debug, Default)]
pub struct RefusalCounts(Rc<RefCell<BTreeMap<RefusalKind, u64>>>);

impl RefusalCounts {
    /// Returns the counts of one server.
    #[must_use]
    pub fn of_server(&self, server: &'static str) -> ServerRefusals {
        ServerRefusals {
            server,
            counts: self.clone(),
        }
    }

    /// Returns the counts of all kinds that occurred.
    #[must_use]
    pub fn get(&self) -> BTreeMap<RefusalKind, u64> {
        self.0.borrow().clone()
    }
}

/// Counts what one server refuses. Clones share the counts.
#[derive(Clone, Debug)]
pub struct ServerRefusals {
    server: &'static str,
    counts: RefusalCounts,
}

impl ServerRefusals {
    /// Counts a refusal.
    pub fn add(&self, refusal: Refusal) {
        let kind = (self.server, refusal);
        *self.counts.0.borrow_mut().entry(kind).or_default() += 1;
    }
}
