//! Jobs that come, and what their callers do.

use gannetridge_entry_core::Event;
use gannetridge_entry_wire::{Answer, Rejection, Submission, SubmissionId, TaskSpec};
use rand::Rng;

use crate::oracle::TraceJob;
use gannetridge_entry_standins::runner::usual_ms;

use crate::callers::{CallerJob, RequestId, Sending};
use crate::checks::Violation;
use crate::hosts::{Asker, Pulse};
use crate::scenario::AccountLoad;
use crate::world::{Ev, World, START_MS};

/// Least time between two sendings of a caller, in ms.
const LEAST_RESEND_MS: u64 = 1_000;
/// Most times that a caller sends a job.
const MOST_SENDINGS: usize = 12;

impl World {
    pub(crate) fn arrive(&mut self, account: usize) {
        let elapsed_ms = self.now.as_millis() - START_MS;
        if elapsed_ms >= self.scenario.load_ms {
            return;
        }
        let rate = self.scenario.accounts[account].jobs_per_s;
        let uniform: f64 = self.load_rng.random_range(f64::EPSILON..1.0);
        let wait_us = (-uniform.ln() / rate * 1e6) as u64;
        self.at(wait_us.max(1), Ev::Arrive(account));
        let job = self.make_job(account);
        self.caller_send(job, false);
        self.plan_odd_sendings(job);
    }

    fn make_job(&mut self, account: usize) -> usize {
        let load = self.scenario.accounts[account].clone();
        let count = self.pick_size(&load);
        let mut slowest_ms = 0;
        let mut tasks = Vec::with_capacity(count as usize);
        for index in 0..count {
            let ms = self.pick_time(&load);
            slowest_ms = slowest_ms.max(ms);
            tasks.push(TaskSpec {
                input: format!("run-ms={ms} {index}"),
                expected_ms: None,
            });
        }
        let hall = self.load_rng.random_range(0..self.halls.len());
        let id = SubmissionId {
            hall: self.halls[hall].clone(),
            created_ms: self.caller_clock(),
            key: format!("{:x}", self.callers.jobs.len()).into(),
        };
        let submission = Submission {
            id,
            account: load.name.into(),
            template: format!("t-{}", load.name).into(),
            parameters: Default::default(),
            tasks,
            deadline_ms: load.deadline_ms,
            attempt: 0,
        };
        let measured = self.now.as_millis() - START_MS >= self.scenario.warm_up_ms;
        let job = CallerJob {
            account,
            submission,
            clash: None,
            sendings: Vec::new(),
            sent_at: Vec::new(),
            first_sent: self.now,
            answer: None,
            slowest_ms,
            given_up: false,
            measured,
        };
        let account = job.submission.account.clone();
        if measured {
            self.report.accounts.entry(account).or_default().jobs += 1;
        }
        self.callers.add(job)
    }

    fn pick_size(&mut self, load: &AccountLoad) -> u32 {
        let weights: f64 = load.job_sizes.iter().map(|(_, w)| w).sum();
        let mut point = self.load_rng.random_range(0.0..weights);
        for (size, weight) in &load.job_sizes {
            if point < *weight {
                return *size;
            }
            point -= weight;
        }
        load.job_sizes.last().map_or(1, |(size, _)| *size)
    }

    fn pick_time(&mut self, load: &AccountLoad) -> u64 {
        self.load_rng
            .random_range(load.shortest_ms..=load.longest_ms)
    }

    /// Plans sendings beside and after the first, and clashes.
    fn plan_odd_sendings(&mut self, job: usize) {
        let manners = self.scenario.manners;
        if manners.double > 0.0 && self.load_rng.random_bool(manners.double) {
            let us = self
                .load_rng
                .random_range(LEAST_RESEND_MS * 1_000..2_000_000);
            self.at(us, Ev::CallerSend { job, clash: false });
        }
        if manners.late > 0.0 && self.load_rng.random_bool(manners.late) {
            let us = self.load_rng.random_range(5_000_000..40_000_000);
            self.at(us, Ev::CallerSend { job, clash: false });
        }
        if manners.clash > 0.0 && self.load_rng.random_bool(manners.clash) {
            let us = self
                .load_rng
                .random_range(LEAST_RESEND_MS * 1_000..4_000_000);
            self.at(us, Ev::CallerSend { job, clash: true });
        }
    }

    /// Chooses an entry host, as a balancer does that learns late of deaths.
    fn balance(&mut self) -> Option<usize> {
        let open = |w: &Self, i: usize| w.hosts[i].pulse != Pulse::Dead && !w.hosts[i].stopping;
        for _ in 0..8 {
            let index = self.rng.random_range(0..self.hosts.len());
            if open(self, index) {
                return Some(index);
            }
        }
        (0..self.hosts.len()).find(|i| open(self, *i))
    }

    pub(crate) fn caller_send(&mut self, index: usize, clash: bool) {
        let job = &mut self.callers.jobs[index];
        if job.given_up || job.sendings.len() >= MOST_SENDINGS {
            return;
        }
        let sending = job.sendings.len();
        let mut submission = if clash {
            let mut other = job.submission.clone();
            other.tasks[0].input = format!("{} other", other.tasks[0].input);
            job.clash.get_or_insert(other).clone()
        } else {
            job.submission.clone()
        };
        submission.attempt = sending as u32;
        job.sendings.push((Sending::Open, clash));
        job.sent_at.push(self.now);
        let request = RequestId {
            job: index,
            sending,
        };
        let Some(host) = self.balance() else {
            // Nothing was sent: the balancer has no host.
            self.callers.jobs[index].sendings.pop();
            self.callers.jobs[index].sent_at.pop();
            let us = LEAST_RESEND_MS * 1_000;
            return self.at(us, Ev::CallerSend { job: index, clash });
        };
        let (least, most) = self.scenario.manners.patience_ms;
        let patience_us = self.rng.random_range(least..=most) * 1_000;
        self.at(patience_us, Ev::CallerTimeout(request));
        self.send_to_host(host, request, submission);
    }

    fn send_to_host(&mut self, host: usize, request: RequestId, submission: Submission) {
        let token = self.hosts[host].token(Asker::Caller(request));
        let run = self.hosts[host].run_of(host);
        let event = Box::new(Event::Submit { token, submission });
        let delay = self.delay(self.scenario.delays.caller);
        self.at(delay, Ev::Deliver(run, event));
    }

    pub(crate) fn caller_timeout(&mut self, request: RequestId) {
        let job = &mut self.callers.jobs[request.job];
        let (sending, clash) = job.sendings[request.sending];
        if sending != Sending::Open {
            return;
        }
        job.sendings[request.sending].0 = Sending::Forgotten;
        if job.answer.is_none() && !clash {
            self.caller_send(request.job, false);
        }
    }

    fn send_again(&mut self, job: usize, wait_ms: u64) {
        let us = wait_ms.max(LEAST_RESEND_MS) * 1_000;
        self.at(us, Ev::CallerSend { job, clash: false });
    }

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

    /// Returns the measured jobs, for a dispatcher that knows them all.
    #[must_use]
    pub fn trace(&self) -> Vec<TraceJob> {
        let measured = self.callers.jobs.iter().filter(|job| job.measured);
        let times = |job: &CallerJob| {
            let tasks = job.submission.tasks.iter();
            tasks.map(|task| usual_ms(&task.input)).collect()
        };
        measured
            .map(|job| TraceJob {
                at_us: job.first_sent.0,
                tasks_ms: times(job),
            })
            .collect()
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
