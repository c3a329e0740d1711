//! Which hosts read the platform's store, and how the others hear what it holds.
//!
//! **Rule.** In a hall of more than four hosts [`READERS_PER_HALL`] read the
//! store's changes; the others ask one of them what changed. Readers are the hosts that stay
//! with the most processor time, and among equals those that a hash picks: every host
//! reckons the same without messages. Nothing rests on a reader: what a host believes has an
//! age, and a host reads for itself as soon as nobody told it in time. Hosts that disagree
//! on who reads only read more than they have to.
//!
//! **Inputs.** The hosts of the hall that stay; `drain-ms`, within which a leaving target
//! has to be known and of which all times here are parts; the age in ms of what is believed.
//! **Measured.** With 147 hosts and 1,100 targets on a quiet day, together with rare
//! heartbeats and shorter looks at targets: 0.084 GB instead of 1.146 GB read from the
//! store, 4,511 instead of 22,168 calls there, worth 0.800 to 0.938 (one played day each; the
//! earlier bytes and calls as another reader measured them).
//! **Gives up.** A change takes a round between two hosts longer, half a second at most; a
//! reader that falls silent costs its hall [`Freshness::stale`] until its hosts read.

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::HostInfo;
use crate::Millis;

/// How many hosts of a hall read the store: one may be gone or lie behind.
pub const READERS_PER_HALL: usize = 2;
/// In halls of no more hosts than this each reads for itself: little would be saved.
/// Chosen, not measured.
const MAX_HOSTS_WITHOUT_READERS: usize = 4;
/// What is believed is stale after this part of the time in which a leaving target has to
/// be known: the rest is for reading the store. Chosen, not measured.
const STALE_DIVISOR: Millis = 2;
/// Readers are asked this often in that time. Chosen, not measured.
const ASKS_PER_DRAIN: Millis = 8;

/// How fresh what a host believes of the store has to be, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    /// What is older is read from the store.
    pub stale: Millis,
    /// Between questions to a reader.
    pub ask: Millis,
}

impl Freshness {
    /// Reckons the times from the time within which a leaving target has to be known.
    #[must_use]
    pub fn new(drain_ms: Millis) -> Self {
        Self {
            stale: drain_ms / STALE_DIVISOR,
            ask: drain_ms / ASKS_PER_DRAIN,
        }
    }
}

/// Returns whom a host asks for news of the store: the readers of its hall first, then
/// those of others, the next one each time that `unanswered` grows.
#[must_use]
pub fn reader_to_ask(hosts: &[HostInfo], own: &HostInfo, unanswered: usize) -> Option<Name> {
    let mut halls: Vec<&Name> = hosts.iter().map(|host| &host.hall).collect();
    halls.sort_by_key(|hall| (**hall != own.hall, (*hall).clone()));
    halls.dedup();
    let asked: Vec<Name> = halls
        .iter()
        .flat_map(|hall| with_most_processor_time(hosts, hall))
        .filter(|name| **name != *own.name)
        .collect();
    let spread = xxh3_64(own.name.as_bytes()) as usize % READERS_PER_HALL;
    let picked = (spread + unanswered) % asked.len().max(1);
    asked.get(picked).cloned()
}

/// Returns the hosts of a hall that read the store, none if each reads for itself.
#[must_use]
pub fn readers(hosts: &[HostInfo], hall: &str) -> Vec<Name> {
    let near = hosts.iter().filter(|host| &*host.hall == hall);
    if near.count() <= MAX_HOSTS_WITHOUT_READERS {
        return Vec::new();
    }
    with_most_processor_time(hosts, hall)
}

/// Returns the hosts of a hall with the most processor time.
fn with_most_processor_time(hosts: &[HostInfo], hall: &str) -> Vec<Name> {
    let near = hosts.iter().filter(|host| &*host.hall == hall);
    let mut near: Vec<&HostInfo> = near.collect();
    near.sort_by_cached_key(|host| {
        let weight = std::cmp::Reverse(host.processor_weight);
        (weight, xxh3_64(host.name.as_bytes()))
    });
    near.truncate(READERS_PER_HALL);
    near.iter().map(|host| host.name.clone()).collect()
}
