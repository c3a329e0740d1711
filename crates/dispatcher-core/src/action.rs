//! The output of a host: the calls, replies and log records that its process carries out without
//! decisions of its own.

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
    /// All tasks are done.
    Completed,
    /// A task has failed as often as its queue allows.
    Failed,
    /// The job could not end in time; some of it may have run.
    Unfinished,
    /// The job has not run and never will; the caller may retry.
    Refused {
        /// The delay before a retry, in ms.
        retry_after_ms: Millis,
    },
    /// The host has no configuration yet.
    NotReady,
    /// No queue matches the virtual host and path.
    NoQueue,
    /// The configuration of the queue can't be used.
    QueueUnusable,
    /// The job is unknown to this host.
    NoJob,
    /// The job can't be accepted.
    Bad(JobError),
    /// A task of the job has started.
    Running,
    /// No task of the job has started.
    Queued,
    /// The job was cancelled on request.
    Cancelled,
    /// The number of jobs of the queue that have not started.
    Pending(usize),
}

/// The parameters of a start on a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartOrder {
    /// The attempt's task and number.
    pub id: AttemptId,
    /// The task's input, opaque to the dispatcher.
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
    /// Renew the target's lease, and list the running and the ended attempts.
    Renew {
        /// The new end of the lease on the target's clock; `None` only lists.
        until: Option<Millis>,
        /// Acknowledges the ends with numbers up to this one.
        acknowledged: u64,
        /// How long the target may delay its reply until an attempt ends, in ms.
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

/// An action that a host requests from its process.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller.
    Answer {
        /// The caller's request.
        request_id: RequestId,
        /// The answer to send.
        answer: Answer,
    },
    /// Reply to a peer.
    Reply {
        /// The peer's request.
        request_id: RequestId,
        /// The reply to send.
        reply: Box<Reply>,
    },
    /// Send a request to a peer.
    Call {
        /// Identifies the reply to this call.
        call: CallId,
        /// The address at which the peer listens.
        address: SocketAddr,
        /// The request to send.
        envelope: Box<Envelope>,
        /// The timeout for the reply, in ms.
        wait_ms: Millis,
    },
    /// Send a call to a target.
    Target {
        /// Identifies the reply to this call.
        call: CallId,
        /// The id of the target incarnation that the call is meant for.
        id: Name,
        /// The address at which the target listens.
        address: Name,
        /// The fencing token under which this host calls.
        token: u64,
        /// The call to make.
        order: TargetCall,
        /// The timeout for the reply, in ms.
        wait_ms: Millis,
    },
    /// Log and count a decision.
    Record(Decision),
    /// The graceful shutdown is complete; the process may exit.
    Stopped,
}
