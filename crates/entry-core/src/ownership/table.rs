//! The hall's row in the platform's table: claims, takeovers and renewals.

use std::collections::{BTreeMap, BTreeSet};

use gannetridge_entry_wire::hall::{HallRow, Member, ShardRow};
use gannetridge_entry_wire::platform::TableFailure;
use gannetridge_entry_wire::{Epoch, HostId, Time};

use super::{
    HolderLease, LocalShard, Ownership, OwnershipChanges, PendingWrite, MEMBER_RETENTION_MS,
};
use crate::charts::{ShardEvent, ShardState, SHARD};

impl Ownership {
    /// Returns true while a write is in progress or its outcome is unknown.
    #[must_use]
    pub fn has_pending_write(&self) -> bool {
        self.pending_write.is_some()
    }

    /// Composes the row that this host wants to write over the version last read. Returns
    /// `None` if the row isn't known or needs no change.
    pub fn compose_row(&mut self, now: Time) -> Option<HallRow> {
        if !self.row_known {
            return None;
        }
        let mut row = self.row.clone();
        row.generation += 1;
        let mut claims = BTreeMap::new();
        let mut takes_from = BTreeSet::new();
        for i in 0..row.shards.len() {
            let taken_from = self.compose_shard(&mut row, i, now, &mut claims);
            takes_from.extend(taken_from);
        }
        self.compose_members(&mut row, now);
        if row.members == self.row.members && row.shards == self.row.shards {
            return None;
        }
        let mut write = PendingWrite {
            row: row.clone(),
            base_version: self.version,
            claims,
            takes_from,
            unclear: false,
        };
        // An earlier write over the same version may still take effect.
        if let Some(earlier) = self.pending_write.take() {
            write.claims.extend(earlier.claims);
            write.takes_from.extend(earlier.takes_from);
            write.unclear = earlier.unclear;
        }
        self.pending_write = Some(write);
        self.assume_own_lease(&row);
        Some(row)
    }

    /// Adds this host's own lease as the row to be written has it, if there is none yet: the
    /// write may take effect without a reply.
    pub(super) fn assume_own_lease(&mut self, row: &HallRow) {
        let me = self.own_id.clone();
        let Some(mine) = row.member(&me).filter(|_| !self.leases.contains_key(&me)) else {
            return;
        };
        let others = row.members.iter().filter(|m| m.id != me);
        let lease = HolderLease {
            table_until: mine.until,
            limit: mine.until.plus_millis(self.tuning.outage_limit_ms),
            takers: others.map(|m| m.id.clone()).collect(),
            heir_until: Time::MAX,
            valid_until: mine.until,
            lapsed: false,
        };
        self.leases.insert(me.clone(), lease);
        self.recompute_lease(&me);
    }

    /// Composes one shard's part of the row. Returns the holder that it is taken over from.
    pub(super) fn compose_shard(
        &self,
        row: &mut HallRow,
        i: usize,
        now: Time,
        claims: &mut BTreeMap<u16, Epoch>,
    ) -> Option<HostId> {
        let local = &self.shards[i];
        let shard = &mut row.shards[i];
        let mut claim = |shard: &mut ShardRow| {
            shard.holder = Some(self.own_id.clone());
            shard.epoch.0 += 1;
            claims.insert(i as u16, shard.epoch);
        };
        if local.state == ShardState::Acting {
            claim(shard);
            return None;
        }
        if self.stopping || local.state != ShardState::Absent {
            return None;
        }
        let Some(holder) = shard.holder.clone() else {
            claim(shard);
            return None;
        };
        let cutoff = if holder == self.own_id {
            self.cutoff_for_reclaim(local, now)?
        } else {
            self.cutoff_for_takeover(&holder, now)?
        };
        claim(shard);
        shard.fence = shard.epoch;
        shard.cutoff = shard.cutoff.max(cutoff);
        Some(holder)
    }

