//! The host's stop in order: it hands over its shards, lets its jobs end and then
//! has stopped.

use gannetridge_entry_wire::Time;

use super::timers::Timer;
use super::Host;
use crate::action::Action;

/// How long a stopping host looks for one to take its shards, in ms; chosen, not
/// measured.
const NO_HEIR_MS: u64 = 5_000;

/// How far the host's stop in order has got.
#[derive(Debug)]
pub(super) struct Stop {
    /// Whether it was asked to stop.
    pub(super) asked: bool,
    /// When it gives up looking for a host to hand its shards to.
    pub(super) give_up_at: Time,
    /// Whether it has stopped.
    pub(super) done: bool,
}

impl Stop {
    /// A host that nobody asked to stop.
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

    /// Ends the host once nothing of it is needed any more.
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
