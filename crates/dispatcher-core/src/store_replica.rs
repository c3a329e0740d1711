//! This host's copy of the list of targets, with the versions and ages of the platform's tables, as
//! read from the store or received from a peer that reads it.
//!
//! [`StoreReplica`] also keeps the latest changes of the list, so that it can send them to peers.
//! It relies on the dispatcher to request updates when [`StoreReplica::take_due_request`] returns
//! true, and on [`crate::rules::store_readers`] for the choice of readers.

use std::collections::{BTreeMap, HashSet, VecDeque};

use gannetridge_wire::Name;

use crate::event::{StoreTable, TargetChange, TargetList};
use crate::message::{StoreUpdate, TargetListUpdate};
use crate::rules::store_readers::Freshness;
use crate::Millis;

/// The most changes of the list of targets that are kept. A peer that is further behind gets the
/// whole list.
const MAX_KEPT_CHANGES: usize = 512;

/// The known version of a table.
#[derive(Clone, Copy, Debug, Default)]
struct TableVersion {
    /// The version of the store.
    version: u64,
    /// When it was last known to be current, in ms of this host's clock; `None` before the first
    /// answer.
    current_at: Option<Millis>,
}

impl TableVersion {
    fn advance(&mut self, version: u64, at: Millis) {
        self.version = self.version.max(version);
        self.current_at = self.current_at.max(Some(at));
    }

    fn age(&self, now: Millis) -> Option<Millis> {
        self.current_at.map(|at| now.saturating_sub(at))
    }
}

/// A change of the list of targets and the version that contains it.
#[derive(Debug)]
struct Change {
    version: u64,
    change: TargetChange,
}

/// The state of this host that it sends along with an update.
#[derive(Clone, Copy, Debug)]
pub struct LocalState {
    /// The version of the configuration in force.
    pub in_force: u64,
    /// True if a target that isn't listed was removed.
    pub settled: bool,
}

/// The list of targets, and the known versions of the platform's tables.
#[derive(Debug)]
pub struct StoreReplica {
    freshness: Freshness,
    targets: TableVersion,
    configuration: TableVersion,
    /// The last change of each listed id, as received from the store or a peer.
    list: BTreeMap<Name, TargetChange>,
    /// The latest changes of the list, the oldest first.
    changes: VecDeque<Change>,
    /// Changes up to this version aren't kept.
    dropped_up_to: u64,
    /// Changes whose version isn't known yet.
    unversioned: Vec<TargetChange>,
    next_request_at: Millis,
    /// The number of requests that brought no fresh update; selects the next peer to ask.
    unsuccessful_requests: usize,
}

impl StoreReplica {
    /// Creates a replica without any known version.
    #[must_use]
    pub fn new(freshness: Freshness) -> Self {
        Self {
            freshness,
            targets: TableVersion::default(),
            configuration: TableVersion::default(),
            list: BTreeMap::new(),
            changes: VecDeque::new(),
            dropped_up_to: 0,
            unversioned: Vec::new(),
            next_request_at: 0,
            unsuccessful_requests: 0,
        }
    }

    /// Returns the version up to which a table is known, 0 for none.
    #[must_use]
    pub fn version(&self, table: StoreTable) -> u64 {
        match table {
            StoreTable::Targets => self.targets.version,
            StoreTable::Configuration => self.configuration.version,
        }
    }

