//! The targets of all halls: whose slots are free, and which are trusted.
//!
//! Each slot of a target belongs to one of its hall's hosts at a time. The
//! division follows from the list of hosts alone, so no message is needed for
//! it, and no two hosts that agree on the list fill the same slot.

use std::collections::{BTreeSet, HashMap};

use gannetridge_entry_wire::platform::{HostList, ListedTarget};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;
use rand::Rng;
use rand_pcg::Pcg32;
use xxhash_rust::xxh3::xxh3_64;

use crate::health::Health;
use crate::settings::Placement;

/// A target's position in the list of targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TargetIndex(pub u32);

/// A runner on a worker.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: Name,
    /// Its address, `ip:port`.
    pub address: Name,
    /// Its hall.
    pub hall: Name,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Slots that this host may fill.
    pub share: u32,
    /// Slots of the share in use by this host's tasks.
    pub in_use: u32,
    /// Slots of the share lent to peers.
    pub lent: u32,
    /// Slots left alone for a moment, since the target was full.
    pub blocked: u32,
    /// Tasks of others that the platform last reported.
    pub others: u32,
    /// How far the target is trusted.
    pub health: Health,
    /// True while the hall is being emptied.
    pub draining: bool,
    /// True while the platform's list names the target.
    pub listed: bool,
    /// Orders targets that are otherwise alike, differently on each host.
    tie_break: u16,
}

impl Target {
    /// Tells whether the target may get new work at all.
    #[must_use]
    pub fn usable(&self) -> bool {
        self.listed && !self.draining && self.health.usable()
    }

    /// Returns how many more tasks this host may start on its own share.
    #[must_use]
    pub fn free(&self) -> u32 {
        if !self.usable() {
            return 0;
        }
        let limit = self.health.limit().min(self.share);
        limit.saturating_sub(self.in_use + self.lent + self.blocked)
    }

    /// Returns the rank among targets with free slots: slow ones last, then
    /// those with the most free slots first.
    fn rank(&self) -> u64 {
        let slowness = u64::from(self.health.slowness());
        let used = 1_000 - u64::from(self.free() * 1_000 / self.share.max(1));
        (slowness * 1_001 + used) * (u64::from(u16::MAX) + 1) + u64::from(self.tie_break)
    }
}

/// What the order of free targets holds of one target.
#[derive(Clone, Copy, Debug, Default)]
struct Indexed {
    rank: u64,
    free: u32,
    capacity: u32,
}

/// All targets that this host knows.
#[derive(Debug)]
pub struct Targets {
    hall: Name,
    me: Name,
    placement: Placement,
    members: Vec<Name>,
    all: Vec<Target>,
    by_name: HashMap<Name, TargetIndex>,
    indexed: Vec<Indexed>,
    ready: BTreeSet<(u64, TargetIndex)>,
    draining: BTreeSet<Name>,
    cursor: usize,
    own_free: u32,
    own_capacity: u32,
}

impl Targets {
    /// Creates an empty list for the host `me` of `hall`.
    #[must_use]
    pub fn new(hall: Name, me: Name, placement: Placement) -> Self {
        Self {
            hall,
            placement,
            members: vec![me.clone()],
            me,
            all: Vec::new(),
            by_name: HashMap::new(),
            indexed: Vec::new(),
            ready: BTreeSet::new(),
            draining: BTreeSet::new(),
            cursor: 0,
            own_free: 0,
            own_capacity: 0,
        }
    }

    /// Returns a target.
    #[must_use]
    pub fn get(&self, index: TargetIndex) -> &Target {
        &self.all[index.0 as usize]
    }

    /// Returns the index of a target by name.
    #[must_use]
    pub fn find(&self, name: &str) -> Option<TargetIndex> {
        self.by_name.get(name).copied()
    }

    /// Returns the number of targets known.
    #[must_use]
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Tells whether no target is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Iterates over all targets.
    pub fn iter(&self) -> impl Iterator<Item = &Target> {
        self.all.iter()
    }

    /// Returns this host's free slots, without borrowed ones.
    #[must_use]
    pub fn own_free(&self) -> u32 {
        self.own_free
    }

    /// Returns the slots of this host's share on usable targets.
    #[must_use]
    pub fn own_capacity(&self) -> u32 {
        self.own_capacity
    }

