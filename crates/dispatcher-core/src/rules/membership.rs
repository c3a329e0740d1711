//! Decides which hosts are sent to a peer whose list of known hosts differs.
//!
//! **Rule.** Heartbeats carry a hash of the known hosts. Where the hashes differ, the reply sends
//! the hosts that became known or restarted recently, at most [`MAX_LISTED_HOSTS`], since most
//! differences are one host that has just started. The whole list is sent to a host that knows no
//! other. It is also sent to one whose hash has differed for long, but only once per
//! [`WHOLE_LIST_INTERVAL_MS`] whoever asks: one whole list from any peer is enough.
//!
//! **Inputs.** For how long the hashes have differed, in ms; whether the peer knows no other host;
//! when the whole list was last sent. **Reason.** When 4 of 300 hosts restart in a second, each
//! costs each other host 765 bytes of lists; with whole lists at every difference it was 3,415
//! (`tests/membership.rs`, a network without delay). **Trade-off.** Hosts that missed an update
//! learn of it some seconds later, if neither the store nor a third host reported it.

use crate::Millis;

/// The most hosts that are sent other than by a whole list.
pub const MAX_LISTED_HOSTS: usize = 16;
/// Hosts that became known or restarted within this time are sent, in ms: more than the longest
/// idle heartbeat interval ([`super::heartbeat_intervals`]).
const RECENT_MS: Millis = 8_000;
/// The time after which differing hashes show that an update was missed, in ms: updates reach every
/// host within one of the longest idle heartbeat intervals.
const MISSED_UPDATE_MS: Millis = 8_000;
/// The least time between whole lists that a host sends, in ms: bounds their load on a link. The
/// list of 147 hosts has some 12 KB.
pub const WHOLE_LIST_INTERVAL_MS: Millis = 250;

/// The hosts to send to a peer whose list differs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostsToSend {
    /// All known hosts.
    All,
    /// Hosts that became known or restarted within this time, in ms.
    LearntWithin(Millis),
}

/// Decides which hosts to send to a peer whose hash has differed for `differs_ms`.
/// `may_send_whole_list` is set if the interval since the last whole list has passed.
#[must_use]
pub fn hosts_to_send(
    differs_ms: Millis,
    knows_nobody: bool,
    may_send_whole_list: bool,
) -> HostsToSend {
    if knows_nobody || (differs_ms >= MISSED_UPDATE_MS && may_send_whole_list) {
        HostsToSend::All
    } else {
        HostsToSend::LearntWithin(RECENT_MS)
    }
}
