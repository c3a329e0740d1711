//! What this host knows of the platform's tables, from which version of the store and when:
//! read there, or told by a host that read.
//!
//! [`StoreNews`] owns the versions, their ages and the latest changes of the list of
//! targets, so that it can tell others. It relies on the dispatcher to ask
//! when [`StoreNews::take_due_ask`] says so, and on [`crate::rules::store_readers`] for who
//! reads.

use std::collections::{BTreeMap, HashSet, VecDeque};

use gannetridge_wire::Name;

use crate::event::{StoreTable, TargetChange, TargetList};
use crate::message::{StoreUpdate, TargetListUpdate};
use crate::rules::store_readers::Freshness;
use crate::Millis;

/// The most changes of the list of targets that are kept to be told: more than those of the
/// busiest played seconds. Who is further behind gets the whole list. Chosen, not measured.
const CHANGES_KEPT: usize = 512;

/// How far a table is known.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    /// The version of the store.
    version: u64,
    /// When it was the newest, in ms of this host's clock; none before the first answer.
    at: Option<Millis>,
}

impl Known {
    fn advance(&mut self, version: u64, at: Millis) {
        self.version = self.version.max(version);
        self.at = self.at.max(Some(at));
    }

    fn age(&self, now: Millis) -> Option<Millis> {
        self.at.map(|at| now.saturating_sub(at))
    }
}

/// A change of the list of targets.
#[derive(Debug)]
struct Change {
    version: u64,
    change: TargetChange,
}

/// What a host tells of itself with what it knows of the store.
#[derive(Clone, Copy, Debug)]
pub struct OwnState {
    /// The version of the configuration in force.
    pub in_force: u64,
    /// Whether a target that isn't listed is gone.
    pub settled: bool,
}

/// What this host knows of the platform's tables.
#[derive(Debug)]
pub struct StoreNews {
    freshness: Freshness,
    targets: Known,
    configuration: Known,
    /// The list of targets as the store or another host gave it: of each id the last change,
    /// without those that are gone.
    list: BTreeMap<Name, TargetChange>,
    /// Its latest changes, the oldest first.
    changes: VecDeque<Change>,
    /// Changes up to this version are no longer kept.
    kept_after: u64,
    /// Changes whose version isn't known yet.
    unversioned: Vec<TargetChange>,
    next_ask: Millis,
    /// How many hosts that were asked had no news: others are asked then.
    unanswered: usize,
}

impl StoreNews {
    /// Knows nothing.
    #[must_use]
    pub fn new(freshness: Freshness) -> Self {
        Self {
            freshness,
            targets: Known::default(),
            configuration: Known::default(),
            list: BTreeMap::new(),
            changes: VecDeque::new(),
            kept_after: 0,
            unversioned: Vec::new(),
            next_ask: 0,
            unanswered: 0,
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

    /// Returns the age of what is believed, in ms: of the older of both tables.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        Some(self.targets.age(now)?.max(self.configuration.age(now)?))
    }

    /// Returns whether what is believed is so old that it is to be read.
    #[must_use]
    pub fn is_stale(&self, now: Millis) -> bool {
        self.age(now).is_none_or(|age| age >= self.freshness.stale)
    }

    /// Records changes of the list. Those that say nothing new aren't told to others.
    pub fn list_changed(&mut self, changes: &[TargetChange]) {
        for change in changes {
            if self.take(change) {
                self.unversioned.push(change.clone());
            }
        }
    }

    /// Records the whole list.
    pub fn list_read(&mut self, list: &TargetList) {
        let listed: Vec<TargetChange> = list.clone().into_changes().collect();
        let ids: HashSet<&Name> = listed.iter().map(TargetChange::id).collect();
        let gone = self.list.keys().filter(|id| !ids.contains(id));
        let gone: Vec<TargetChange> = gone.cloned().map(TargetChange::Removed).collect();
        self.list_changed(&gone);
        self.list_changed(&listed);
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

    /// Applies a change to the list; returns whether it says anything new.
    fn take(&mut self, change: &TargetChange) -> bool {
        match change {
            TargetChange::Listed(_) | TargetChange::Unusable(_) => {
                let before = self.list.insert(change.id().clone(), change.clone());
                before.as_ref() != Some(change)
            }
            TargetChange::Removed(id) => self.list.remove(id).is_some(),
        }
    }

    /// Records that a table is known up to a version that was the newest at `at`.
    pub fn known(&mut self, table: StoreTable, version: u64, at: Millis) {
        match table {
            StoreTable::Configuration => self.configuration.advance(version, at),
            StoreTable::Targets => {
                if self.targets.at.is_none() {
                    // What went before isn't known: only the whole list tells of it.
                    self.kept_after = version;
                }
                self.targets.advance(version, at);
                // An answer that newer news overtook was applied after them: they are to be
                // read or told again.
                self.targets.version = version;
                for change in std::mem::take(&mut self.unversioned) {
                    self.changes.push_back(Change { version, change });
                }
                while self.changes.len() > CHANGES_KEPT {
                    let oldest = self.changes.pop_front();
                    self.kept_after = oldest.map_or(0, |oldest| oldest.version);
                }
            }
        }
    }

    /// Returns whether someone is to be asked now, and plans the next time.
    pub fn take_due_ask(&mut self, now: Millis) -> bool {
        let due = self.next_ask <= now;
        if due {
            self.next_ask = now + self.freshness.ask;
        }
        due
    }

    /// Returns which of the hosts that may be asked is next.
    #[must_use]
    pub fn asked_next(&self) -> usize {
        self.unanswered
    }

    /// Records that a host that was asked had no news: another is asked soon.
    pub fn no_news(&mut self) {
        self.unanswered += 1;
    }

    /// Returns what a host is told that knows the list up to a version.
    #[must_use]
    pub fn tell(&self, now: Millis, after: u64, own: OwnState) -> Option<StoreUpdate> {
        let age_ms = self.age(now)?;
        let list = if after == 0 || after < self.kept_after {
            TargetListUpdate::whole(self.whole_list())
        } else {
            let changes = self.changes.iter().filter(|change| change.version > after);
            TargetListUpdate::Changes(changes.map(|change| change.change.clone()).collect())
        };
        Some(StoreUpdate {
            targets_version: self.targets.version,
            configuration_version: self.configuration.version,
            in_force: own.in_force,
            age_ms,
            settled: own.settled,
            list,
        })
    }

    /// Takes in what a host told that was asked at `asked`; returns false if it is older
    /// than what is known.
    pub fn told(&mut self, asked: Millis, reply: &StoreUpdate) -> bool {
        let at = asked.saturating_sub(reply.age_ms);
        let older = reply.targets_version < self.targets.version;
        if older || self.targets.at.is_some_and(|known| known >= at) {
            return false;
        }
        match &reply.list {
            TargetListUpdate::Whole(targets) => self.list_read(&targets.clone().into()),
            TargetListUpdate::WholeWithUnusable(list) => self.list_read(list),
            TargetListUpdate::Changes(changes) => self.list_changed(changes),
        }
        self.known(StoreTable::Targets, reply.targets_version, at);
        true
    }

    /// Records that the configuration is the one that the host has that told of it.
    pub fn told_configuration(&mut self, asked: Millis, reply: &StoreUpdate) {
        let at = asked.saturating_sub(reply.age_ms);
        self.known(StoreTable::Configuration, reply.configuration_version, at);
    }
}
