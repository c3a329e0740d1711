//! How often two hosts send each other heartbeats.
//!
//! **Rule.** Where attempts of one host run at the other, heartbeats renew the
//! owner lease and come as often as that needs. All other pairs only have to
//! know that the other one lives: the more hosts there are, the rarer these
//! heartbeats, so that what one host spends on them doesn't grow with their
//! number. Within a hall they don't get as rare as between halls: hosts of one hall take
//! over each other's targets, and hand each other tasks first.
//!
//! **Inputs.** [`Times`] in ms, the number of known peers. **Measured**, with 43 hosts:
//! with every pair as often as leases need, 905,000 of 1.6 million
//! messages in 10 s of the grown deployment's quiet day were heartbeats, and
//! its worth was -0.344; with this rule 99,000 and 0.872. **Gives up.** A dead
//! host without common attempts is noticed later: after 1.8 s instead of 0.55 s
//! among 43 hosts.

use xxhash_rust::xxh3::xxh3_64;

use crate::rules::leases::Times;
use crate::Millis;

/// Heartbeats that a host sends to idle peers in the time of one heartbeat to a
/// peer with attempts, as long as the interval doesn't grow beyond
/// [`MAX_IDLE_FACTOR`] or [`MAX_FAR_FACTOR`]. Chosen, not measured by itself.
const IDLE_PEERS_PER_HEARTBEAT: usize = 8;
/// The longest idle interval within a hall, as a multiple of the shortest: longer ones would
/// let dead hosts go unnoticed for too long. Chosen, not measured by itself.
const MAX_IDLE_FACTOR: f64 = 6.0;
/// Heartbeats to idle peers of other halls in the time of one heartbeat to a peer with
/// attempts: they hold no targets of this hall, and before a task goes to one its clock is
/// asked for. Chosen, not measured by itself.
const FAR_PEERS_PER_HEARTBEAT: usize = 3;
/// The longest interval towards other halls, as a multiple of the shortest, 7 s with the
/// users' bounds. Chosen, not measured by itself.
const MAX_FAR_FACTOR: f64 = 50.0;
/// With fewer peers all of them are heard as often as those of the own hall: from here on
/// these intervals no longer grow, so that the number of heartbeats would.
const MIN_PEERS_FOR_FAR: usize = IDLE_PEERS_PER_HEARTBEAT * MAX_IDLE_FACTOR as usize;
/// An idle peer is alive as long as it was heard within this many intervals:
/// one heartbeat may be lost. Chosen, not measured.
const ALIVE_INTERVALS: f64 = 2.5;
/// A peer's targets are left to it for this many owner leases since it was
/// heard: one more than its attempts, since targets that change hands twice
/// cost more than a slow host: a day after whose loss of power one host was busy for 0.5 s
/// rose from 0.70 to 0.77 worth, with other changes.
const DEAD_AFTER_OWNER_LEASES: Millis = 2;

/// The first heartbeats to peers of other halls, where those are heard rarely, are spread
/// over this long, in ms. With all 146 at once a host of 0.12 core held its first target
/// 0.77 s after its start, when the whole deployment came back from a loss of power; spread,
/// 0.58 s after (one of 27 and mean of 13 such hosts, one played day each). The figure was
/// chosen.
const FIRST_FAR_SPREAD_MS: Millis = 2_000;

/// Returns how long the first heartbeat to a peer of another hall waits, in ms.
#[must_use]
pub fn first_far_heartbeat_delay_ms(own: &str, peer: &str) -> Millis {
    xxh3_64(format!("{own}\n{peer}").as_bytes()) % FIRST_FAR_SPREAD_MS
}

/// Times between hosts for a number of peers, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatIntervals {
    /// From one heartbeat to the next where an owner lease depends on them.
    pub heartbeat: Millis,
    /// From one heartbeat to the next elsewhere.
    pub idle: Millis,
    /// A peer with attempts of this host has to be heard within this.
    pub owner_lease: Millis,
    /// Any other peer is taken to live for this long since it answered.
    pub alive: Millis,
    /// A peer's targets are left to it for this long since it was heard.
    pub dead: Millis,
}

impl HeartbeatIntervals {
    /// Reckons the intervals towards peers of the own hall for a number of peers in all.
    #[must_use]
    pub fn near(times: &Times, peers: usize) -> Self {
        Self::new(times, peers, IDLE_PEERS_PER_HEARTBEAT, MAX_IDLE_FACTOR)
    }

    /// Reckons the intervals towards peers of other halls for a number of peers in all.
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

    fn new(times: &Times, peers: usize, per_heartbeat: usize, longest: f64) -> Self {
        let share = peers as f64 / per_heartbeat as f64;
        let idle = times.heartbeat as f64 * share.clamp(1.0, longest);
        let alive = ((idle * ALIVE_INTERVALS) as Millis).max(times.owner_lease);
        Self {
            heartbeat: times.heartbeat,
            idle: idle as Millis,
            owner_lease: times.owner_lease,
            alive,
            dead: alive.max(DEAD_AFTER_OWNER_LEASES * times.owner_lease),
        }
    }
}
