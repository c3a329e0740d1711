//! Handovers of shards from one host to another, at the sender and at the receiver.
//!
//! The receiver acts for the holder under the holder's lease until it has claimed the
//! shard in the table.

use std::collections::BTreeSet;

use gannetridge_entry_wire::hall::Member;
use gannetridge_entry_wire::peer::{CandidatePromise, Handover, LedgerRecord, TakeoverCandidate};
use gannetridge_entry_wire::{HostId, Time};

use super::{HandoverDecision, HolderLease, Ownership};
use crate::charts::{ShardEvent, ShardState, SHARD};

impl Ownership {
    /// Returns a shard to hand over and the peer that should get it: to balance the number
    /// of shards per host, or to get rid of all when this host is stopping.
    #[must_use]
    pub fn next_handover(&self, now: Time) -> Option<(u16, Member)> {
        let shard = self.first_transferable_shard()?;
        if !self.stopping && !self.all_members_may_take_over() {
            return None;
        }
        let is_available = |m: &Member| !self.has_member_ended(m) && !self.resigned.contains(&m.id);
        let alive = |m: &&Member| m.until >= now && is_available(m);
        let others = self
            .row
            .members
            .iter()
            .filter(|m| m.id != self.own_id)
            .filter(alive);
        let to = others.min_by_key(|m| self.row.shard_count(&m.id))?;
        let mine = self.held_shards().len();
        let theirs = self.row.shard_count(&to.id);
        (self.stopping || mine > theirs + 1).then(|| (shard, to.clone()))
    }

    /// Returns true if the row lets every member take over from this host. While a
    /// handover is unsettled, members that joined since can't, so the next handover
    /// has to wait.
    pub(super) fn all_members_may_take_over(&self) -> bool {
        let newest = self.row.members.iter().map(|m| m.joined).max();
        let mine = self.row.member(&self.own_id);
        mine.is_some_and(|m| Some(m.renewed) >= newest)
    }

    /// Returns the first shard that may be handed over. A shard that a write in progress
    /// claims is excluded, since its epoch may change at any moment.
    #[must_use]
    pub fn first_transferable_shard(&self) -> Option<u16> {
        let shards = self.shards.iter().enumerate();
        let mut free = shards.filter(|(i, s)| {
            let claimed = self.is_claimed(*i as u16);
            let mine =
                s.state == ShardState::Held || (self.stopping && s.state == ShardState::Acting);
            mine && !claimed && self.leases.contains_key(&s.holder)
        });
        free.next().map(|(i, _)| i as u16)
    }

    /// Starts to hand a shard over. Submissions of it are no longer accepted here.
    ///
    /// # Panics
    ///
    /// Panics if this host doesn't hold or act for the shard, or has no lease for it.
    pub fn start_handover(
        &mut self,
        shard: u16,
        to: HostId,
        records: Vec<LedgerRecord>,
        now: Time,
    ) -> Handover {
        self.last_serial += 1;
        let local = &mut self.shards[usize::from(shard)];
        SHARD.advance(&mut local.state, ShardEvent::Offered);
        let local = local.clone();
        let lease = &self.leases[&local.holder];
        let heir_until = self.later_incarnation_promise(lease, now);
        // Promises received after the expiry don't restore the right, and a later
        // incarnation of the holder is bound by `heir_until` only.
        let transferable_until = lease.table_until.max(heir_until);
        let lapsed = lease.lapsed || local.lapsed;
        let valid_until = if lapsed {
            Time::ZERO
        } else {
            lease.valid_until.min(transferable_until)
        };
        self.offered_until = self.offered_until.max(lease.table_until.max(heir_until));
        Handover {
            to,
            from: self.own_id.clone(),
            serial: self.last_serial,
            shard,
            holder: local.holder.clone(),
            holder_address: self.candidate(&local.holder).address,
            epoch: local.epoch,
            fence: local.fence,
            cutoff: local.cutoff,
            valid_until,
            table_until: lease.table_until,
            promise_limit: lease.limit,
            takers: lease.takers.iter().map(|id| self.candidate(id)).collect(),
            promises: self.promises_for(&local.holder),
            heir_until,
            records,
        }
    }

    /// Returns a takeover candidate with its last known address, or an empty one.
    fn candidate(&self, id: &HostId) -> TakeoverCandidate {
        let address = self.incarnations.address(id).cloned();
        TakeoverCandidate {
            id: id.clone(),
            // With an empty address the receiver can't detect that the host has ended.
            address: address.unwrap_or_default(),
        }
    }

    /// Returns the time before which no later incarnation of the holder takes its shards
    /// over: each waits for the duration of a lease after its start.
    pub(super) fn later_incarnation_promise(&self, lease: &HolderLease, now: Time) -> Time {
        lease.heir_until.min(now.plus_millis(self.tuning.lease_ms))
    }

