//! Schedule of the heartbeats to a peer; see [`crate::rules::heartbeat_intervals`].

use crate::rules::heartbeat_intervals::HeartbeatIntervals;
use crate::Millis;

/// When heartbeats are sent to a peer; times in ms of this host's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct HeartbeatSchedule {
    next: Millis,
    last: Millis,
    /// When the peer's clock was last requested, for tasks that wait to be handed over.
    clock_requested_at: Option<Millis>,
}

impl HeartbeatSchedule {
    /// Creates a schedule whose first heartbeat is due at `next`.
    pub(super) fn due_at(next: Millis) -> Self {
        Self {
            next,
            last: 0,
            clock_requested_at: None,
        }
    }

    /// Moves the next heartbeat forward to `latest` if it is later.
    pub(super) fn require_by(&mut self, latest: Millis) {
        self.next = self.next.min(latest);
    }

    /// Sets the time of the next heartbeat.
    pub(super) fn set_next(&mut self, at: Millis) {
        self.next = at;
    }

    /// Returns whether a heartbeat is due, and schedules the next one if it is.
    pub(super) fn take_due(&mut self, now: Millis, interval: Millis) -> bool {
        let due = self.next <= now;
        if due {
            self.next = now + interval;
            self.last = now;
        }
        due
    }

    /// Postpones the next heartbeat because the peer just replied to another request. The delay
    /// since the last heartbeat is limited: its reply carries more than other replies.
    pub(super) fn postpone(&mut self, now: Millis, intervals: &HeartbeatIntervals) {
        let latest = self.last + intervals.idle_ms.max(2 * intervals.heartbeat_ms);
        let next = self.next.max(now + intervals.heartbeat_ms);
        self.next = next.min(latest.max(self.next));
    }

    /// Returns whether the peer's clock may be requested now, and records the request; false
    /// if it was requested within `pause_ms`.
    pub(super) fn try_request_clock(&mut self, now: Millis, pause_ms: Millis) -> bool {
        if self
            .clock_requested_at
            .is_some_and(|at| at + pause_ms > now)
        {
            return false;
        }
        self.clock_requested_at = Some(now);
        true
    }
}
