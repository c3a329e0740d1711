//! Tasks under which targets crashed: what hosts of one hall tell each other.
//!
//! The platform sends a caller that comes again to the hosts of its hall. News that are lost on
//! the way aren't sent again: the next crash under the task tells all that is known of it.

use gannetridge_wire::Name;

use crate::message::Request;
use crate::Millis;

use super::peer_calls::Purpose;
use super::Dispatcher;

/// Between messages that tell of crashes, in ms: many crashes make one message, and callers
/// come again much later.
const TELL_CRASHES_MS: Millis = 100;

impl Dispatcher {
    /// Tells the hosts of this hall of crashes, if there are news.
    pub(super) fn tell_crashes(&mut self, now: Millis) {
        if now < self.timers.next_crash_news {
            return;
        }
        let records = self.jobs.take_crash_updates();
        if records.is_empty() {
            return;
        }
        self.timers.next_crash_news = now + TELL_CRASHES_MS;
        let peers = self.peers.iter();
        let same_hall =
            peers.filter(|(_, peer)| peer.info.hall == self.own.hall && peer.is_alive(now));
        let names: Vec<Name> = same_hall.map(|(name, _)| name.clone()).collect();
        for name in names {
            let request = Request::Crashes(records.clone());
            self.call_peer(now, &name, request, Purpose::Crashes);
        }
    }
}
