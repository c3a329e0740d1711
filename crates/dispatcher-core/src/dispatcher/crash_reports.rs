//! Reports of tasks that ran on crashing targets, exchanged by the hosts of one hall.
//!
//! The platform routes a caller that retries to the hosts of its hall. A lost report isn't sent
//! again: the next crash under the same task reports everything known about it.

use gannetridge_wire::Name;

use crate::message::Request;
use crate::Millis;

use super::peer_calls::Purpose;
use super::Dispatcher;

/// The interval between reports of crashes, in ms: batches crashes, and is short against the time
/// after which callers retry.
const CRASH_REPORT_INTERVAL_MS: Millis = 100;

impl Dispatcher {
    /// Reports new crashes to the live hosts of this hall.
    pub(super) fn report_crashes(&mut self, now: Millis) {
        if now < self.timers.next_crash_report {
            return;
        }
        let records = self.jobs.take_crash_updates();
        if records.is_empty() {
            return;
        }
        self.timers.next_crash_report = now + CRASH_REPORT_INTERVAL_MS;
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
