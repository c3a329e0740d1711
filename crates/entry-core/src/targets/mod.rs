//! The targets of all halls with their slots and health.
//!
//! `division` computes this host's share of each target's slots, `choice` selects the
//! target of a task. The list of targets comes from the platform.

mod choice;
mod division;
mod target;

use std::collections::{BTreeSet, HashMap};

use gannetridge_entry_wire::platform::{ListedTarget, TargetList};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::health::Health;
use crate::settings::Placement;

pub use target::Target;

/// A target's index in [`Targets`]; it stays valid, since targets are never removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(pub u32);

/// The values of a target that the index and the totals currently contain.
#[derive(Clone, Copy, Debug, Default)]
struct IndexedValues {
    rank: u64,
    free: u32,
    capacity: u32,
}

/// All targets that this host knows, indexed by name and, while they have free slots,
/// by rank.
#[derive(Debug)]
pub struct Targets {
    hall: Name,
    own_name: Name,
    placement: Placement,
    members: Vec<Name>,
    all: Vec<Target>,
    by_name: HashMap<Name, TargetIndex>,
    indexed: Vec<IndexedValues>,
    free_by_rank: BTreeSet<(u64, TargetIndex)>,
    draining: BTreeSet<Name>,
    round_robin_next: usize,
    own_free: u32,
    own_capacity: u32,
}

impl Targets {
    /// Creates an empty list for the host `own_name` of `hall`.
    #[must_use]
    pub fn new(hall: Name, own_name: Name, placement: Placement) -> Self {
        Self {
            hall,
            placement,
            members: vec![own_name.clone()],
            own_name,
            all: Vec::new(),
            by_name: HashMap::new(),
            indexed: Vec::new(),
            free_by_rank: BTreeSet::new(),
            draining: BTreeSet::new(),
            round_robin_next: 0,
            own_free: 0,
            own_capacity: 0,
        }
    }

    /// Returns the target at an index.
    #[must_use]
    pub fn get(&self, index: TargetIndex) -> &Target {
        &self.all[index.0 as usize]
    }

    /// Returns the index of the target of this name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<TargetIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the number of known targets, including ones no longer listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Returns true if no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Iterates over all known targets, including ones no longer listed.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.all.iter()
    }

    /// Returns the number of free slots of this host's share; borrowed ones don't count.
    #[must_use]
    pub fn own_free(&self) -> u32 {
        self.own_free
    }

    /// Returns the number of slots of this host's share on usable targets.
    #[must_use]
    pub fn own_capacity(&self) -> u32 {
        self.own_capacity
    }

    /// Returns the names of listed targets known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<Name> {
        let leaving = self
            .all
            .iter()
            .filter(|t| t.listed && t.health.is_leaving());
        leaving.map(|t| t.name.clone()).collect()
    }

    /// Returns true if any listed target is known to be leaving.
    #[must_use]
    pub fn any_leaving(&self) -> bool {
        self.all.iter().any(|t| t.listed && t.health.is_leaving())
    }

    /// Changes a target, and updates the index and the totals accordingly.
    pub fn update<R>(&mut self, index: TargetIndex, change: impl FnOnce(&mut Target) -> R) -> R {
        let i = index.0 as usize;
        let result = change(&mut self.all[i]);
        let old = self.indexed[i];
        let free = self.all[i].free_slots();
        let rank = self.all[i].rank();
        if old.free > 0 {
            self.free_by_rank.remove(&(old.rank, index));
        }
        if free > 0 {
            self.free_by_rank.insert((rank, index));
        }
        let usable = self.all[i].is_usable();
        let capacity = if usable { self.all[i].share } else { 0 };
        self.indexed[i] = IndexedValues {
            rank,
            free,
            capacity,
        };
        self.own_free = self.own_free + free - old.free;
        self.own_capacity = self.own_capacity + capacity - old.capacity;
        result
    }

    /// Applies the platform's whole list as read at `now`; it may lag by `lag_ms`.
    pub fn apply_list(&mut self, list: &TargetList, now: Time, lag_ms: u64) {
        let mut unlisted: BTreeSet<Name> = self.by_name.keys().cloned().collect();
        for entry in &list.targets {
            unlisted.remove(&entry.name);
            let index = self.find_or_add(entry);
            self.update(index, |t| {
                t.listed = true;
                t.address = entry.address.clone();
                t.slots = entry.slots;
                t.other_tasks = entry.busy.saturating_sub(t.in_use);
                if entry.leaving {
                    t.health.mark_leaving(now);
                } else {
                    t.health.record_listed_live(now, lag_ms);
                }
            });
        }
        for name in unlisted {
            let index = self.by_name[&name];
            self.update(index, |t| t.listed = false);
        }
        self.divide_slots();
    }

    fn find_or_add(&mut self, entry: &ListedTarget) -> TargetIndex {
        if let Some(index) = self.find(&entry.name) {
            return index;
        }
        let index = TargetIndex(self.all.len() as u32);
        let hash = xxh3_64(format!("{}/{}", self.own_name, entry.name).as_bytes());
        self.all.push(Target {
            name: entry.name.clone(),
            address: entry.address.clone(),
            hall: entry.hall.clone(),
            slots: entry.slots,
            share: 0,
            in_use: 0,
            lent: 0,
            blocked: 0,
            other_tasks: 0,
            health: Health::default(),
            draining: self.draining.contains(&entry.hall),
            listed: true,
            tie_break: hash as u16,
        });
        self.indexed.push(IndexedValues::default());
        self.by_name.insert(entry.name.clone(), index);
        index
    }

    /// Sets the names of the hall's live hosts, this one included.
    pub fn set_members(&mut self, mut members: Vec<Name>) {
        members.sort();
        members.dedup();
        if members != self.members {
            self.members = members;
            self.divide_slots();
        }
    }

    /// Sets the halls that are being drained.
    pub fn set_draining(&mut self, draining: BTreeSet<Name>) {
        self.draining = draining;
        for i in 0..self.all.len() {
            let draining = self.draining.contains(&self.all[i].hall);
            self.update(TargetIndex(i as u32), |t| t.draining = draining);
        }
    }

    /// Starts to probe the targets whose ejection has ended.
    pub fn probe_due_targets(&mut self, now: Time) {
        for i in 0..self.all.len() {
            if !self.all[i].health.is_usable() {
                self.update(TargetIndex(i as u32), |t| t.health.probe_if_due(now));
            }
        }
    }
}
