//! State of the jobs that this host owns: those of the callers connected to it.
//!
//! [`Jobs`] holds each job until it is answered, and for a limited time what a
//! resubmission needs. It lists the tasks that wait for targets and records where
//! attempts run and how they end. The rules that it applies are in
//! [`crate::rules`]: admission, priority, retry, giving up, crashes. The dispatcher
//! has to carry out what [`Jobs::take_stops`] and [`Jobs::take_actions`] return.

mod attempts;
mod crashes;
mod ending;
mod job;
mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::configuration::Queue;
use crate::decision::{Decision, Rejection};
use crate::event::{RequestId, Submit};
use crate::message::AttemptId;
use crate::rules::admission::MAX_JOBS;
use crate::rules::arrival::ArrivingJob;
use crate::rules::giving_up::refused_when_full;
use crate::settings::Safeguards;
use crate::spec::{JobSpec, MAX_ESTIMATE_MS};
use crate::Millis;

use crashes::CrashedTasks;
pub use ending::TickContext;
pub use job::AttemptLocation;
use job::{Job, ReadyKey, Task};
pub use waiting::{demand, WaitingTask};

/// Deadline of a job whose caller sets none, in ms.
const DEFAULT_DEADLINE_MS: Millis = 5_000;
/// A job's own deadline is this long before its caller's, so that the answer arrives in time;
/// in ms.
const ANSWER_MARGIN_MS: Millis = 20;
/// Maximum number of entries in each map of [`Remembered`] values; bounds memory.
const MAX_REMEMBERED: usize = 4_096;

/// A value that is kept until a time.
#[derive(Clone, Debug)]
struct Remembered<T> {
    value: T,
    until: Millis,
}

/// A submitted job that passed the checks on admission.
#[derive(Debug)]
pub struct CheckedSubmission<'a> {
    /// The request to which the answer is sent.
    pub request_id: RequestId,
    /// The job's id, which its caller chose.
    pub id: Name,
    /// The job and its deadline.
    pub submit: Submit,
    /// The queue to which the job was addressed.
    pub queue: &'a Queue,
    /// Version of the configuration against which the job was checked.
    pub version: u64,
}

/// An attempt that has to be stopped because its result is no longer needed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptToStop {
    /// Where it runs or may run.
    pub location: AttemptLocation,
    /// The task and the attempt's number.
    pub id: AttemptId,
}

/// The memory of the jobs in progress, in bytes, about.
#[derive(Debug)]
struct JobMemory {
    used: usize,
    limit: usize,
}

impl Default for JobMemory {
    fn default() -> Self {
        Self {
            used: 0,
            limit: usize::MAX,
        }
    }
}

impl JobMemory {
    fn has_room_for(&self, bytes: usize) -> bool {
        bytes <= self.limit.saturating_sub(self.used)
    }
}

/// The jobs that this host owns.
#[derive(Default)]
pub struct Jobs {
    safeguards: Safeguards,
    jobs: BTreeMap<Name, Job>,
    by_request: HashMap<RequestId, Name>,
    /// Jobs with waiting tasks, in priority order. Time changes a job's class but not
    /// the order within a class; each tick updates the classes.
    ready: BTreeSet<ReadyKey>,
    /// Final answers of ended jobs, for callers that submit them again.
    answers: BTreeMap<Name, Remembered<Answer>>,
    /// The number of the first attempt for ended jobs that may be submitted again;
    /// higher than all numbers used before.
    next_attempts: BTreeMap<Name, Remembered<u32>>,
    crashed: CrashedTasks,
    memory: JobMemory,
    stops: Vec<AttemptToStop>,
    actions: Vec<Action>,
}

impl Jobs {
    /// Creates an empty set of jobs.
    #[must_use]
    pub fn new(safeguards: Safeguards) -> Self {
        Self {
            safeguards,
            ..Self::default()
        }
    }

    /// Limits the memory of the jobs in progress, in bytes; it is unlimited before.
    pub fn limit_memory(&mut self, bytes: usize) {
        self.memory.limit = bytes;
    }

