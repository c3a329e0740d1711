//! Identifiers of hosts, shards, submissions and tasks.

use std::fmt;
use std::str::FromStr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::Time;

/// Number of shards into which the submissions of one hall are divided.
///
/// 24 divides evenly among two, three, four, six and eight entry hosts.
pub const SHARDS_PER_HALL: u16 = 24;

/// Longest accepted last part of a submission id, in bytes.
pub const MAX_KEY_BYTES: usize = 96;

/// One run of one entry host. A restarted host has a new incarnation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct HostId {
    /// The name from the host's settings.
    pub name: Name,
    /// Grows with every start of the host: its start time in microseconds.
    pub incarnation: u64,
}

impl fmt::Display for HostId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.name, self.incarnation)
    }
}

/// Counts the owners of a shard; it only grows.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Epoch(pub u64);

/// A part of a hall's submissions that has one owner at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ShardId {
    /// The hall whose hosts may own the shard.
    pub hall: Name,
    /// The shard's number within the hall, below [`SHARDS_PER_HALL`].
    pub index: u16,
}

/// The name that a caller gives to a submission: `hall.created-ms.key`.
///
/// The creation time lets a new owner of the shard tell submissions that its
/// predecessor may have started from those that it can't have seen.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubmissionId {
    /// The hall in which the submission is at home.
    pub hall: Name,
    /// The caller's clock when it made the id, in milliseconds.
    pub created_ms: u64,
    /// The caller's own key: letters, digits, `-`, `_` and `:`.
    pub key: Name,
}

/// Why a text is no submission id.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum SubmissionIdError {
    /// The text doesn't have three parts.
    #[error("a submission id is `hall.created-ms.key`, got `{0}`")]
    Parts(String),
    /// The second part is no number.
    #[error("the second part of a submission id is its creation time in ms, got `{0}`")]
    Created(String),
    /// The hall or key is empty, too long, or has a character out of the set.
    #[error("the hall and key of a submission id hold 1 to 96 letters, digits, `-`, `_` or `:`, got `{0}`")]
    Key(String),
}

impl SubmissionId {
    /// Returns when the caller made the id.
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

fn is_key(text: &str) -> bool {
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
            if !is_key(part) {
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

/// One task of one submission.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// The account, since two accounts may choose the same submission id.
    pub account: Name,
    /// The submission.
    pub submission: SubmissionId,
    /// The task's position in the submission.
    pub index: u32,
    /// 0 for the first run; grows only when the earlier run is proved over.
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
