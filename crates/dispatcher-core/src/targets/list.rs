//! The platform's list of targets, as far as this host heard it.
//!
//! An entry that goes missing while the store is out, or just back, says nothing: the
//! target is used as long as it answers.
//!
//! An entry that is unusable takes a known target out of use as one that leaves: what runs
//! there goes on. Of a target that isn't known it names none.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::decision::{BeliefSource, TargetBelief};
use crate::event::{TargetChange, TargetEntry, TargetList};
use crate::Millis;

use super::target::Target;
use super::TargetLeases;

/// Entries that are missing when the store is back are gone after this, in ms: targets may write
/// them again before.
const SETTLE_AFTER_OUTAGE_MS: Millis = 2_000;

/// Whether the store answers, as far as this host knows.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreState {
    reachable: bool,
    /// When it last came back; 0 if it was never lost.
    reachable_since: Millis,
    /// Whether the list is settled at the host that told it, if another one did since this
    /// host last read.
    reported_settled: Option<bool>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            reachable: true,
            reachable_since: 0,
            reported_settled: None,
        }
    }
}

impl StoreState {
    /// Returns whether a target that isn't listed is gone. With the store out, or
    /// back only now, its silence in the list says nothing.
    pub(super) fn list_is_settled(&self, now: Millis) -> bool {
        let read_settled = self.reachable && self.reachable_since + SETTLE_AFTER_OUTAGE_MS <= now;
        self.reported_settled.unwrap_or(read_settled)
    }
}

impl TargetLeases {
    /// Records whether the store answers.
    pub fn set_store_reachable(&mut self, now: Millis, reachable: bool) {
        if reachable && !self.store.reachable {
            self.store.reachable_since = now;
        }
        self.store.reachable = reachable;
        self.store.reported_settled = None;
    }

    /// Returns whether a target that isn't listed is gone.
    #[must_use]
    pub fn list_is_settled(&self, now: Millis) -> bool {
        self.store.list_is_settled(now)
    }

    /// Records whether a target that isn't listed is gone, as another host told that
    /// reads the store.
    pub fn set_reported_settled(&mut self, settled: bool) {
        self.store.reported_settled = Some(settled);
    }

    /// Returns whether the store answers.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.store.reachable
    }

    /// Handles changes of the list.
    pub fn apply_list_changes(&mut self, now: Millis, changes: Vec<TargetChange>) {
        for change in changes {
            match change {
                TargetChange::There(entry) => self.apply_entry(now, entry),
                TargetChange::Gone(id) => self.mark_unlisted(now, &id),
                TargetChange::Unusable(entry) => self.mark_entry_unusable(&entry.id),
            }
        }
    }

    /// Handles the whole list.
    pub fn replace_list(&mut self, now: Millis, list: TargetList) {
        let listed: Vec<TargetChange> = list.into_changes().collect();
        let ids = listed.iter().map(|change| change.id().clone());
        let listed_ids: HashSet<Name> = ids.collect();
        self.apply_list_changes(now, listed);
        let missing = self.targets.keys().filter(|id| !listed_ids.contains(*id));
        let missing: Vec<Name> = missing.cloned().collect();
        for id in missing {
            self.mark_unlisted(now, &id);
        }
    }

    fn apply_entry(&mut self, now: Millis, entry: TargetEntry) {
        let id = entry.id.clone();
        let Some(target) = self.targets.get_mut(&id) else {
            let learned_speed = self.initial_speed(&entry);
            self.targets.insert(id, Target::new(entry, learned_speed));
            self.assignment.targets_changed();
            return;
        };
        let leaves = entry.leaving && !target.entry.leaving;
        let usable_again = std::mem::take(&mut target.entry_unusable);
        let capacity = target.update_entry(now, entry);
        target.unlisted_since = None;
        self.unlisted.remove(&id);
        if leaves {
            self.record_target(&id, TargetBelief::Leaving, BeliefSource::List);
        }
        if usable_again {
            self.record_target(&id, TargetBelief::Usable, BeliefSource::List);
        }
        self.record_capacity(&id, capacity, BeliefSource::List);
    }

    /// Takes a known target out of use whose entry names none any more.
    fn mark_entry_unusable(&mut self, id: &Name) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.unlisted_since = None;
        self.unlisted.remove(id);
        if !std::mem::replace(&mut target.entry_unusable, true) {
            target.drop_reservation();
            self.record_target(id, TargetBelief::Unusable, BeliefSource::List);
        }
    }

    fn mark_unlisted(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            if target.unlisted_since.is_none() {
                target.unlisted_since = Some(now);
                self.unlisted.insert(id.clone());
                self.record_target(id, TargetBelief::NotListed, BeliefSource::List);
            }
        }
    }

    /// Forgets targets that aren't listed and on which nothing can run any more.
    pub(super) fn remove_unlisted(&mut self, now: Millis) {
        if !self.store.list_is_settled(now) {
            return;
        }
        let removed = self.unlisted.iter().filter(|id| {
            let target = &self.targets[*id];
            target.is_idle() && target.lease.renewal.is_none()
        });
        let removed: Vec<Name> = removed.cloned().collect();
        for id in removed {
            self.targets.remove(&id);
            self.leased.remove(&id);
            self.active.remove(&id);
            self.unlisted.remove(&id);
            self.assignment.remove(&id);
            self.record_target(&id, TargetBelief::Gone, BeliefSource::List);
        }
    }
}
