//! Ownership of shards: which submissions this host may start, and until when.
//!
//! Ownership is recorded in the hall's row of the platform's table and changes by
//! compare-and-set.
//!
//! `rights` computes how long a right lasts, `table` reads and writes the row,
//! `promises` tracks the hosts' promises not to take over, `handover` moves shards
//! between hosts, `incarnations` tracks which incarnations have ended.

mod handover;
mod incarnations;
mod promises;
mod rights;
mod table;

use std::collections::{BTreeMap, BTreeSet};

use gannetridge_entry_wire::hall::HallRow;
use gannetridge_entry_wire::ids::SHARDS_PER_HALL;
use gannetridge_entry_wire::{Epoch, HostId, Time};
use gannetridge_wire::Name;

use incarnations::Incarnations;
pub use rights::Right;

use crate::charts::{ShardState, SHARD};
use crate::settings::{HostSettings, Safeguards, Tuning};

/// Time after the end of its lease at which a host without shards is removed from the
/// row.
const MEMBER_RETENTION_MS: u64 = 60_000;

/// The local state of one shard.
#[derive(Clone, Debug)]
struct LocalShard {
    state: ShardState,
    /// The holder that the row names: this host, or the one that it acts for.
    holder: HostId,
    epoch: Epoch,
    fence: Epoch,
    cutoff: Time,
    /// True while a shard of this host has been handed over and the row doesn't show the
    /// new holder yet.
    passed: bool,
    /// True once the right to a shard that this host acts for has expired.
    lapsed: bool,
}

/// The lease of this host, or of a holder that it acts for.
#[derive(Clone, Debug)]
struct HolderLease {
    /// The end of the lease in the table.
    table_until: Time,
    /// The latest time to which promises may extend the lease.
    limit: Time,
    /// The hosts that may take over from the holder; the lease is extended only
    /// if each has promised not to, has ended or has resigned.
    takers: BTreeSet<HostId>,
    /// No later incarnation of the holder takes its shards over before this time;
    /// `Time::MAX` for this host's own lease.
    heir_until: Time,
    /// The time until which the lease gives rights, promises included.
    valid_until: Time,
    /// True once the lease has expired.
    lapsed: bool,
}

/// A write of the row whose outcome isn't known yet.
#[derive(Clone, Debug)]
struct PendingWrite {
    row: HallRow,
    /// The version that the write replaces.
    base_version: u64,
    /// The shards that the write claims, with their new epochs.
    claims: BTreeMap<u16, Epoch>,
    /// The holders from which the write takes shards over.
    takes_from: BTreeSet<HostId>,
    /// True if the table reported that the write may have taken place.
    unclear: bool,
}

/// The shards whose ownership changed with a new row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct OwnershipChanges {
    /// Shards that this host now holds.
    pub acquired: Vec<u16>,
    /// Shards that this host no longer holds.
    pub lost: Vec<u16>,
}

/// This host's state of the ownership of its hall's shards.
#[derive(Debug)]
pub struct Ownership {
    own_id: HostId,
    address: Name,
    tuning: Tuning,
    safeguards: Safeguards,
    row: HallRow,
    version: u64,
    /// True once the row was read or written.
    row_known: bool,
    pending_write: Option<PendingWrite>,
    shards: Vec<LocalShard>,
    leases: BTreeMap<HostId, HolderLease>,
    /// Promises received, by holder and by the host that promised.
    promises_received: BTreeMap<(HostId, HostId), Time>,
    /// The end of this host's own promises, by holder.
    promises_given: BTreeMap<HostId, Time>,
    incarnations: Incarnations,
    /// Hosts that will never take a shard over.
    resigned: BTreeSet<HostId>,
    /// The decisions on received handovers, by sender and serial, so that a copy gets the
    /// same reply.
    handover_decisions: BTreeMap<(HostId, u64), HandoverDecision>,
    /// The serial of the last handover sent.
    last_serial: u64,
    /// The latest end of any right that was handed over, unless this host extends it by
    /// a promise.
    offered_until: Time,
    stopping: bool,
    started: Time,
}

