//! Promises not to take over a holder's shards, requested and given.
//!
//! They extend a lease beyond its end in the table.

use gannetridge_entry_wire::peer::PromiseRequest;
use gannetridge_entry_wire::{HostId, Time};
use gannetridge_wire::Name;

use super::{HolderLease, Ownership, PendingWrite};

impl Ownership {
    /// Returns the promises to request from every peer of the hall.
    #[must_use]
    pub fn promises_to_request(&self, now: Time) -> Vec<PromiseRequest> {
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
        leases.any(|(holder, lease)| *holder != self.own_id || lease.table_until < by)
    }

    /// Gives the requested promises, except for holders that a pending write takes shards
    /// from, and returns those given. Each lasts for a lease plus the clock skew at most.
    pub fn grant_promises(&mut self, wanted: &[PromiseRequest], now: Time) -> Vec<PromiseRequest> {
        let longest = now.plus_millis(self.tuning.lease_ms + self.tuning.skew_ms);
        let mut promised = Vec::new();
        for request in wanted {
            let taking = |w: &PendingWrite| w.takes_from.contains(&request.holder);
            if self.pending_write.as_ref().is_some_and(taking) {
                continue;
            }
            let until = request.until.min(longest);
            let given = self
                .promises_given
                .entry(request.holder.clone())
                .or_default();
            *given = (*given).max(until);
            promised.push(PromiseRequest {
                holder: request.holder.clone(),
                until,
            });
        }
        promised
    }

    /// Records promises that a peer gave.
    pub fn record_promises(&mut self, peer: &HostId, promised: &[PromiseRequest], now: Time) {
        self.expire_rights(now);
        for promise in promised {
            let key = (promise.holder.clone(), peer.clone());
            let until = self.promises_received.entry(key).or_default();
            *until = (*until).max(promise.until);
            // The holder itself or another incarnation of it promised.
            if peer.name == promise.holder.name {
                if let Some(lease) = self.leases.get_mut(&promise.holder) {
                    lease.heir_until = lease.heir_until.max(promise.until);
                }
            }
            self.recompute_lease(&promise.holder);
        }
    }

    /// Records that a peer will never take over a shard any more.
    pub fn record_resignation(&mut self, peer: &HostId, now: Time) {
        self.expire_rights(now);
        if self.resigned.insert(peer.clone()) {
            self.recompute_all_leases();
        }
    }

    /// Recomputes until when each lease gives rights.
    pub(super) fn recompute_all_leases(&mut self) {
        let holders: Vec<HostId> = self.leases.keys().cloned().collect();
        for holder in holders {
            self.recompute_lease(&holder);
        }
    }

    /// Records that a host runs as `id` at `address`, which proves that its earlier
    /// incarnations there have ended.
    pub fn record_incarnation(&mut self, id: &HostId, address: &Name, now: Time) {
        self.expire_rights(now);
        if self.incarnations.record(id, address) {
            self.recompute_all_leases();
        }
    }
}
