//! Jobs that come, and when their callers send them.

use gannetridge_entry_standins::runner::nominal_run_ms;
use gannetridge_entry_wire::{Submission, SubmissionId, TaskSpec};
use rand::Rng;

use crate::callers::CallerJob;
use crate::oracle::TraceJob;
use crate::scenario::AccountLoad;
use crate::world::{Ev, World, START_MS};

/// Least time between two sendings of a caller, in ms. Chosen, not measured.
pub(crate) const LEAST_RESEND_MS: u64 = 1_000;

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

    /// Returns the measured jobs, for a dispatcher that knows them all.
    #[must_use]
    pub fn trace(&self) -> Vec<TraceJob> {
        let measured = self.callers.jobs.iter().filter(|job| job.measured);
        let times = |job: &CallerJob| {
            let tasks = job.submission.tasks.iter();
            tasks.map(|task| nominal_run_ms(&task.input)).collect()
        };
        measured
            .map(|job| TraceJob {
                at_us: job.first_sent.0,
                tasks_ms: times(job),
            })
            .collect()
    }
}
