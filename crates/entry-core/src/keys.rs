//! Names of jobs, of the ledger's entries and of the queue's accounts, which the modules
//! that own these have in common.

use gannetridge_entry_wire::SubmissionId;
use gannetridge_wire::Name;

/// A running job's number on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

/// Names an entry: ids are the accounts' own.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryKey {
    /// The account.
    pub account: Name,
    /// The submission.
    pub submission: SubmissionId,
}

/// An account's position in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountIndex(pub(crate) usize);
