//! How runs end, and what that shows of the target.

use super::*;

impl Target {
    /// Takes a listing in that was asked for at `asked`; returns what ended.
    ///
    /// With `settles` a newcomer waits for runs that it doesn't know.
    pub fn list(
        &mut self,
        now: Millis,
        asked: Millis,
        running: &[AttemptId],
        ended: &[ListedEnd],
        settles: bool,
    ) -> Vec<Report> {
        let mut reports = Vec::new();
        for end in ended {
            self.acknowledged = self.acknowledged.max(end.number);
            reports.extend(self.listed_end(now, end));
        }
        for key in running {
            if let Some(attempt) = self.attempts.get_mut(key) {
                attempt.taken.get_or_insert(now);
            }
        }
        let over = self.attempts.iter().filter(|(key, attempt)| {
            // What came in the same millisecond may have come after.
            let stopped = matches!(attempt.stop, StopStage::Taken(at) if at < asked);
            let begun = attempt.taken.is_some_and(|at| at < asked);
            let too_late = attempt.begins_before < asked;
            (stopped || begun || too_late) && !running.contains(key)
        });
        let over: Vec<AttemptId> = over.map(|(key, _)| key.clone()).collect();
        for key in over {
            reports.extend(self.end(now, &key, AttemptOutcome::Lost, "not listed"));
        }
        if self.stage == LeaseStage::Acquiring || self.stage == LeaseStage::Settling {
            let known = running.iter().all(|key| self.attempts.contains_key(key));
            let known = known || !settles;
            self.stage = if known {
                LeaseStage::Held
            } else {
                LeaseStage::Settling
            };
            if known {
                self.held_since = self.incumbent_since.unwrap_or(now);
            }
        }
        reports
    }

    pub(super) fn listed_end(&mut self, now: Millis, end: &ListedEnd) -> Option<Report> {
        let attempt = self.attempts.get(&end.key)?;
        let took = now.saturating_sub(attempt.started);
        match end.outcome {
            ListedOutcome::Done => {
                self.failures = 0;
                self.suspensions = 0;
                let ratio = took as f64 / attempt.estimate_ms.max(1) as f64;
                self.slowdown += SLOWDOWN_WEIGHT * (ratio.clamp(0.2, 5.0) - self.slowdown);
                self.end(now, &end.key, AttemptOutcome::Done, "listed")
            }
            ListedOutcome::Failed => {
                self.failed(now);
                self.end(now, &end.key, AttemptOutcome::Failed, "listed")
            }
            ListedOutcome::Ended => self.end(now, &end.key, AttemptOutcome::Lost, "listed"),
        }
    }

    /// Takes note of a failure; leaves the target alone after some in a row.
    pub fn failed(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_SUSPEND && self.suspended_until <= now {
            self.suspend(now);
        }
    }

    /// Leaves the target alone for a while.
    pub fn suspend(&mut self, now: Millis) {
        let length = FIRST_SUSPENSION_MS << self.suspensions.min(3);
        self.suspended_until = now + length.min(LONGEST_SUSPENSION_MS);
        self.suspensions += 1;
        self.failures = self.failures.max(FAILURES_TO_SUSPEND);
    }

    /// Tells whether the target is left alone.
    #[must_use]
    pub fn is_suspended(&self, now: Millis) -> bool {
        self.suspended_until > now
    }

    /// Ends a run in the books.
    pub fn end(
        &mut self,
        now: Millis,
        key: &AttemptId,
        end: AttemptOutcome,
        by: &'static str,
    ) -> Option<Report> {
        let attempt = self.attempts.remove(key)?;
        Some(Report {
            owner: attempt.owner,
            session: attempt.session,
            end: AttemptEnd {
                key: key.clone(),
                end,
                target: self.entry.id.clone(),
            },
            by,
            took_ms: now.saturating_sub(attempt.started),
            wanted: attempt.report,
        })
    }

    /// Ends all runs in the books.
    pub fn end_all(&mut self, now: Millis, by: &'static str) -> Vec<Report> {
        let keys: Vec<AttemptId> = self.attempts.keys().cloned().collect();
        let ends = keys.iter();
        ends.filter_map(|key| self.end(now, key, AttemptOutcome::Lost, by))
            .collect()
    }

    /// Tells whether whatever ran there is over, by the last hold.
    #[must_use]
    pub fn is_over(&self, now: Millis) -> bool {
        self.ended_by < now
    }

    /// Returns the runs that have gone on for far longer than estimated.
    #[must_use]
    pub fn overruns(&self, now: Millis) -> Vec<AttemptId> {
        let attempts = self.attempts.iter().filter(|(_, attempt)| {
            let allowed =
                attempt.estimate_ms as f64 * OVERRUN_FACTOR * self.slowdown.clamp(1.0, 2.0);
            let allowed = allowed as Millis + OVERRUN_MS;
            attempt.stop == StopStage::Wanted && now > attempt.started + allowed
        });
        attempts.map(|(key, _)| key.clone()).collect()
    }
}
