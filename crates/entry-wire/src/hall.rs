//! The row of the platform's table that records a hall's hosts and the owners
//! of its shards.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::ids::SHARDS_PER_HALL;
use crate::{Epoch, HostId, Time};
use gannetridge_wire::Name;

/// The prefix of the keys of hall rows.
pub const HALL_PREFIX: &str = "hall/";

/// Returns the key of a hall's row.
#[must_use]
pub fn hall_key(hall: &str) -> Name {
    format!("{HALL_PREFIX}{hall}").into()
}

/// An entry host that may own and take over shards of its hall.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Member {
    /// One incarnation of the host.
    pub id: HostId,
    /// The address for its peers, `ip:port`.
    pub address: Name,
    /// The row's generation at which the host joined.
    pub joined: u64,
    /// The row's generation at which the host last renewed its lease.
    pub renewed: u64,
    /// The end of its lease on its own clock.
    pub until: Time,
}

/// The ownership of one shard.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ShardRow {
    /// The owner, if the shard has one.
    pub holder: Option<HostId>,
    /// Grows with each change of the owner.
    pub epoch: Epoch,
    /// The lowest epoch that may still start tasks.
    pub fence: Epoch,
    /// Submissions whose ids were created up to this time may have been started
    /// by a former owner that was lost.
    pub cutoff: Time,
}

/// The whole row of one hall.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "StoredRow", try_from = "StoredRow")]
pub struct HallRow {
    /// Counts the writes of the row.
    pub generation: u64,
    /// The hosts of the hall.
    pub members: Vec<Member>,
    /// The shards, by index; [`SHARDS_PER_HALL`] of them.
    pub shards: Vec<ShardRow>,
}

impl HallRow {
    /// Creates the row of a hall that no host has joined yet.
    #[must_use]
    pub fn empty() -> Self {
        Self {
            generation: 0,
            members: Vec::new(),
            shards: vec![ShardRow::default(); usize::from(SHARDS_PER_HALL)],
        }
    }

    /// Returns the member with the given id, if it has joined.
    #[must_use]
    pub fn member(&self, id: &HostId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == *id)
    }

    /// Returns the number of shards that the host owns.
    #[must_use]
    pub fn shard_count(&self, id: &HostId) -> usize {
        let owned = |s: &&ShardRow| s.holder.as_ref() == Some(id);
        self.shards.iter().filter(owned).count()
    }
}

/// Why a stored row is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RowError {
    /// A shard names a holder that the row doesn't list.
    #[error("shard {shard} names holder {holder}, and the row lists {listed}")]
    Holder {
        /// The shard's index.
        shard: usize,
        /// The holder's position in the row's list of holders.
        holder: usize,
        /// The number of holders in that list.
        listed: usize,
    },
    /// The row has this number of shards instead of [`SHARDS_PER_HALL`].
    #[error("the row has {0} shards, a hall has {SHARDS_PER_HALL}")]
    Shards(usize),
}

/// The stored form of a [`HallRow`]. Every host reads and writes the row
/// frequently, so each holder's name is stored only once.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
struct StoredRow {
    generation: u64,
    members: Vec<Member>,
    holders: Vec<HostId>,
    shards: Vec<StoredShard>,
}

/// The holder's position in [`StoredRow::holders`], the epoch, the fence and
/// the cutoff.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StoredShard(Option<usize>, Epoch, Epoch, Time);

impl From<HallRow> for StoredRow {
    fn from(row: HallRow) -> Self {
        let mut holders: Vec<HostId> = Vec::new();
        let mut position = |id: HostId| {
            let known = holders.iter().position(|holder| *holder == id);
            known.unwrap_or_else(|| {
                holders.push(id);
                holders.len() - 1
            })
        };
        let mut shards = Vec::with_capacity(row.shards.len());
        for shard in row.shards {
            let holder = shard.holder.map(&mut position);
            shards.push(StoredShard(holder, shard.epoch, shard.fence, shard.cutoff));
        }
        Self {
            generation: row.generation,
            members: row.members,
            holders,
            shards,
        }
    }
}

impl TryFrom<StoredRow> for HallRow {
    type Error = RowError;

    fn try_from(stored: StoredRow) -> Result<Self, RowError> {
        if stored.shards.len() != usize::from(SHARDS_PER_HALL) {
            return Err(RowError::Shards(stored.shards.len()));
        }
        let listed = stored.holders.len();
        let mut shards = Vec::with_capacity(stored.shards.len());
        for (shard, StoredShard(holder, epoch, fence, cutoff)) in
            stored.shards.into_iter().enumerate()
        {
            let id = holder.map(|h| stored.holders.get(h).cloned());
            let holder = match (holder, id) {
                (Some(holder), Some(None)) => {
                    return Err(RowError::Holder {
                        shard,
                        holder,
                        listed,
                    })
                }
                (_, id) => id.flatten(),
            };
            shards.push(ShardRow {
                holder,
                epoch,
                fence,
                cutoff,
            });
        }
        Ok(Self {
            generation: stored.generation,
            members: stored.members,
            shards,
        })
    }
}
