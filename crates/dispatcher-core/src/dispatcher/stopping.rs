//! The graceful shutdown of the host.
//!
//! **Rule.** A host that shuts down accepts jobs that can end within its grace period, finishes the
//! jobs in progress, gives up the leases of idle targets, and stops when nothing is left, but not
//! before `MIN_STAY_SHARE` of the grace period: callers arrive until the platform has noticed that
//! the host isn't ready.

use crate::action::Action;
use crate::rules::admission::ANSWER_MARGIN_MS;
use crate::Millis;

use super::Dispatcher;

/// The share of the grace period for which the host keeps running at least.
const MIN_STAY_SHARE: f64 = 0.4;

/// The state of a graceful shutdown.
#[derive(Clone, Copy, Debug)]
pub(super) struct Stopping {
    /// The start of the grace period.
    pub(super) since: Millis,
    /// True once [`Action::Stopped`] has been issued.
    done: bool,
}

impl Dispatcher {
    /// Starts the shutdown. `since` is the earliest time at which it may have been requested.
    pub(super) fn begin_shutdown(&mut self, now: Millis, since: Millis) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(Stopping { since, done: false });
        for (_, peer) in self.peers.iter_mut() {
            peer.schedule_heartbeat_now(now);
        }
        self.timers.make_all_due(now);
    }

    /// Ends the remaining jobs when the grace period is over, and stops the host when nothing is
    /// left.
    pub(super) fn finish_shutdown_if_due(&mut self, now: Millis) {
        let Some(Stopping { since, done }) = self.stopping else {
            return;
        };
        let grace_ms = self.settings.bounds.grace_period_ms;
        let stays_until = since + (grace_ms as f64 * MIN_STAY_SHARE) as Millis;
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