    /// Returns the cutoff if a holder's shards may be taken over now: ids created up to
    /// then may have been started by the holder.
    pub(super) fn cutoff_for_takeover(&self, holder: &HostId, now: Time) -> Option<Time> {
        let theirs = self.row.member(holder)?;
        let given = self.promise_given_to(holder);
        if self.is_own_earlier_member(theirs) {
            // A host that acts for the earlier incarnation needs a promise of this one or
            // of the earlier one, which lasts for the duration of a lease at most.
            let end = given.max(self.started.plus_millis(self.tuning.lease_ms));
            return self.cutoff_after(end, now);
        }
        let mine = self.row.member(&self.own_id)?;
        let mut end = theirs.until.max(given);
        if theirs.renewed < mine.joined {
            // The holder may not know this host and act without its promise.
            let limit = theirs.until.plus_millis(self.tuning.outage_limit_ms);
            end = end.max(limit);
        }
        self.cutoff_after(end, now)
    }

    /// Returns the cutoff if a shard that was handed over may be reclaimed: the receiver
    /// hasn't written the table, and its right has expired.
    pub(super) fn cutoff_for_reclaim(&self, local: &LocalShard, now: Time) -> Option<Time> {
        if !local.passed {
            return None;
        }
        let end = self.offered_until.max(self.promise_given_to(&self.own_id));
        self.cutoff_after(end, now)
    }

    /// Returns the end of this host's promise not to take over from a holder.
    pub(super) fn promise_given_to(&self, holder: &HostId) -> Time {
        match self.promises_given.get(holder) {
            Some(until) if self.safeguards.keep_promises => *until,
            _ => Time::ZERO,
        }
    }

    /// Returns the cutoff for rights that end at `end`, once that time has passed on every
    /// clock.
    pub(super) fn cutoff_after(&self, end: Time, now: Time) -> Option<Time> {
        let wait = if self.safeguards.await_lease_expiry {
            end.plus_millis(self.tuning.skew_ms)
        } else {
            end.minus_millis(self.tuning.lease_ms * 3 / 4)
        };
        (now > wait).then(|| end.plus_millis(self.tuning.caller_skew_ms))
    }

    /// Returns true if a member is an earlier incarnation of this host. It has ended, since
    /// two processes can't have the same address.
    pub(super) fn is_own_earlier_member(&self, member: &Member) -> bool {
        member.id.name == self.own_id.name
            && member.address == self.address
            && member.id.incarnation < self.own_id.incarnation
    }

    /// Returns true if a member's incarnation is known to have ended.
    pub(super) fn has_member_ended(&self, member: &Member) -> bool {
        self.incarnations.has_ended_at(&member.id, &member.address)
    }

    /// Renews this host's entry among the row's members, and removes members that have
    /// ended.
    pub(super) fn compose_members(&self, row: &mut HallRow, now: Time) {
        let generation = row.generation;
        let owners: BTreeSet<HostId> = row.shards.iter().filter_map(|s| s.holder.clone()).collect();
        let remove_before = now.minus_millis(MEMBER_RETENTION_MS);
        row.members.retain(|m| {
            let removable = self.has_member_ended(m) || m.until < remove_before;
            owners.contains(&m.id) || m.id == self.own_id || !removable
        });
        let until = now.plus_millis(self.tuning.lease_ms);
        let owns = owners.contains(&self.own_id) || self.has_any_shard();
        if self.stopping && !owns {
            row.members.retain(|m| m.id != self.own_id);
            return;
        }
        match row.members.iter_mut().find(|m| m.id == self.own_id) {
            Some(me) => {
                me.until = until;
                // A host that acts for this one knows only the hosts that could take over at
                // the time of the handover. Hosts that joined since must not take over
                // before the table shows the new holder.
                if !self.has_unsettled_handover() {
                    me.renewed = generation;
                }
            }
            None => row.members.push(Member {
                id: self.own_id.clone(),
                address: self.address.clone(),
                joined: generation,
                renewed: generation,
                until,
            }),
        }
    }

