//! What happens to a host.

use gannetridge_entry_config::DocumentKey;
use gannetridge_entry_wire::peer::{ConfigDoc, PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{HostList, TableFailure, TableResult};
use gannetridge_entry_wire::target::TaskReport;
use gannetridge_entry_wire::Submission;
use gannetridge_wire::Name;

/// Stands for a request that the shell has read and will answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Token(pub u64);

/// Stands for a request that the host has asked the shell to send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// Why a request has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte was written.
    NotSent,
    /// The request was written, whole or in part.
    Unknown,
}

/// A change that an operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Unique; the same for each try of the same change.
    pub change_id: Name,
    /// The document.
    pub key: DocumentKey,
    /// The version at which the operator read it; 0 for a new document.
    pub read_at: u64,
    /// The new text.
    pub text: Name,
}

/// What became of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAnswer {
    /// The change is durable, with this version.
    Accepted {
        /// The configuration's new version.
        version: u64,
    },
    /// The document has faults.
    Faulty(gannetridge_entry_config::Faults),
    /// Another change came first; nothing was written.
    Conflict {
        /// The document as it stands, if there is one.
        theirs: Option<ConfigDoc>,
    },
    /// The table can't be reached; nothing was written.
    Unavailable,
    /// The write may have taken place. The same change id may be sent again.
    Unresolved,
}

/// What happens to a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a submission.
    Submit {
        /// The request.
        token: Token,
        /// The submission.
        submission: Submission,
    },
    /// A peer sent a request.
    Peer {
        /// The request.
        token: Token,
        /// Its contents.
        request: PeerRequest,
    },
    /// A peer replied, or didn't.
    PeerReply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Result<PeerReply, SendFailure>,
    },
    /// A target replied to a start or a question, or didn't.
    TaskReply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Result<TaskReport, SendFailure>,
    },
    /// The platform's table replied, or didn't.
    TableReply {
        /// The call.
        call: CallId,
        /// The reply.
        reply: Result<TableResult, TableFailure>,
    },
    /// The platform's list was read.
    Listed(HostList),
    /// An operator asks for a change.
    Change {
        /// The request.
        token: Token,
        /// The change.
        change: ChangeRequest,
    },
    /// A timer is due.
    Tick,
    /// The process is asked to stop in order.
    Stop,
}
