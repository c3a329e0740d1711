//! Answers at the callers: each is checked, and the first is measured.

use gannetridge_entry_wire::{Answer, Rejection};
use rand::Rng;

use crate::callers::{RequestId, Sending};
use crate::checks::Violation;
use crate::world::World;

impl World {
    pub(crate) fn caller_answer(&mut self, request: RequestId, answer: Option<Answer>) {
        let job = &mut self.callers.jobs[request.job];
        let (sending, clash) = job.sendings[request.sending];
        let waits = sending == Sending::Open;
        let Some(answer) = answer else {
            // The connection broke.
            if waits {
                job.sendings[request.sending].0 = Sending::Forgotten;
                if job.answer.is_none() && !clash {
                    self.send_again(request.job, 0);
                }
            }
            return;
        };
        // A caller that has stopped waiting doesn't see the answer, but what
        // is on the wire has to be true all the same.
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
                job.sendings[request.sending].0 = Sending::Answered;
                let wait_ms = *retry_after_ms;
                if waits && !clash && job.answer.is_none() {
                    self.send_again(request.job, wait_ms);
                }
            }
            Answer::Rejected { reason } => {
                job.sendings[request.sending].0 = Sending::Answered;
                let allowed = *reason == Rejection::ContentsDiffer && job.clash.is_some();
                if !allowed {
                    let text = format!("{}: {reason:?}", job.submission.id);
                    self.checks.violated(Violation::FalseClash(text));
                }
            }
            Answer::Complete { .. } | Answer::Failed { .. } => {
                job.sendings[request.sending].0 = Sending::Answered;
                self.on_final(request, clash, answer);
            }
        }
    }

    fn on_refused(&mut self, request: RequestId, waits: bool, retry_after_ms: u64) {
        let job = &mut self.callers.jobs[request.job];
        job.sendings[request.sending].0 = Sending::Refused;
        let (account, id) = (job.submission.account.clone(), job.submission.id.clone());
        if job.measured {
            self.report
                .accounts
                .entry(account.clone())
                .or_default()
                .refused += 1;
        }
        let first_begun = self.checks.first_begun(&account, &id);
        let job = &self.callers.jobs[request.job];
        if first_begun.is_some_and(|at| job.refusal_is_false(request.sending, at)) {
            let text = format!("{id} at {:?}", self.now);
            self.checks.violated(Violation::NotRunButRan(text));
        }
        let come_back = self.scenario.manners.come_back;
        let job = &self.callers.jobs[request.job];
        let deadline_ms = job.submission.deadline().as_millis();
        let in_time = self.now.as_millis() + retry_after_ms < deadline_ms;
        let (_, clash) = job.sendings[request.sending];
        if waits && !clash && in_time && self.rng.random_bool(come_back) {
            self.send_again(request.job, retry_after_ms);
        }
    }

    fn on_final(&mut self, request: RequestId, clash: bool, answer: Answer) {
        let job = &mut self.callers.jobs[request.job];
        let own = if clash {
            job.clash.as_ref().unwrap_or(&job.submission)
        } else {
            &job.submission
        };
        if let Answer::Complete { results } = &answer {
            let whole = results.len() == own.tasks.len();
            let mut pairs = results.iter().zip(&own.tasks).enumerate();
            let in_order = pairs.all(|(i, (r, t))| r.index as usize == i && r.output == t.input);
            if !whole || !in_order {
                let text = format!("{}: {} results", own.id, results.len());
                self.checks.violated(Violation::NotItsOwnAnswer(text));
            }
        }
        if clash {
            return;
        }
        match &job.answer {
            None => {
                job.answer = Some(answer.clone());
                self.measure(request.job, &answer);
            }
            Some(first) if *first != answer => self.report.differing += 1,
            Some(_) => {}
        }
    }

    fn measure(&mut self, index: usize, answer: &Answer) {
        if let Answer::Failed { cause, ran } = answer {
            let text = format!("{cause:?}/{ran:?}");
            *self.report.causes.entry(text).or_default() += 1;
        }
        let job = &self.callers.jobs[index];
        if !job.measured {
            return;
        }
        let delays = self.scenario.delays;
        let trips_us = 2 * (delays.caller + delays.near);
        let response_us = self.now.micros_since(job.first_sent);
        let ideal_us = job.slowest_ms * 1_000 + trips_us;
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

    /// Checks what must be so once everything has come to rest.
    pub(crate) fn finish(&mut self) {
        self.check_denied();
        self.check_in_force();
        for index in 0..self.callers.jobs.len() {
            let job = &self.callers.jobs[index];
            let waits = job.sendings.iter().any(|(s, _)| *s == Sending::Open);
            if waits && job.answer.is_none() {
                let text = format!("{}", job.submission.id);
                self.checks.violated(Violation::NoAnswer(text));
            }
        }
    }
}
