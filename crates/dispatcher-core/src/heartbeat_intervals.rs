//! How often hosts hear of each other, by how many there are.
//!
//! Where two hosts run tasks for each other, heartbeats keep up the vouches
//! and come as often as those ask for. All other pairs only need to know that
//! the other one lives: the more hosts there are, the rarer these heartbeats,
//! so that what one host spends on them doesn't grow with their number.

use crate::settings::Times;
use crate::Millis;

/// Heartbeats of one host in the time of one beat to peers that it has no runs
/// at, as long as the pause doesn't grow beyond [`LONGEST_IDLE_HEARTBEATS`].
const IDLE_HEARTBEATS: usize = 8;
/// Longer pauses would let dead hosts go unnoticed for too long.
const LONGEST_IDLE_HEARTBEATS: f64 = 6.0;
/// A peer lives as long as it was heard within this many pauses: one heartbeat
/// may be lost.
const ALIVE_PAUSES: f64 = 2.5;
/// A peer's targets are left to it for this many vouches since it was heard.
const DEAD_AFTER_OWNER_LEASES: Millis = 2;

/// Times between hosts, for a number of peers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeartbeatIntervals {
    /// From one heartbeat to the next where vouches hang on them.
    pub heartbeat: Millis,
    /// From one heartbeat to the next elsewhere.
    pub idle: Millis,
    /// A peer with runs of this host has to be heard within this.
    pub owner_lease: Millis,
    /// Any other peer is taken to live for this long since it answered.
    pub alive: Millis,
    /// A peer's targets are left to it for this long since it was heard.
    pub dead: Millis,
}

impl HeartbeatIntervals {
    /// Reckons the times for a number of peers.
    #[must_use]
    pub fn new(times: &Times, peers: usize) -> Self {
        let share = peers as f64 / IDLE_HEARTBEATS as f64;
        let idle = times.heartbeat as f64 * share.clamp(1.0, LONGEST_IDLE_HEARTBEATS);
        let alive = ((idle * ALIVE_PAUSES) as Millis).max(times.owner_lease);
        Self {
            heartbeat: times.heartbeat,
            idle: idle as Millis,
            owner_lease: times.owner_lease,
            alive,
            dead: alive.max(DEAD_AFTER_OWNER_LEASES * times.owner_lease),
        }
    }
}