    /// Returns true if a shard of this host is being handed over, or was and the table
    /// doesn't show the new holder yet.
    pub(super) fn has_unsettled_handover(&self) -> bool {
        let moves = |s: &LocalShard| s.state == ShardState::HandingOver || s.passed;
        self.shards.iter().any(moves)
    }

    /// Records that the write took place.
    ///
    /// # Panics
    ///
    /// Panics if no write is in progress.
    pub fn write_committed(&mut self, now: Time) -> OwnershipChanges {
        let write = self
            .pending_write
            .as_ref()
            .expect("a commit requires a pending write");
        let (row, version) = (write.row.clone(), write.base_version + 1);
        self.apply_row(row, version, now)
    }

    /// Records that the table didn't confirm the write.
    pub fn write_failed(&mut self, failure: TableFailure) {
        let Some(write) = &mut self.pending_write else {
            return;
        };
        write.unclear |= failure == TableFailure::Unclear;
        if !write.unclear {
            self.pending_write = None;
        }
    }

    /// Applies the row that the table has at `version`. A row older than the known one is
    /// ignored.
    pub fn apply_row(&mut self, row: HallRow, version: u64, now: Time) -> OwnershipChanges {
        if self.row_known && version < self.version {
            return OwnershipChanges::default();
        }
        self.row_known = true;
        self.version = version;
        self.row = row;
        for member in &self.row.members {
            self.incarnations
                .record_address(&member.id, &member.address);
        }
        // A write over an older version than the table's can't take effect any more,
        // unless it is the one that produced this version.
        let write = self.pending_write.take_if(|w| version > w.base_version);
        let claims = write.map(|w| w.claims).unwrap_or_default();
        self.apply_own_lease(now);
        let changes = self.apply_shards(&claims);
        self.remove_unused_leases();
        changes
    }

    /// Updates this host's own lease from the row.
    pub(super) fn apply_own_lease(&mut self, now: Time) {
        let me = self.own_id.clone();
        let Some(mine) = self.row.member(&me) else {
            if let Some(lease) = self.leases.get_mut(&me) {
                lease.lapsed = true;
            }
            return;
        };
        let others = self.row.members.iter().filter(|m| m.id != me);
        let takers: BTreeSet<HostId> = others.map(|m| m.id.clone()).collect();
        let lease = HolderLease {
            table_until: mine.until,
            limit: mine.until.plus_millis(self.tuning.outage_limit_ms),
            takers,
            heir_until: Time::MAX,
            valid_until: mine.until,
            lapsed: now > mine.until && self.leases.get(&me).is_none_or(|l| l.lapsed),
        };
        self.leases.insert(me.clone(), lease);
        self.recompute_lease(&me);
    }

    /// Updates the shards from the row. `claims` are those of this host's own write.
    pub(super) fn apply_shards(&mut self, claims: &BTreeMap<u16, Epoch>) -> OwnershipChanges {
        let mut changes = OwnershipChanges::default();
        for i in 0..self.shards.len() {
            let index = i as u16;
            let shard = &self.row.shards[i];
            let local = &mut self.shards[i];
            let mine = shard.holder.as_ref() == Some(&self.own_id);
            let claimed = claims.get(&index) == Some(&shard.epoch);
            let was_acting = local.state == ShardState::Acting;
            if mine && (claimed || was_acting) && local.epoch <= shard.epoch {
                SHARD.advance(&mut local.state, ShardEvent::Acquired);
                local.holder = self.own_id.clone();
                local.epoch = shard.epoch;
                local.fence = shard.fence;
                local.cutoff = shard.cutoff;
                local.passed = false;
                local.lapsed = false;
                changes.acquired.push(index);
                continue;
            }
            let unchanged =
                shard.holder.as_ref() == Some(&local.holder) && shard.epoch == local.epoch;
            if local.state != ShardState::Absent && !unchanged {
                SHARD.advance(&mut local.state, ShardEvent::Lost);
                changes.lost.push(index);
            }
            if !unchanged {
                local.passed = false;
            }
        }
        changes
    }
}
