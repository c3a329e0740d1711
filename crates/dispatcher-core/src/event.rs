//! What happens to a host, as types that name neither the platform's words nor
//! sockets.

use gannetridge_wire::Name;

use crate::configuration::Configuration;
use crate::decision::EntryFault;
use crate::message::{AttemptId, Envelope, HostInfo, Reply};
use crate::spec::{JobSpec, Resources};
use crate::Millis;

pub use crate::target_list::{TargetChange, TargetEntry, TargetList, UnusableEntry};

/// Names a request that the process has read and will answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Names a call that the host has asked the process to make.
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

/// That a hall is draining, or is no longer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallChange {
    /// The hall.
    pub hall: Name,
    /// Whether it is draining: it gets no new tasks.
    pub draining: bool,
}

/// An attempt that runs, as its target lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedAttempt {
    /// The attempt.
    pub id: AttemptId,
    /// Percent of its work that is done, if the target tells.
    pub percent: Option<u8>,
}

/// The end of an attempt as its target lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// The end's number.
    pub number: u64,
    /// The attempt.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: ListedOutcome,
}

/// How a target says that an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedOutcome {
    /// Done.
    Done,
    /// Failed by its own fault or the target's.
    Failed,
    /// Ended from outside.
    Interrupted,
    /// Ended in a way that isn't known here; counts as ended from outside.
    Unknown,
}

/// When a target started, in ms since 1970 by its own time of day: it tells one life under an
/// id from another, and is no clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProcessStartTime(pub u64);

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
        running: Vec<ListedAttempt>,
        /// What has ended.
        ended: Vec<ListedEnd>,
        /// When its life began, if it tells.
        born: Option<ProcessStartTime>,
        /// What it has, if it tells; the fault of what can't be read.
        capacity: Option<Result<Resources, EntryFault>>,
    },
    /// It did nothing: it has seen a higher fencing token.
    StaleToken {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: it has seen this or a later attempt of the task.
    StaleAttempt {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: the start deadline has passed.
    StartDeadlinePassed {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: it has too few free resources.
    InsufficientResources {
        /// The target's clock.
        clock: Millis,
    },
    /// It did nothing: it is another incarnation of the target.
    WrongIncarnation,
    /// It did nothing, since it is unhealthy or can't read the call.
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
    /// How long the caller waits for the answer, in ms, if it says so.
    pub deadline_ms: Option<Millis>,
    /// The job.
    pub spec: JobSpec,
}

/// A table of the platform's store whose changes hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTable {
    /// The configuration.
    Configuration,
    /// The targets.
    Targets,
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
    /// A caller asked for a job's state or how many jobs of a queue wait.
    Query {
        /// The request.
        request_id: RequestId,
        /// The virtual host that the caller named.
        host: Name,
        /// The path.
        path: Name,
    },
    /// A caller cancels a job.
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
    /// The whole list of targets was read.
    TargetsRead(TargetList),
    /// The draining halls were read, all of them.
    DrainingHallsRead {
        /// The store's version up to which they are known.
        version: u64,
        /// The halls.
        halls: Vec<Name>,
    },
    /// Halls began or ended to drain, in order; none may have.
    DrainingHallsChanged {
        /// The store's version up to which they are known.
        version: u64,
        /// What changed.
        changes: Vec<HallChange>,
    },
    /// The platform's store was lost or is back.
    StoreReachable(bool),
    /// A table is known up to a version; what changed came before this.
    StoreAnswered {
        /// The table.
        table: StoreTable,
        /// The store's version.
        version: u64,
        /// Since when the version may not be the newest, in ms: since the store was asked.
        age_ms: Millis,
    },
    /// A configuration was read.
    ConfigurationRead(Configuration),
    /// Hosts were found in the platform's table.
    HostsRead(Vec<HostInfo>),
    /// A timer is due.
    Tick,
    /// The process is asked to stop in order.
    Stop {
        /// How long ago that may have been at most: the grace period counts from there.
        age_ms: Millis,
    },
}

impl Event {
    /// Returns the name that logs and metrics use for a caller's request.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Submit { .. } => "submit",
            Self::Query { .. } => "ask",
            Self::Cancel { .. } => "cancel",
            _ => "other",
        }
    }
}
