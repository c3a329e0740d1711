//! Reasons, states and sources, and the texts by which logs and metrics name them.
//!
//! Each is an enum whose text stands beside its variants, once: operators search logs for
//! these texts, and metrics carry them as labels, so they stay when a variant gets a better
//! name. `docs/OPERATIONS.md` leads from each of them to the rule behind it.

use serde::{Deserialize, Serialize};

/// Declares an enum whose variants have a text in logs and metrics.
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
    /// Why a job ended as it did; see `rules::giving_up`.
    EndCause {
        /// All tasks are done.
        Done = "done",
        /// A task failed as often as its queue allows.
        AttemptsExhausted = "attempts",
        /// Targets crashed under one of its tasks; see `rules::crashes`.
        Crashing = "crashing",
        /// Targets crashed on which one of its tasks may have run.
        PerhapsCrashing = "perhaps crashing",
        /// The deadline has passed, or what is left can't end before it.
        Deadline = "deadline",
        /// No task started in the part of the time in which waiting pays.
        NoResources = "no-room",
        /// It was going to be late, and jobs waited that could still be on time.
        PassedOver = "passed over",
        /// On its arrival no target was expected to have room in time; see `rules::arrival`.
        RefusedOnArrival = "refused on arrival",
        /// No known target could ever run one of its tasks.
        TooLarge = "too-large",
        /// Only targets in draining halls could run one of its tasks.
        Draining = "draining",
        /// The caller is gone.
        CallerGone = "caller-gone",
        /// The caller cancelled it.
        Cancelled = "cancelled",
        /// The host stops in order.
        Stopping = "stopping",
    }
}

named! {
    /// Why a request was rejected before it became a job; see
    /// `rules::admission`.
    Rejection {
        /// The host has no configuration yet.
        NoConfiguration = "no configuration",
        /// No queue has this virtual host and path.
        UnknownQueue = "no such queue",
        /// The job's description is faulty or asks for what isn't supported.
        BadJob = "bad job",
        /// The host stops before the job's objective.
        Stopping = "stopping",
    }
}

named! {
    /// What a host expects of a job on its arrival; see `rules::arrival`.
    Forecast {
        /// It can be on time.
        OnTime = "on time",
        /// It will be late, and takes no room from jobs on time.
        Late = "late",
        /// Too little is known of the pool's load; the job is taken.
        Unknown = "unknown",
        /// It can't be served in time; the job is refused.
        Refused = "refused",
    }
}

named! {
    /// Why a running attempt is stopped.
    StopReason {
        /// Its job has ended.
        JobEnded = "job ended",
        /// Its owner has given up the session that it belongs to.
        NewSession = "owner's new session",
        /// Its owner's lease expired: no heartbeat came in time.
        OwnerSilent = "owner silent",
        /// Its owner asked for it.
        Requested = "asked",
        /// It runs far longer than estimated; see `rules::target_health`.
        Overrun = "overrun",
        /// It stands still; see `rules::progress`.
        Stalled = "stalled",
    }
}

named! {
    /// What showed that an attempt is over.
    EndEvidence {
        /// The target listed its end.
        Listed = "listed",
        /// The target no longer lists it as running.
        NotListed = "not listed",
        /// The target's lease expired, so the target has ended it.
        LeaseExpired = "hold over",
        /// The target's process is another one by now.
        WrongIncarnation = "other life",
        /// The start arrived after its start deadline.
        StartDeadlinePassed = "late",
        /// The target had too few free resources for the start.
        InsufficientResources = "full",
        /// The target has seen this or a later attempt of the task.
        StaleAttempt = "outnumbered",
        /// The target refused the start for reasons of its own.
        Refused = "refused",
        /// Another host's fencing token is higher.
        StaleToken = "fenced",
        /// No byte of the start was sent.
        NotSent = "not sent",
        /// No reply to the start came; only tests end an attempt by this.
        NoReply = "no reply",
    }
}

named! {
    /// Why an entry of the platform's list names no target to use.
    #[derive(PartialOrd, Ord, Serialize, Deserialize)]
    EntryFault {
        /// Its bytes are in another encoding than the platform's.
        Encoding = "encoding",
        /// They aren't a document of the platform's form.
        Syntax = "syntax",
        /// A field is missing, stands there twice or has another type.
        Fields = "fields",
        /// Its state isn't one that is known.
        State = "state",
        /// Nothing can be called under its id and address.
        Address = "address",
    }
}

named! {
    /// What a host came to believe of a task under which a target crashed.
    Suspicion {
        /// It runs alone on a target, or does so if one is empty soon.
        Suspect = "suspect",
        /// It is done.
        Cleared = "cleared",
        /// It is started no more.
        GivenUp = "given up",
    }
}

named! {
    /// What a host came to believe of a target.
    TargetState {
        /// The list shows it as leaving.
        Leaving = "leaving",
        /// Its entry names no target to use.
        Unusable = "unusable",
        /// Its entry names a target again.
        Usable = "usable",
        /// Its listing tells a capacity that can't be read.
        CapacityUnusable = "capacity unusable",
        /// Its hall is draining.
        HallDraining = "hall draining",
        /// Its hall no longer drains.
        HallServing = "hall serving",
        /// The list doesn't show it.
        NotListed = "not listed",
        /// It is forgotten: not listed, and nothing can run there.
        Removed = "gone",
        /// It has started again under its id.
        Restarted = "restarted",
        /// It answers again.
        Answers = "answers",
        /// It doesn't answer.
        Silent = "silent",
        /// This host acquires its lease.
        Acquiring = "taking",
        /// This host acquires its lease again from the host that took it.
        Reacquiring = "taking back",
        /// This host holds its lease.
        Held = "kept",
        /// This host has given its lease up, or lost it.
        Released = "left to others",
    }
}

named! {
    /// What changed the belief about a target.
    StateSource {
        /// The platform's list of targets.
        List = "list",
        /// The operator.
        Operator = "operator",
        /// A renewal of its lease.
        Renewal = "hold",
        /// A start.
        Start = "start",
        /// A stop.
        Stop = "stop",
        /// The assignment of targets to hosts.
        Assignment = "assignment",
        /// The assignment: the target is another host's.
        AssignedElsewhere = "another host's",
        /// A reply that a higher fencing token has been seen.
        StaleToken = "fenced",
        /// A reply of another incarnation, or of another life under the same id.
        WrongIncarnation = "other life",
    }
}

named! {
    /// Whether a peer is taken to live.
    PeerState {
        /// It answered lately enough.
        Alive = "lives",
        /// It didn't, or its address refuses connections.
        Silent = "silent",
    }
}

named! {
    /// Where a configuration, or news of draining halls, came from.
    ConfigurationSource {
        /// The platform's store.
        Store = "store",
        /// A peer that knew more.
        Peer = "peer",
    }
}

named! {
    /// How a host learns what the platform's store holds; see
    /// [`crate::rules::store_readers`].
    StoreReading {
        /// It reads for itself alone.
        Alone = "alone",
        /// It reads, and others ask it.
        Reader = "reader",
        /// Others tell it.
        FromPeers = "told",
        /// Nobody told it in time: it reads for itself.
        Stale = "stale",
    }
}
