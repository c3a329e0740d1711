//! The platform's list of targets, as read from the store and as sent between hosts.
//!
//! Messages encode these types by position: see [`crate::message`]. `targets/list.rs` and
//! `store_replica.rs` apply the changes.

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::decision::EntryFault;
use crate::event::ProcessStartTime;
use crate::spec::Resources;

/// A target in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target's id. It normally identifies one incarnation, but a target may restart under it.
    pub id: Name,
    /// The address at which the target listens.
    pub address: Name,
    /// Its data hall.
    pub hall: Name,
    /// The pool to which it belongs.
    pub pool: Name,
    /// The resources that it offers in total.
    pub capacity: Resources,
    /// Labels for requirements and locality, such as its kind and its rack.
    pub labels: Vec<Name>,
    /// True if the target is leaving: it gets no new tasks.
    pub leaving: bool,
    /// When the incarnation that wrote the entry started, if the entry says so. Hosts of earlier
    /// releases can't decode an entry with it and read the list from the store instead.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub process_start: Option<ProcessStartTime>,
}

/// An entry of the platform's list that can't be used: it can't be read, or has a value that this
/// release doesn't know. Other programs than targets may have written it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableEntry {
    /// The id under which it is listed.
    pub id: Name,
    /// Why the entry is unusable.
    pub fault: EntryFault,
}

/// A change of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The target was added, or its entry changed.
    #[serde(rename = "There")]
    Listed(TargetEntry),
    /// The target was removed.
    #[serde(rename = "Gone")]
    Removed(Name),
    /// The target's entry is unusable. Hosts of earlier releases can't decode this and read the
    /// list from the store instead.
    Unusable(UnusableEntry),
}

impl TargetChange {
    /// Returns the id of the changed entry.
    #[must_use]
    pub fn id(&self) -> &Name {
        match self {
            Self::Listed(entry) => &entry.id,
            Self::Removed(id) => id,
            Self::Unusable(entry) => &entry.id,
        }
    }
}

/// The whole list of targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetList {
    /// The usable entries.
    pub targets: Vec<TargetEntry>,
    /// The entries that can't be used.
    pub unusable: Vec<UnusableEntry>,
}

impl From<Vec<TargetEntry>> for TargetList {
    fn from(targets: Vec<TargetEntry>) -> Self {
        Self {
            targets,
            unusable: Vec::new(),
        }
    }
}

impl TargetList {
    /// Returns the changes that turn an empty list into this one.
    pub fn into_changes(self) -> impl Iterator<Item = TargetChange> {
        let targets = self.targets.into_iter().map(TargetChange::Listed);
        let unusable = self.unusable.into_iter().map(TargetChange::Unusable);
        targets.chain(unusable)
    }
}
