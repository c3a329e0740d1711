//! The platform's list of targets, as this host knows it.
//!
//! While the store is unreachable, or has only just become reachable, a missing entry doesn't mean
//! that the target was removed: the target is used as long as it answers.
//!
//! An unusable entry takes a known target out of use as if it were leaving: its attempts continue.
//! An unusable entry of an unknown target is ignored.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::decision::{StateSource, TargetState};
use crate::event::{TargetChange, TargetEntry, TargetList};
use crate::Millis;

use super::target::Target;
use super::TargetLeases;

/// Entries still missing this long after the store became reachable are removed, in ms: targets may
/// restore their entries before.
const SETTLE_AFTER_OUTAGE_MS: Millis = 2_000;

/// The known state of the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreState {
    is_reachable: bool,
    /// When the store last became reachable again; 0 if it was never lost.
    reachable_since: Millis,
    /// Whether the list is settled at another host, if one has sent the list since this host last
    /// read the store.
    reported_settled: Option<bool>,
}

impl Default for StoreState {
    fn default() -> Self {
        Self {
            is_reachable: true,
            reachable_since: 0,
            reported_settled: None,
        }
    }
}

impl StoreState {
    /// Returns true if a missing entry means that the target was removed; false while the store is
    /// unreachable or has only just returned. Another host's report takes precedence over this
    /// host's own state of the store.
    pub(super) fn list_is_settled(&self, now: Millis) -> bool {
        let read_settled =
            self.is_reachable && self.reachable_since + SETTLE_AFTER_OUTAGE_MS <= now;
        self.reported_settled.unwrap_or(read_settled)
    }
}

impl TargetLeases {
    /// Records whether the store is reachable.
    pub fn set_store_reachable(&mut self, now: Millis, reachable: bool) {
        if reachable && !self.store.is_reachable {
            self.store.reachable_since = now;
        }
        self.store.is_reachable = reachable;
        self.store.reported_settled = None;
    }

    /// Returns true if a missing entry means that the target was removed.
    #[must_use]
    pub fn list_is_settled(&self, now: Millis) -> bool {
        self.store.list_is_settled(now)
    }

    /// Records whether the list is settled at another host that reads the store.
    pub fn set_reported_settled(&mut self, settled: bool) {
        self.store.reported_settled = Some(settled);
    }

    /// Returns true if the store is reachable, as far as this host knows.
    #[must_use]
    pub fn is_store_reachable(&self) -> bool {
        self.store.is_reachable
    }

    /// Applies changes of the list.
    pub fn apply_list_changes(&mut self, now: Millis, changes: Vec<TargetChange>) {
        for change in changes {
            match change {
                TargetChange::Listed(entry) => self.apply_entry(now, entry),
                TargetChange::Removed(id) => self.mark_unlisted(now, &id),
                TargetChange::Unusable(entry) => self.mark_entry_unusable(&entry.id),
            }
        }
    }

    /// Applies a full list: targets that it doesn't show are unlisted.
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
        let usable_again = std::mem::take(&mut target.is_entry_unusable);
        let capacity = target.update_entry(now, entry);
        target.unlisted_since = None;
        if !target.is_entry_current() {
            // A listing shows which incarnation runs.
            target.lease.next_renewal = now;
        }
        self.unlisted.remove(&id);
        if leaves {
            self.record_target(&id, TargetState::Leaving, StateSource::List);
        }
        if usable_again {
            self.record_target(&id, TargetState::Usable, StateSource::List);
        }
        self.record_capacity(&id, capacity, StateSource::List);
    }

    /// Takes a known target out of use because its entry became unusable.
    fn mark_entry_unusable(&mut self, id: &Name) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        target.unlisted_since = None;
        self.unlisted.remove(id);
        if !std::mem::replace(&mut target.is_entry_unusable, true) {
            target.drop_reservation();
            self.record_target(id, TargetState::Unusable, StateSource::List);
        }
    }

    fn mark_unlisted(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            if target.unlisted_since.is_none() {
                target.unlisted_since = Some(now);
                self.unlisted.insert(id.clone());
                self.record_target(id, TargetState::NotListed, StateSource::List);
            }
        }
    }

    /// Removes targets that aren't listed and on which nothing can run any more.
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
            self.record_target(&id, TargetState::Removed, StateSource::List);
        }
    }
}
