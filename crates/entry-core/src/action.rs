//! Actions that a [`Host`](crate::Host) asks its environment to perform, and the telemetry
//! events that it emits for logs and metrics.

use gannetridge_entry_config::Urgency;
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::TableOp;
use gannetridge_entry_wire::target::{StartTask, TaskQuery};
use gannetridge_entry_wire::Answer;
use gannetridge_wire::Name;

use crate::event::{CallId, ChangeAnswer, RequestToken};

/// A kind of message that didn't contribute to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum WastedMessage {
    /// A target refused a start.
    StartRefused,
    /// A request to a target or a peer got no usable reply.
    Lost,
    /// A target was queried about a run.
    RunQueried,
    /// A submission was forwarded to a host that doesn't hold its shard.
    Misrouted,
    /// A borrow request brought no slots.
    NothingLent,
    /// All slots of a loan were returned unused.
    LoanUnused,
    /// A submission that the ledger knows was received again.
    Resubmitted,
    /// A task's result came after its job had ended.
    Late,
}

impl WastedMessage {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 8] = [
        Self::StartRefused,
        Self::Lost,
        Self::RunQueried,
        Self::Misrouted,
        Self::NothingLent,
        Self::LoanUnused,
        Self::Resubmitted,
        Self::Late,
    ];

    /// Returns the value of the metrics' label.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::StartRefused => "bounced",
            Self::Lost => "lost",
            Self::RunQueried => "asked-again",
            Self::Misrouted => "misrouted",
            Self::NothingLent => "borrowed-in-vain",
            Self::LoanUnused => "lent-in-vain",
            Self::Resubmitted => "resubmitted",
            Self::Late => "late",
        }
    }
}

/// An occurrence to be counted in metrics or written to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum TelemetryEvent {
    /// A job ended with a final answer.
    Finished {
        /// The client account.
        account: Name,
        /// The account's urgency.
        urgency: Urgency,
        /// True if all tasks have results, false if the job failed.
        complete: bool,
        /// From the job's acceptance by its owner to its answer, in µs.
        response_us: u64,
        /// The run time of the slowest task, in µs.
        ideal_us: u64,
    },
    /// A request was refused as not run.
    Refused {
        /// The client account.
        account: Name,
    },
    /// A message didn't contribute to an answer.
    Wasted(WastedMessage),
    /// This host acquired a shard.
    ShardAcquired {
        /// The shard's index within the hall.
        shard: u16,
        /// The shard's epoch.
        epoch: u64,
    },
    /// This host handed a shard over or lost it.
    ShardReleased {
        /// The shard's index within the hall.
        shard: u16,
    },
    /// The row of a document can't be decoded.
    FaultyDocument {
        /// The document's key.
        key: Name,
    },
    /// A configuration came into force.
    ConfigInForce {
        /// The configuration's version.
        version: u64,
    },
}

/// A request of a host to its environment.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller.
    Answer {
        /// Identifies the caller's request.
        token: RequestToken,
        /// The answer to send.
        answer: Answer,
    },
    /// Reply to a peer.
    Reply {
        /// Identifies the peer's request.
        token: RequestToken,
        /// The reply to send.
        reply: PeerReply,
    },
    /// Send a request to a peer.
    Call {
        /// Identifies the call in its [`PeerReply`](crate::Event::PeerReply).
        call: CallId,
        /// The peer's address, `ip:port`.
        address: Name,
        /// The request to send.
        request: PeerRequest,
        /// The timeout for the reply, in ms.
        wait_ms: u64,
    },
    /// Start a task on a target.
    Start {
        /// Identifies the call in its [`TaskReply`](crate::Event::TaskReply).
        call: CallId,
        /// The target's name.
        target: Name,
        /// The target's address, `ip:port`.
        address: Name,
        /// The task to start.
        start: Box<StartTask>,
        /// The timeout for the end of the task, in ms.
        wait_ms: u64,
    },
    /// Query a target about a task.
    Query {
        /// Identifies the call in its [`TaskReply`](crate::Event::TaskReply).
        call: CallId,
        /// The target's address, `ip:port`.
        address: Name,
        /// The query to send.
        query: TaskQuery,
        /// The timeout for the reply, in ms.
        wait_ms: u64,
    },
    /// Perform an operation on the platform's table.
    Table {
        /// Identifies the call in its [`TableReply`](crate::Event::TableReply).
        call: CallId,
        /// The operation to perform.
        op: TableOp,
    },
    /// Read the platform's list of targets.
    ReadList {
        /// Only changes since this version are wanted; 0 requests the whole list.
        after: u64,
    },
    /// Answer an operator's change request.
    ChangeAnswer {
        /// Identifies the operator's request.
        token: RequestToken,
        /// The answer to send.
        answer: ChangeAnswer,
    },
    /// Count or log an occurrence.
    Telemetry(TelemetryEvent),
    /// The host has shut down; the process may exit.
    Stopped,
}
