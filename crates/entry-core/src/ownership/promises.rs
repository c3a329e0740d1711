//! Promises not to take over a holder's shards, requested and given.
//!
//! They extend a lease beyond its end in the table.

use gannetridge_entry_wire::peer::PromiseRequest;
use gannetridge_entry_wire::{HostId, Time};
use gannetridge_wire::Name;

use super::{Attempt, HolderLease, Ownership};

impl Ownership {
    /// Returns the promises to request from every peer of the hall.
    #[must_use]
    pub fn promises_wanted(&self, now: Time) -> Vec<PromiseRequest> {
        let until = now.plus_millis(self.tuning.lease_ms);
        let holders = self.leases.iter().filter(|(_, lease)| !lease.lapsed);
        let request = |(holder, _): (&HostId, &HolderLease)| PromiseRequest {
            holder: holder.clone(),
            until,
        };
        holders.map(request).collect()
    }

    /// Returns true if a right of this host needs promises to last until `by`, or if it
    /// acts for another holder.
    #[must_use]
    pub fn needs_promises(&self, by: Time) -> bool {
        let mut leases = self.leases.iter().filter(|(_, lease)| !lease.lapsed);
        leases.any(|(holder, lease)| *holder != self.me || lease.table_until < by)
    }

    /// Gives those of the requested promises that this host can keep, and returns them.
    pub fn promise(&mut self, wanted: &[PromiseRequest], now: Time) -> Vec<PromiseRequest> {
        let longest = now.plus_millis(self.tuning.lease_ms + self.tuning.skew_ms);
        let mut promised = Vec::new();
        for request in wanted {
            let taking = |a: &Attempt| a.takes_from.contains(&request.holder);
            if self.attempt.as_ref().is_some_and(taking) {
                continue;
            }
            let until = request.until.min(longest);
            let given = self.given.entry(request.holder.clone()).or_default();
            *given = (*given).max(until);
            promised.push(PromiseRequest {
                holder: request.holder.clone(),
                until,
            });
        }
        promised
    }

    /// Records promises that a peer gave.
    pub fn promised(&mut self, peer: &HostId, promised: &[PromiseRequest], now: Time) {
        self.touch(now);
        for promise in promised {
            let key = (promise.holder.clone(), peer.clone());
            let until = self.promises.entry(key).or_default();
            *until = (*until).max(promise.until);
            if peer.name == promise.holder.name {
                if let Some(lease) = self.leases.get_mut(&promise.holder) {
                    lease.heir_until = lease.heir_until.max(promise.until);
                }
            }
            self.revalue(&promise.holder);
        }
    }

    /// Records that a peer will never take over a shard any more.
    pub fn peer_resigned(&mut self, peer: &HostId, now: Time) {
        self.touch(now);
        if self.resigned.insert(peer.clone()) {
            self.revalue_all();
        }
    }

    /// Recomputes until when each lease gives rights.
    pub(super) fn revalue_all(&mut self) {
        let holders: Vec<HostId> = self.leases.keys().cloned().collect();
        for holder in holders {
            self.revalue(&holder);
        }
    }

    /// Records that a host runs as `id` at `address`, which proves that its earlier
    /// incarnations there have ended.
    pub fn peer_runs(&mut self, id: &HostId, address: &Name, now: Time) {
        self.touch(now);
        if self.runs.heard(id, address) {
            self.revalue_all();
        }
    }
}
