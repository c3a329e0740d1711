//! What a host tells its log and its metrics.

use gannetridge_wire::Name;

use crate::message::{AttemptId, AttemptOutcome};
use crate::Millis;

/// Why a job ended as it did.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// All tasks are done.
    Done,
    /// A task failed as often as its queue allows.
    Attempts,
    /// The time is up, or the rest can't end in time.
    Deadline,
    /// Nothing of it began in the time that is right to wait.
    NoRoom,
    /// No target could ever run one of its tasks.
    TooLarge,
    /// The caller is gone.
    CallerGone,
    /// The caller took it back.
    Cancelled,
    /// The host stops in order.
    Stopping,
}

impl Cause {
    /// Returns the name that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::NoRoom => "no-room",
            Self::TooLarge => "too-large",
            Self::CallerGone => "caller-gone",
            Self::Cancelled => "cancelled",
            Self::Stopping => "stopping",
        }
    }
}

/// A decision, or a change of what the host believes.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was taken.
    JobTaken {
        /// The job.
        job: Name,
        /// Its queue.
        queue: Name,
        /// How many tasks it has.
        tasks: usize,
        /// Its aim, from now.
        objective_ms: Millis,
        /// How long its caller waits.
        deadline_ms: Millis,
        /// The version of the configuration that it was taken under.
        version: u64,
    },
    /// A request wasn't taken.
    JobRejected {
        /// The path that the caller named.
        path: Name,
        /// Why.
        reason: &'static str,
        /// The version of the configuration.
        version: u64,
    },
    /// A job ended.
    JobEnded {
        /// The job.
        job: Name,
        /// Its queue.
        queue: Name,
        /// Why.
        cause: Cause,
        /// Tasks done.
        done: usize,
        /// Starts asked for.
        starts: u32,
        /// Since it was taken.
        took_ms: Millis,
        /// Its aim.
        objective_ms: Millis,
    },
    /// Tasks were handed to a peer.
    Asked {
        /// The peer.
        peer: Name,
        /// The first task.
        first: AttemptId,
        /// How many.
        tasks: usize,
        /// Age of what is known of the peer's room.
        age_ms: Millis,
    },
    /// A task is started on a target.
    Started {
        /// The run.
        key: AttemptId,
        /// The target.
        target: Name,
        /// The owner of the job.
        owner: Name,
        /// Thousandths of a core that stay free.
        left_cpu: u32,
    },
    /// A run has ended.
    RunEnded {
        /// The run.
        key: AttemptId,
        /// The target.
        target: Name,
        /// How.
        end: AttemptOutcome,
        /// What showed it.
        by: &'static str,
        /// Since its start was sent.
        took_ms: Millis,
    },
    /// Runs are being ended.
    Stopping {
        /// The run.
        key: AttemptId,
        /// The target.
        target: Name,
        /// Why.
        reason: &'static str,
    },
    /// What the host believes of a target changed.
    Target {
        /// The target.
        target: Name,
        /// The new belief.
        state: &'static str,
        /// What showed it.
        by: &'static str,
    },
    /// What the host believes of a peer changed.
    Peer {
        /// The peer.
        peer: Name,
        /// The new belief.
        state: &'static str,
        /// Since it was last heard.
        silent_ms: Millis,
    },
    /// Runs at a peer are given up.
    SessionLost {
        /// The peer.
        peer: Name,
        /// The runs.
        attempts: usize,
        /// Until they are over for sure.
        over_in_ms: Millis,
    },
    /// A configuration is in force.
    Queues {
        /// Its version.
        version: u64,
        /// From the store or from a peer.
        from: &'static str,
    },
    /// The platform's store was lost or is back.
    Store {
        /// Whether it answers.
        reachable: bool,
    },
}
