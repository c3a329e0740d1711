//! The platform's list of targets, as the store holds it and hosts tell it each other.
//!
//! Hosts send these to each other, so fields stand by position: see [`crate::message`]. What a
//! host makes of them stands in `targets/list.rs` and in `store_news.rs`.

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::decision::EntryFault;
use crate::spec::Resources;

/// A target as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetEntry {
    /// The target's id; another incarnation has another.
    pub id: Name,
    /// Where it listens.
    pub address: Name,
    /// Its hall.
    pub hall: Name,
    /// Its pool.
    pub pool: Name,
    /// The resources that it has.
    pub capacity: Resources,
    /// Its kind, its rack and more.
    pub labels: Vec<Name>,
    /// Whether it leaves: it gets no new tasks.
    pub leaving: bool,
}

/// An entry of the platform's list that names no target to use: it can't be read, or says
/// what isn't known here. Other writers than targets may have written it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnusableEntry {
    /// The id under which it stands.
    pub id: Name,
    /// What is wrong with it.
    pub fault: EntryFault,
}

/// A change of the list of targets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TargetChange {
    /// The target is there, as described.
    #[serde(rename = "There")]
    Listed(TargetEntry),
    /// The target is gone.
    #[serde(rename = "Gone")]
    Removed(Name),
    /// The target's entry is unusable. Hosts of earlier releases can't read this: they
    /// read the list from the store instead.
    Unusable(UnusableEntry),
}

impl TargetChange {
    /// Returns the id of the target that it is about.
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
    /// The targets, as described.
    pub targets: Vec<TargetEntry>,
    /// The entries that name none to use.
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
    /// Returns the list as changes of an empty one.
    pub fn into_changes(self) -> impl Iterator<Item = TargetChange> {
        let targets = self.targets.into_iter().map(TargetChange::Listed);
        let unusable = self.unusable.into_iter().map(TargetChange::Unusable);
        targets.chain(unusable)
    }
}
