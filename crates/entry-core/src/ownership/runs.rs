//! Which runs of hosts are known to have ended.
//!
//! Two processes can't have one address. So a run that is heard at an address
//! proves that every earlier run of the same host there has ended.

use std::collections::BTreeMap;

use gannetridge_entry_wire::HostId;
use gannetridge_wire::Name;

/// Runs of hosts, by where they were reached.
#[derive(Debug)]
pub(super) struct Runs {
    addresses: BTreeMap<HostId, Name>,
    /// The latest run heard of each name and address.
    latest: BTreeMap<(Name, Name), u64>,
}

impl Runs {
    /// Creates the knowledge of a host that knows itself only.
    pub(super) fn new(me: &HostId, address: &Name) -> Self {
        let mut runs = Self {
            addresses: BTreeMap::new(),
            latest: BTreeMap::new(),
        };
        runs.heard(me, address);
        runs
    }

    /// Notes that a run exists at an address. Tells whether it is the latest
    /// known there, and wasn't known before.
    pub(super) fn heard(&mut self, id: &HostId, address: &Name) -> bool {
        self.reached_at(id, address);
        let key = (id.name.clone(), address.clone());
        let latest = self.latest.entry(key).or_default();
        let newer = id.incarnation > *latest;
        *latest = (*latest).max(id.incarnation);
        newer
    }

    /// Notes where a run was reached, whether or not it still exists.
    pub(super) fn reached_at(&mut self, id: &HostId, address: &Name) {
        self.addresses.insert(id.clone(), address.clone());
    }

    /// Forgets where runs were reached that `used` doesn't tell to keep.
    pub(super) fn retain(&mut self, used: impl Fn(&HostId) -> bool) {
        self.addresses.retain(|id, _| used(id));
    }

    /// Returns where a run was reached, if that is known.
    pub(super) fn address(&self, id: &HostId) -> Option<&Name> {
        self.addresses.get(id)
    }

    /// Tells whether a run is known to have ended.
    pub(super) fn has_ended(&self, id: &HostId) -> bool {
        self.addresses
            .get(id)
            .is_some_and(|address| self.has_ended_at(id, address))
    }

    /// Tells whether a run that was reached at an address has ended.
    pub(super) fn has_ended_at(&self, id: &HostId, address: &Name) -> bool {
        let key = (id.name.clone(), address.clone());
        let latest = self.latest.get(&key);
        latest.is_some_and(|incarnation| *incarnation > id.incarnation)
    }
}
