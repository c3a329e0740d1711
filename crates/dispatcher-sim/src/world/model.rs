//! The simulated hosts, calls in flight, and the events that the simulation processes.

use std::collections::HashMap;

use gannetridge_dispatcher_core::event::ProcessStartTime;
use gannetridge_dispatcher_core::message::{AttemptId, Envelope, HostInfo, Reply};
use gannetridge_dispatcher_core::{
    CallId, Dispatcher, Event, Millis, SendFailure, TargetCall, TargetReply,
};
use gannetridge_wire::Name;

use crate::faults::Fault;

/// One process of a simulated host.
pub(super) struct Host {
    pub(super) info: HostInfo,
    pub(super) dispatcher: Dispatcher,
    /// The simulated time at which this process started; its own clock begins at 0.
    pub(super) clock_start: Millis,
    /// Unique for each process, so that events for an earlier one are dropped.
    pub(super) instance: u64,
    pub(super) is_up: bool,
    pub(super) is_suspended: bool,
    /// When it last resumed after a suspension; 0 if never.
    pub(super) resumed_at: Millis,
    pub(super) next_tick: Millis,
    /// Events that arrived while it was suspended.
    pub(super) deferred_events: Vec<Event>,
    /// Indices of callers that wait for an answer, by request id.
    pub(super) waiting_callers: HashMap<u64, usize>,
    /// Calls of peers that wait for a reply, by request id.
    pub(super) waiting_peers: HashMap<u64, Pending>,
}

/// A call of a host that waits for its reply.
#[derive(Clone, Copy)]
pub(super) struct Pending {
    pub(super) host: usize,
    pub(super) instance: u64,
    pub(super) call: CallId,
}

/// A lease renewal that a target answers once an attempt ends, or at `until`.
pub(super) struct LongPoll {
    pub(super) pending: Pending,
    pub(super) target: usize,
    pub(super) id: Name,
    /// The incarnation of the target that received the call.
    pub(super) process_start: ProcessStartTime,
    pub(super) until: Millis,
}

/// An event of the simulation; plain numbers are indices of hosts, targets, callers or halls.
pub(super) enum SimEvent {
    /// Attempts on all targets progress, and held-back renewals are answered if due.
    AdvanceTargets,
    Tick {
        host: usize,
        instance: u64,
    },
    Event {
        host: usize,
        instance: u64,
        event: Box<Event>,
    },
    PeerCall {
        pending: Pending,
        to: usize,
        envelope: Box<Envelope>,
    },
    PeerReply {
        pending: Pending,
        reply: Box<Reply>,
    },
    CallFailed {
        pending: Pending,
        is_peer_call: bool,
        failure: SendFailure,
    },
    TargetCall {
        pending: Pending,
        target: usize,
        id: Name,
        /// The incarnation of the target to which the connection was opened.
        process_start: ProcessStartTime,
        token: u64,
        order: TargetCall,
        /// The reply doesn't reach the host.
        lost: bool,
    },
    TargetReply {
        pending: Pending,
        reply: TargetReply,
    },
    NewJob,
    ProbeHost(usize),
    SubmitJob(usize),
    CallerDeadline(usize),
    CallerLeaves(usize),
    NextFault,
    FaultEnds(Fault),
    HostRestarts(usize),
    /// A new target with a new id replaces a crashed one.
    ReplaceTarget(usize),
    /// The store removes the entry of a crashed target.
    EntryExpires(Name),
    /// A host reads the list of targets again, after an outage of the store.
    RereadTargets(usize),
    /// A host reads the store, unless other hosts share their reads with it.
    ReadStore(usize),
    /// The operator drains halls.
    DrainHalls,
    /// The operator puts a hall back into service.
    EndDrain(usize),
    /// A random target crashes, and restarts later under its id.
    TargetCrashes,
    /// A crashed target restarts under its id.
    TargetRestarts(usize),
    /// A task crashes the target that started it.
    TaskCrashesTarget(usize, AttemptId),
}
