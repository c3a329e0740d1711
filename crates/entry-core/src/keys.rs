//! Keys of jobs, ledger entries and queue accounts, shared by several modules.

use gannetridge_entry_wire::SubmissionId;
use gannetridge_wire::Name;

/// A running job's number, unique on this host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobKey(pub u64);

/// The key of a ledger entry. Submission ids are unique only within an account.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct EntryKey {
    /// The client account.
    pub account: Name,
    /// The submission's id.
    pub submission: SubmissionId,
}

/// An account's index in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountIndex(pub(crate) usize);
