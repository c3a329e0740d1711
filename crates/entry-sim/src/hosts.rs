//! Simulated entry hosts: process state, clock, open requests and open calls.

use std::collections::{BTreeSet, HashMap, VecDeque};

use gannetridge_entry_core::{Action, CallId, Event, Host, RequestToken};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use crate::callers::RequestId;

/// Identifies one incarnation of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ProcessId {
    /// Index of the host.
    pub host: usize,
    /// Counted from 1, separately for each host.
    pub incarnation: u32,
}

/// Identifies a call that a host's process has sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OutgoingCall {
    /// The sender.
    pub process: ProcessId,
    /// Unique within the sender.
    pub call: CallId,
}

/// The sender of a request to a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// A caller.
    Caller(RequestId),
    /// A peer; `None` for the copy of a duplicated message, whose reply goes nowhere.
    Peer(Option<OutgoingCall>),
    /// An operator, with the index of the change.
    Operator(u64),
}

/// The receiver of a call, which determines the event that reports its failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// A peer.
    Peer,
    /// A runner.
    Task,
    /// The platform's table.
    Table,
}

/// The state of a host's process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// Handles events as they arrive.
    Running,
    /// Suspended until the given time.
    Paused(Time),
    /// Killed or shut down, and not yet restarted.
    Stopped,
}

/// A simulated entry host.
pub struct SimHost {
    /// Unique in the system; kept across restarts.
    pub name: Name,
    /// Index of its hall.
    pub hall: usize,
    /// Where peers reach it; kept across restarts.
    pub address: Name,
    /// Number of the current incarnation, from 1.
    pub incarnation: u32,
    /// The logic under test.
    pub core: Host,
    /// State of the current incarnation's process.
    pub state: ProcessState,
    /// True once it was asked to shut down gracefully.
    pub stopping: bool,
    /// Events that arrived while it was suspended.
    pub inbox: VecDeque<Event>,
    /// Actions that it decided on just before it was suspended, to perform afterwards.
    pub delayed_actions: Vec<Action>,
    /// If set, the host is suspended for this many µs before its next actions.
    pub pause_next_us: Option<u64>,
    /// Offset of its clock from simulated time, in µs.
    pub offset_us: i64,
    /// Simulated time of its next scheduled tick.
    pub next_tick: Option<Time>,
    /// Senders of the requests that it hasn't answered.
    pub requesters: HashMap<RequestToken, Requester>,
    /// Callers' requests that reached the core.
    pub read_requests: BTreeSet<RequestToken>,
    /// Calls without a reply so far.
    pub open_calls: HashMap<CallId, CallKind>,
    /// The last token handed out.
    pub last_token: u64,
    /// Version of the configuration that this incarnation reported last.
    pub config_version: u64,
}

impl SimHost {
    /// Returns the id of the current process of this host, whose index is `host`.
    #[must_use]
    pub fn process_id(&self, host: usize) -> ProcessId {
        ProcessId {
            host,
            incarnation: self.incarnation,
        }
    }

    /// Registers a request and returns its token.
    pub fn register_request(&mut self, requester: Requester) -> RequestToken {
        self.last_token += 1;
        let token = RequestToken(self.last_token);
        self.requesters.insert(token, requester);
        token
    }

    /// Converts simulated time to the host's clock.
    #[must_use]
    pub fn clock(&self, now: Time) -> Time {
        add_offset(now, self.offset_us)
    }
}

/// Returns `time` on a clock with the given offset.
#[must_use]
pub fn add_offset(time: Time, offset_us: i64) -> Time {
    Time(time.0.saturating_add_signed(offset_us))
}
