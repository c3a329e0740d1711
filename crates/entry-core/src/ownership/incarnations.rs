//! The incarnations of hosts that are known to have ended.
//!
//! Two processes can't have the same address. So a message from an incarnation at an
//! address proves that every earlier incarnation of that host there has ended.

use std::collections::BTreeMap;

use gannetridge_entry_wire::HostId;
use gannetridge_wire::Name;

/// Known incarnations of hosts and their addresses.
#[derive(Debug)]
pub(super) struct Incarnations {
    addresses: BTreeMap<HostId, Name>,
    /// The latest incarnation seen per host name and address.
    latest: BTreeMap<(Name, Name), u64>,
}

impl Incarnations {
    /// Creates a record that contains this host only.
    pub(super) fn new(me: &HostId, address: &Name) -> Self {
        let mut incarnations = Self {
            addresses: BTreeMap::new(),
            latest: BTreeMap::new(),
        };
        incarnations.record(me, address);
        incarnations
    }

    /// Records that an incarnation exists at an address. Returns true if it is newer than
    /// any known there.
    pub(super) fn record(&mut self, id: &HostId, address: &Name) -> bool {
        self.record_address(id, address);
        let key = (id.name.clone(), address.clone());
        let latest = self.latest.entry(key).or_default();
        let newer = id.incarnation > *latest;
        *latest = (*latest).max(id.incarnation);
        newer
    }

    /// Records the address of an incarnation, which may have ended.
    pub(super) fn record_address(&mut self, id: &HostId, address: &Name) {
        self.addresses.insert(id.clone(), address.clone());
    }

    /// Removes the addresses of incarnations for which `used` returns false.
    pub(super) fn retain(&mut self, used: impl Fn(&HostId) -> bool) {
        self.addresses.retain(|id, _| used(id));
    }

    /// Returns the address of an incarnation, if it is known.
    pub(super) fn address(&self, id: &HostId) -> Option<&Name> {
        self.addresses.get(id)
    }

    /// Returns true if an incarnation is known to have ended.
    pub(super) fn has_ended(&self, id: &HostId) -> bool {
        self.addresses
            .get(id)
            .is_some_and(|address| self.has_ended_at(id, address))
    }

    /// Returns true if an incarnation at this address is known to have ended.
    pub(super) fn has_ended_at(&self, id: &HostId, address: &Name) -> bool {
        let key = (id.name.clone(), address.clone());
        let latest = self.latest.get(&key);
        latest.is_some_and(|incarnation| *incarnation > id.incarnation)
    }
}
