//! The platform's list of targets, with a memory of what changed when.

use std::collections::BTreeMap;

use gannetridge_entry_wire::platform::{ListedTarget, TargetList};
use gannetridge_wire::Name;

/// Targets that are gone and still told of; older ones make a reader get the
/// whole list.
const MOST_GONE: usize = 4_096;

/// A list that can tell what changed since a version.
#[derive(Clone, Debug, Default)]
pub struct VersionedTargetList {
    version: u64,
    targets: BTreeMap<Name, (u64, ListedTarget)>,
    gone: BTreeMap<u64, Name>,
    /// Changes up to this version are not told one by one any more.
    forgotten: u64,
}

impl VersionedTargetList {
    /// Takes over what the targets are now.
    pub fn refresh(&mut self, targets: Vec<ListedTarget>) {
        let names: BTreeMap<&Name, ()> = targets.iter().map(|t| (&t.name, ())).collect();
        let gone: Vec<Name> = self.targets.keys().cloned().collect();
        for name in gone.into_iter().filter(|name| !names.contains_key(name)) {
            self.targets.remove(&name);
            self.version += 1;
            self.gone.insert(self.version, name);
        }
        for target in targets {
            self.note(target);
        }
        while self.gone.len() > MOST_GONE {
            if let Some((version, _)) = self.gone.pop_first() {
                self.forgotten = version;
            }
        }
    }

    fn note(&mut self, target: ListedTarget) {
        let known = self.targets.get_mut(&target.name);
        if let Some((_, known)) = known {
            // Usage changes all the time, and alone is no change.
            known.busy = target.busy;
            if *known == target {
                return;
            }
        }
        self.version += 1;
        let entry = (self.version, target);
        self.targets.insert(entry.1.name.clone(), entry);
    }

    /// Returns what has changed since a version, or the whole list for
    /// version 0 and for those that are not remembered.
    #[must_use]
    pub fn read(&self, after: u64) -> TargetList {
        let known = after > 0 && after >= self.forgotten && after <= self.version;
        if !known {
            let targets = self.targets.values().map(|(_, t)| t.clone()).collect();
            return TargetList::whole(self.version, targets);
        }
        let changed = self.targets.values().filter(|(v, _)| *v > after);
        let gone = self.gone.range(after + 1..).map(|(_, name)| name);
        // A name that came back is listed, not gone.
        let gone = gone.filter(|name| !self.targets.contains_key(*name));
        TargetList {
            version: self.version,
            whole: false,
            targets: changed.map(|(_, t)| t.clone()).collect(),
            gone: gone.cloned().collect(),
        }
    }
}
