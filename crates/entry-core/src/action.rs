//! What a host wants done.

use gannetridge_entry_config::Urgency;
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::TableOp;
use gannetridge_entry_wire::target::{AskTask, StartTask};
use gannetridge_entry_wire::Answer;
use gannetridge_wire::Name;

use crate::event::{CallId, ChangeAnswer, Token};

/// A message that brought nobody nearer to an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Waste {
    /// A target refused a start.
    Bounced,
    /// A start or question failed on the way.
    Lost,
    /// A target was asked again.
    AskedAgain,
    /// A submission was passed to a host that doesn't hold its shard.
    Misrouted,
    /// A peer had nothing to lend.
    BorrowedInVain,
    /// A peer lent slots that no task used.
    LentInVain,
    /// A submission arrived again.
    Resubmitted,
    /// A task's result came when its job had failed.
    Late,
}

impl Waste {
    /// All kinds.
    pub const ALL: [Self; 8] = [
        Self::Bounced,
        Self::Lost,
        Self::AskedAgain,
        Self::Misrouted,
        Self::BorrowedInVain,
        Self::LentInVain,
        Self::Resubmitted,
        Self::Late,
    ];

    /// Returns the name that metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Bounced => "bounced",
            Self::Lost => "lost",
            Self::AskedAgain => "asked-again",
            Self::Misrouted => "misrouted",
            Self::BorrowedInVain => "borrowed-in-vain",
            Self::LentInVain => "lent-in-vain",
            Self::Resubmitted => "resubmitted",
            Self::Late => "late",
        }
    }
}

/// Something to count or to write to the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Note {
    /// A job got its final answer.
    Finished {
        /// The account.
        account: Name,
        /// Its urgency.
        urgency: Urgency,
        /// Whether the answer is complete.
        complete: bool,
        /// From the owner's first sight of the job to its answer, in µs.
        response_us: u64,
        /// The slowest task's own time, in µs.
        ideal_us: u64,
    },
    /// A request was refused as not run.
    Refused {
        /// The account.
        account: Name,
    },
    /// A message was wasted.
    Wasted(Waste),
    /// A shard came under this host's ownership.
    ShardAcquired {
        /// The shard.
        shard: u16,
        /// The epoch.
        epoch: u64,
    },
    /// A shard left this host's ownership.
    ShardReleased {
        /// The shard.
        shard: u16,
    },
    /// A configuration came into force.
    ConfigInForce {
        /// Its version.
        version: u64,
    },
}

/// What a host wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Answer a caller.
    Answer {
        /// The request.
        token: Token,
        /// The answer.
        answer: Answer,
    },
    /// Reply to a peer.
    Reply {
        /// The request.
        token: Token,
        /// The reply.
        reply: PeerReply,
    },
    /// Send a request to a peer.
    Call {
        /// The call.
        call: CallId,
        /// The peer's address.
        address: Name,
        /// The request.
        request: PeerRequest,
        /// How long to wait for the reply, in ms.
        wait_ms: u64,
    },
    /// Start a task on a target.
    Start {
        /// The call.
        call: CallId,
        /// The target's name.
        target: Name,
        /// The target's address.
        address: Name,
        /// The task.
        start: Box<StartTask>,
        /// How long to wait for the task's end, in ms.
        wait_ms: u64,
    },
    /// Ask a target about a task.
    Ask {
        /// The call.
        call: CallId,
        /// The target's address.
        address: Name,
        /// The question.
        ask: AskTask,
        /// How long to wait for the reply, in ms.
        wait_ms: u64,
    },
    /// Use the platform's table.
    Table {
        /// The call.
        call: CallId,
        /// The operation.
        op: TableOp,
    },
    /// Read the platform's list.
    ReadList {
        /// Only changes since this version are wanted; 0 for the whole list.
        after: u64,
    },
    /// Answer an operator.
    ChangeAnswer {
        /// The request.
        token: Token,
        /// The answer.
        answer: ChangeAnswer,
    },
    /// Count or log.
    Note(Note),
    /// The host has nothing left to do and may end.
    Stopped,
}
