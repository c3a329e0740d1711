//! How attempts on a target end, and what that shows of the target.
//!
//! An attempt ends when the target lists its end, when a listing that would show it
//! doesn't, or when the target's lease expired. Anything less leaves it running.

use crate::decision::EndEvidence;
use crate::event::{ListedAttempt, ListedEnd, ListedOutcome};
use crate::message::{AttemptEnd, AttemptId, AttemptOutcome};
use crate::rules::crashes::{self, TargetLoss};
use crate::Millis;

use super::attempt::EndReport;
use super::target::Target;

/// A target's listing, as it was asked for.
pub(super) struct Listing<'a> {
    /// When it was asked for.
    pub(super) asked: Millis,
    /// The target's clock.
    pub(super) clock: Millis,
    /// What runs there.
    pub(super) running: &'a [ListedAttempt],
    /// Ends that weren't acknowledged before.
    pub(super) ended: &'a [ListedEnd],
}

impl Target {
    /// Takes a listing in; returns the attempts that have ended.
    ///
    /// With `settles` a new holder waits until attempts that it doesn't know are
    /// over.
    pub(super) fn take_listing(
        &mut self,
        now: Millis,
        listing: &Listing<'_>,
        settles: bool,
    ) -> Vec<EndReport> {
        let mut reports = Vec::new();
        for end in listing.ended {
            self.lease.acknowledged = self.lease.acknowledged.max(end.number);
            reports.extend(self.take_end(now, end));
        }
        for listed in listing.running {
            self.confirm(now, &listed.id);
            self.observe_progress(listed, listing.clock);
        }
        let is_listed = |id: &AttemptId| listing.running.iter().any(|listed| listed.id == *id);
        let over = self
            .attempts
            .iter()
            .filter(|(id, attempt)| attempt.would_be_listed(listing.asked) && !is_listed(id));
        let over: Vec<AttemptId> = over.map(|(id, _)| id.clone()).collect();
        let restarted = self.lost_outcome(TargetLoss::Restarted, self.lost_life.len());
        for id in over {
            let outcome = if self.lost_life.contains(&id) {
                restarted
            } else {
                AttemptOutcome::Lost
            };
            reports.extend(self.end(now, &id, outcome, EndEvidence::NotListed));
        }
        self.lost_life.retain(|id| self.attempts.contains_key(id));
        let mut running = listing.running.iter();
        let own_only = running.all(|listed| self.attempts.contains_key(&listed.id));
        self.lease.confirmed(now, own_only || !settles);
        reports
    }

    fn take_end(&mut self, now: Millis, end: &ListedEnd) -> Option<EndReport> {
        let attempt = self.attempts.get(&end.id)?;
        let took_ms = now.saturating_sub(attempt.started);
        let outcome = match end.outcome {
            ListedOutcome::Done => {
                self.health.succeeded(took_ms, attempt.estimate_ms);
                AttemptOutcome::Done
            }
            ListedOutcome::Failed => {
                self.health.failed(now);
                AttemptOutcome::Failed
            }
            ListedOutcome::Ended | ListedOutcome::Unknown => AttemptOutcome::Lost,
        };
        self.end(now, &end.id, outcome, EndEvidence::Listed)
    }

    /// Ends an attempt.
    pub(super) fn end(
        &mut self,
        now: Millis,
        id: &AttemptId,
        outcome: AttemptOutcome,
        by: EndEvidence,
    ) -> Option<EndReport> {
        let attempt = self.attempts.remove(id)?;
        Some(EndReport {
            owner: attempt.owner,
            end: AttemptEnd {
                id: id.clone(),
                outcome,
                target: self.entry.id.clone(),
            },
            by,
            took_ms: now.saturating_sub(attempt.started),
            wanted: attempt.report,
        })
    }

    /// Ends all attempts, since the target was lost.
    pub(super) fn end_all(
        &mut self,
        now: Millis,
        loss: TargetLoss,
        by: EndEvidence,
    ) -> Vec<EndReport> {
        let ids: Vec<AttemptId> = self.attempts.keys().cloned().collect();
        let outcome = self.lost_outcome(loss, ids.len());
        let ends = ids.iter();
        ends.filter_map(|id| self.end(now, id, outcome, by))
            .collect()
    }

    /// Returns how attempts ended on this target that was lost while it had so many.
    pub(super) fn lost_outcome(&self, loss: TargetLoss, attempts: usize) -> AttemptOutcome {
        crashes::outcome(loss, self.entry.leaving, attempts)
    }
}
