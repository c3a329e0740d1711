//! The rules that every run must keep, checked by what callers and targets observe.
//!
//! [`Checks`] records starts, ends, crashes and answers, and reports each broken rule as a
//! [`Violation`].

use std::collections::{BTreeMap, BTreeSet};

use gannetridge_dispatcher_core::event::ListedOutcome;
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::{Answer, Millis};
use gannetridge_wire::Name;

/// A rule that every run must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No task runs twice at the same time.
    NoConcurrentRuns,
    /// No target runs more than it has resources for.
    Capacity,
    /// No task starts on a target that has been leaving for longer than the bound.
    Leaving,
    /// No task starts in a hall that has been draining for longer than the bound.
    Draining,
    /// A hall serves again after its drain has ended.
    ServiceAfterDrain,
    /// A job is answered as completed only if all its tasks are done.
    CompletedJobsDone,
    /// A job is answered as failed only if one of its tasks failed as often as allowed, or
    /// crashed two targets.
    FailuresJustified,
    /// A task that crashed three targets isn't started three more times.
    CrashingTasksNotRestarted,
    /// A caller gets its answer before its deadline.
    AnsweredInTime,
    /// Every host serves again after all faults have ended.
    Recovery,
    /// No task has started of a job that was only ever refused as not run.
    RefusedJobsNotStarted,
    /// No end is acknowledged that its target has never listed.
    AcknowledgedEndsListed,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// When it was detected, in ms of the run's clock.
    pub at: Millis,
    /// The rule that was broken.
    pub rule: Rule,
    /// The job, task, target, hall or host concerned.
    pub details: String,
}

/// Counts crashes of targets that ran a task, and its starts after the third crash.
#[derive(Debug, Default)]
struct Crashes {
    targets: u32,
    starts_after: u32,
}

/// What was observed of one job.
#[derive(Debug, Default)]
struct JobRecord {
    started: bool,
    /// An answer other than a refusal came, or an answer was lost.
    maybe_not_refused: bool,
    refused: bool,
    failures: BTreeMap<Name, u32>,
    crashes: BTreeMap<Name, Crashes>,
    done: BTreeSet<Name>,
}

/// Records what callers and targets observe, and collects violations.
#[derive(Debug, Default)]
pub struct Checks {
    running: BTreeMap<Name, BTreeSet<(Name, u32)>>,
    jobs: BTreeMap<Name, JobRecord>,
    /// All violations so far, in the order of detection.
    pub violations: Vec<Violation>,
    /// The number of attempts that targets have started.
    pub starts: u64,
}

fn job_id_of(task: &Name) -> Name {
    task.split('.').next().unwrap_or_default().into()
}

impl Checks {
    fn record_violation(&mut self, at: Millis, rule: Rule, details: impl Into<String>) {
        let details = details.into();
        self.violations.push(Violation { at, rule, details });
    }

    /// Records that a target has started an attempt.
    pub fn record_start(
        &mut self,
        at: Millis,
        target: &Name,
        key: &AttemptId,
        over_capacity: bool,
    ) {
        self.starts += 1;
        let running = self.running.entry(key.task.clone()).or_default();
        running.insert((target.clone(), key.attempt));
        let is_concurrent = running.len() > 1;
        let details = format!(
            "{} attempt {} on {target}: {running:?}",
            key.task, key.attempt
        );
        if is_concurrent {
            self.record_violation(at, Rule::NoConcurrentRuns, details);
        }
        if over_capacity {
            self.record_violation(at, Rule::Capacity, target.to_string());
        }
        let job = self.jobs.entry(job_id_of(&key.task)).or_default();
        job.started = true;
        if let Some(crashes) = job.crashes.get_mut(&key.task) {
            crashes.starts_after += u32::from(crashes.targets >= 3);
            if crashes.starts_after >= 3 {
                let details = format!("{} attempt {} on {target}", key.task, key.attempt);
                self.record_violation(at, Rule::CrashingTasksNotRestarted, details);
            }
        }
    }

