//! Decides whether a peer is alive, and whether it keeps its targets.
//!
//! **Rule.** A peer gets tasks while it has acknowledged a message recently: within one owner lease
//! where attempts of this host run there, within some idle intervals elsewhere. A peer that has
//! left requests unanswered for an owner lease isn't alive until it replies, so that tasks don't
//! wait for a dead peer where heartbeats are rare. A peer whose address refuses connections isn't
//! alive. A peer that is known but has had no time to answer yet may be alive. A peer keeps its
//! targets for longer, since targets that change hands cost more than a host that is slow for a
//! moment. A host that receives messages from less than half of the others is probably cut off
//! itself: it leaves their targets to them.
//!
//! **Inputs.** The messages received from a peer and their times, in ms of this host's clock;
//! [`HeartbeatIntervals`]. **Trade-off.** If more than half of the hosts die at once, targets stay
//! without a holder for up to `MINORITY_RETENTION_MS`, unless their addresses refuse connections.

use crate::rules::heartbeat_intervals::HeartbeatIntervals;
use crate::Millis;

/// The time for which a host in the minority leaves targets to hosts that it no longer receives
/// messages from, in ms. Without it, a host that was cut off took all 48 targets of its deployment
/// and lost them one by one.
const MINORITY_RETENTION_MS: Millis = 8_000;
/// A task may be handed over while the peer's clock was received within the owner lease divided by
/// this: the echo is then still valid when the next heartbeats arrive.
const FRESH_CLOCK_DIVISOR: Millis = 2;

/// The time for which a known host that hasn't answered yet may be alive, in ms: full links delay
/// first answers by some 500 ms.
const FIRST_REPLY_MS: Millis = 1_000;

/// The contact with a peer; times in ms of this host's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerContact {
    /// When it last acknowledged a message, if ever.
    pub acknowledged: Option<Millis>,
    /// When a message last arrived from it, at first when it became known.
    pub last_contact: Millis,
    /// When its clock was last received, if ever.
    pub clock: Option<Millis>,
    /// Since when requests to it have had no reply, if any are open.
    pub unanswered_since: Option<Millis>,
    /// Whether its address refused the last connection.
    pub refused: bool,
    /// Since when attempts of this host may run there, if any may.
    pub in_use_since: Option<Millis>,
}

impl PeerContact {
    /// Returns whether the peer is considered alive.
    #[must_use]
    pub fn is_alive(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let Some(acknowledged) = self.acknowledged.filter(|_| !self.refused) else {
            return false;
        };
        let unanswered = self.unanswered_since;
        if unanswered.is_some_and(|since| since + intervals.owner_lease_ms <= now) {
            return false;
        }
        let fresh = acknowledged + intervals.owner_lease_ms > now;
        let used_for_owner_lease = self
            .in_use_since
            .is_some_and(|at| at + intervals.owner_lease_ms <= now);
        fresh || (!used_for_owner_lease && acknowledged + intervals.alive_ms > now)
    }

    /// Returns whether its clock was received recently enough to hand over a task now.
    #[must_use]
    pub fn has_fresh_clock(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let fresh_ms = intervals.owner_lease_ms / FRESH_CLOCK_DIVISOR;
        self.clock.is_some_and(|received| received + fresh_ms > now)
    }

    /// Returns whether it keeps its targets, even if it may get no tasks.
    #[must_use]
    pub fn retains_targets(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let in_contact = self.acknowledged.is_some() && self.last_contact + intervals.dead_ms > now;
        in_contact && !self.refused
    }

    /// Returns whether it was recently alive and isn't known to have stopped.
    #[must_use]
    pub fn was_recently_alive(&self, now: Millis) -> bool {
        let in_contact =
            self.acknowledged.is_some() && self.last_contact + MINORITY_RETENTION_MS > now;
        in_contact && !self.refused
    }
}

/// Returns whether a host that became known at `learnt_at` and hasn't answered yet may be alive,
/// and so keeps its targets. Otherwise a host that has just started with a full link, and has
/// received no reply yet, would take the targets of all others: on links of 2 Mbit/s, hosts that
/// were restarted in turn took 126 of 126 targets, and 687 attempts were lost.
#[must_use]
pub fn may_be_alive(now: Millis, learnt_at: Millis, contact: &PeerContact) -> bool {
    contact.acknowledged.is_none() && !contact.refused && learnt_at + FIRST_REPLY_MS > now
}

/// Returns whether a host that started at `started` knows enough peers to share the targets with
/// them: one has acknowledged a message, or none did in time. `has_no_contact` is set if other
/// hosts may be alive and none has acknowledged any.
#[must_use]
pub fn knows_peers(now: Millis, started: Millis, has_no_contact: bool) -> bool {
    !has_no_contact || started + FIRST_REPLY_MS <= now
}

/// Returns whether a host has contact with less than half of the hosts that were recently alive,
/// itself included. Hosts whose address refuses connections count as stopped.
#[must_use]
pub fn is_in_minority<'a>(
    now: Millis,
    intervals: &HeartbeatIntervals,
    peers: impl Iterator<Item = &'a PeerContact>,
) -> bool {
    let (mut in_contact, mut all) = (1, 1);
    for peer in peers.filter(|peer| peer.was_recently_alive(now)) {
        all += 1;
        in_contact += usize::from(peer.retains_targets(now, intervals));
    }
    2 * in_contact < all
}
