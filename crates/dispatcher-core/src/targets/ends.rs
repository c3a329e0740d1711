//! Ends of attempts, and what they show of the target.
//!
//! An attempt ends when the target lists its end, when a listing that would show it doesn't, or
//! when the target's lease has expired. Until then it counts as running.

use std::collections::BTreeMap;

use crate::decision::EndEvidence;
use crate::event::{ListedAttempt, ListedEnd, ListedOutcome};
use crate::message::{AttemptEnd, AttemptId, AttemptOutcome};
use crate::rules::crashes::{self, RunState, TargetLoss};
use crate::Millis;

use super::attempt::{EndReport, MeasuredTask};
use super::target::Target;

/// A status reply of a target.
pub(super) struct Listing<'a> {
    /// When this host requested it.
    pub(super) requested: Millis,
    /// The target's clock.
    pub(super) clock: Millis,
    /// The attempts that run on the target.
    pub(super) running: &'a [ListedAttempt],
    /// Ends that this host hasn't acknowledged yet.
    pub(super) ended: &'a [ListedEnd],
}

impl Target {
    /// Applies a listing and returns the attempts that have ended.
    ///
    /// With `settles`, a new holder waits until the attempts that it doesn't know have ended.
    pub(super) fn apply_listing(
        &mut self,
        now: Millis,
        listing: &Listing<'_>,
        settles: bool,
    ) -> Vec<EndReport> {
        let mut reports = Vec::new();
        for end in listing.ended {
            self.lease.acknowledged = self.lease.acknowledged.max(end.number);
            reports.extend(self.apply_listed_end(now, end));
        }
        for listed in listing.running {
            self.confirm(now, &listed.id);
            self.repeat_lost_stop(&listed.id, listing.requested);
            self.observe_progress(now, listed, listing.clock);
        }
        let is_listed = |id: &AttemptId| listing.running.iter().any(|listed| listed.id == *id);
        let finished = self
            .attempts
            .iter()
            .filter(|(id, attempt)| attempt.would_be_listed(listing.requested) && !is_listed(id));
        let finished: Vec<AttemptId> = finished.map(|(id, _)| id.clone()).collect();
        for id in finished {
            let lost = AttemptOutcome::Lost;
            let outcome = self.restart_outcomes.remove(&id).unwrap_or(lost);
            reports.extend(self.end_attempt(now, &id, outcome, EndEvidence::NotListed));
        }
        self.restart_outcomes
            .retain(|id, _| self.attempts.contains_key(id) && !is_listed(id));
        let mut running = listing.running.iter();
        let own_only = running.all(|listed| self.attempts.contains_key(&listed.id));
        self.lease.confirm_token(now, own_only || !settles);
        reports
    }

    fn apply_listed_end(&mut self, now: Millis, end: &ListedEnd) -> Option<EndReport> {
        let attempt = self.attempts.get(&end.id)?;
        let took_ms = now.saturating_sub(attempt.started);
        let outcome = match end.outcome {
            ListedOutcome::Done => {
                self.health.record_success();
                if self.learned_speed.is_none() {
                    self.health
                        .record_running_time(took_ms, attempt.estimate_ms);
                }
                AttemptOutcome::Done
            }
            ListedOutcome::Failed => {
                if self.learned_speed.is_none() {
                    self.health.record_failure(now);
                }
                AttemptOutcome::Failed
            }
            ListedOutcome::Interrupted | ListedOutcome::Unknown => AttemptOutcome::Lost,
        };
        self.end_attempt(now, &end.id, outcome, EndEvidence::Listed)
    }

    /// Removes an attempt and returns the report of its end, if the attempt is known.
    pub(super) fn end_attempt(
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
            task: MeasuredTask {
                kind: attempt.kind,
                estimate_ms: attempt.estimate_ms,
                is_far: attempt.is_far,
            },
            report_wanted: attempt.report_end,
        })
    }

    /// Ends all attempts because the target was lost; see [`Target::lost_outcomes`].
    pub(super) fn end_all_attempts(
        &mut self,
        now: Millis,
        loss: TargetLoss,
        latest_loss: Option<Millis>,
        by: EndEvidence,
    ) -> Vec<EndReport> {
        let outcomes = self.lost_outcomes(loss, latest_loss).into_iter();
        outcomes
            .filter_map(|(id, outcome)| self.end_attempt(now, &id, outcome, by))
            .collect()
    }

    /// Returns the outcomes of all attempts if the target is lost. `latest_loss` is the latest time
    /// at which the target can have stopped.
    pub(super) fn lost_outcomes(
        &self,
        loss: TargetLoss,
        latest_loss: Option<Millis>,
    ) -> BTreeMap<AttemptId, AttemptOutcome> {
        let attempts = self.attempts.values();
        let running = attempts
            .filter(|attempt| attempt.running_when_lost(latest_loss) != RunState::NotRunning);
        let running = running.count();
        let others = running.saturating_sub(1);
        let leaving = self.entry.leaving;
        let outcomes = self.attempts.iter().map(|(id, attempt)| {
            let outcome = crashes::outcome(
                loss,
                leaving,
                attempt.running_when_lost(latest_loss),
                others,
            );
            (id.clone(), outcome)
        });
        outcomes.collect()
    }
}
