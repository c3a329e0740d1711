//! Which peer a task is handed to, and for which peer resources are reserved.
//!
//! **Rule.** A host fills its own targets first. For what is left it asks peers
//! that were last heard to have the resources free: its own hall first, then peers
//! that get a request anyway (one request carries many tasks), then those whose
//! clock was heard lately; of the best the freer of two that the task's name picks.
//! What finds nothing is advertised to [`MAX_ADVERTISED_PEERS`] peers, others each time.
//! A host with free resources reserves them for the peer with the first demand,
//! unless a task of its own goes before it.
//!
//! **Inputs.** Free resources as last heard less what was handed over since,
//! priorities. **Measured** with 43 hosts: with the freest of all peers every host asked
//! the same one (76,000 tasks asked for in 60,000 requests for 38,000 starts); worth of 16 s
//! beyond capacity 0.542 to 0.581, of which part is noise. Demands to eight peers instead of
//! all, with other changes, 91 to 27 s of processor time. Demands repeated after 100 ms
//! instead of with each further task, 3 to 1.3 reservations a start. Advertising at once
//! what is more urgent by its queue: no difference (+0.0000 worth, standard error 0.0016, 15
//! played days of 9 hosts in pairs).
//! **Gives up.** A free peer among many may hear of a demand a round later.

use xxhash_rust::xxh3::xxh3_64;

use crate::message::{Demand, Priority};
use crate::Millis;

/// The most peers to which a demand is advertised at a time. The figure was
/// chosen.
pub const MAX_ADVERTISED_PEERS: usize = 8;
/// Between advertisements of the same demand, in ms. The figure was chosen.
const ADVERTISE_INTERVAL_MS: Millis = 100;
/// Between advertisements of a demand that grew much or became more urgent, in ms.
/// The figure was chosen.
const GROWN_INTERVAL_MS: Millis = 25;
/// A demand has grown much when it has more than this many times the tasks.
/// The figure was chosen.
const GROWN_FACTOR: u32 = 2;
/// A demand that isn't advertised again ends after this, in ms: three times the
/// interval. Chosen, not measured.
pub const DEMAND_TTL_MS: Millis = 300;
/// After a peer had no resources for a task after all, others aren't asked for it
/// on mere belief for this long, in ms. The figure was chosen.
pub const REQUEST_RETRY_MS: Millis = 25;

/// How a peer with the resources compares with others; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Preference {
    /// Whether it is in another hall.
    pub other_hall: bool,
    /// Whether no request goes to it anyway.
    pub extra_request: bool,
    /// Whether its clock has to be asked for first.
    pub stale_clock: bool,
}

/// Picks two candidates by a task's name and returns the position of the freer
/// one; `free_cpu` tells how much one has, in thousandths of a core.
///
/// # Panics
///
/// Panics without candidates.
#[must_use]
pub fn freer_of_two(task: &str, candidates: usize, free_cpu: impl Fn(usize) -> u32) -> usize {
    let hash = xxh3_64(task.as_bytes());
    let pick = |part: u64| (part % candidates as u64) as usize;
    let (first, second) = (pick(hash >> 32), pick(hash & 0xffff_ffff));
    if free_cpu(second) > free_cpu(first) {
        second
    } else {
        first
    }
}

/// Returns a demand's priority some time after it was heard.
#[must_use]
pub fn aged(priority: &Priority, heard_ms_ago: Millis) -> Priority {
    Priority {
        slack_ms: priority.slack_ms - heard_ms_ago as i64,
        ..*priority
    }
}

/// Returns whether a demand is to be advertised, given the last one and when that
/// was advertised.
#[must_use]
pub fn should_advertise(now: Millis, demand: &Demand, last: Option<(&Demand, Millis)>) -> bool {
    let Some((last, at)) = last else {
        return true;
    };
    let more_urgent = demand.priority.class < last.priority.class;
    let grown = demand.tasks > GROWN_FACTOR * last.tasks;
    let interval = if more_urgent || grown {
        GROWN_INTERVAL_MS
    } else {
        ADVERTISE_INTERVAL_MS
    };
    at + interval <= now
}
