//! What an entry host and the platform say to each other.

use serde::{Deserialize, Serialize};

use gannetridge_wire::Name;

/// A row of the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Row {
    /// The row's key.
    pub key: Name,
    /// Grows with each write of the row; 0 stands for an absent row.
    pub version: u64,
    /// The row's value.
    pub value: Name,
}

/// A version that a row must have for a commit to take place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Check {
    /// The row's key.
    pub key: Name,
    /// The version; 0 for a row that must be absent.
    pub version: u64,
}

/// A row's new value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Write {
    /// The row's key.
    pub key: Name,
    /// The value.
    pub value: Name,
}

/// An operation on the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "op", rename_all = "kebab-case")]
pub enum TableOp {
    /// Reads one row.
    Get {
        /// The row's key.
        key: Name,
    },
    /// Reads all rows whose keys begin with the prefix.
    Scan {
        /// The prefix.
        prefix: Name,
    },
    /// Writes all rows, or none if a check fails.
    Commit {
        /// What must hold.
        checks: Vec<Check>,
        /// What to write.
        writes: Vec<Write>,
    },
}

/// The table's answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "result", rename_all = "kebab-case")]
pub enum TableResult {
    /// The rows read.
    Rows {
        /// The rows, by key.
        rows: Vec<Row>,
    },
    /// The commit took place.
    Committed,
    /// A check failed; nothing was written.
    Conflict {
        /// The checked rows as they are.
        rows: Vec<Row>,
    },
}

/// Why the table gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TableFailure {
    /// The operation didn't take place.
    NotDone,
    /// The operation may have taken place.
    Unclear,
}

/// What the platform's list says of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct ListedTarget {
    /// The target's name.
    pub name: Name,
    /// Its address, `ip:port`.
    pub address: Name,
    /// Its hall.
    pub hall: Name,
    /// How many tasks it runs at once.
    pub slots: u32,
    /// How many it ran when the platform last looked.
    #[serde(default)]
    pub busy: u32,
    /// True once the target is leaving.
    pub leaving: bool,
}

/// The platform's lagging list, or what has changed in it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct TargetList {
    /// Grows with each change of the list; 0 for a list that was never read.
    #[serde(default)]
    pub version: u64,
    /// True if the list is whole, false if it holds only what has changed
    /// since the version that was asked for.
    #[serde(default)]
    pub whole: bool,
    /// The targets that are live or leaving. Usage alone is no change.
    pub targets: Vec<ListedTarget>,
    /// The targets that are listed no more.
    #[serde(default)]
    pub gone: Vec<Name>,
}

impl TargetList {
    /// Creates a whole list.
    #[must_use]
    pub fn whole(version: u64, targets: Vec<ListedTarget>) -> Self {
        Self {
            version,
            whole: true,
            targets,
            gone: Vec::new(),
        }
    }

    /// Tells whether nothing has changed since the version asked for.
    #[must_use]
    pub fn is_unchanged(&self) -> bool {
        !self.whole && self.targets.is_empty() && self.gone.is_empty()
    }

    /// Brings a whole list up to date. Changes older than the list are left
    /// aside; a whole list always counts, since the platform may begin anew.
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
