//! What must always hold, as callers and targets see it.

use std::collections::{BTreeMap, BTreeSet};

use gannetridge_dispatcher_core::event::ListedOutcome;
use gannetridge_dispatcher_core::message::AttemptId;
use gannetridge_dispatcher_core::{Answer, Millis};
use gannetridge_wire::Name;

/// A promise that was broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Violation {
    /// When.
    pub at: Millis,
    /// Which.
    pub rule: &'static str,
    /// The job, task or target.
    pub what: String,
}

#[derive(Debug, Default)]
struct JobSeen {
    started: bool,
    not_refused: bool,
    refused: bool,
    failures: BTreeMap<Name, u32>,
    done: BTreeSet<Name>,
}

/// Sees what callers and targets see.
#[derive(Debug, Default)]
pub struct Checks {
    running: BTreeMap<Name, BTreeSet<(Name, u32)>>,
    jobs: BTreeMap<Name, JobSeen>,
    /// What was broken.
    pub violations: Vec<Violation>,
    /// Starts seen.
    pub starts: u64,
}

fn job_of(task: &Name) -> Name {
    task.split('.').next().unwrap_or_default().into()
}

impl Checks {
    fn broken(&mut self, at: Millis, rule: &'static str, what: impl Into<String>) {
        let what = what.into();
        self.violations.push(Violation { at, rule, what });
    }

    /// A run has begun.
    pub fn started(&mut self, at: Millis, target: &Name, key: &AttemptId, over_capacity: bool) {
        self.starts += 1;
        let running = self.running.entry(key.task.clone()).or_default();
        running.insert((target.clone(), key.attempt));
        let twice = running.len() > 1;
        let what = format!("{} run {} on {target}: {running:?}", key.task, key.attempt);
        if twice {
            self.broken(at, "twice", what);
        }
        if over_capacity {
            self.broken(at, "room", target.to_string());
        }
        self.jobs.entry(job_of(&key.task)).or_default().started = true;
    }

    /// A run has ended.
    pub fn ended(&mut self, target: &Name, key: &AttemptId, outcome: ListedOutcome) {
        if let Some(running) = self.running.get_mut(&key.task) {
            running.remove(&(target.clone(), key.attempt));
        }
        let job = self.jobs.entry(job_of(&key.task)).or_default();
        match outcome {
            ListedOutcome::Done => {
                job.done.insert(key.task.clone());
            }
            ListedOutcome::Failed => *job.failures.entry(key.task.clone()).or_default() += 1,
            ListedOutcome::Ended | ListedOutcome::Unknown => {}
        }
    }

    /// A start came to a target that has long been leaving.
    pub fn started_while_leaving(&mut self, at: Millis, target: &Name) {
        self.broken(at, "drain", target.to_string());
    }

    /// A caller has its answer, or none.
    pub fn answered(
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
                job.not_refused = true;
                if job.done.len() < tasks {
                    let what = format!("{id}: {} of {tasks} tasks done", job.done.len());
                    self.broken(at, "completed", what);
                }
            }
            Some(Answer::Failed) => {
                job.not_refused = true;
                if !job.failures.values().any(|failed| *failed >= attempts) {
                    self.broken(at, "failed", id.to_string());
                }
            }
            _ => job.not_refused = true,
        }
    }

    /// A caller waited for longer than it said.
    pub fn unanswered(&mut self, at: Millis, id: &Name) {
        self.broken(at, "answer", id.to_string());
    }

    /// A host doesn't serve though nothing is harmed any more.
    pub fn not_serving(&mut self, at: Millis, host: &Name) {
        self.broken(at, "recovery", host.to_string());
    }

    /// Looks at what only the end can show.
    pub fn finish(&mut self, at: Millis) {
        let refused = self.jobs.iter();
        let refused: Vec<String> = refused
            .filter(|(_, job)| job.refused && !job.not_refused && job.started)
            .map(|(id, _)| id.to_string())
            .collect();
        for id in refused {
            self.broken(at, "refused", id);
        }
    }
}