    /// Returns the names of targets known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> Vec<Name> {
        let leaving = self.all.iter().filter(|t| t.listed && t.health.leaving());
        leaving.map(|t| t.name.clone()).collect()
    }

    /// Tells whether any listed target is known to be leaving.
    #[must_use]
    pub fn any_leaving(&self) -> bool {
        self.all.iter().any(|t| t.listed && t.health.leaving())
    }

    /// Changes a target and keeps the order of free targets right.
    pub fn update<R>(&mut self, index: TargetIndex, change: impl FnOnce(&mut Target) -> R) -> R {
        let i = index.0 as usize;
        let result = change(&mut self.all[i]);
        let old = self.indexed[i];
        let free = self.all[i].free();
        let rank = self.all[i].rank();
        if old.free > 0 {
            self.ready.remove(&(old.rank, index));
        }
        if free > 0 {
            self.ready.insert((rank, index));
        }
        let usable = self.all[i].usable();
        let capacity = if usable { self.all[i].share } else { 0 };
        self.indexed[i] = Indexed {
            rank,
            free,
            capacity,
        };
        self.own_free = self.own_free + free - old.free;
        self.own_capacity = self.own_capacity + capacity - old.capacity;
        result
    }

    /// Takes over the platform's list as read at `now`.
    pub fn listed(&mut self, list: &HostList, now: Time, lag_ms: u64) {
        let mut gone: BTreeSet<Name> = self.by_name.keys().cloned().collect();
        for entry in &list.targets {
            gone.remove(&entry.name);
            let index = self.find_or_add(entry);
            self.update(index, |t| {
                t.listed = true;
                t.address = entry.address.clone();
                t.slots = entry.slots;
                t.others = entry.busy.saturating_sub(t.in_use);
                if entry.leaving {
                    t.health.leaves(now);
                } else {
                    t.health.listed_live(now, lag_ms);
                }
            });
        }
        for name in gone {
            let index = self.by_name[&name];
            self.update(index, |t| t.listed = false);
        }
        self.divide();
    }

    fn find_or_add(&mut self, entry: &ListedTarget) -> TargetIndex {
        if let Some(index) = self.find(&entry.name) {
            return index;
        }
        let index = TargetIndex(self.all.len() as u32);
        let hash = xxh3_64(format!("{}/{}", self.me, entry.name).as_bytes());
        self.all.push(Target {
            name: entry.name.clone(),
            address: entry.address.clone(),
            hall: entry.hall.clone(),
            slots: entry.slots,
            share: 0,
            in_use: 0,
            lent: 0,
            blocked: 0,
            others: 0,
            health: Health::default(),
            draining: self.draining.contains(&entry.hall),
            listed: true,
            tie_break: hash as u16,
        });
        self.indexed.push(Indexed::default());
        self.by_name.insert(entry.name.clone(), index);
        index
    }

    /// Takes over the names of the hall's hosts, this one included.
    pub fn set_members(&mut self, mut members: Vec<Name>) {
        members.sort();
        members.dedup();
        if members != self.members {
            self.members = members;
            self.divide();
        }
    }

    /// Takes over which halls are being emptied.
    pub fn set_draining(&mut self, draining: BTreeSet<Name>) {
        self.draining = draining;
        for i in 0..self.all.len() {
            let draining = self.draining.contains(&self.all[i].hall);
            self.update(TargetIndex(i as u32), |t| t.draining = draining);
        }
    }

    /// Divides every target's slots among the hall's hosts.
    fn divide(&mut self) {
        for i in 0..self.all.len() {
            let share = self.share_of(&self.all[i]);
            self.update(TargetIndex(i as u32), |t| t.share = share);
        }
    }

    fn share_of(&self, target: &Target) -> u32 {
        let divided = matches!(self.placement, Placement::Shares | Placement::SharesLending);
        if !divided {
            return target.slots;
        }
        let place = self.members.iter().position(|name| *name == self.me);
        let (Some(place), true) = (place, target.hall == self.hall) else {
            return 0;
        };
        let hosts = self.members.len() as u64;
        let slots = u64::from(target.slots);
        // The remainder goes round, so that no host is always the poorer.
        let first = xxh3_64(target.name.as_bytes()) % hosts;
        let turn = (place as u64 + hosts - first) % hosts;
        let extra = u64::from(turn < slots % hosts);
        (slots / hosts + extra) as u32
    }

    /// Lets targets that have been left alone long enough be probed.
    pub fn revive(&mut self, now: Time) {
        for i in 0..self.all.len() {
            if !self.all[i].health.usable() {
                self.update(TargetIndex(i as u32), |t| t.health.revive(now));
            }
        }
    }

    /// Chooses a target of this host's share for one task.
    ///
    /// `allowed` tells whether the task may run in a hall.
    pub fn choose(
        &mut self,
        rng: &mut Pcg32,
        allowed: impl Fn(&Name) -> bool,
    ) -> Option<TargetIndex> {
        let can_take = |t: &Target| t.free() > 0 && allowed(&t.hall);
        match self.placement {
            Placement::SharesLending | Placement::Shares | Placement::LeastInFlight => {
                let mut ready = self.ready.iter().map(|(_, index)| *index);
                ready.find(|index| can_take(self.get(*index)))
            }
            Placement::RoundRobin => {
                let found = (0..self.all.len())
                    .map(|step| (self.cursor + step) % self.all.len())
                    .find(|i| can_take(&self.all[*i]))?;
                self.cursor = found + 1;
                Some(TargetIndex(found as u32))
            }
            Placement::Random => self.sample(rng, can_take),
            Placement::PowerOfTwo => {
                let a = self.sample(rng, can_take)?;
                let b = self.sample(rng, can_take)?;
                let load = |index| {
                    let t: &Target = self.get(index);
                    t.in_use + t.others
                };
                Some(if load(b) < load(a) { b } else { a })
            }
        }
    }

    fn sample(&self, rng: &mut Pcg32, can_take: impl Fn(&Target) -> bool) -> Option<TargetIndex> {
        const TRIES: usize = 16;
        for _ in 0..TRIES {
            let i = rng.random_range(0..self.all.len().max(1));
            if self.all.get(i).is_some_and(&can_take) {
                return Some(TargetIndex(i as u32));
            }
        }
        let found = self.all.iter().position(can_take)?;
        Some(TargetIndex(found as u32))
    }
}