    /// Returns the age of the older of both tables, in ms; `None` until both are known.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        Some(self.targets.age(now)?.max(self.configuration.age(now)?))
    }

    /// Returns true if a table is unknown, or too old to be used without reading the store.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        self.age(now)
            .is_none_or(|age| age >= self.freshness.stale_after_ms)
    }

    /// Applies changes to the list. Changes without effect aren't sent to peers.
    pub fn apply_list_changes(&mut self, changes: &[TargetChange]) {
        for change in changes {
            if self.apply_change(change) {
                self.unversioned.push(change.clone());
            }
        }
    }

    /// Replaces the whole list.
    pub fn replace_list(&mut self, list: &TargetList) {
        let listed: Vec<TargetChange> = list.clone().into_changes().collect();
        let ids: HashSet<&Name> = listed.iter().map(TargetChange::id).collect();
        let removed = self.list.keys().filter(|id| !ids.contains(id));
        let removed: Vec<TargetChange> = removed.cloned().map(TargetChange::Removed).collect();
        self.apply_list_changes(&removed);
        self.apply_list_changes(&listed);
    }

    /// Returns the whole list.
    fn whole_list(&self) -> TargetList {
        let mut list = TargetList::default();
        for change in self.list.values() {
            match change {
                TargetChange::Listed(entry) => list.targets.push(entry.clone()),
                TargetChange::Unusable(entry) => list.unusable.push(entry.clone()),
                TargetChange::Removed(_) => {}
            }
        }
        list
    }

    /// Applies a change to the list; returns true if it had an effect.
    fn apply_change(&mut self, change: &TargetChange) -> bool {
        match change {
            TargetChange::Listed(_) | TargetChange::Unusable(_) => {
                let before = self.list.insert(change.id().clone(), change.clone());
                before.as_ref() != Some(change)
            }
            TargetChange::Removed(id) => self.list.remove(id).is_some(),
        }
    }

    /// Records that a table is known up to a version that was current at `at`.
    pub fn record_version(&mut self, table: StoreTable, version: u64, at: Millis) {
        match table {
            StoreTable::Configuration => self.configuration.advance(version, at),
            StoreTable::Targets => {
                if self.targets.current_at.is_none() {
                    // Earlier changes aren't known: a peer that needs them gets the whole list.
                    self.dropped_up_to = version;
                }
                self.targets.advance(version, at);
                // An answer of the store that arrives after a newer update overwrites it, so the
                // version goes back, for the newer changes to be received again.
                self.targets.version = version;
                for change in std::mem::take(&mut self.unversioned) {
                    self.changes.push_back(Change { version, change });
                }
                while self.changes.len() > MAX_KEPT_CHANGES {
                    let oldest = self.changes.pop_front();
                    self.dropped_up_to = oldest.map_or(0, |oldest| oldest.version);
                }
            }
        }
    }

    /// Returns true if a request for updates is due, and schedules the next one.
    pub fn take_due_request(&mut self, now: Millis) -> bool {
        let due = self.next_request_at <= now;
        if due {
            self.next_request_at = now + self.freshness.request_interval_ms;
        }
        due
    }

    /// Returns a counter that selects the next peer to request updates from.
    #[must_use]
    pub fn next_peer_index(&self) -> usize {
        self.unsuccessful_requests
    }

    /// Records that a request brought no fresh update, so that the next one goes to another peer.
    pub fn record_unsuccessful_request(&mut self) {
        self.unsuccessful_requests += 1;
    }

    /// Returns the update for a peer that knows the list up to version `after`: the later changes
    /// if all of them are kept, otherwise the whole list. `None` until both tables are known.
    #[must_use]
    pub fn update_after(&self, now: Millis, after: u64, local: LocalState) -> Option<StoreUpdate> {
        let age_ms = self.age(now)?;
        let list = if after == 0 || after < self.dropped_up_to {
            TargetListUpdate::whole(self.whole_list())
        } else {
            let changes = self.changes.iter().filter(|change| change.version > after);
            TargetListUpdate::Changes(changes.map(|change| change.change.clone()).collect())
        };
        Some(StoreUpdate {
            targets_version: self.targets.version,
            configuration_version: self.configuration.version,
            in_force: local.in_force,
            age_ms,
            settled: local.settled,
            list,
        })
    }

    /// Applies the list of targets of an update that was requested at `requested_at`. Returns
    /// false, without effect, if the update isn't newer than the known list.
    pub fn apply_update(&mut self, requested_at: Millis, reply: &StoreUpdate) -> bool {
        let at = requested_at.saturating_sub(reply.age_ms);
        let older = reply.targets_version < self.targets.version;
        if older || self.targets.current_at.is_some_and(|known| known >= at) {
            return false;
        }
        match &reply.list {
            TargetListUpdate::Whole(targets) => self.replace_list(&targets.clone().into()),
            TargetListUpdate::WholeWithUnusable(list) => self.replace_list(list),
            TargetListUpdate::Changes(changes) => self.apply_list_changes(changes),
        }
        self.record_version(StoreTable::Targets, reply.targets_version, at);
        true
    }

    /// Records that the configuration is as current as that of the peer that sent an update.
    pub fn confirm_configuration(&mut self, requested_at: Millis, reply: &StoreUpdate) {
        let at = requested_at.saturating_sub(reply.age_ms);
        self.record_version(StoreTable::Configuration, reply.configuration_version, at);
    }
}
