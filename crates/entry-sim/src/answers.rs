//! Handles answers at the callers: checks each, and measures a job's first final one.

use gannetridge_entry_wire::{Answer, Rejection};
use rand::Rng;

use crate::callers::{AttemptState, RequestId};
use crate::checks::Violation;
use crate::world::World;

impl World {
    pub(crate) fn on_caller_answer(&mut self, request: RequestId, answer: Option<Answer>) {
        let job = &mut self.callers.jobs[request.job];
        let (attempt, conflicting) = job.attempts[request.attempt];
        let waits = attempt == AttemptState::Open;
        let Some(answer) = answer else {
            // The connection broke before an answer came.
            if waits {
                job.attempts[request.attempt].0 = AttemptState::Abandoned;
                if job.answer.is_none() && !conflicting {
                    self.schedule_retry(request.job, 0);
                }
            }
            return;
        };
        // Answers are checked even if the caller no longer waits for them.
        match &answer {
            Answer::Refused {
                reason,
                retry_after_ms,
            } => {
                let text = format!("{reason:?}");
                *self.report.reasons.entry(text).or_default() += 1;
                let retry_after_ms = *retry_after_ms;
                self.on_refused(request, waits, retry_after_ms);
            }
            Answer::Pending { retry_after_ms } => {
                self.report.pending += u64::from(job.measured);
                job.attempts[request.attempt].0 = AttemptState::Answered;
                let wait_ms = *retry_after_ms;
                if waits && !conflicting && job.answer.is_none() {
                    self.schedule_retry(request.job, wait_ms);
                }
            }
            Answer::Rejected { reason } => {
                job.attempts[request.attempt].0 = AttemptState::Answered;
                let allowed = *reason == Rejection::ContentsDiffer && job.conflicting.is_some();
                if !allowed {
                    let text = format!("{}: {reason:?}", job.submission.id);
                    self.checks
                        .record_violation(Violation::WronglyRejected(text));
                }
            }
            Answer::Complete { .. } | Answer::Failed { .. } => {
                job.attempts[request.attempt].0 = AttemptState::Answered;
                self.on_final(request, conflicting, answer);
            }
        }
    }

    fn on_refused(&mut self, request: RequestId, waits: bool, retry_after_ms: u64) {
        let job = &mut self.callers.jobs[request.job];
        job.attempts[request.attempt].0 = AttemptState::Refused;
        let (account, id) = (job.submission.account.clone(), job.submission.id.clone());
        if job.measured {
            self.report
                .accounts
                .entry(account.clone())
                .or_default()
                .refused += 1;
        }
        let first_start = self.checks.first_start(&account, &id);
        let job = &self.callers.jobs[request.job];
        if first_start.is_some_and(|at| job.is_refusal_false(request.attempt, at)) {
            let text = format!("{id} at {:?}", self.now);
            self.checks
                .record_violation(Violation::RefusedButStarted(text));
        }
        let retry_probability = self.scenario.caller_behaviour.retry_probability;
        let job = &self.callers.jobs[request.job];
        let deadline_ms = job.submission.deadline().as_millis();
        let in_time = self.now.as_millis() + retry_after_ms < deadline_ms;
        let (_, conflicting) = job.attempts[request.attempt];
        if waits && !conflicting && in_time && self.rng.random_bool(retry_probability) {
            self.schedule_retry(request.job, retry_after_ms);
        }
    }

    fn on_final(&mut self, request: RequestId, conflicting: bool, answer: Answer) {
        let job = &mut self.callers.jobs[request.job];
        let own = if conflicting {
            job.conflicting.as_ref().unwrap_or(&job.submission)
        } else {
            &job.submission
        };
        if let Answer::Complete { results } = &answer {
            let whole = results.len() == own.tasks.len();
            let mut pairs = results.iter().zip(&own.tasks).enumerate();
            let in_order = pairs.all(|(i, (r, t))| r.index as usize == i && r.output == t.input);
            if !whole || !in_order {
                let text = format!("{}: {} results", own.id, results.len());
                self.checks.record_violation(Violation::WrongResults(text));
            }
        }
        if conflicting {
            return;
        }
        match &job.answer {
            None => {
                job.answer = Some(answer.clone());
                self.record_answer(request.job, &answer);
            }
            Some(first) if *first != answer => self.report.differing += 1,
            Some(_) => {}
        }
    }

    fn record_answer(&mut self, index: usize, answer: &Answer) {
        if let Answer::Failed { cause, ran } = answer {
            let text = format!("{cause:?}/{ran:?}");
            *self.report.causes.entry(text).or_default() += 1;
        }
        let job = &self.callers.jobs[index];
        if !job.measured {
            return;
        }
        let delays = self.scenario.delays;
        let round_trip_us = 2 * (delays.caller_us + delays.within_hall_us);
        let response_us = self.now.micros_since(job.first_sent);
        let ideal_us = job.slowest_ms * 1_000 + round_trip_us;
        let late = response_us > job.submission.deadline_ms * 1_000;
        let name = job.submission.account.clone();
        let account = self.report.accounts.entry(name).or_default();
        if !matches!(answer, Answer::Complete { .. }) {
            account.failed += 1;
            return;
        }
        account.complete += 1;
        account.late += u64::from(late);
        account.ratios.add(response_us, ideal_us);
    }

    /// Checks the invariants that hold once all faults and all load have ended.
    pub(crate) fn check_final_state(&mut self) {
        self.check_rejected_changes();
        self.check_config_versions();
        for index in 0..self.callers.jobs.len() {
            let job = &self.callers.jobs[index];
            let waits = job.attempts.iter().any(|(s, _)| *s == AttemptState::Open);
            if waits && job.answer.is_none() {
                let text = format!("{}", job.submission.id);
                self.checks.record_violation(Violation::NoAnswer(text));
            }
        }
    }
}
