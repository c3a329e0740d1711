//! Graceful shutdown: the host hands over its shards, lets its jobs end and then stops.

use gannetridge_entry_wire::Time;

use super::timers::Timer;
use super::Host;
use crate::action::Action;

/// How long a stopping host tries to hand over its shards, in ms.
const HANDOVER_TIME_LIMIT_MS: u64 = 5_000;

/// The state of the graceful shutdown.
#[derive(Debug)]
pub(super) struct StopState {
    /// True once the shutdown was requested.
    pub(super) requested: bool,
    /// When the host stops trying to hand over its shards.
    pub(super) give_up_at: Time,
    /// True once the host has stopped.
    pub(super) done: bool,
}

impl StopState {
    /// Returns the state of a host whose shutdown wasn't requested.
    pub(super) fn not_requested() -> Self {
        Self {
            requested: false,
            give_up_at: Time::MAX,
            done: false,
        }
    }
}

impl Host {
    pub(super) fn on_stop(&mut self) {
        if self.stop.requested {
            return;
        }
        self.stop.requested = true;
        self.stop.give_up_at = self.now.plus_millis(HANDOVER_TIME_LIMIT_MS);
        self.timers.set(self.stop.give_up_at, Timer::StopLimit);
        self.ownership.stop();
        self.answer_all_borrow_requests();
        self.read_row();
        self.send_hall_heartbeats();
        self.start_next_handover();
    }

    /// Stops the host once no job, answer, change or handover is pending, and its shards are
    /// handed over or the time for that is up.
    pub(super) fn stop_if_done(&mut self) {
        if !self.stop.requested || self.stop.done {
            return;
        }
        let busy = !self.jobs.is_empty()
            || !self.forwards.pending.is_empty()
            || !self.handovers.is_idle()
            || !self.changes.pending.is_empty()
            || self.ledger.has_waiters()
            || (self.ownership.has_any_shard() && self.now < self.stop.give_up_at);
        if !busy {
            self.stop.done = true;
            self.actions.push(Action::Stopped);
        }
    }
}