    /// Returns the promises received for a holder's shards.
    pub(super) fn promises_for(&self, holder: &HostId) -> Vec<CandidatePromise> {
        let promises = self
            .promises_received
            .iter()
            .filter(|((h, _), _)| h == holder);
        let promise = |((_, candidate), until): (&(HostId, HostId), &Time)| CandidatePromise {
            taker: candidate.clone(),
            until: *until,
        };
        promises.map(promise).collect()
    }

    /// Returns true if a holder was an earlier incarnation of this host.
    fn is_own_earlier_incarnation(&self, holder: &HostId) -> bool {
        let here = self.incarnations.address(holder) == Some(&self.address);
        here && holder.name == self.own_id.name && holder.incarnation < self.own_id.incarnation
    }

    /// Records that the peer declined; the shard returns to this host.
    pub fn handover_declined(&mut self, shard: u16) {
        let local = &mut self.shards[usize::from(shard)];
        if local.state != ShardState::HandingOver {
            return;
        }
        let event = if local.holder == self.own_id {
            ShardEvent::DeclinedHeld
        } else {
            ShardEvent::DeclinedActing
        };
        SHARD.advance(&mut local.state, event);
    }

    /// Records that the peer accepted, or that it may have.
    pub fn handover_completed(&mut self, handover: &Handover) {
        let local = &mut self.shards[usize::from(handover.shard)];
        if local.state != ShardState::HandingOver {
            return;
        }
        SHARD.advance(&mut local.state, ShardEvent::Passed);
        local.passed = local.holder == self.own_id;
    }

    /// Decides on a handover received from a peer.
    pub fn receive_handover(&mut self, handover: &Handover, now: Time) -> HandoverDecision {
        self.expire_rights(now);
        let once = self.safeguards.accept_handover_once;
        if once && handover.to != self.own_id {
            return HandoverDecision::NotAddressee;
        }
        let key = (handover.from.clone(), handover.serial);
        let known = self.handover_decisions.get(&key).copied();
        if let (true, Some(known)) = (once, known) {
            return known.for_copy();
        }
        let decision = self.decide_new(handover, now);
        self.handover_decisions.insert(key, decision);
        decision
    }

    /// Decides on a handover that wasn't received before.
    pub(super) fn decide_new(&mut self, handover: &Handover, now: Time) -> HandoverDecision {
        let shard = usize::from(handover.shard);
        let row = self.row.shards.get(shard);
        let is_superseded = self.row_known && row.is_some_and(|r| r.epoch > handover.epoch);
        let free = self
            .shards
            .get(shard)
            .is_some_and(|s| s.state == ShardState::Absent);
        if self.stopping || !free || is_superseded {
            return HandoverDecision::Declined;
        }
        let local = &mut self.shards[shard];
        SHARD.advance(&mut local.state, ShardEvent::Accepted);
        local.holder = handover.holder.clone();
        local.epoch = handover.epoch;
        local.fence = handover.fence;
        local.cutoff = handover.cutoff;
        local.passed = false;
        self.adopt_holder_lease(handover, now);
        let lapsed = self.leases[&handover.holder].lapsed;
        self.shards[shard].lapsed = lapsed || now > handover.valid_until;
        HandoverDecision::Accepted
    }

    /// Adds the lease of the holder that this host acts for, or extends it.
    pub(super) fn adopt_holder_lease(&mut self, handover: &Handover, now: Time) {
        let holder = handover.holder.clone();
        for candidate in handover.takers.iter().filter(|t| !t.address.is_empty()) {
            self.incarnations
                .record_address(&candidate.id, &candidate.address);
        }
        if !handover.holder_address.is_empty() {
            self.incarnations
                .record_address(&holder, &handover.holder_address);
        }
        let ids = handover.takers.iter().map(|t| t.id.clone());
        let mut takers: BTreeSet<HostId> = ids.collect();
        let known = self.leases.get(&holder);
        takers.extend(known.into_iter().flat_map(|l| l.takers.iter().cloned()));
        takers.remove(&self.own_id);
        // The later incarnation of the holder is this host itself; there is no other.
        let heir_until = if self.is_own_earlier_incarnation(&holder) {
            Time::MAX
        } else {
            handover.heir_until
        };
        let was_valid = known.is_some_and(|l| !l.lapsed);
        let lease = HolderLease {
            table_until: handover
                .table_until
                .max(known.map_or(Time::ZERO, |l| l.table_until)),
            limit: handover.promise_limit,
            takers,
            heir_until,
            valid_until: Time::ZERO,
            lapsed: now > handover.valid_until && !was_valid,
        };
        self.leases.insert(holder.clone(), lease);
        for promise in &handover.promises {
            let key = (holder.clone(), promise.taker.clone());
            let until = self.promises_received.entry(key).or_default();
            *until = (*until).max(promise.until);
        }
        self.recompute_lease(&holder);
        self.expire_rights(now);
    }
}
