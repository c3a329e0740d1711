//! Identifiers of hosts, shards, submissions and tasks.

use std::fmt;
use std::str::FromStr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::Time;

/// The number of shards into which the submissions of one hall are divided.
///
/// Divides evenly among two, three, four, six and eight entry hosts.
pub const SHARDS_PER_HALL: u16 = 24;

/// The greatest length of the hall and of the key in a submission id, in
/// bytes.
pub const MAX_KEY_BYTES: usize = 96;

/// One incarnation of an entry host; each restart creates a new one.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostId {
    /// The name from the host's settings.
    pub name: Name,
    /// The host's start time in microseconds since the Unix epoch, so that it
    /// grows with every start.
    pub incarnation: u64,
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// The epoch of a shard's ownership. It grows with each change of the owner
/// and never falls.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// Identifies a shard: a part of a hall's submissions that has one owner at a
/// time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The hall whose hosts may own the shard.
    pub hall: Name,
    /// The shard's index within the hall, below [`SHARDS_PER_HALL`].
    pub index: u16,
}

/// The id that a caller gives to a submission: `hall.created-ms.key`.
///
/// By the creation time, a new owner of the shard distinguishes submissions
/// that its predecessor may have started from those created later.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId {
    /// The hall whose hosts own the submission.
    pub hall: Name,
    /// When the id was created, on the caller's clock, in milliseconds since the
    /// Unix epoch.
    pub created_ms: u64,
    /// The caller's own key: ASCII letters, digits, `-`, `_` and `:`.
    pub key: Name,
}

/// Why a text isn't a valid submission id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SubmissionIdError {
    /// The text doesn't have three parts.
    #[error("a submission id is `hall.created-ms.key`, got `{0}`")]
    Parts(String),
    /// The second part isn't a number of milliseconds.
    #[error("the second part of a submission id is its creation time in ms, got `{0}`")]
    Created(String),
    /// The hall or key is empty, longer than [`MAX_KEY_BYTES`] or has a
    /// character that isn't allowed.
    #[error("the hall and key of a submission id hold 1 to 96 letters, digits, `-`, `_` or `:`, got `{0}`")]
    Key(String),
}

impl SubmissionId {
    /// Returns when the id was created, on the caller's clock.
    #[must_use]
    pub fn created(&self) -> Time {
        Time::from_millis(self.created_ms)
    }

    /// Returns the shard to which the submission belongs.
    #[must_use]
    pub fn shard(&self, account: &str) -> ShardId {
        let text = format!("{account}/{self}");
        let index = xxh3_64(text.as_bytes()) % u64::from(SHARDS_PER_HALL);
        ShardId {
            hall: self.hall.clone(),
            index: index as u16,
        }
    }
}

impl fmt::Display for SubmissionId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.hall, self.created_ms, self.key)
    }
}

fn is_valid_part(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_:".contains(c);
    !text.is_empty() && text.len() <= MAX_KEY_BYTES && text.chars().all(allowed)
}

impl FromStr for SubmissionId {
    type Err = SubmissionIdError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(3, '.');
        let (Some(hall), Some(created), Some(key)) = (parts.next(), parts.next(), parts.next())
        else {
            return Err(SubmissionIdError::Parts(text.to_owned()));
        };
        let created_ms = created
            .parse()
            .map_err(|_| SubmissionIdError::Created(created.to_owned()))?;
        for part in [hall, key] {
            if !is_valid_part(part) {
                return Err(SubmissionIdError::Key(part.to_owned()));
            }
        }
        Ok(Self {
            hall: hall.into(),
            created_ms,
            key: key.into(),
        })
    }
}

impl Serialize for SubmissionId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for SubmissionId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// Identifies one run of one task of a submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Part of the id since two accounts may choose the same submission id.
    pub account: Name,
    /// The id that the caller chose.
    pub submission: SubmissionId,
    /// The task's position in the submission.
    pub index: u32,
    /// 0 for the first run; grows only once the earlier run is known to have
    /// ended.
    pub run: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}/{}/{}/{}",
            self.account, self.submission, self.index, self.run
        )
    }
}
