//! Messages between entry hosts and the platform: operations on its table and
//! its list of targets.

use serde::{Deserialize, Serialize};

use gannetridge_wire::Name;

/// A row of the platform's table, as read.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// Unique in the table.
    pub key: Name,
    /// Grows with each write of the row; never 0, which stands for an absent
    /// row.
    pub version: u64,
    /// A text whose format depends on the key.
    pub value: Name,
}

/// A precondition of a commit: the version that a row must have.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Check {
    /// The key of the row to check.
    pub key: Name,
    /// The required version; 0 for a row that must be absent.
    pub version: u64,
}

/// Creates or replaces a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Write {
    /// The key of the row to write.
    pub key: Name,
    /// The row's new value.
    pub value: Name,
}

/// An operation on the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum TableOp {
    /// Reads one row, if it exists.
    Get {
        /// The key of the row.
        key: Name,
    },
    /// Reads all rows whose keys begin with the prefix.
    Scan {
        /// The common start of the keys.
        prefix: Name,
    },
    /// Writes all rows atomically, or none if a check fails.
    Commit {
        /// The preconditions.
        checks: Vec<Check>,
        /// The rows to write.
        writes: Vec<Write>,
    },
}

/// The result of an operation on the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum TableResult {
    /// Answers a read.
    Rows {
        /// The rows found, in the order of their keys.
        rows: Vec<Row>,
    },
    /// All rows of the commit were written.
    Committed,
    /// A check failed; nothing was written.
    Conflict {
        /// The current state of the checked rows that exist.
        rows: Vec<Row>,
    },
}

/// What is known about an operation without a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableFailure {
    /// The operation wasn't carried out.
    NotDone,
    /// The operation may have been carried out.
    Unclear,
}

/// A target in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedTarget {
    /// Unique among all targets.
    pub name: Name,
    /// The address of its task interface, `ip:port`.
    pub address: Name,
    /// The hall of the worker machine on which it runs.
    pub hall: Name,
    /// The number of tasks that it can run at the same time.
    pub slots: u32,
    /// The number of slots in use when the platform last checked.
    #[serde(default)]
    pub busy: u32,
    /// True once the target is shutting down and accepts no new tasks.
    pub leaving: bool,
}

/// The platform's list of targets, or the changes in it since a version. It
/// lags behind the real state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetList {
    /// Grows with each change of the list; 0 for a list that was never read.
    #[serde(default)]
    pub version: u64,
    /// True for the complete list, false for the changes since the requested
    /// version.
    #[serde(default)]
    pub whole: bool,
    /// All live or leaving targets, or those that have changed. A new value of
    /// `busy` alone doesn't count as a change.
    pub targets: Vec<ListedTarget>,
    /// The targets removed since the requested version.
    #[serde(default)]
    pub gone: Vec<Name>,
}

impl TargetList {
    /// Creates a complete list.
    #[must_use]
    pub fn whole(version: u64, targets: Vec<ListedTarget>) -> Self {
        Self {
            version,
            whole: true,
            targets,
            gone: Vec::new(),
        }
    }

    /// Returns true if nothing has changed since the requested version.
    #[must_use]
    pub fn is_unchanged(&self) -> bool {
        !self.whole && self.targets.is_empty() && self.gone.is_empty()
    }

    /// Applies a newer reply to this complete list. Changes that aren't newer
    /// than the list are ignored. A complete list always replaces this one,
    /// since the version may fall when the platform restarts.
    pub fn merge(&mut self, newer: Self) {
        if newer.whole {
            *self = newer;
            return;
        }
        if newer.version <= self.version {
            return;
        }
        self.version = newer.version;
        self.targets.retain(|t| !newer.gone.contains(&t.name));
        for changed in newer.targets {
            match self.targets.iter_mut().find(|t| t.name == changed.name) {
                Some(target) => *target = changed,
                None => self.targets.push(changed),
            }
        }
    }
}
