//! What the world consists of, and what happens in it.

use std::collections::HashMap;

use gannetridge_dispatcher_core::event::ProcessStartTime;
use gannetridge_dispatcher_core::message::{AttemptId, Envelope, HostInfo, Reply};
use gannetridge_dispatcher_core::{
    CallId, Dispatcher, Event, Millis, SendFailure, TargetCall, TargetReply,
};
use gannetridge_wire::Name;

use crate::faults::Fault;

pub(super) struct Host {
    pub(super) info: HostInfo,
    pub(super) dispatcher: Dispatcher,
    /// World time at which this life's clock was 0.
    pub(super) base: Millis,
    pub(super) life: u64,
    pub(super) is_up: bool,
    pub(super) frozen: bool,
    /// When it last began to run again.
    pub(super) woke: Millis,
    pub(super) tick_at: Millis,
    pub(super) queue: Vec<Event>,
    /// Callers that wait here, by request.
    pub(super) callers: HashMap<u64, usize>,
    /// Peers that wait here, by request.
    pub(super) peers: HashMap<u64, Pending>,
}

#[derive(Clone, Copy)]
pub(super) struct Pending {
    pub(super) host: usize,
    pub(super) life: u64,
    pub(super) call: CallId,
}

pub(super) struct LongPoll {
    pub(super) pending: Pending,
    pub(super) target: usize,
    pub(super) id: Name,
    /// The life of the target that waits.
    pub(super) born: ProcessStartTime,
    pub(super) until: Millis,
}

pub(super) enum Happening {
    Step,
    Tick {
        host: usize,
        life: u64,
    },
    Event {
        host: usize,
        life: u64,
        event: Box<Event>,
    },
    Call {
        pending: Pending,
        to: usize,
        envelope: Box<Envelope>,
    },
    Reply {
        pending: Pending,
        reply: Box<Reply>,
    },
    Missed {
        pending: Pending,
        peer: bool,
        why: SendFailure,
    },
    Target {
        pending: Pending,
        target: usize,
        id: Name,
        /// The life of the target to which its connection leads.
        born: ProcessStartTime,
        token: u64,
        order: TargetCall,
        lost: bool,
    },
    TargetReply {
        pending: Pending,
        reply: TargetReply,
    },
    NewJob,
    Probe(usize),
    Try(usize),
    Deadline(usize),
    Leave(usize),
    Fault,
    Over(Fault),
    Restart(usize),
    NewTarget(usize),
    Lapse(Name),
    ReadAgain(usize),
    /// A host reads the store, if nobody tells it what that holds.
    Read(usize),
    /// The operator drains halls.
    Drain,
    /// The operator takes a hall back.
    TakeBack(usize),
    /// A target crashes, to start again under its id.
    RestartTarget,
    /// A target that crashed starts again under its id.
    TargetBack(usize),
    /// A task crashes the target that started it.
    CrashUnder(usize, AttemptId),
}
