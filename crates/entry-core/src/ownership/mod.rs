//! Which shards this host may start submissions of, and until when.
//!
//! Ownership stands in the hall's row of the platform's table and moves by
//! compare-and-set.
//!
//! `rights` says until when a right lasts, `table` reads and writes the row,
//! `promises` keeps what hosts promise each other, `handing` moves shards between
//! hosts, `runs` knows which hosts have ended.

mod handing;
mod promises;
mod rights;
mod runs;
mod table;

use std::collections::{BTreeMap, BTreeSet};

use gannetridge_entry_wire::hall::HallRow;
use gannetridge_entry_wire::ids::SHARDS_PER_HALL;
use gannetridge_entry_wire::{Epoch, HostId, Time};
use gannetridge_wire::Name;

pub use rights::Right;
use runs::Runs;

use crate::charts::{ShardState, SHARD};
use crate::settings::{HostSettings, Safeguards, Tuning};

/// How long after its lease's end a host without shards stays in the row.
/// Chosen, not measured.
const FORGET_MEMBER_MS: u64 = 60_000;

/// This host's view of one shard.
#[derive(Clone, Debug)]
struct LocalShard {
    state: ShardState,
    /// The holder that the row names; this host, unless it acts for another.
    holder: HostId,
    epoch: Epoch,
    fence: Epoch,
    cutoff: Time,
    /// True while a shard of this host's own is at a peer whose table write
    /// is still to come.
    passed: bool,
    /// True once the right of one that acts for the holder has lapsed.
    lapsed: bool,
}

/// A holder's lease, as far as this host acts for the holder.
#[derive(Clone, Debug)]
struct HolderLease {
    table_until: Time,
    limit: Time,
    takers: BTreeSet<HostId>,
    /// The holder's own promise, or that of its later runs; without end for
    /// this host's own lease.
    heir_until: Time,
    valid_until: Time,
    lapsed: bool,
}

/// A write of the row whose outcome isn't known.
#[derive(Clone, Debug)]
struct Attempt {
    row: HallRow,
    base: u64,
    claims: BTreeMap<u16, Epoch>,
    takes_from: BTreeSet<HostId>,
    unclear: bool,
}

/// What changed with a new row.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Shards that this host now holds.
    pub acquired: Vec<u16>,
    /// Shards that another host now holds.
    pub lost: Vec<u16>,
}

/// This host's part in its hall's ownership.
#[derive(Debug)]
pub struct Ownership {
    me: HostId,
    address: Name,
    tuning: Tuning,
    safeguards: Safeguards,
    row: HallRow,
    version: u64,
    known: bool,
    attempt: Option<Attempt>,
    shards: Vec<LocalShard>,
    leases: BTreeMap<HostId, HolderLease>,
    promises: BTreeMap<(HostId, HostId), Time>,
    given: BTreeMap<HostId, Time>,
    runs: Runs,
    resigned: BTreeSet<HostId>,
    /// What became of handovers, so that a copy gets the same reply.
    offers: BTreeMap<(HostId, u64), Acceptance>,
    serial: u64,
    /// No right that was handed over lasts longer, unless this host promises
    /// it more time.
    offered_until: Time,
    stopping: bool,
    started: Time,
}

impl Ownership {
    /// Creates the view of a host that owns nothing and knows nothing.
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
            me: settings.id.clone(),
            address: settings.address.clone(),
            tuning: settings.tuning.clone(),
            safeguards: settings.safeguards,
            row: HallRow::empty(),
            version: 0,
            known: false,
            attempt: None,
            shards: vec![shard; usize::from(SHARDS_PER_HALL)],
            leases: BTreeMap::new(),
            promises: BTreeMap::new(),
            given: BTreeMap::new(),
            runs: Runs::new(&settings.id, &settings.address),
            resigned: BTreeSet::new(),
            offers: BTreeMap::new(),
            serial: 0,
            offered_until: Time::ZERO,
            stopping: false,
            started: now,
        }
    }

    /// Returns the row as last read.
    #[must_use]
    pub fn row(&self) -> &HallRow {
        &self.row
    }

    /// Returns the row's version as last read; 0 before any.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the shards that this host holds or acts for.
    #[must_use]
    pub fn held(&self) -> Vec<(u16, Epoch)> {
        let held = |(_, s): &(usize, &LocalShard)| {
            matches!(s.state, ShardState::Held | ShardState::Acting)
        };
        let shards = self.shards.iter().enumerate().filter(held);
        shards.map(|(i, s)| (i as u16, s.epoch)).collect()
    }

    /// Tells whether this host has any part in a shard's ownership.
    #[must_use]
    pub fn has_any(&self) -> bool {
        self.shards.iter().any(|s| s.state != ShardState::Absent)
    }

    /// Returns the state of a shard.
    #[must_use]
    pub fn state(&self, shard: u16) -> ShardState {
        self.shards[usize::from(shard)].state
    }

    /// Describes this host's part in a shard, for logs and failed checks.
    #[must_use]
    pub fn describe(&self, shard: u16) -> String {
        let local = &self.shards[usize::from(shard)];
        let lease = self.leases.get(&local.holder);
        let row = &self.row.shards[usize::from(shard)];
        format!("{local:?}; {lease:?}; row {} {row:?}", self.version)
    }

    /// Notes that the host is stopping: it takes nothing over any more.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Tells whether this host will never again take anything over.
    #[must_use]
    pub fn resigned(&self) -> bool {
        let taking = |a: &Attempt| !a.takes_from.is_empty();
        self.stopping && !self.attempt.as_ref().is_some_and(taking)
    }

    /// Forgets the leases of holders that this host acts for no more, and
    /// their promises, so that nobody is asked to prolong them.
    fn forget_unused_leases(&mut self) {
        let acts = |s: &&LocalShard| s.state != ShardState::Absent;
        let holders: BTreeSet<HostId> = self
            .shards
            .iter()
            .filter(acts)
            .map(|s| s.holder.clone())
            .collect();
        let me = &self.me;
        let used = |holder: &HostId| holder == me || holders.contains(holder);
        self.leases.retain(|holder, _| used(holder));
        self.promises.retain(|(holder, _), _| used(holder));
        let (row, leases) = (&self.row, &self.leases);
        let takes = |id: &HostId| leases.values().any(|lease| lease.takers.contains(id));
        self.runs
            .retain(|id| row.member(id).is_some() || leases.contains_key(id) || takes(id));
    }
}

/// What becomes of a handover at its receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Acceptance {
    /// The shard is the receiver's.
    Accepted,
    /// The shard has been accepted before.
    Repeated,
    /// The sender keeps the shard.
    Declined,
    /// The receiver is another run of the host that was meant.
    NotAddressee,
}

impl Acceptance {
    /// Returns what a copy of the same handover gets.
    fn repeated(self) -> Self {
        match self {
            Self::Accepted => Self::Repeated,
            other => other,
        }
    }
}
