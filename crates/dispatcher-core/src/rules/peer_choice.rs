//! Chooses the peer that a task is handed over to, and the peer that resources are reserved for.
//!
//! **Rule.** A host fills its own targets first. For the remaining tasks it asks peers whose last
//! update reported free resources: its own hall first, then peers that are sent a request anyway
//! (one request carries many tasks), then those whose clock was received recently; of equal peers,
//! the freer of two that a hash of the task's name picks. A demand that finds no resources is
//! advertised to [`MAX_ADVERTISED_PEERS`] peers, others each time. A host with free resources
//! reserves them for the peer with the first demand, unless a task of its own goes before it.
//!
//! **Inputs.** Free resources by the last update less what was handed over since, priorities.
//! **Reason.** If every host chose the freest peer, all would choose the same one: with 43 hosts,
//! 76,000 tasks were requested for 38,000 starts. Advertising to a few peers at limited intervals
//! bounds the messages. **Trade-off.** A free peer among many may
//! learn of a demand a round later.

use xxhash_rust::xxh3::xxh3_64;

use crate::message::{Demand, Priority};
use crate::Millis;

/// The most peers to which a demand is advertised at a time.
pub const MAX_ADVERTISED_PEERS: usize = 8;
/// The interval between advertisements of the same demand, in ms.
const ADVERTISE_INTERVAL_MS: Millis = 100;
/// The interval between advertisements of a demand that grew much or became more urgent, in ms.
const GROWN_INTERVAL_MS: Millis = 25;
/// A demand has grown much when it has more than this many times the tasks of its last
/// advertisement.
const GROWN_FACTOR: u32 = 2;
/// The time after which a demand that isn't advertised again expires, in ms: several intervals.
pub const DEMAND_TTL_MS: Millis = 300;
/// After a peer had no resources for a task, other peers aren't asked for it on the basis of their
/// updates for this long, in ms.
pub const REQUEST_RETRY_MS: Millis = 25;

/// The order of preference of peers with free resources; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    /// Whether the peer is in another hall than this host.
    pub other_hall: bool,
    /// Whether no request is sent to it anyway.
    pub extra_request: bool,
    /// Whether its clock has to be requested first.
    pub stale_clock: bool,
}

/// Picks two candidates by a hash of a task's name and returns the position of the one with more
/// free capacity; `free_cpu` returns that of a candidate, in thousandths of a core.
///
/// # Panics
///
/// Panics without candidates.
#[must_use]
pub fn freer_of_two(task: &str, candidates: usize, free_cpu: impl Fn(usize) -> u32) -> usize {
    let hash = xxh3_64(task.as_bytes());
    let pick = |bits: u64| (bits % candidates as u64) as usize;
    let (first, second) = (pick(hash >> 32), pick(hash & 0xffff_ffff));
    if free_cpu(second) > free_cpu(first) {
        second
    } else {
        first
    }
}

/// Returns the current priority of a demand that was received `received_ms_ago`.
#[must_use]
pub fn aged(priority: &Priority, received_ms_ago: Millis) -> Priority {
    Priority {
        slack_ms: priority.slack_ms - received_ms_ago as i64,
        ..*priority
    }
}

/// Returns whether to advertise a demand now. `last` is its last advertisement and the time of
/// that.
#[must_use]
pub fn should_advertise(now: Millis, demand: &Demand, last: Option<(&Demand, Millis)>) -> bool {
    let Some((last, at)) = last else {
        return true;
    };
    let more_urgent = demand.priority.class < last.priority.class;
    let has_grown = demand.tasks > GROWN_FACTOR * last.tasks;
    let interval = if more_urgent || has_grown {
        GROWN_INTERVAL_MS
    } else {
        ADVERTISE_INTERVAL_MS
    };
    at + interval <= now
}
