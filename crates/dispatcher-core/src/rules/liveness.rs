//! Whether a peer is alive, and what follows for its targets.
//!
//! **Rule.** A peer gets tasks while it acknowledged something lately: within
//! one owner lease where attempts of this host run there, within some idle
//! intervals elsewhere. One that was asked anything and replied to nothing for an owner
//! lease isn't alive until it replies, so that rare heartbeats don't let tasks wait for a
//! dead peer. An address that refuses connections ends it at once.
//! One that was heard of and had no time to answer yet may be there.
//! Its targets are left to it for longer, since targets that change hands cost
//! more than a host that is slow for a moment. A host that hears less than half
//! of the others is probably cut off itself: it leaves their targets to them.
//!
//! **Inputs.** What was heard of a peer and when, in ms of this host's clock;
//! [`HeartbeatIntervals`]. **Measured.** A host that was cut off took all
//! 48 targets and lost them one by one; leaving them for 8 s raised the worth of a played
//! day with 20 % of the hosts cut off from 0.54 to 0.92, and with a hall cut off from 0.92
//! to 0.94.
//! **Gives up.** With more than half of the hosts dead at once, targets stay
//! without a holder for up to 8 s, unless their addresses refuse connections.

use crate::rules::heartbeat_intervals::HeartbeatIntervals;
use crate::Millis;

/// How long targets are left to hosts that a host in the minority no longer
/// hears, in ms. The figure itself was chosen.
const MINORITY_RETENTION_MS: Millis = 8_000;
/// A task may be handed over while the peer's clock was heard within this part
/// of an owner lease: it is then still valid when the next heartbeats arrive.
/// Chosen, not measured.
const FRESH_CLOCK_DIVISOR: Millis = 2;

/// A host that was heard of and hasn't answered may be there for this long, in ms: links that
/// are full delay the first answers by some 500 ms. Chosen, not measured by itself.
const FIRST_REPLY_MS: Millis = 1_000;

/// What was heard of a peer; times are ms of this host's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerContact {
    /// When it last acknowledged something.
    pub acknowledged: Option<Millis>,
    /// When anything came from it, or of it.
    pub last_contact: Millis,
    /// When its clock was last heard, if it was.
    pub clock: Option<Millis>,
    /// Since when it has replied to nothing that it was asked, if it was asked.
    pub unanswered_since: Option<Millis>,
    /// Whether its address refused the last connection.
    pub refused: bool,
    /// Since when attempts of this host may run there, if they may.
    pub in_use_since: Option<Millis>,
}

impl PeerContact {
    /// Returns whether the peer is taken to live.
    #[must_use]
    pub fn is_alive(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let Some(acknowledged) = self.acknowledged.filter(|_| !self.refused) else {
            return false;
        };
        let unanswered = self.unanswered_since;
        if unanswered.is_some_and(|since| since + intervals.owner_lease <= now) {
            return false;
        }
        let fresh = acknowledged + intervals.owner_lease > now;
        let in_use = self
            .in_use_since
            .is_some_and(|at| at + intervals.owner_lease <= now);
        fresh || (!in_use && acknowledged + intervals.alive > now)
    }

    /// Returns whether its clock was heard so lately that a task may be handed to
    /// it now.
    #[must_use]
    pub fn has_fresh_clock(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let fresh = intervals.owner_lease / FRESH_CLOCK_DIVISOR;
        self.clock.is_some_and(|heard| heard + fresh > now)
    }

    /// Returns whether its targets are left to it, though it may get no tasks.
    #[must_use]
    pub fn retains_targets(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let heard = self.acknowledged.is_some() && self.last_contact + intervals.dead > now;
        heard && !self.refused
    }

    /// Returns whether it was heard lately and isn't known to be gone.
    #[must_use]
    pub fn was_recently_alive(&self, now: Millis) -> bool {
        let heard = self.acknowledged.is_some() && self.last_contact + MINORITY_RETENTION_MS > now;
        heard && !self.refused
    }
}

/// Returns whether a host that was heard of at `learnt` and hasn't answered yet may be there:
/// its targets are left to it meanwhile. Guards against a host that has just started, and hears
/// nobody yet since its link is full, taking the targets of all others: on a played day with
/// links of 2 Mbit/s on which hosts were stopped in turn, starting hosts took 126 targets of
/// 126, and 687 attempts were lost by it.
#[must_use]
pub fn may_be_alive(now: Millis, learnt: Millis, heard: &PeerContact) -> bool {
    heard.acknowledged.is_none() && !heard.refused && learnt + FIRST_REPLY_MS > now
}

/// Returns whether a host that started at `started` knows enough of others to share the
/// targets with them: it has heard one, or none answered in time.
#[must_use]
pub fn knows_peers(now: Millis, started: Millis, hears_nobody: bool) -> bool {
    !hears_nobody || started + FIRST_REPLY_MS <= now
}

/// Returns whether a host hears less than half of the hosts that were there of
/// late, itself counted. Hosts whose address refuses connections are gone, not
/// unheard.
#[must_use]
pub fn is_in_minority<'a>(
    now: Millis,
    intervals: &HeartbeatIntervals,
    peers: impl Iterator<Item = &'a PeerContact>,
) -> bool {
    let (mut heard, mut all) = (1, 1);
    for peer in peers.filter(|peer| peer.was_recently_alive(now)) {
        all += 1;
        heard += usize::from(peer.retains_targets(now, intervals));
    }
    2 * heard < all
}
