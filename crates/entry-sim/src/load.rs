//! Generates jobs and schedules the attempts to submit them.

use gannetridge_entry_standins::runner::nominal_run_ms;
use gannetridge_entry_wire::{Submission, SubmissionId, TaskSpec};
use rand::Rng;

use crate::callers::CallerJob;
use crate::oracle::TraceJob;
use crate::scenario::AccountLoad;
use crate::world::{SimEvent, World, START_MS};

/// Shortest time between two attempts for one job, in ms.
pub(crate) const MIN_RESEND_MS: u64 = 1_000;

impl World {
    pub(crate) fn on_job_arrival(&mut self, account: usize) {
        let elapsed_ms = self.now.as_millis() - START_MS;
        if elapsed_ms >= self.scenario.load_ms {
            return;
        }
        let rate = self.scenario.accounts[account].jobs_per_s;
        let uniform: f64 = self.load_rng.random_range(f64::EPSILON..1.0);
        let wait_us = (-uniform.ln() / rate * 1e6) as u64;
        self.schedule(wait_us.max(1), SimEvent::JobArrival(account));
        let job = self.add_job(account);
        self.send_attempt(job, false);
        self.schedule_extra_attempts(job);
    }

    fn add_job(&mut self, account: usize) -> usize {
        let load = self.scenario.accounts[account].clone();
        let count = self.sample_task_count(&load);
        let mut slowest_ms = 0;
        let mut tasks = Vec::with_capacity(count as usize);
        for index in 0..count {
            let ms = self.sample_task_ms(&load);
            slowest_ms = slowest_ms.max(ms);
            tasks.push(TaskSpec {
                input: format!("run-ms={ms} {index}"),
                expected_ms: None,
            });
        }
        let hall = self.load_rng.random_range(0..self.halls.len());
        let id = SubmissionId {
            hall: self.halls[hall].clone(),
            created_ms: self.sample_caller_clock_ms(),
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
            conflicting: None,
            attempts: Vec::new(),
            attempt_times: Vec::new(),
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

    fn sample_task_count(&mut self, load: &AccountLoad) -> u32 {
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

    fn sample_task_ms(&mut self, load: &AccountLoad) -> u64 {
        self.load_rng
            .random_range(load.shortest_ms..=load.longest_ms)
    }

    /// Schedules duplicate and late attempts, and attempts with conflicting contents, each
    /// with its own probability.
    fn schedule_extra_attempts(&mut self, job: usize) {
        let caller_behaviour = self.scenario.caller_behaviour;
        if caller_behaviour.duplicate_probability > 0.0
            && self
                .load_rng
                .random_bool(caller_behaviour.duplicate_probability)
        {
            let us = self.load_rng.random_range(MIN_RESEND_MS * 1_000..2_000_000);
            self.schedule(
                us,
                SimEvent::CallerSend {
                    job,
                    conflicting: false,
                },
            );
        }
        if caller_behaviour.late_resend_probability > 0.0
            && self
                .load_rng
                .random_bool(caller_behaviour.late_resend_probability)
        {
            let us = self.load_rng.random_range(5_000_000..40_000_000);
            self.schedule(
                us,
                SimEvent::CallerSend {
                    job,
                    conflicting: false,
                },
            );
        }
        if caller_behaviour.conflict_probability > 0.0
            && self
                .load_rng
                .random_bool(caller_behaviour.conflict_probability)
        {
            let us = self.load_rng.random_range(MIN_RESEND_MS * 1_000..4_000_000);
            self.schedule(
                us,
                SimEvent::CallerSend {
                    job,
                    conflicting: true,
                },
            );
        }
    }

    /// Returns the measured jobs, as input to [`crate::oracle::run`].
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
