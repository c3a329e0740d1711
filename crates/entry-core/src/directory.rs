//! The directory of shard holders and their addresses, from the halls' rows and from
//! heartbeats.

use std::collections::{BTreeMap, HashMap};

use gannetridge_entry_wire::hall::HallRow;
use gannetridge_entry_wire::peer::Status;
use gannetridge_entry_wire::{Epoch, HostId, ShardId};
use gannetridge_wire::Name;

/// A shard's holder as reported by a heartbeat.
#[derive(Clone, Debug)]
struct ReportedHolder {
    epoch: Epoch,
    address: Name,
}

/// The known location of each shard. A stale entry costs only a message, since a host
/// that doesn't hold a shard replies so.
#[derive(Debug, Default)]
pub struct Directory {
    rows: BTreeMap<Name, HallRow>,
    reported: HashMap<ShardId, ReportedHolder>,
}

impl Directory {
    /// Sets a hall's row, unless a newer one is known. Drops reports that it supersedes.
    pub fn set_row(&mut self, hall: &Name, row: HallRow) {
        let older = self
            .rows
            .get(hall)
            .is_some_and(|r| r.generation > row.generation);
        if older {
            return;
        }
        for (index, shard) in row.shards.iter().enumerate() {
            let id = ShardId {
                hall: hall.clone(),
                index: index as u16,
            };
            if self
                .reported
                .get(&id)
                .is_some_and(|h| h.epoch < shard.epoch)
            {
                self.reported.remove(&id);
            }
        }
        self.rows.insert(hall.clone(), row);
    }

    /// Records the shards that a peer reports to hold.
    pub fn record_status(&mut self, status: &Status) {
        for (index, epoch) in &status.shards {
            let id = ShardId {
                hall: status.hall.clone(),
                index: *index,
            };
            let newer = self.reported.get(&id).is_none_or(|h| h.epoch <= *epoch);
            if newer && *epoch >= self.epoch_in_row(&id) {
                let holder = ReportedHolder {
                    epoch: *epoch,
                    address: status.address.clone(),
                };
                self.reported.insert(id, holder);
            }
        }
    }

    fn epoch_in_row(&self, shard: &ShardId) -> Epoch {
        let row = self.rows.get(&shard.hall);
        let shard = row.and_then(|r| r.shards.get(usize::from(shard.index)));
        shard.map_or(Epoch::default(), |s| s.epoch)
    }

    /// Removes the report that a shard is held at an address that doesn't respond.
    pub fn remove_report(&mut self, shard: &ShardId, address: &Name) {
        if self
            .reported
            .get(shard)
            .is_some_and(|h| h.address == *address)
        {
            self.reported.remove(shard);
        }
    }

    /// Returns the addresses to try for a submission of the shard: the reported holder,
    /// the holder in the row, then the other hosts of its hall, which may know the holder.
    #[must_use]
    pub fn candidates(&self, shard: &ShardId) -> Vec<Name> {
        let mut addresses = Vec::new();
        let mut add = |address: &Name| {
            if !addresses.contains(address) {
                addresses.push(address.clone());
            }
        };
        if let Some(holder) = self.reported.get(shard) {
            add(&holder.address);
        }
        let Some(row) = self.rows.get(&shard.hall) else {
            return addresses;
        };
        let holder = row.shards[usize::from(shard.index)].holder.as_ref();
        if let Some(member) = holder.and_then(|id| row.member(id)) {
            add(&member.address);
        }
        for member in &row.members {
            add(&member.address);
        }
        addresses
    }

    /// Returns the ids and addresses of a hall's hosts.
    #[must_use]
    pub fn hosts_of(&self, hall: &str) -> Vec<(HostId, Name)> {
        let members = self.rows.get(hall).map(|r| r.members.as_slice());
        let members = members.unwrap_or_default().iter();
        members.map(|m| (m.id.clone(), m.address.clone())).collect()
    }

    /// Iterates over the halls whose row is known.
    pub fn halls(&self) -> impl Iterator<Item = &Name> {
        self.rows.keys()
    }
}