    /// Records that a target crashed while it ran an attempt.
    pub fn record_crash(&mut self, key: &AttemptId) {
        let job = self.jobs.entry(job_id_of(&key.task)).or_default();
        job.crashes.entry(key.task.clone()).or_default().targets += 1;
    }

    /// Records that an attempt has ended.
    pub fn record_end(&mut self, target: &Name, key: &AttemptId, outcome: ListedOutcome) {
        if let Some(running) = self.running.get_mut(&key.task) {
            running.remove(&(target.clone(), key.attempt));
        }
        let job = self.jobs.entry(job_id_of(&key.task)).or_default();
        match outcome {
            ListedOutcome::Done => {
                job.done.insert(key.task.clone());
            }
            ListedOutcome::Failed => *job.failures.entry(key.task.clone()).or_default() += 1,
            ListedOutcome::Interrupted | ListedOutcome::Unknown => {}
        }
    }

    /// Records a start on a target that has long been leaving.
    pub fn record_start_while_leaving(&mut self, at: Millis, target: &Name) {
        self.record_violation(at, Rule::Leaving, target.to_string());
    }

    /// Records a start in a hall that has long been draining.
    pub fn record_start_while_draining(&mut self, at: Millis, target: &Name) {
        self.record_violation(at, Rule::Draining, target.to_string());
    }

    /// Records that nothing starts in a hall whose drain has ended.
    pub fn record_no_service_after_drain(&mut self, at: Millis, hall: &Name) {
        self.record_violation(at, Rule::ServiceAfterDrain, hall.to_string());
    }

    /// Records a caller's answer, or `None` if the caller lost or left its connection first.
    /// `attempts` is how often a task may fail.
    pub fn record_answer(
        &mut self,
        at: Millis,
        id: &Name,
        tasks: usize,
        attempts: u32,
        answer: Option<&Answer>,
    ) {
        let job = self.jobs.entry(id.clone()).or_default();
        match answer {
            Some(Answer::Refused { .. } | Answer::NotReady) => job.refused = true,
            Some(Answer::Completed) => {
                job.maybe_not_refused = true;
                if job.done.len() < tasks {
                    let details = format!("{id}: {} of {tasks} tasks done", job.done.len());
                    self.record_violation(at, Rule::CompletedJobsDone, details);
                }
            }
            Some(Answer::Failed) => {
                job.maybe_not_refused = true;
                let failed = job.failures.values().any(|failed| *failed >= attempts);
                let crashing = job.crashes.values().any(|crashes| crashes.targets >= 2);
                if !failed && !crashing {
                    self.record_violation(at, Rule::FailuresJustified, id.to_string());
                }
            }
            _ => job.maybe_not_refused = true,
        }
    }

    /// Records that a caller had no answer at its deadline.
    pub fn record_missed_deadline(&mut self, at: Millis, id: &Name) {
        self.record_violation(at, Rule::AnsweredInTime, id.to_string());
    }

    /// Records that an end was acknowledged that its target never listed.
    pub fn record_unlisted_end(&mut self, at: Millis, target: &Name, key: &AttemptId) {
        let details = format!("{} attempt {} on {target}", key.task, key.attempt);
        self.record_violation(at, Rule::AcknowledgedEndsListed, details);
    }

    /// Records that a host doesn't serve after all faults have ended.
    pub fn record_no_recovery(&mut self, at: Millis, host: &Name) {
        self.record_violation(at, Rule::Recovery, host.to_string());
    }

    /// Checks the rules that can only be checked at the end of a run.
    pub fn finish(&mut self, at: Millis) {
        let refused = self.jobs.iter();
        let refused: Vec<String> = refused
            .filter(|(_, job)| job.refused && !job.maybe_not_refused && job.started)
            .map(|(id, _)| id.to_string())
            .collect();
        for id in refused {
            self.record_violation(at, Rule::RefusedJobsNotStarted, id);
        }
    }
}
