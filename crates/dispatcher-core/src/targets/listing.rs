//! The platform's list of targets.

use super::*;

impl TargetLeases {
    /// Tells whether a target that isn't listed is gone.
    pub(super) fn list_settled(&self, now: Millis) -> bool {
        let back = self.store_back.unwrap_or(0);
        self.store_reachable && back + BACK_AFTER_MS <= now
    }

    /// Takes a change of the list of targets in.
    pub fn change(&mut self, now: Millis, changes: Vec<TargetChange>) {
        for change in changes {
            match change {
                TargetChange::There(entry) => self.listed(entry),
                TargetChange::Gone(id) => self.unlisted(now, &id),
            }
        }
    }

    /// Takes the whole list of targets in.
    pub fn read(&mut self, now: Millis, entries: Vec<TargetEntry>) {
        let there: Vec<Name> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.listed(entry);
        }
        let missing = self.targets.keys().filter(|id| !there.contains(id));
        let missing: Vec<Name> = missing.cloned().collect();
        for id in missing {
            self.unlisted(now, &id);
        }
    }

    pub(super) fn listed(&mut self, entry: TargetEntry) {
        let id = entry.id.clone();
        match self.targets.get_mut(&id) {
            Some(target) => {
                if entry.leaving && !target.entry.leaving {
                    self.record_target(&id, "leaving", "list");
                }
                let target = self.targets.get_mut(&id).expect("just found");
                target.entry = entry;
                target.unlisted_since = None;
            }
            None => {
                self.targets.insert(id, Target::new(entry));
                self.assignment_stale = true;
            }
        }
    }

    pub(super) fn unlisted(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            if target.unlisted_since.is_none() {
                target.unlisted_since = Some(now);
                self.record_target(id, "not listed", "list");
            }
        }
    }

    /// Takes note of whether the store answers.
    pub fn store_reachable(&mut self, now: Millis, reachable: bool) {
        if reachable && !self.store_reachable {
            self.store_back = Some(now);
        }
        self.store_reachable = reachable;
    }

    /// A target that isn't listed is gone when nothing more can run there;
    /// with the store out, its silence in the list says nothing.
    pub(super) fn forget_unlisted(&mut self, now: Millis) {
        let settled = self.list_settled(now);
        let gone = self.targets.iter().filter(|(_, target)| {
            let missing = target.unlisted_since.is_some();
            let empty = target.attempts.is_empty() && target.renewal.is_none();
            missing && settled && empty
        });
        let gone: Vec<Name> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.targets.remove(&id);
            self.leased.remove(&id);
            self.misassigned.remove(&id);
            self.record_target(&id, "gone", "list");
        }
    }
}
