//! What hosts that know different hosts tell each other.
//!
//! **Rule.** Heartbeats carry a hash of the known hosts. Where the hashes differ, the reply
//! tells the hosts that were heard of lately, at most [`MAX_LISTED_HOSTS`], since most
//! differences are one host that just started. The whole list is for a host that
//! knows nobody, and for one whose hash has differed for long, and then at most once each
//! [`WHOLE_LIST_INTERVAL_MS`], whoever asks: one whole list from anyone mends it.
//!
//! **Inputs.** For how long the hashes have differed, in ms; whether the peer came by a
//! seed's address; when the whole list was last told. **Measured.** Where 4 hosts restart
//! in a second, each costs each other host 476 bytes of lists among 150 hosts and 765 among
//! 300; with whole lists wherever hashes differed, and all hosts heard at once, 1,669 and
//! 3,415 (`tests/membership.rs`, a network without delay). **Gives up.** Hosts that missed news hear of it
//! some seconds later, if neither the store nor a third host told them.

use crate::Millis;

/// The most hosts that are told where the whole list isn't. Chosen, not measured.
pub const MAX_LISTED_HOSTS: usize = 16;
/// Hosts that were heard of within this are told, in ms: more than one of the longest
/// pauses between heartbeats ([`super::heartbeat_intervals`]).
const RECENT_MS: Millis = 8_000;
/// Hashes that differ for this long show that news was missed, in ms: news reach every
/// host within one of the longest pauses between heartbeats. Chosen, not measured.
const MISSED_UPDATE_MS: Millis = 8_000;
/// Between whole lists that a host tells, in ms. It bounds what they take of a link: of 147
/// hosts the list has some 12 KB. Chosen, not measured.
pub const WHOLE_LIST_INTERVAL_MS: Millis = 250;

/// What a peer is told that knows other hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostsToSend {
    /// All hosts.
    All,
    /// Those that were heard of within so many ms.
    LearntWithin(Millis),
}

/// Decides what a peer is told whose hash has differed for a time.
#[must_use]
pub fn hosts_to_send(differs_ms: Millis, knows_nobody: bool, may_tell_whole: bool) -> HostsToSend {
    if knows_nobody || (differs_ms >= MISSED_UPDATE_MS && may_tell_whole) {
        HostsToSend::All
    } else {
        HostsToSend::LearntWithin(RECENT_MS)
    }
}
