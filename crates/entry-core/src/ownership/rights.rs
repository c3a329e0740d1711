//! The right to start submissions of a shard, and its expiry.
//!
//! A holder's right lasts until the end of its lease in the table. While the table is
//! unavailable, the right is extended for as long as every host that could take over
//! has promised not to. A right that has expired can be regained only through the table.

use gannetridge_entry_wire::{Epoch, HostId, Time};

use super::Ownership;
use crate::charts::ShardState;

/// The right to start submissions of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// The shard's current epoch.
    pub epoch: Epoch,
    /// The lowest epoch that may still start tasks.
    pub fence: Epoch,
    /// Ids created up to this time may have been started by an owner that was lost.
    pub cutoff: Time,
    /// The time at which the right expires unless it is renewed.
    pub until: Time,
}

impl Ownership {
    /// Returns the right to accept submissions of a shard, if it is in force.
    #[must_use]
    pub fn acceptance_right(&self, shard: u16, now: Time) -> Option<Right> {
        let local = &self.shards[usize::from(shard)];
        if !matches!(local.state, ShardState::Held | ShardState::Acting) {
            return None;
        }
        self.lease_right(shard, now)
    }

    /// Returns the right that the holder's lease gives, even while the shard is being
    /// handed over.
    pub(super) fn lease_right(&self, shard: u16, now: Time) -> Option<Right> {
        let local = &self.shards[usize::from(shard)];
        let lease = self.leases.get(&local.holder)?;
        let mut until = lease.valid_until;
        let mut lapsed = lease.lapsed || local.lapsed;
        if local.state == ShardState::Acting && self.is_claimed(shard) {
            // The claim may have been written without this host's knowledge. Then its own
            // lease counts, and the promises of its own possible successors.
            let own = self.leases.get(&self.own_id)?;
            until = until.min(own.valid_until);
            lapsed |= own.lapsed;
        }
        if self.safeguards.expiry_check && (lapsed || now > until) {
            return None;
        }
        Some(Right {
            epoch: local.epoch,
            fence: local.fence,
            cutoff: local.cutoff,
            until,
        })
    }

    /// Returns true if a write in progress claims a shard for this host.
    pub(super) fn is_claimed(&self, shard: u16) -> bool {
        let write = self.pending_write.as_ref();
        write.is_some_and(|w| w.claims.contains_key(&shard))
    }

    /// Returns the latest time at which a task of a job accepted in `epoch` may start, or
    /// `None` if the right to the shard has expired. The jobs of a shard that was handed
    /// over gracefully stay with this host, without a limit.
    #[must_use]
    pub fn latest_start(&self, shard: u16, epoch: Epoch, now: Time) -> Option<Time> {
        match self.shard_state(shard) {
            ShardState::Held | ShardState::Acting | ShardState::HandingOver => {
                let right = self.lease_right(shard, now);
                // The shard was taken over and acquired again since: its older jobs must not
                // start tasks any more.
                right.filter(|r| epoch >= r.fence).map(|r| r.until)
            }
            ShardState::Absent => Some(Time::MAX),
        }
    }

    /// Marks the rights that have expired by `now`. Has to be called before any change
    /// that could extend a right.
    pub fn expire_rights(&mut self, now: Time) {
        for (holder, lease) in &mut self.leases {
            if lease.lapsed || now <= lease.valid_until {
                continue;
            }
            lease.lapsed = true;
            // A later handover renews the lease, but not the right to shards that the
            // holder may have reclaimed in between.
            for shard in &mut self.shards {
                shard.lapsed |= shard.state == ShardState::Acting && shard.holder == *holder;
            }
        }
    }

    /// Recomputes until when a holder's lease gives rights.
    pub(super) fn recompute_lease(&mut self, holder: &HostId) {
        let Some(lease) = self.leases.get_mut(holder) else {
            return;
        };
        let promised = |candidate: &HostId| {
            let key = (holder.clone(), candidate.clone());
            self.promises_received
                .get(&key)
                .copied()
                .unwrap_or(Time::ZERO)
        };
        let cannot_take_over =
            |t: &HostId| self.incarnations.has_ended(t) || self.resigned.contains(t);
        let needed = lease.takers.iter().filter(|t| !cannot_take_over(t));
        let by_promise = needed.map(promised).min().unwrap_or(Time::MAX);
        let extended = by_promise.min(lease.heir_until).min(lease.limit);
        lease.valid_until = lease.table_until.max(extended);
    }
}
