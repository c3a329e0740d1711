//! When heartbeats go to a peer; see [`crate::rules::heartbeat_intervals`].

use crate::rules::heartbeat_intervals::HeartbeatIntervals;
use crate::Millis;

/// When heartbeats go to a peer; times in ms of this host's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct Schedule {
    next: Millis,
    last: Millis,
    /// When one was last sent to hear the peer's clock, for tasks that wait.
    clock_asked: Option<Millis>,
}

impl Schedule {
    /// Creates a schedule whose first heartbeat is due at `next`.
    pub(super) fn due_at(next: Millis) -> Self {
        Self {
            next,
            last: 0,
            clock_asked: None,
        }
    }

    /// Has the next heartbeat sent by then.
    pub(super) fn no_later_than(&mut self, latest: Millis) {
        self.next = self.next.min(latest);
    }

    /// Has the next heartbeat sent at once.
    pub(super) fn make_due(&mut self, now: Millis) {
        self.next = now;
    }

    /// Returns whether a heartbeat is due, and plans the next one if it is.
    pub(super) fn take_due(&mut self, now: Millis, interval: Millis) -> bool {
        let due = self.next <= now;
        if due {
            self.next = now + interval;
            self.last = now;
        }
        due
    }

    /// Postpones the next heartbeat, since the peer just answered something else.
    /// Now and then one is due all the same: it tells more.
    pub(super) fn postpone(&mut self, now: Millis, intervals: &HeartbeatIntervals) {
        let latest = self.last + intervals.idle.max(2 * intervals.heartbeat);
        let next = self.next.max(now + intervals.heartbeat);
        self.next = next.min(latest.max(self.next));
    }

    /// Returns whether the peer's clock is to be asked for: not if that was done within
    /// `pause_ms`. Records that it is.
    pub(super) fn try_request_clock(&mut self, now: Millis, pause_ms: Millis) -> bool {
        if self.clock_asked.is_some_and(|at| at + pause_ms > now) {
            return false;
        }
        self.clock_asked = Some(now);
        true
    }
}
