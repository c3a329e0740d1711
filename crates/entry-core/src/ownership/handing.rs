//! Shards on their way from one host to another.

use std::collections::BTreeSet;

use gannetridge_entry_wire::hall::Member;
use gannetridge_entry_wire::peer::{Handover, LedgerRecord, Taker, TakerPromise};
use gannetridge_entry_wire::{HostId, Time};

use super::{Acceptance, HolderLease, Ownership};
use crate::charts::{ShardEvent, ShardState, SHARD};

impl Ownership {
    /// Returns a shard that should go to a peer that holds fewer, and the
    /// peer. A stopping host gives all its shards away.
    #[must_use]
    pub fn surplus(&self, now: Time) -> Option<(u16, Member)> {
        let shard = self.first_to_give()?;
        if !self.stopping && !self.has_let_all_in() {
            return None;
        }
        let stays = |m: &Member| !self.is_ended(m) && !self.resigned.contains(&m.id);
        let alive = |m: &&Member| m.until >= now && stays(m);
        let others = self
            .row
            .members
            .iter()
            .filter(|m| m.id != self.me)
            .filter(alive);
        let to = others.min_by_key(|m| self.row.shard_count(&m.id))?;
        let mine = self.held().len();
        let theirs = self.row.shard_count(&to.id);
        (self.stopping || mine > theirs + 1).then(|| (shard, to.clone()))
    }

    /// Tells whether every member may take over from this host. It lets nobody
    /// in while a shard is on its way, so it must not begin to hand shards
    /// over before.
    pub(super) fn has_let_all_in(&self) -> bool {
        let newest = self.row.members.iter().map(|m| m.joined).max();
        let mine = self.row.member(&self.me);
        mine.is_some_and(|m| Some(m.renewed) >= newest)
    }

    /// Returns the first shard that may be handed over. One that a write on
    /// its way claims may change its epoch at any moment and has to stay.
    #[must_use]
    pub fn first_to_give(&self) -> Option<u16> {
        let shards = self.shards.iter().enumerate();
        let mut free = shards.filter(|(i, s)| {
            let claimed = self.is_claimed(*i as u16);
            let mine =
                s.state == ShardState::Held || (self.stopping && s.state == ShardState::Acting);
            mine && !claimed && self.leases.contains_key(&s.holder)
        });
        free.next().map(|(i, _)| i as u16)
    }

    /// Begins to hand a shard over. From here on nothing is started under it.
    ///
    /// # Panics
    ///
    /// Panics if the shard isn't this host's to give.
    pub fn offer(
        &mut self,
        shard: u16,
        to: HostId,
        records: Vec<LedgerRecord>,
        now: Time,
    ) -> Handover {
        self.serial += 1;
        let local = &mut self.shards[usize::from(shard)];
        SHARD.advance(&mut local.state, ShardEvent::Offered);
        let local = local.clone();
        let lease = &self.leases[&local.holder];
        let heir_until = self.heir_promise(lease, now);
        // Promises that came after a lapse don't bring the right back, and a
        // later run of the holder is bound by `heir_until` only.
        let passed_on = lease.table_until.max(heir_until);
        let lapsed = lease.lapsed || local.lapsed;
        let valid_until = if lapsed {
            Time::ZERO
        } else {
            lease.valid_until.min(passed_on)
        };
        self.offered_until = self.offered_until.max(lease.table_until.max(heir_until));
        Handover {
            to,
            from: self.me.clone(),
            serial: self.serial,
            shard,
            holder: local.holder.clone(),
            holder_address: self.taker(&local.holder).address,
            epoch: local.epoch,
            fence: local.fence,
            cutoff: local.cutoff,
            valid_until,
            table_until: lease.table_until,
            promise_limit: lease.limit,
            takers: lease.takers.iter().map(|id| self.taker(id)).collect(),
            promises: self.promises_for(&local.holder),
            heir_until,
            records,
        }
    }

    fn taker(&self, id: &HostId) -> Taker {
        let address = self.runs.address(id).cloned();
        Taker {
            id: id.clone(),
            // Without an address nothing proves that it ended.
            address: address.unwrap_or_default(),
        }
    }

