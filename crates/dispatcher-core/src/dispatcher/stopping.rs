//! The host's end in order.

use super::*;

impl Dispatcher {
    pub(super) fn stop(&mut self, now: Millis) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now);
        for peer in self.peers.all.values_mut() {
            peer.next_heartbeat = now;
        }
        self.next_tick = now;
        self.next_assignment = now;
    }

    pub(super) fn stop_if_done(&mut self, now: Millis) {
        let Some(since) = self.stopping else {
            return;
        };
        let grace = self.settings.bounds.grace_period_ms;
        let stays = since + (grace as f64 * STAYS_SHARE) as Millis;
        let idle = self.jobs.is_empty() && self.targets.attempts() == 0;
        let last = since + grace.saturating_sub(LAST_WORD_MS);
        if now >= last && !self.jobs.is_empty() {
            self.jobs.end_all(now);
        }
        if !self.stopped && ((now >= stays && idle) || now >= last) {
            self.stopped = true;
            self.out.append(&mut self.jobs.out);
            self.out.push(Action::Stopped);
        }
    }
}