impl Ownership {
    /// Creates the state of a host that holds no shard and hasn't read the row.
    #[must_use]
    pub fn new(settings: &HostSettings, now: Time) -> Self {
        let shard = LocalShard {
            state: SHARD.initial(),
            holder: settings.id.clone(),
            epoch: Epoch::default(),
            fence: Epoch::default(),
            cutoff: Time::ZERO,
            passed: false,
            lapsed: false,
        };
        Self {
            own_id: settings.id.clone(),
            address: settings.address.clone(),
            tuning: settings.tuning.clone(),
            safeguards: settings.safeguards,
            row: HallRow::empty(),
            version: 0,
            row_known: false,
            pending_write: None,
            shards: vec![shard; usize::from(SHARDS_PER_HALL)],
            leases: BTreeMap::new(),
            promises_received: BTreeMap::new(),
            promises_given: BTreeMap::new(),
            incarnations: Incarnations::new(&settings.id, &settings.address),
            resigned: BTreeSet::new(),
            handover_decisions: BTreeMap::new(),
            last_serial: 0,
            offered_until: Time::ZERO,
            stopping: false,
            started: now,
        }
    }

    /// Returns the row as last read or written.
    #[must_use]
    pub fn row(&self) -> &HallRow {
        &self.row
    }

    /// Returns the version of that row; 0 if there is none yet.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the shards that this host holds or acts for, with their epochs.
    #[must_use]
    pub fn held_shards(&self) -> Vec<(u16, Epoch)> {
        let held = |(_, s): &(usize, &LocalShard)| {
            matches!(s.state, ShardState::Held | ShardState::Acting)
        };
        let shards = self.shards.iter().enumerate().filter(held);
        shards.map(|(i, s)| (i as u16, s.epoch)).collect()
    }

    /// Returns true if this host holds, acts for or is handing over any shard.
    #[must_use]
    pub fn has_any_shard(&self) -> bool {
        self.shards.iter().any(|s| s.state != ShardState::Absent)
    }

    /// Returns the state of a shard.
    #[must_use]
    pub fn shard_state(&self, shard: u16) -> ShardState {
        self.shards[usize::from(shard)].state
    }

    /// Describes the state of a shard, for logs and failed checks.
    #[must_use]
    pub fn describe_shard(&self, shard: u16) -> String {
        let local = &self.shards[usize::from(shard)];
        let lease = self.leases.get(&local.holder);
        let row = &self.row.shards[usize::from(shard)];
        format!("{local:?}; {lease:?}; row {} {row:?}", self.version)
    }

    /// Records that the host is stopping; from now on it takes over no shards.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Returns true if this host will never take over a shard any more.
    #[must_use]
    pub fn has_resigned(&self) -> bool {
        let taking = |w: &PendingWrite| !w.takes_from.is_empty();
        self.stopping && !self.pending_write.as_ref().is_some_and(taking)
    }

    /// Removes the leases of holders that this host no longer acts for, with their
    /// promises, so that no peer is asked to extend them.
    fn remove_unused_leases(&mut self) {
        let acts = |s: &&LocalShard| s.state != ShardState::Absent;
        let holders: BTreeSet<HostId> = self
            .shards
            .iter()
            .filter(acts)
            .map(|s| s.holder.clone())
            .collect();
        let me = &self.own_id;
        let used = |holder: &HostId| holder == me || holders.contains(holder);
        self.leases.retain(|holder, _| used(holder));
        self.promises_received.retain(|(holder, _), _| used(holder));
        let (row, leases) = (&self.row, &self.leases);
        let takes = |id: &HostId| leases.values().any(|lease| lease.takers.contains(id));
        self.incarnations
            .retain(|id| row.member(id).is_some() || leases.contains_key(id) || takes(id));
    }
}

/// The receiver's decision on a handover.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandoverDecision {
    /// The receiver now acts for the shard's holder.
    Accepted,
    /// The same handover has been accepted before.
    Repeated,
    /// The sender keeps the shard.
    Declined,
    /// The receiver is another incarnation of the host that was addressed.
    NotAddressee,
}

impl HandoverDecision {
    /// Returns the decision on a copy of the same handover.
    fn for_copy(self) -> Self {
        match self {
            Self::Accepted => Self::Repeated,
            other => other,
        }
    }
}
