//! Starts that wait for a reply of their target.
//!
//! An idle target is renewed rarely and may have restarted since its last reply. Its new
//! incarnation has seen no fencing token, so that it would accept the starts of every host that
//! assumes to hold it, and would take a time on the previous clock for the longest lease. A start
//! on a target without a recent reply therefore waits for a renewal: a new incarnation then knows
//! the token before any start arrives, and this host knows the new incarnation. A busy target
//! replies all the time, so that its starts don't wait.

use gannetridge_wire::Name;

use crate::decision::EndEvidence;
use crate::message::{AttemptId, AttemptOutcome};
use crate::Millis;

use super::attempt::EndReport;
use super::target::Target;
use super::TargetLeases;

impl TargetLeases {
    /// Returns true if a target must reply before a start is sent to it. An idle target needs a
    /// reply as recent as those of a busy one, which answers each renewal within a long poll.
    pub(super) fn must_reply_first(&self, now: Millis, target: &Target) -> bool {
        let recent = now.saturating_sub(self.times.long_poll_ms);
        let is_stale = target.is_idle() && !target.has_replied_since(recent);
        self.safeguards.idle_targets_are_asked && (is_stale || target.has_unsent_starts())
    }

    /// Sends the starts that waited for the target's reply, or ends them if the lease isn't held or
    /// must not be extended.
    pub(super) fn resolve_unsent_starts(&mut self, now: Millis, id: &Name) {
        let target = &self.targets[id];
        let is_described = target.is_entry_current() || !self.list_is_settled(now);
        if !target.lease.is_held() || self.lets_lease_expire(target) || !is_described {
            return self.end_unsent(now, id);
        }
        for attempt in target.unsent_attempts() {
            self.send_start(now, id, &attempt);
        }
    }

    /// Ends an attempt whose start wasn't sent; returns false if it was sent.
    pub(super) fn end_if_unsent(&mut self, now: Millis, target: &Name, id: &AttemptId) -> bool {
        let target = self.targets.get_mut(target);
        let report = target.and_then(|target| target.end_if_unsent(now, id));
        let ended = report.is_some();
        self.reports.extend(report);
        ended
    }

    /// Ends the attempts whose starts wait for a target, so that their tasks are started elsewhere.
    pub(super) fn end_unsent(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            self.reports.extend(target.end_unsent(now));
        }
    }
}

impl Target {
    /// Ends the attempts whose starts weren't sent.
    pub(super) fn end_unsent(&mut self, now: Millis) -> Vec<EndReport> {
        let unsent = self.unsent_attempts().into_iter();
        unsent
            .filter_map(|id| self.end_if_unsent(now, &id))
            .collect()
    }

    fn end_if_unsent(&mut self, now: Millis, id: &AttemptId) -> Option<EndReport> {
        self.attempts.get(id)?.unsent_specification.as_ref()?;
        self.end_attempt(now, id, AttemptOutcome::NotStarted, EndEvidence::NotSent)
    }
}
