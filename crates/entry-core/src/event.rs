//! The events that a host handles, and the types they carry.

use gannetridge_entry_config::DocumentKey;
use gannetridge_entry_wire::peer::{ConfigDoc, PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{TableFailure, TableResult, TargetList};
use gannetridge_entry_wire::target::TaskReport;
use gannetridge_entry_wire::Submission;
use gannetridge_wire::Name;

/// Identifies a received request that the host has to answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestToken(pub u64);

/// Identifies a request that the host sends, to match it with its reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallId(pub u64);

/// The reason why a request got no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendFailure {
    /// No byte was written, so the receiver can't have seen the request.
    NotSent,
    /// The request was written in whole or in part; the receiver may have handled it.
    Unknown,
}

/// An operator's request to change a configuration document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChangeRequest {
    /// Unique per change; retries of a change carry the same id.
    pub change_id: Name,
    /// The document to change.
    pub key: DocumentKey,
    /// The document's version on which the change is based; 0 for a new document.
    pub read_at: u64,
    /// The new text of the whole document, TOML.
    pub text: Name,
}

/// The outcome of an operator's change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeAnswer {
    /// The change is stored durably.
    Accepted {
        /// The configuration's new version.
        version: u64,
    },
    /// The document is invalid; nothing was written.
    Faulty(gannetridge_entry_config::Faults),
    /// The document was changed after `read_at`; nothing was written.
    Conflict {
        /// The current document, if there is one.
        theirs: Option<ConfigDoc>,
    },
    /// The table can't be reached; nothing was written.
    Unavailable,
    /// The write may have taken place. The change may be retried with the same id.
    Unresolved,
}

/// An input of a host.
#[derive(Clone, Debug)]
pub enum Event {
    /// A caller sent a submission.
    Submit {
        /// Identifies the request in its answer.
        token: RequestToken,
        /// The submission as received.
        submission: Submission,
    },
    /// A peer sent a request.
    Peer {
        /// Identifies the request in its reply.
        token: RequestToken,
        /// The request as received.
        request: PeerRequest,
    },
    /// A call to a peer ended, with or without a reply.
    PeerReply {
        /// The call that ended.
        call: CallId,
        /// The reply, or why there is none.
        reply: Result<PeerReply, SendFailure>,
    },
    /// A start or query sent to a target ended, with or without a reply.
    TaskReply {
        /// The call that ended.
        call: CallId,
        /// The reply, or why there is none.
        reply: Result<TaskReport, SendFailure>,
    },
    /// An operation on the platform's table ended, with or without a result.
    TableReply {
        /// The call that ended.
        call: CallId,
        /// The result, or why there is none.
        reply: Result<TableResult, TableFailure>,
    },
    /// The platform's list of targets was read.
    Listed(TargetList),
    /// An operator requests a change.
    Change {
        /// Identifies the request in its answer.
        token: RequestToken,
        /// The requested change.
        change: ChangeRequest,
    },
    /// The time of [`Host::next_timer`](crate::Host::next_timer) has come.
    Tick,
    /// The process is asked to shut down gracefully.
    Stop,
}
