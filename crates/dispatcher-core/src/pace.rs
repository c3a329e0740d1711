//! How often hosts hear of each other, by how many there are.
//!
//! Where two hosts run tasks for each other, heartbeats keep up the vouches
//! and come as often as those ask for. All other pairs only need to know that
//! the other one lives: the more hosts there are, the rarer these heartbeats,
//! so that what one host spends on them doesn't grow with their number.

use crate::settings::Times;
use crate::Millis;

/// Heartbeats of one host in the time of one beat to peers that it has no runs
/// at, as long as the pause doesn't grow beyond [`LONGEST_PAUSE_BEATS`].
const IDLE_BEATS: usize = 8;
/// Longer pauses would let dead hosts go unnoticed for too long.
const LONGEST_PAUSE_BEATS: f64 = 6.0;
/// A peer lives as long as it was heard within this many pauses: one heartbeat
/// may be lost.
const ALIVE_PAUSES: f64 = 2.5;
/// A peer's targets are left to it for this many vouches since it was heard.
const DEAD_AFTER_VOUCHES: Millis = 2;

/// Times between hosts, for a number of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// From one heartbeat to the next where vouches hang on them.
    pub beat: Millis,
    /// From one heartbeat to the next elsewhere.
    pub idle: Millis,
    /// A peer with runs of this host has to be heard within this.
    pub vouch: Millis,
    /// Any other peer is taken to live for this long since it answered.
    pub alive: Millis,
    /// A peer's targets are left to it for this long since it was heard.
    pub dead: Millis,
}

impl Pace {
    /// Reckons the times for a number of peers.
    #[must_use]
    pub fn new(times: &Times, peers: usize) -> Self {
        let share = peers as f64 / IDLE_BEATS as f64;
        let idle = times.beat as f64 * share.clamp(1.0, LONGEST_PAUSE_BEATS);
        let alive = ((idle * ALIVE_PAUSES) as Millis).max(times.vouch);
        Self {
            beat: times.beat,
            idle: idle as Millis,
            vouch: times.vouch,
            alive,
            dead: alive.max(DEAD_AFTER_VOUCHES * times.vouch),
        }
    }
}