    /// Returns the number of jobs in progress.
    #[must_use]
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns whether no job is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Returns the number of jobs of a queue that have not started.
    #[must_use]
    pub fn pending(&self, queue: &Name) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.queue.name == *queue && !job.started)
            .count()
    }

    /// Returns the queue of a job in progress.
    #[must_use]
    pub fn queue(&self, id: &Name) -> Option<&Queue> {
        self.jobs.get(id).map(|job| &job.queue)
    }

    /// Returns the inputs of the decision on arrival, [`crate::rules::arrival`].
    ///
    /// # Panics
    ///
    /// Panics if the job is not in progress.
    #[must_use]
    pub fn arriving<'a>(
        &self,
        now: Millis,
        id: &'a Name,
        has_free_target: bool,
    ) -> ArrivingJob<'a> {
        let job = &self.jobs[id];
        ArrivingJob {
            id,
            urgency: job.queue.urgency,
            core_ms: job.spec.core_ms(),
            chain_ms: job.spec.chain_ms(),
            objective_ms: job.objective_ms,
            deadline_ms: job.deadline.saturating_sub(now),
            has_free_target,
        }
    }

    /// Returns a job's state: [`Answer::Running`] or [`Answer::Queued`] while it is in
    /// progress, then its final answer as long as that is kept.
    #[must_use]
    pub fn state(&self, id: &Name) -> Option<Answer> {
        if let Some(job) = self.jobs.get(id) {
            return Some(if job.started {
                Answer::Running
            } else {
                Answer::Queued
            });
        }
        self.answers.get(id).map(|answer| answer.value.clone())
    }

    /// Removes and returns the attempts that have to be stopped.
    pub fn take_stops(&mut self) -> Vec<AttemptToStop> {
        std::mem::take(&mut self.stops)
    }

    /// Removes and returns the actions that have to be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Accepts a job. A request for a job in progress waits for that job's answer; one for
    /// a job whose final answer is kept gets that answer.
    pub fn submit(&mut self, now: Millis, checked: CheckedSubmission<'_>) {
        let CheckedSubmission { request_id, id, .. } = &checked;
        let (request_id, id) = (*request_id, id.clone());
        if let Some(answer) = self.answers.get(&id) {
            let answer = answer.value.clone();
            self.actions.push(Action::Answer { request_id, answer });
        } else if let Some(job) = self.jobs.get_mut(&id) {
            job.request_ids.push(request_id);
            self.by_request.insert(request_id, id);
        } else if self.is_full(&checked.submit.spec) {
            self.refuse_when_full(checked);
        } else {
            self.accept(now, checked);
        }
    }

    /// Returns whether the host has too many jobs, or no memory for a job like this.
    fn is_full(&self, spec: &JobSpec) -> bool {
        self.jobs.len() >= MAX_JOBS || !self.memory.has_room_for(spec.job_bytes())
    }

    fn refuse_when_full(&mut self, checked: CheckedSubmission<'_>) {
        self.actions.push(Action::Record(Decision::JobRejected {
            path: checked.submit.path,
            reason: Rejection::Full,
            version: checked.version,
        }));
        self.actions.push(Action::Answer {
            request_id: checked.request_id,
            answer: refused_when_full(),
        });
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
        let deadline_ms = deadline_ms.min(MAX_ESTIMATE_MS);
        let bytes = submit.spec.job_bytes();
        self.memory.used += bytes;
        let chain_ms = submit.spec.chain_ms();
        let objective_ms = queue.latency_objective(chain_ms);
        let next = self.next_attempts.get(&id).map_or(1, |next| next.value);
        let latest_crashed = self.crashed.latest_attempt(&id).unwrap_or(0);
        let attempt = next.max(latest_crashed + 1);
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
            bytes,
            queue: queue.clone(),
            spec: submit.spec,
            request_ids: vec![request_id],
            accepted: now,
            objective_ms,
            deadline: now + deadline_ms.saturating_sub(ANSWER_MARGIN_MS),
            tasks,
            started: false,
            starts: 0,
            ready_key: None,
            next_due: 0,
        };
        job.unblock_tasks();
        self.by_request.insert(request_id, id.clone());
        self.jobs.insert(id.clone(), job);
        self.update_ready(now, &id);
        self.apply_known_crashes(now, &id);
    }
}
