//! The host's stop in order.
//!
//! **Rule.** A stopping host accepts jobs as long as they can end in its grace
//! period, serves what it has, gives its targets up as they become idle, and ends
//! when it has nothing left, though no sooner than `STAYS_SHARE` of the grace
//! period: callers keep coming until the platform has seen that it isn't ready.

use crate::action::Action;
use crate::rules::admission::ANSWER_MARGIN_MS;
use crate::Millis;

use super::Dispatcher;

/// The part of its grace period that a stopping host stays at least.
const STAYS_SHARE: f64 = 0.4;

/// A stop in order.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping {
    /// When it began.
    pub(super) since: Millis,
    /// Whether it is complete.
    done: bool,
}

impl Dispatcher {
    /// Begins to stop; `since` is the earliest time at which it may have been asked to.
    pub(super) fn stop(&mut self, now: Millis, since: Millis) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping { since, done: false });
        for (_, peer) in self.peers.iter_mut() {
            peer.schedule_heartbeat_now(now);
        }
        self.timers.hurry(now);
    }

    /// Ends what is left when the time is up, and the host when nothing is left.
    pub(super) fn stop_if_done(&mut self, now: Millis) {
        let Some(Stopping { since, done }) = self.stopping else {
            return;
        };
        let grace_ms = self.settings.bounds.grace_period_ms;
        let stays_until = since + (grace_ms as f64 * STAYS_SHARE) as Millis;
        let idle = self.jobs.is_empty() && self.targets.attempts() == 0;
        let last = since + grace_ms.saturating_sub(ANSWER_MARGIN_MS);
        if now >= last && !self.jobs.is_empty() {
            self.jobs.end_all(now);
        }
        if !done && ((now >= stays_until && idle) || now >= last) {
            self.stopping = Some(Stopping { since, done: true });
            self.actions.extend(self.jobs.take_actions());
            self.actions.push(Action::Stopped);
        }
    }
}
