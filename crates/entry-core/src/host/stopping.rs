//! Graceful shutdown: the host hands over its shards, lets its jobs end and then stops.

use gannetridge_entry_wire::Time;

use super::timers::Timer;
use super::Host;
use crate::action::Action;

/// How long a stopping host tries to hand over its shards, in ms.
const NO_HEIR_MS: u64 = 5_000;

/// The state of the graceful shutdown.
#[derive(Debug)]
pub(super) struct Stop {
    /// True once the shutdown was requested.
    pub(super) asked: bool,
    /// When the host stops trying to hand over its shards.
    pub(super) give_up_at: Time,
    /// True once the host has stopped.
    pub(super) done: bool,
}

impl Stop {
    /// Returns the state of a host whose shutdown wasn't requested.
    pub(super) fn not_asked() -> Self {
        Self {
            asked: false,
            give_up_at: Time::MAX,
            done: false,
        }
    }
}

impl Host {
    pub(super) fn on_stop(&mut self) {
        if self.stop.asked {
            return;
        }
        self.stop.asked = true;
        self.stop.give_up_at = self.now.plus_millis(NO_HEIR_MS);
        self.timers.set(self.stop.give_up_at, Timer::StopLimit);
        self.ownership.stop();
        self.dismiss_questions();
        self.read_row();
        self.announce();
        self.offer_next();
    }

    /// Stops the host once no job, answer, change or handover is pending, and its shards are
    /// handed over or the time for that is up.
    pub(super) fn check_stopped(&mut self) {
        if !self.stop.asked || self.stop.done {
            return;
        }
        let busy = !self.jobs.is_empty()
            || !self.forwards.open.is_empty()
            || !self.handovers.is_idle()
            || !self.changes.open.is_empty()
            || self.ledger.has_waiters()
            || (self.ownership.has_any() && self.now < self.stop.give_up_at);
        if !busy {
            self.stop.done = true;
            self.out.push(Action::Stopped);
        }
    }
}
