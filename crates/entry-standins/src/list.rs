//! The platform's list of targets, which can be read as changes since a
//! version.

use std::collections::BTreeMap;

use gannetridge_entry_wire::platform::{ListedTarget, TargetList};
use gannetridge_wire::Name;

/// The number of removed targets to remember. A reader at a version before these
/// removals gets the complete list.
const MAX_REMOVED_TARGETS: usize = 4_096;

/// A list of targets that records the version of each change.
#[derive(Clone, Debug, Default)]
pub struct VersionedTargetList {
    version: u64,
    /// Listed targets, with the version of their last change.
    targets: BTreeMap<Name, (u64, ListedTarget)>,
    /// Removed targets, by the version of their removal.
    removed: BTreeMap<u64, Name>,
    /// Removals up to this version are no longer in `removed`.
    discarded_up_to: u64,
}

impl VersionedTargetList {
    /// Replaces the listed targets and records what has changed.
    pub fn refresh(&mut self, targets: Vec<ListedTarget>) {
        let current: BTreeMap<&Name, ()> = targets.iter().map(|t| (&t.name, ())).collect();
        let listed: Vec<Name> = self.targets.keys().cloned().collect();
        for name in listed
            .into_iter()
            .filter(|name| !current.contains_key(name))
        {
            self.targets.remove(&name);
            self.version += 1;
            self.removed.insert(self.version, name);
        }
        for target in targets {
            self.record(target);
        }
        while self.removed.len() > MAX_REMOVED_TARGETS {
            if let Some((version, _)) = self.removed.pop_first() {
                self.discarded_up_to = version;
            }
        }
    }

    fn record(&mut self, target: ListedTarget) {
        let known = self.targets.get_mut(&target.name);
        if let Some((_, known)) = known {
            // Usage changes all the time, so it alone makes no new version.
            known.busy = target.busy;
            if *known == target {
                return;
            }
        }
        self.version += 1;
        let entry = (self.version, target);
        self.targets.insert(entry.1.name.clone(), entry);
    }

    /// Returns the changes since the version `after`, or the complete list if
    /// `after` is 0, unknown or too old.
    #[must_use]
    pub fn read(&self, after: u64) -> TargetList {
        let changes_known = after > 0 && after >= self.discarded_up_to && after <= self.version;
        if !changes_known {
            let targets = self.targets.values().map(|(_, t)| t.clone()).collect();
            return TargetList::whole(self.version, targets);
        }
        let changed = self.targets.values().filter(|(v, _)| *v > after);
        let gone = self.removed.range(after + 1..).map(|(_, name)| name);
        // A removed target may have been listed again since.
        let gone = gone.filter(|name| !self.targets.contains_key(*name));
        TargetList {
            version: self.version,
            whole: false,
            targets: changed.map(|(_, t)| t.clone()).collect(),
            gone: gone.cloned().collect(),
        }
    }
}
