//! Computes how often two hosts exchange heartbeats.
//!
//! **Rule.** Where attempts of one host run at the other, heartbeats renew the owner lease and are
//! as frequent as that needs. All other pairs only have to detect that the other host is alive: the
//! more hosts there are, the rarer these heartbeats, so that a host's load by them doesn't grow
//! with the number of hosts. Within a hall they don't become as rare as between halls, since hosts
//! of one hall take over each other's targets, and hand each other tasks first.
//!
//! **Inputs.** [`Times`] in ms, the number of known peers. **Reason.** With 43 hosts, heartbeats of
//! all pairs at the interval of leases were 905,000 of 1.6 million messages in 10 s; with this rule
//! they were 99,000. **Trade-off.** The death of a host without common attempts is detected later:
//! among 43 hosts after 1.8 s instead of 0.55 s.

use xxhash_rust::xxh3::xxh3_64;

use crate::rules::leases::Times;
use crate::Millis;

/// The number of heartbeats to idle peers in one heartbeat interval, until the idle interval
/// reaches its bound.
const IDLE_PEERS_PER_HEARTBEAT: usize = 8;
/// The longest idle interval within a hall, as a multiple of the heartbeat interval: bounds how
/// long a dead host goes undetected.
const MAX_IDLE_FACTOR: f64 = 6.0;
/// The number of heartbeats to idle peers of other halls in one heartbeat interval. It can be
/// lower: those hold no targets of this hall, and their clock is requested before a task is handed
/// over to one.
const FAR_PEERS_PER_HEARTBEAT: usize = 3;
/// The longest idle interval towards other halls, as a multiple of the heartbeat interval: 7 s with
/// the users' bounds.
const MAX_FAR_FACTOR: f64 = 50.0;
/// With fewer peers, those of other halls get the same interval as those of the own hall, whose
/// interval stops growing at this number.
const MIN_PEERS_FOR_FAR: usize = IDLE_PEERS_PER_HEARTBEAT * MAX_IDLE_FACTOR as usize;
/// An idle peer is considered alive for this many intervals: one heartbeat may be lost.
const ALIVE_INTERVALS: f64 = 2.5;
/// A peer keeps its targets for at least this many owner leases after its last message: longer than
/// its attempts, since moving targets twice costs more than waiting for a slow host.
const DEAD_AFTER_OWNER_LEASES: Millis = 2;

/// The time over which the first heartbeats to peers of other halls are spread, in ms, so that they
/// don't delay a starting host's first targets. With 146 peers at once, a host of 0.12 core held
/// its first target 0.77 s after its start; with this, 0.58 s after.
const FIRST_FAR_SPREAD_MS: Millis = 2_000;

/// Returns how long the first heartbeat to a peer of another hall is delayed, in ms.
#[must_use]
pub fn first_far_heartbeat_delay_ms(own: &str, peer: &str) -> Millis {
    xxh3_64(format!("{own}\n{peer}").as_bytes()) % FIRST_FAR_SPREAD_MS
}

/// Intervals and timeouts between hosts for a given number of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatIntervals {
    /// The heartbeat interval where an owner lease depends on it.
    pub heartbeat_ms: Millis,
    /// The heartbeat interval to all other peers.
    pub idle_ms: Millis,
    /// The time in which a peer with attempts of this host has to acknowledge a message.
    pub owner_lease_ms: Millis,
    /// The time for which any other peer is considered alive after an acknowledgement.
    pub alive_ms: Millis,
    /// The time for which a peer keeps its targets after its last message.
    pub dead_ms: Millis,
}

impl HeartbeatIntervals {
    /// Computes the intervals towards peers of the own hall, given the number of all peers.
    #[must_use]
    pub fn near(times: &Times, peers: usize) -> Self {
        Self::new(times, peers, IDLE_PEERS_PER_HEARTBEAT, MAX_IDLE_FACTOR)
    }

    /// Computes the intervals towards peers of other halls, given the number of all peers.
    #[must_use]
    pub fn far(times: &Times, peers: usize) -> Self {
        let near = Self::near(times, peers);
        let far = Self::new(times, peers, FAR_PEERS_PER_HEARTBEAT, MAX_FAR_FACTOR);
        if peers < MIN_PEERS_FOR_FAR {
            near
        } else {
            far
        }
    }

    fn new(times: &Times, peers: usize, per_heartbeat: usize, max_factor: f64) -> Self {
        let factor = peers as f64 / per_heartbeat as f64;
        let idle_ms = times.heartbeat_ms as f64 * factor.clamp(1.0, max_factor);
        let alive_ms = ((idle_ms * ALIVE_INTERVALS) as Millis).max(times.owner_lease_ms);
        Self {
            heartbeat_ms: times.heartbeat_ms,
            idle_ms: idle_ms as Millis,
            owner_lease_ms: times.owner_lease_ms,
            alive_ms,
            dead_ms: alive_ms.max(DEAD_AFTER_OWNER_LEASES * times.owner_lease_ms),
        }
    }
}
