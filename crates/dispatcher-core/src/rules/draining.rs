//! Tracks which halls the operator drains, so that they get no tasks.
//!
//! **Rule.** Once a host knows that a hall is draining, it starts nothing there, for any owner:
//! none of the hall's targets counts as usable, so that their resources are neither used, reserved
//! nor advertised. Running attempts continue to their end. A hall that is taken back serves again
//! at once. The state of all halls belongs to one version of the platform's store: an older version
//! never replaces a newer one, whichever way it arrived. A job with a task that only draining halls
//! have targets for is refused at once.
//!
//! **Inputs.** The draining halls and the store's version at which they were read, from the store
//! or from another host. **Reason.** While one of three halls drained for 8 s, 2,515 starts came
//! later than allowed without this rule. **Trade-off.** A host that knows nothing yet, because
//! neither the store nor a peer is reachable, treats no hall as draining: otherwise the loss of the
//! store would stop the deployment.

use std::collections::BTreeSet;
use std::sync::Arc;

use gannetridge_wire::Name;

use crate::event::HallChange;

/// A shared, immutable set of draining halls.
pub type HallSet = Arc<BTreeSet<Name>>;

/// The draining halls that a host knows of, with their version.
#[derive(Clone, Debug, Default)]
pub struct DrainingHalls {
    halls: HallSet,
    /// The version of the store at which they were read; none if never.
    version: Option<u64>,
}

impl DrainingHalls {
    /// Returns the halls known to be draining.
    #[must_use]
    pub fn halls(&self) -> &HallSet {
        &self.halls
    }

    /// Returns the version of the store at which they were read; none if never.
    #[must_use]
    pub fn version(&self) -> Option<u64> {
        self.version
    }

    /// Replaces the set by the halls that drain at a version; returns the changes, none if a newer
    /// version was known.
    pub fn replace(
        &mut self,
        version: u64,
        halls: impl IntoIterator<Item = Name>,
    ) -> Vec<HallChange> {
        if !self.advance(version) {
            return Vec::new();
        }
        let halls: BTreeSet<Name> = halls.into_iter().collect();
        let change = |hall: &Name, draining| HallChange {
            hall: hall.clone(),
            draining,
        };
        let started = halls.difference(&self.halls);
        let ended = self.halls.difference(&halls);
        let changes = started
            .map(|hall| change(hall, true))
            .chain(ended.map(|hall| change(hall, false)))
            .collect();
        self.halls = Arc::new(halls);
        changes
    }

    /// Applies changes up to a version in order; returns those that were new.
    pub fn apply(&mut self, version: u64, changes: &[HallChange]) -> Vec<HallChange> {
        let mut halls = BTreeSet::clone(&self.halls);
        for change in changes {
            if change.draining {
                halls.insert(change.hall.clone());
            } else {
                halls.remove(&change.hall);
            }
        }
        self.replace(version, halls)
    }

    /// Advances to a version; returns false, without effect, if a newer one was known.
    fn advance(&mut self, version: u64) -> bool {
        if self.version.is_some_and(|known| known > version) {
            return false;
        }
        self.version = Some(version);
        true
    }
}
