//! What a host wants done. Whoever carries an action out decides nothing more.

use std::net::SocketAddr;

use gannetridge_wire::Name;

use crate::decision::Decision;
use crate::event::{CallId, RequestId};
use crate::message::{AttemptId, Envelope, Reply};
use crate::spec::JobError;
use crate::Millis;

/// An answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// All tasks have ended well.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The job could not end in time; some of it may have run.
    Unfinished,
    /// The job has not run and never will; the caller may come back.
    Refused {
        /// When to come back, in ms.
        retry_after_ms: Millis,
    },
    /// There is no configuration yet.
    NotReady,
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// The job can't be accepted.
    Bad(JobError),
    /// The job runs.
    Running,
    /// The job waits.
    Queued,
    /// The job is cancelled.
    Cancelled,
    /// So many jobs of the queue have not begun.
    Pending(usize),
}

/// A task to be started on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The attempt.
    pub id: AttemptId,
    /// What the task is given to work on.
    pub specification: Name,
    /// The start deadline, and the end of the target's lease, on the target's clock.
    pub until: Millis,
}

/// A call to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TargetCall {
    /// Start a task.
    Start(StartOrder),
    /// Stop an attempt.
    Stop(AttemptId),
    /// Renew the target's lease, and list what runs and what has ended.
    Renew {
        /// The end of the lease on the target's clock, if it is renewed.
        until: Option<Millis>,
        /// Ends up to this number are acknowledged.
        acknowledged: u64,
        /// How long the target may wait for an end before it answers, in ms.
        wait_ms: Millis,
    },
}

impl TargetCall {
    /// Returns the name that logs and metrics use.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Start(_) => "start",
            Self::Stop(_) => "stop",
            Self::Renew { .. } => "hold",
        }
    }
}

/// What a host wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller.
    Answer {
        /// The request.
        request_id: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Reply to a peer.
    Reply {
        /// The request.
        request_id: RequestId,
        /// The reply.
        reply: Box<Reply>,
    },
    /// Send a request to a peer.
    Call {
        /// The call.
        call: CallId,
        /// The peer's address.
        address: SocketAddr,
        /// The request.
        envelope: Box<Envelope>,
        /// How long to wait for the reply, in ms.
        wait_ms: Millis,
    },
    /// Call a target.
    Target {
        /// The call.
        call: CallId,
        /// The target's id: of the incarnation that is meant.
        id: Name,
        /// The target's address.
        address: Name,
        /// This host's fencing token.
        token: u64,
        /// What is asked.
        order: TargetCall,
        /// How long to wait for the reply, in ms.
        wait_ms: Millis,
    },
    /// Log and count a decision.
    Record(Decision),
    /// The host has nothing left to do and may end.
    Stopped,
}
