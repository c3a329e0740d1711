//! The input of a host, in types that depend neither on the platform's formats nor on sockets.

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::decision::EntryFault;
use crate::message::{AttemptId, Envelope, HostInfo, Reply};
use crate::spec::{JobSpec, Resources};
use crate::Millis;

pub use crate::target_list::{TargetChange, TargetEntry, TargetList, UnusableEntry};

/// Identifies a request that the process has received and will answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub u64);

/// Identifies a call that the host has asked the process to make.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a request has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// The connection was refused.
    Refused,
    /// No byte was written.
    NotSent,
    /// The request was written, at least in part: it may have been carried out.
    Unknown,
}

/// A hall that starts or stops draining.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HallChange {
    /// The hall's name.
    pub hall: Name,
    /// True if the hall drains: its targets get no new tasks.
    pub draining: bool,
}

/// A running attempt in a target's listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedAttempt {
    /// The attempt's task and number.
    pub id: AttemptId,
    /// The percentage of its work that is done, if the target reports it.
    pub percent: Option<u8>,
}

/// The end of an attempt in a target's listing.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedEnd {
    /// The end's sequence number, by which it is acknowledged.
    pub number: u64,
    /// The attempt's task and number.
    pub id: AttemptId,
    /// How the attempt ended.
    pub outcome: ListedOutcome,
}

/// The outcome of an attempt as its target reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedOutcome {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the target's.
    Failed,
    /// The attempt was ended from outside, for instance by a stop.
    Interrupted,
    /// The reported outcome isn't known to this release; counts as [`Self::Interrupted`].
    Unknown,
}

/// When a target's process started, in ms since 1970 on its own wall clock. It distinguishes
/// incarnations under the same id; it must not be used as a clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStartTime(pub u64);

/// A target's reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetReply {
    /// The call was carried out.
    Accepted {
        /// The target's clock when it replied.
        clock: Millis,
    },
    /// The running and the ended attempts, in reply to a renewal.
    Listing {
        /// The target's clock when it replied.
        clock: Millis,
        /// The attempts that run on the target.
        running: Vec<ListedAttempt>,
        /// The ended attempts that the target still lists.
        ended: Vec<ListedEnd>,
        /// When the target's process started, if it reports it.
        process_start: Option<ProcessStartTime>,
        /// The target's capacity, if it reports one, or why the report can't be used.
        capacity: Option<Result<Resources, EntryFault>>,
    },
    /// Not carried out: the target has seen a higher fencing token.
    StaleToken {
        /// The target's clock when it replied.
        clock: Millis,
    },
    /// Not carried out: the target has seen this or a later attempt at the task.
    StaleAttempt {
        /// The target's clock when it replied.
        clock: Millis,
    },
    /// Not carried out: the start deadline has passed.
    StartDeadlinePassed {
        /// The target's clock when it replied.
        clock: Millis,
    },
    /// Not carried out: the target has too few free resources.
    InsufficientResources {
        /// The target's clock when it replied.
        clock: Millis,
    },
    /// Not carried out: another incarnation of the target runs there.
    WrongIncarnation,
    /// Not carried out: the target is unhealthy or can't read the call.
    Refused {
        /// The HTTP status of the reply.
        status: u16,
    },
}

/// A job that a caller submits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submit {
    /// The virtual host that the caller addressed.
    pub host: Name,
    /// The request's path: the queue's prefix and the job's id.
    pub path: Name,
    /// How long the caller waits for the answer, in ms, if it sets a deadline.
    pub deadline_ms: Option<Millis>,
    /// The job's description.
    pub spec: JobSpec,
}

/// A table of the platform's store whose changes hosts forward to each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreTable {
    /// The table of the configuration and the draining halls.
    Configuration,
    /// The list of targets.
    Targets,
}

/// An event that a host handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller submitted a job.
    Submit {
        /// The request to answer.
        request_id: RequestId,
        /// The submitted job.
        submit: Box<Submit>,
    },
    /// A caller asked for the state of a job, or for the number of pending jobs of a queue.
    Query {
        /// The request to answer.
        request_id: RequestId,
        /// The virtual host that the caller addressed.
        host: Name,
        /// The request's path.
        path: Name,
    },
    /// A caller cancels a job.
    Cancel {
        /// The request to answer.
        request_id: RequestId,
        /// The virtual host that the caller addressed.
        host: Name,
        /// The request's path.
        path: Name,
    },
    /// A caller disconnected before its request was answered.
    CallerGone {
        /// The unanswered request.
        request_id: RequestId,
    },
    /// A request of a peer was received.
    Peer {
        /// The request to reply to.
        request_id: RequestId,
        /// The request's contents.
        envelope: Box<Envelope>,
    },
    /// A call to a peer ended with a reply or a failure.
    PeerReply {
        /// The call, as numbered in its action.
        call: CallId,
        /// The reply, or why there is none.
        reply: Result<Box<Reply>, SendFailure>,
    },
    /// A call to a target ended with a reply or a failure.
    TargetReply {
        /// The call, as numbered in its action.
        call: CallId,
        /// The reply, or why there is none.
        reply: Result<TargetReply, SendFailure>,
    },
    /// Changes of the list of targets were read from the store, in order.
    TargetsChanged(Vec<TargetChange>),
    /// The whole list of targets was read from the store.
    TargetsRead(TargetList),
    /// The complete set of draining halls was read from the store.
    DrainingHallsRead {
        /// The version of the store up to which the draining halls are known.
        version: u64,
        /// All draining halls.
        halls: Vec<Name>,
    },
    /// Halls started or stopped draining.
    DrainingHallsChanged {
        /// The version of the store up to which the draining halls are known.
        version: u64,
        /// The changes, in order; may be empty.
        changes: Vec<HallChange>,
    },
    /// The platform's store became unreachable (false) or reachable again (true).
    StoreReachable(bool),
    /// A table is known up to a version. Events with its changes precede this one.
    StoreAnswered {
        /// The table that was read.
        table: StoreTable,
        /// The version of the store up to which the table is known.
        version: u64,
        /// The time since the store was asked, in ms: for that long the version may be outdated.
        age_ms: Millis,
    },
    /// A configuration was read from the store.
    ConfigurationRead(Configuration),
    /// Hosts were read from the platform's table of hosts.
    HostsRead(Vec<HostInfo>),
    /// The time of [`crate::Dispatcher::next_timer`] has come.
    Tick,
    /// The process was asked to shut down gracefully.
    Stop {
        /// The longest time since the request, in ms: the grace period counts from there.
        age_ms: Millis,
    },
}

impl Event {
    /// Returns the name that logs and metrics use for a caller's request, "other" for any other
    /// event.
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
