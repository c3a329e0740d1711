//! The owner's side: the jobs of the callers that are connected to this host.
//!
//! [`Jobs`] owns them until their answers, and for a while what was answered. It
//! tells which tasks wait for targets, and takes in where they run and how their
//! attempts end. What it decides by stands in [`crate::rules`]: admission,
//! priority, retry, giving up. It relies on the dispatcher to hand on what it
//! leaves in [`Jobs::take_stops`] and [`Jobs::take_actions`].

mod attempts;
mod crashes;
mod ending;
mod job;
mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::configuration::Queue;
use crate::decision::Decision;
use crate::event::{RequestId, Submit};
use crate::message::AttemptId;
use crate::rules::admission::MAX_JOBS;
use crate::rules::arrival::ArrivingJob;
use crate::rules::giving_up::refused_when_full;
use crate::settings::Safeguards;
use crate::Millis;

use crashes::CrashedTasks;
pub use ending::TickContext;
pub use job::AttemptLocation;
use job::{Job, Ready, Task};
pub use waiting::{demand, WaitingTask};

/// How long a caller waits that names no time, in ms.
const DEFAULT_DEADLINE_MS: Millis = 5_000;
/// Answers leave this long before callers stop waiting, in ms.
const ANSWER_MARGIN_MS: Millis = 20;
/// The most jobs whose answers, or next attempts, are remembered: bounds memory.
const MAX_REMEMBERED: usize = 4_096;

/// Something about an ended job that is remembered until a time.
#[derive(Clone, Debug)]
struct Remembered<T> {
    value: T,
    until: Millis,
}

/// A submitted job that was checked.
#[derive(Debug)]
pub struct CheckedSubmission<'a> {
    /// The caller's request.
    pub request_id: RequestId,
    /// The job's id.
    pub id: Name,
    /// What is submitted.
    pub submit: Submit,
    /// Its queue.
    pub queue: &'a Queue,
    /// The version of the configuration that it was checked against.
    pub version: u64,
}

/// An attempt that is to be stopped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptToStop {
    /// Where it runs.
    pub location: AttemptLocation,
    /// The attempt.
    pub id: AttemptId,
}

/// The jobs of the callers that are connected here.
#[derive(Default)]
pub struct Jobs {
    safeguards: Safeguards,
    jobs: BTreeMap<Name, Job>,
    by_request: HashMap<RequestId, Name>,
    /// Jobs with tasks that wait. Within a class the order doesn't change with
    /// time; classes are looked at again with each tick.
    ready: BTreeSet<Ready>,
    /// Answers of jobs that ended, for callers that send them again.
    answers: BTreeMap<Name, Remembered<Answer>>,
    /// The first attempt's number of jobs that may be sent again, above all
    /// earlier ones.
    next_attempts: BTreeMap<Name, Remembered<u32>>,
    crashed: CrashedTasks,
    stops: Vec<AttemptToStop>,
    actions: Vec<Action>,
}

impl Jobs {
    /// Creates an owner without jobs.
    #[must_use]
    pub fn new(safeguards: Safeguards) -> Self {
        Self {
            safeguards,
            ..Self::default()
        }
    }

    /// Returns how many jobs are under way.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is under way.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns how many jobs of a queue have not begun.
    #[must_use]
    pub fn pending(&self, queue: &Name) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.queue.name == *queue && !job.begun)
            .count()
    }

    /// Returns the queue of a job that is under way.
    #[must_use]
    pub fn queue(&self, id: &Name) -> Option<&Queue> {
        self.jobs.get(id).map(|job| &job.queue)
    }

    /// Returns what decides on arrival whether a job can be served.
    ///
    /// # Panics
    ///
    /// Panics if there is no such job.
    #[must_use]
    pub fn arriving<'a>(&self, now: Millis, id: &'a Name, has_room: bool) -> ArrivingJob<'a> {
        let job = &self.jobs[id];
        ArrivingJob {
            id,
            urgency: job.queue.urgency,
            core_ms: job.spec.core_ms(),
            chain_ms: job.spec.chain_ms(),
            objective_ms: job.objective_ms,
            deadline_ms: job.deadline.saturating_sub(now),
            has_free_target: has_room,
        }
    }

    /// Returns a job's state, if it is known.
    #[must_use]
    pub fn state(&self, id: &Name) -> Option<Answer> {
        if let Some(job) = self.jobs.get(id) {
            return Some(if job.begun {
                Answer::Running
            } else {
                Answer::Queued
            });
        }
        self.answers.get(id).map(|answer| answer.value.clone())
    }

    /// Takes the attempts that are to be stopped.
    pub fn take_stops(&mut self) -> Vec<AttemptToStop> {
        std::mem::take(&mut self.stops)
    }

    /// Takes the actions that are to be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Accepts a job that was checked; one that is known already is joined.
    pub fn submit(&mut self, now: Millis, checked: CheckedSubmission<'_>) {
        let CheckedSubmission { request_id, id, .. } = &checked;
        let (request_id, id) = (*request_id, id.clone());
        if let Some(answer) = self.answers.get(&id) {
            let answer = answer.value.clone();
            self.actions.push(Action::Answer { request_id, answer });
        } else if let Some(job) = self.jobs.get_mut(&id) {
            job.request_ids.push(request_id);
            self.by_request.insert(request_id, id);
        } else if self.jobs.len() >= MAX_JOBS {
            let answer = refused_when_full();
            self.actions.push(Action::Answer { request_id, answer });
        } else {
            self.accept(now, checked);
        }
    }

    fn accept(&mut self, now: Millis, checked: CheckedSubmission<'_>) {
        let CheckedSubmission {
            request_id,
            id,
            submit,
            queue,
            version,
        } = checked;
        let deadline_ms = submit.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let chain_ms = submit.spec.chain_ms();
        let objective_ms = queue.latency_objective(chain_ms);
        let next = self.next_attempts.get(&id).map_or(1, |next| next.value);
        let counted = self.crashed.latest_attempt(&id).unwrap_or(0);
        let attempt = next.max(counted + 1);
        let mut tasks = Vec::new();
        for (step, spec) in submit.spec.steps.iter().enumerate() {
            tasks.extend((0..spec.count).map(|_| Task::new(step, attempt)));
        }
        self.actions.push(Action::Record(Decision::JobAccepted {
            job: id.clone(),
            queue: queue.name.clone(),
            tasks: tasks.len(),
            objective_ms,
            chain_ms,
            extension: queue.extension_or_default(),
            deadline_ms,
            version,
        }));
        let mut job = Job {
            queue: queue.clone(),
            spec: submit.spec,
            request_ids: vec![request_id],
            accepted: now,
            objective_ms,
            deadline: now + deadline_ms.saturating_sub(ANSWER_MARGIN_MS),
            tasks,
            begun: false,
            starts: 0,
            ready: None,
            next_due: 0,
        };
        job.unblock();
        self.by_request.insert(request_id, id.clone());
        self.jobs.insert(id.clone(), job);
        self.update_ready(now, &id);
        self.accepted_again(now, &id);
    }
}
