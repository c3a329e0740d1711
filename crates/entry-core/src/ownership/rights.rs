//! The right to start submissions of a shard, and until when it lasts.
//!
//! A holder's right lasts until the end of its lease in the table. While the table is
//! out, the right goes on for as long as every host that could take over has promised
//! not to. A right that has lapsed once comes back through the table only.

use gannetridge_entry_wire::{Epoch, HostId, Time};

use super::Ownership;
use crate::charts::ShardState;

/// The right to start submissions of a shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Right {
    /// The epoch in force.
    pub epoch: Epoch,
    /// The lowest epoch that may still start tasks.
    pub fence: Epoch,
    /// Ids created up to this time may have been started by a lost owner.
    pub cutoff: Time,
    /// When the right ends unless it is renewed.
    pub until: Time,
}

impl Ownership {
    /// Returns the right to start submissions of a shard, if it is in force.
    #[must_use]
    pub fn right(&self, shard: u16, now: Time) -> Option<Right> {
        let local = &self.shards[usize::from(shard)];
        if !matches!(local.state, ShardState::Held | ShardState::Acting) {
            return None;
        }
        self.right_as_holder(shard, now)
    }

    /// Returns the right that the holder's lease gives, whether or not the
    /// shard is on its way to another host.
    pub(super) fn right_as_holder(&self, shard: u16, now: Time) -> Option<Right> {
        let local = &self.shards[usize::from(shard)];
        let lease = self.leases.get(&local.holder)?;
        let mut until = lease.valid_until;
        let mut lapsed = lease.lapsed || local.lapsed;
        if local.state == ShardState::Acting && self.is_claimed(shard) {
            // The claim may have been written without this host's knowing:
            // then its own lease counts, and its own takers.
            let own = self.leases.get(&self.me)?;
            until = until.min(own.valid_until);
            lapsed |= own.lapsed;
        }
        if self.safeguards.lapse_check && (lapsed || now > until) {
            return None;
        }
        Some(Right {
            epoch: local.epoch,
            fence: local.fence,
            cutoff: local.cutoff,
            until,
        })
    }

    /// Tells whether a write on its way claims a shard for this host.
    pub(super) fn is_claimed(&self, shard: u16) -> bool {
        let attempt = self.attempt.as_ref();
        attempt.is_some_and(|a| a.claims.contains_key(&shard))
    }

    /// Returns the latest time at which a task of a job accepted earlier may
    /// begin, or `None` if the right to the shard has lapsed. A shard that was
    /// handed over in order leaves its jobs with this host.
    #[must_use]
    pub fn begin_limit(&self, shard: u16, epoch: Epoch, now: Time) -> Option<Time> {
        match self.state(shard) {
            ShardState::Held | ShardState::Acting | ShardState::HandingOver => {
                let right = self.right_as_holder(shard, now);
                // A shard that was taken over and came back since has left its
                // older jobs behind.
                right.filter(|r| epoch >= r.fence).map(|r| r.until)
            }
            ShardState::Absent => Some(Time::MAX),
        }
    }

    /// Notes the time, and with it rights that have lapsed. To be called
    /// before anything that could extend a right.
    pub fn touch(&mut self, now: Time) {
        for (holder, lease) in &mut self.leases {
            if lease.lapsed || now <= lease.valid_until {
                continue;
            }
            lease.lapsed = true;
            // A later handover renews the lease, but not the right to shards
            // that the holder may have taken back in between.
            for shard in &mut self.shards {
                shard.lapsed |= shard.state == ShardState::Acting && shard.holder == *holder;
            }
        }
    }

    /// Computes until when a holder's lease gives rights.
    pub(super) fn revalue(&mut self, holder: &HostId) {
        let Some(lease) = self.leases.get_mut(holder) else {
            return;
        };
        let promised = |taker: &HostId| {
            let key = (holder.clone(), taker.clone());
            self.promises.get(&key).copied().unwrap_or(Time::ZERO)
        };
        let harmless = |t: &HostId| self.runs.has_ended(t) || self.resigned.contains(t);
        let needed = lease.takers.iter().filter(|t| !harmless(t));
        let by_promise = needed.map(promised).min().unwrap_or(Time::MAX);
        let extended = by_promise.min(lease.heir_until).min(lease.limit);
        lease.valid_until = lease.table_until.max(extended);
    }
}