    /// Returns until when no later run of the holder takes its shards over:
    /// each waits for a lease's length after its start.
    pub(super) fn heir_promise(&self, lease: &HolderLease, now: Time) -> Time {
        lease.heir_until.min(now.plus_millis(self.tuning.lease_ms))
    }

    pub(super) fn promises_for(&self, holder: &HostId) -> Vec<TakerPromise> {
        let promises = self.promises.iter().filter(|((h, _), _)| h == holder);
        let promise = |((_, taker), until): (&(HostId, HostId), &Time)| TakerPromise {
            taker: taker.clone(),
            until: *until,
        };
        promises.map(promise).collect()
    }

    /// Tells whether a holder was an earlier run of this host.
    fn is_earlier_run(&self, holder: &HostId) -> bool {
        let here = self.runs.address(holder) == Some(&self.address);
        here && holder.name == self.me.name && holder.incarnation < self.me.incarnation
    }

    /// Notes that the peer declined, so that the shard is this host's again.
    pub fn declined(&mut self, shard: u16) {
        let local = &mut self.shards[usize::from(shard)];
        if local.state != ShardState::HandingOver {
            return;
        }
        let event = if local.holder == self.me {
            ShardEvent::DeclinedHeld
        } else {
            ShardEvent::DeclinedActing
        };
        SHARD.advance(&mut local.state, event);
    }

    /// Notes that the peer accepted, or that this can't be ruled out.
    pub fn passed(&mut self, handover: &Handover) {
        let local = &mut self.shards[usize::from(handover.shard)];
        if local.state != ShardState::HandingOver {
            return;
        }
        SHARD.advance(&mut local.state, ShardEvent::Passed);
        local.passed = local.holder == self.me;
    }

    /// Decides on a shard that a peer hands over.
    pub fn accept(&mut self, handover: &Handover, now: Time) -> Acceptance {
        self.touch(now);
        let once = self.safeguards.handover_once;
        if once && handover.to != self.me {
            return Acceptance::NotAddressee;
        }
        let key = (handover.from.clone(), handover.serial);
        let known = self.offers.get(&key).copied();
        if let (true, Some(known)) = (once, known) {
            return known.repeated();
        }
        let acceptance = self.accept_new(handover, now);
        self.offers.insert(key, acceptance);
        acceptance
    }

    pub(super) fn accept_new(&mut self, handover: &Handover, now: Time) -> Acceptance {
        let shard = usize::from(handover.shard);
        let row = self.row.shards.get(shard);
        let moved_on = self.known && row.is_some_and(|r| r.epoch > handover.epoch);
        let free = self
            .shards
            .get(shard)
            .is_some_and(|s| s.state == ShardState::Absent);
        if self.stopping || !free || moved_on {
            return Acceptance::Declined;
        }
        let local = &mut self.shards[shard];
        SHARD.advance(&mut local.state, ShardEvent::Accepted);
        local.holder = handover.holder.clone();
        local.epoch = handover.epoch;
        local.fence = handover.fence;
        local.cutoff = handover.cutoff;
        local.passed = false;
        self.act_for(handover, now);
        let lapsed = self.leases[&handover.holder].lapsed;
        self.shards[shard].lapsed = lapsed || now > handover.valid_until;
        Acceptance::Accepted
    }

    pub(super) fn act_for(&mut self, handover: &Handover, now: Time) {
        let holder = handover.holder.clone();
        for taker in handover.takers.iter().filter(|t| !t.address.is_empty()) {
            self.runs.reached_at(&taker.id, &taker.address);
        }
        if !handover.holder_address.is_empty() {
            self.runs.reached_at(&holder, &handover.holder_address);
        }
        let ids = handover.takers.iter().map(|t| t.id.clone());
        let mut takers: BTreeSet<HostId> = ids.collect();
        let known = self.leases.get(&holder);
        takers.extend(known.into_iter().flat_map(|l| l.takers.iter().cloned()));
        takers.remove(&self.me);
        // The holder's later run is this host itself: no other can be.
        let heir_until = if self.is_earlier_run(&holder) {
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
            let until = self.promises.entry(key).or_default();
            *until = (*until).max(promise.until);
        }
        self.revalue(&holder);
        self.touch(now);
    }
}
