//! Tracks the slots that accounts use, and computes their quotas.
//!
//! A host knows its own use at once, that of its hall from heartbeats, and that of
//! other halls from the less frequent heartbeats between halls. An account can therefore
//! exceed its quota for as long as these updates take; the quota is a fair part under
//! load, not a strict bound.

use std::collections::BTreeMap;

use gannetridge_entry_config::Account;
use gannetridge_entry_wire::ids::SHARDS_PER_HALL;
use gannetridge_entry_wire::peer::Status;
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use super::heartbeat::{Peer, PEER_TIMEOUT_MS};
use super::Host;
use crate::queue::Quota;

/// Smallest part of a quota that a host has, in slots.
const MIN_QUOTA: f64 = 1.0;
/// Age up to which the usage reported by another hall counts, in ms.
const REMOTE_USAGE_TTL_MS: u64 = 60_000;

/// The slots that accounts use in other halls, as last reported.
#[derive(Debug, Default)]
pub(super) struct RemoteUsage {
    halls: BTreeMap<Name, HallUsage>,
}

#[derive(Debug)]
struct HallUsage {
    reported_at: Time,
    slots: BTreeMap<Name, u32>,
}

impl RemoteUsage {
    fn of(&self, account: &Name, now: Time) -> u32 {
        let reported_since = now.minus_millis(REMOTE_USAGE_TTL_MS);
        let fresh = self
            .halls
            .values()
            .filter(|h| h.reported_at >= reported_since);
        fresh.filter_map(|hall| hall.slots.get(account)).sum()
    }
}

impl Host {
    /// Returns an account's quota and its use through other hosts. The minimum is the part of
    /// the quota that corresponds to this host's shards, at least one slot, whatever the
    /// others use.
    pub(super) fn quota(&self, name: &Name, account: &Account) -> Quota {
        let quota = f64::from(account.quota_slots);
        let halls = account.halls.len() as f64;
        let held = self.ownership.held_shards().len() as f64;
        let part = quota / halls * held / f64::from(SHARDS_PER_HALL);
        let in_hall = self.live_hall_peers().flat_map(|p| p.usage.iter());
        let in_hall: u32 = in_hall
            .filter(|(n, _)| n == name)
            .map(|(_, slots)| slots)
            .sum();
        Quota {
            total: quota,
            used_by_other_hosts: f64::from(in_hall + self.remote_usage.of(name, self.now)),
            minimum: part.max(MIN_QUOTA),
        }
    }

    /// Iterates over the hall's other hosts that are alive.
    fn live_hall_peers(&self) -> impl Iterator<Item = &Peer> {
        let alive_since = self.now.minus_millis(PEER_TIMEOUT_MS);
        let hall = &self.settings.hall;
        let peers = self.peers.values();
        peers.filter(move |p| p.hall == *hall && p.last_status >= alive_since)
    }

    /// Returns the slots that each account uses through this hall's hosts.
    pub(super) fn hall_usage(&self) -> Vec<(Name, u32)> {
        let mut sums: BTreeMap<Name, u32> = self.queue.usage().into_iter().collect();
        for (name, slots) in self.live_hall_peers().flat_map(|p| p.usage.iter()) {
            *sums.entry(name.clone()).or_default() += slots;
        }
        sums.into_iter().collect()
    }

    /// Records the usage that a host of another hall reports for its hall.
    pub(super) fn record_remote_usage(&mut self, status: &Status) {
        let usage = HallUsage {
            reported_at: self.now,
            slots: status.usage.iter().cloned().collect(),
        };
        self.remote_usage.halls.insert(status.hall.clone(), usage);
    }

    /// Recomputes all accounts' quotas.
    pub(super) fn refresh_quotas(&mut self) {
        let accounts = self.queue.accounts();
        let quotas: Vec<_> = accounts
            .filter_map(|(index, name)| {
                let account = self.config.account(name)?;
                Some((index, self.quota(name, account)))
            })
            .collect();
        for (index, quota) in quotas {
            self.queue.set_quota(index, quota);
        }
    }
}
