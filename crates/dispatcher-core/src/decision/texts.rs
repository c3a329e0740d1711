//! Reasons, states and sources of decisions, with their texts in logs and metrics.
//!
//! Operators search logs for these texts, and metrics use them as labels, so a text stays when its
//! variant is renamed. `docs/OPERATIONS.md` maps each text to the rule behind it.

use serde::{Deserialize, Serialize};

/// Declares an enum whose variants have a fixed text in logs and metrics.
macro_rules! named {
    ($(#[$meta:meta])* $name:ident { $($(#[$doc:meta])* $variant:ident = $text:literal,)+ }) => {
        $(#[$meta])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum $name {
            $($(#[$doc])* $variant,)+
        }

        impl $name {
            /// All variants, in the order of their declaration.
            pub const ALL: &'static [Self] = &[$(Self::$variant,)+];

            /// Returns the text that logs and metrics use.
            #[must_use]
            pub fn as_str(self) -> &'static str {
                match self {
                    $(Self::$variant => $text,)+
                }
            }
        }
    };
}

named! {
    /// Why a job ended; see `rules::giving_up`.
    EndCause {
        /// All tasks are done.
        Done = "done",
        /// A task failed as often as its queue allows.
        AttemptsExhausted = "attempts",
        /// Targets crashed while running one of its tasks; see `rules::crashes`.
        Crashing = "crashing",
        /// Targets crashed that may have been running one of its tasks.
        PerhapsCrashing = "perhaps crashing",
        /// The deadline has passed, or the remaining tasks can't end before it.
        Deadline = "deadline",
        /// No task started in the part of its time that a job may wait.
        NoResources = "no-room",
        /// The job would have been late while jobs waited that could still be on time.
        PassedOver = "passed over",
        /// On arrival, no target was expected to be free in time; see `rules::arrival`.
        RefusedOnArrival = "refused on arrival",
        /// No known target could ever run one of its tasks.
        TooLarge = "too-large",
        /// Only targets in draining halls could run one of its tasks.
        Draining = "draining",
        /// The caller disconnected.
        CallerGone = "caller-gone",
        /// The caller cancelled the job.
        Cancelled = "cancelled",
        /// The host is shutting down gracefully.
        Stopping = "stopping",
    }
}

named! {
    /// Why a request was rejected before it became a job; see `rules::admission`.
    Rejection {
        /// The host has no configuration yet.
        NoConfiguration = "no configuration",
        /// No queue matches the virtual host and path.
        UnknownQueue = "no such queue",
        /// The configuration of the queue can't be used.
        UnusableQueue = "unusable queue",
        /// The job's description is invalid or uses an unsupported feature.
        BadJob = "bad job",
        /// The host has too many jobs, or no memory for this one.
        Full = "full",
        /// The host is shutting down and stops before the job's latency objective.
        Stopping = "stopping",
    }
}

named! {
    /// The forecast for a job on its arrival; see `rules::arrival`.
    Forecast {
        /// The job can be on time.
        OnTime = "on time",
        /// The job will be late, but takes no capacity from jobs on time.
        Late = "late",
        /// Too little is known of the pool's load; the job is accepted.
        Unknown = "unknown",
        /// The job can't be served in time and is refused.
        Refused = "refused",
    }
}

named! {
    /// Why a running attempt is stopped.
    StopReason {
        /// The job has ended.
        JobEnded = "job ended",
        /// The owner has given up the attempt's session.
        NewSession = "owner's new session",
        /// The owner lease expired: no message of the owner renewed it in time.
        OwnerSilent = "owner silent",
        /// The owner requested the stop.
        Requested = "asked",
        /// The attempt runs far longer than estimated; see `rules::target_health`.
        Overrun = "overrun",
        /// The attempt makes no progress; see `rules::progress`.
        Stalled = "stalled",
    }
}

named! {
    /// The evidence that an attempt has ended.
    EndEvidence {
        /// The target listed the end.
        Listed = "listed",
        /// The target no longer lists the attempt as running.
        NotListed = "not listed",
        /// The target's lease expired, so the target has ended the attempt.
        LeaseExpired = "hold over",
        /// Another incarnation of the target has replaced the attempt's.
        WrongIncarnation = "other life",
        /// The start arrived after its start deadline.
        StartDeadlinePassed = "late",
        /// The target had too few free resources for the start.
        InsufficientResources = "full",
        /// The target has seen this or a later attempt at the task.
        StaleAttempt = "outnumbered",
        /// The target refused the start for another reason.
        Refused = "refused",
        /// The target has seen a higher fencing token of another host.
        StaleToken = "fenced",
        /// The start was not sent.
        NotSent = "not sent",
        /// The start got no reply; used only by tests that disable a safeguard.
        NoReply = "no reply",
    }
}

named! {
    /// Why an entry of the platform's list is unusable.
    #[derive(PartialOrd, Ord, Serialize, Deserialize)]
    EntryFault {
        /// The bytes aren't in the platform's encoding.
        Encoding = "encoding",
        /// The text isn't a document in the platform's format.
        Syntax = "syntax",
        /// A field is missing, duplicated or of another type.
        Fields = "fields",
        /// The target's state is unknown to this release.
        State = "state",
        /// No call can be made to the id and address.
        Address = "address",
    }
}

named! {
    /// The assumed state of a task that ran on a crashing target.
    Suspicion {
        /// The task is to run alone on a target, if one is idle soon.
        Suspect = "suspect",
        /// The task is done, so it is no longer suspected.
        Cleared = "cleared",
        /// The task isn't started again.
        GivenUp = "given up",
    }
}

named! {
    /// The state of a target as known to a host.
    TargetState {
        /// The target is listed as leaving.
        Leaving = "leaving",
        /// The target's entry is unusable.
        Unusable = "unusable",
        /// The target's entry is usable again.
        Usable = "usable",
        /// The target reports a capacity that can't be read.
        CapacityUnusable = "capacity unusable",
        /// The target's hall is draining.
        HallDraining = "hall draining",
        /// The target's hall is no longer draining.
        HallServing = "hall serving",
        /// The target isn't listed.
        NotListed = "not listed",
        /// The target is removed: it isn't listed, and nothing can run on it.
        Removed = "gone",
        /// The target has restarted under the same id.
        Restarted = "restarted",
        /// The target replies again.
        Answers = "answers",
        /// The target doesn't reply.
        Silent = "silent",
        /// This host is acquiring the lease.
        Acquiring = "taking",
        /// This host is reacquiring the lease from the host that acquired it meanwhile.
        Reacquiring = "taking back",
        /// This host holds the lease.
        Held = "kept",
        /// This host has given up or lost the lease.
        Released = "left to others",
    }
}

named! {
    /// The source of a change in the known state of a target.
    StateSource {
        /// The platform's list of targets.
        List = "list",
        /// An operator's request.
        Operator = "operator",
        /// A renewal of the lease.
        Renewal = "hold",
        /// A start.
        Start = "start",
        /// A stop.
        Stop = "stop",
        /// The assignment of targets to hosts.
        Assignment = "assignment",
        /// The assignment of the target to another host.
        AssignedElsewhere = "another host's",
        /// A reply that the target has seen a higher fencing token.
        StaleToken = "fenced",
        /// A reply of another incarnation, whether under the same id or another.
        WrongIncarnation = "other life",
    }
}

named! {
    /// The assumed state of a peer.
    PeerState {
        /// The peer replied recently enough.
        Alive = "lives",
        /// The peer didn't reply recently enough, or its address refuses connections.
        Silent = "silent",
    }
}

named! {
    /// The source of a configuration, or of a change of draining halls.
    ConfigurationSource {
        /// The platform's store.
        Store = "store",
        /// A peer with a newer version.
        Peer = "peer",
    }
}

named! {
    /// How a host learns the contents of the platform's store; see
    /// [`crate::rules::store_readers`].
    StoreReading {
        /// The host reads the store for itself alone.
        Alone = "alone",
        /// The host reads the store, and peers request updates from it.
        Reader = "reader",
        /// The host requests updates from peers.
        FromPeers = "told",
        /// No peer sent updates in time, so the host reads the store itself.
        Stale = "stale",
    }
}
