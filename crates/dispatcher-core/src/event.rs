//! What happens to a host.

use gannetridge_wire::Name;

use crate::message::{AttemptId, Envelope, HostInfo, Reply};
use crate::queues::Queues;
use crate::spec::{JobSpec, Resources};
use crate::Millis;

/// Stands for a request that the shell has read and will answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Stands for a request that the host has asked the shell to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a request has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// Nothing listens there.
    Refused,
    /// No byte was written.
    NotSent,
    /// The request was written, whole or in part.
    Unknown,
}

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetEntry {
    /// The id of this life of the target.
    pub id: Name,
    /// Where it listens.
    pub address: Name,
    /// Its hall.
    pub hall: Name,
    /// Its pool.
    pub pool: Name,
    /// What it holds at most.
    pub capacity: Resources,
    /// Its kind, its rack and more.
    pub labels: Vec<Name>,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// A change of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetChange {
    /// The target is there, as described.
    There(TargetEntry),
    /// The target is gone.
    Gone(Name),
}

/// A run as its target lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// The end's number.
    pub number: u64,
    /// The run.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: ListedOutcome,
}

/// How a target says that a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedOutcome {
    /// Done.
    Done,
    /// Failed by its own fault or the target's.
    Failed,
    /// Ended from outside.
    Ended,
    /// Ended in a way that isn't known here; counts as ended from outside.
    Unknown,
}

/// What a target replies.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// It did what was asked.
    Accepted {
        /// The target's clock.
        clock: Millis,
    },
    /// It lists what runs there and what has ended.
    Listing {
        /// The target's clock.
        clock: Millis,
        /// What runs there.
        running: Vec<AttemptId>,
        /// What has ended.
        ended: Vec<ListedEnd>,
    },
    /// It did nothing: a higher token has been seen.
    StaleToken {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: a run of this or a higher number was there.
    StaleAttempt {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: the order came too late.
    StartDeadlinePassed {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: there is no room.
    InsufficientResources {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: it is another life of the target.
    WrongIncarnation,
    /// It did nothing, since it isn't well or can't read the order.
    Refused {
        /// The status of the reply.
        status: u16,
    },
}

/// A caller's job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submit {
    /// The virtual host that the caller named.
    pub host: Name,
    /// The path.
    pub path: Name,
    /// How long the caller waits for the answer.
    pub deadline_ms: Option<Millis>,
    /// The job.
    pub spec: JobSpec,
}

/// What happens to a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a job.
    Submit {
        /// The request.
        request_id: RequestId,
        /// The job.
        submit: Box<Submit>,
    },
    /// A caller asked for a job's state or a queue's count.
    Ask {
        /// The request.
        request_id: RequestId,
        /// The virtual host that the caller named.
        host: Name,
        /// The path.
        path: Name,
    },
    /// A caller takes a job back.
    Cancel {
        /// The request.
        request_id: RequestId,
        /// The virtual host that the caller named.
        host: Name,
        /// The path.
        path: Name,
    },
    /// The caller of a request is gone.
    CallerGone {
        /// The request.
        request_id: RequestId,
    },
    /// A peer sent a request.
    Peer {
        /// The request.
        request_id: RequestId,
        /// Its contents.
        envelope: Box<Envelope>,
    },
    /// A peer replied, or didn't.
    PeerReply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Result<Box<Reply>, SendFailure>,
    },
    /// A target replied, or didn't.
    TargetReply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Result<TargetReply, SendFailure>,
    },
    /// The list of targets changed.
    TargetsChanged(Vec<TargetChange>),
    /// The list of targets was read whole.
    TargetsRead(Vec<TargetEntry>),
    /// The platform's store was lost or is back.
    StoreReachable(bool),
    /// A configuration was read.
    QueuesRead(Queues),
    /// Hosts were found in the platform's table.
    HostsRead(Vec<HostInfo>),
    /// A timer is due.
    Tick,
    /// The process is asked to stop in order.
    Stop,
}

impl Event {
    /// Returns the name that logs and metrics use for a caller's request.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Ask { .. } => "ask",
            Self::Cancel { .. } => "cancel",
            _ => "other",
        }
    }
}
