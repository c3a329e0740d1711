//! Starts that wait until their target is heard.
//!
//! An idle target is asked rarely, and may have started again since it was heard. Its new life
//! has seen no fencing token, so that it would take the starts of every host that believes to
//! hold it, and a time of the old clock for the longest lease. So one that wasn't heard of lately
//! is asked first: a new life then knows the token before any start comes, and this host the new
//! life. A busy target needs no question: it is heard all the time.

use gannetridge_wire::Name;

use crate::decision::EndEvidence;
use crate::message::{AttemptId, AttemptOutcome};
use crate::Millis;

use super::attempt::EndReport;
use super::target::Target;
use super::TargetLeases;

impl TargetLeases {
    /// Returns whether a target is to be heard before a start is sent to it. An idle one isn't
    /// believed for longer than a busy one, which answers each renewal within a long poll.
    pub(super) fn must_reply_first(&self, now: Millis, target: &Target) -> bool {
        let recent = now.saturating_sub(self.times.long_poll);
        let is_stale = target.is_idle() && !target.has_replied_since(recent);
        self.safeguards.idle_targets_are_asked && (is_stale || target.has_unsent_starts())
    }

    /// Sends the starts that waited for a target that is heard now, if they may extend its lease.
    pub(super) fn resolve_unsent_starts(&mut self, now: Millis, id: &Name) {
        let target = &self.targets[id];
        if !target.lease.is_held() || self.lets_lease_expire(target) {
            return self.end_unsent(now, id);
        }
        for attempt in target.unsent_attempts() {
            self.send_start(now, id, &attempt);
        }
    }

    /// Ends an attempt whose start wasn't sent; returns false if it was.
    pub(super) fn end_if_unsent(&mut self, now: Millis, target: &Name, id: &AttemptId) -> bool {
        let target = self.targets.get_mut(target);
        let report = target.and_then(|target| target.end_if_unsent(now, id));
        let ended = report.is_some();
        self.reports.extend(report);
        ended
    }

    /// Gives back the attempts that waited for a target, so that they are tried elsewhere.
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
        self.end_attempt(now, id, AttemptOutcome::NotBegun, EndEvidence::NotSent)
    }
}
