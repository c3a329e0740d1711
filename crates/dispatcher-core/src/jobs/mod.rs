//! The owner's side: jobs of the callers that are connected here.

mod attempts;
mod ending;
mod waiting;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::decision::{Cause, Decision};
use crate::event::{RequestId, Submit};
use crate::message::{
    AttemptEnd, AttemptId, AttemptOutcome, Demand, Priority, PriorityClass, TaskOrder,
};
use crate::queues::Queue;
use crate::settings::Safeguards;
use crate::spec::{JobSpec, Resources};
use crate::Millis;

/// The longest that a caller's job may take where the caller names no time.
const DEFAULT_DEADLINE_MS: Millis = 5_000;
/// A job of which nothing has begun in this part of its time is refused.
const WAIT_SHARE: f64 = 0.45;
/// An answer is worth something up to this many times the aim.
const LATE_FACTOR: Millis = 3;
/// Estimates may be this much too long for a task that could still end.
const ESTIMATE_FLOOR: f64 = 0.5;
/// Answers leave this long before callers stop waiting.
const ANSWER_MS: Millis = 20;
/// How long the answer to a job is remembered.
const REMEMBER_MS: Millis = 6_000;
/// The most answers that are remembered.
const MAX_REMEMBERED: usize = 4_096;
/// The most jobs that are under way at one host.
const MAX_JOBS: usize = 2_000;
/// Least and most time after which a refused caller may come back.
const RETRY_AFTER_MS: (Millis, Millis) = (500, 3_000);
/// After a peer had no room for a task after all, others aren't asked for it on
/// mere belief for this long.
const ASK_PAUSE_MS: Millis = 25;
/// A target that had seen a higher run is passed by this much.
const STALE_ATTEMPT_SKIP: u32 = 16;

/// Where a task stands.
#[derive(Clone, Debug, PartialEq, Eq)]
enum TaskState {
    /// Earlier steps aren't done.
    Blocked,
    /// It may be started.
    Waiting,
    /// A peer is asked to start it.
    Asked(Name),
    /// It runs on a target of this host, or of a peer.
    Runs(Option<Name>),
    /// Its last run may go on until then.
    Lost(Millis),
    /// It is done.
    Done,
}

#[derive(Debug)]
struct Task {
    step: usize,
    state: TaskState,
    attempt: u32,
    failures: u32,
    avoid: Vec<Name>,
    /// A peer that took it for free said no: others are asked on belief no
    /// sooner than this, offers are taken at any time.
    ask_after: Millis,
}

/// A job under way.
#[derive(Debug)]
struct Job {
    queue: Queue,
    spec: JobSpec,
    request_ids: Vec<RequestId>,
    taken: Millis,
    objective_ms: Millis,
    deadline: Millis,
    tasks: Vec<Task>,
    /// Whether a task of it was started, or is lost.
    begun: bool,
    starts: u32,
    /// Where it stands among those with tasks that wait.
    ready: Option<Ready>,
    /// Nothing is due before.
    next_look: Millis,
}

impl Job {
    fn priority(&self, now: Millis, step: usize) -> Priority {
        let estimate = self.spec.steps[step].estimate_ms as i64;
        let since = now.saturating_sub(self.taken) as i64;
        let slack = self.objective_ms as i64 - estimate - since;
        let late_slack = self.worth_ms() as i64 - estimate - since;
        let (rank, slack_ms) = match (self.begun, slack >= 0, late_slack >= 0) {
            (_, _, false) => (PriorityClass::Worthless, late_slack),
            (true, _, _) => (PriorityClass::Begun, slack),
            (false, true, _) => (PriorityClass::OnTime, slack),
            (false, false, _) => (PriorityClass::Late, late_slack),
        };
        Priority {
            rank,
            urgency: self.queue.urgency,
            slack_ms,
        }
    }

    /// Returns for how long an answer is worth something.
    fn worth_ms(&self) -> Millis {
        self.objective_ms * LATE_FACTOR
    }

    /// Tells whether a task may have begun: only where none can have, the job
    /// may be said not to run.
    fn may_have_begun(&self) -> bool {
        let mut tasks = self.tasks.iter();
        self.begun || tasks.any(|task| matches!(task.state, TaskState::Asked(_)))
    }

    fn done(&self) -> usize {
        let done = self.tasks.iter();
        done.filter(|task| task.state == TaskState::Done).count()
    }

    /// Returns when something is due next: with tasks that wait, at any moment.
    fn next_due(&self) -> Millis {
        let times = self.tasks.iter().map(|task| match &task.state {
            TaskState::Waiting => 0,
            TaskState::Lost(over) => *over,
            TaskState::Blocked | TaskState::Asked(_) | TaskState::Runs(_) | TaskState::Done => {
                self.deadline
            }
        });
        times.min().unwrap_or(0).min(self.deadline)
    }

    /// Lets tasks wait whose earlier steps are done.
    fn unblock(&mut self) {
        let tasks = self.tasks.iter();
        let open: Vec<usize> = tasks
            .filter(|task| task.state != TaskState::Done)
            .map(|task| task.step)
            .collect();
        for task in &mut self.tasks {
            if task.state == TaskState::Blocked {
                let after = &self.spec.steps[task.step].after;
                if !after.iter().any(|step| open.contains(step)) {
                    task.state = TaskState::Waiting;
                }
            }
        }
    }
}

/// A job's place in the order of those with tasks that wait.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Ready {
    rank: PriorityClass,
    urgency: u8,
    /// The latest start that keeps the rank.
    latest: i64,
    job: Name,
}

/// A task that waits, and how urgently.
#[derive(Clone, Debug)]
pub struct WaitingTask {
    /// Its job.
    pub job: Name,
    /// Its place in the job.
    pub index: usize,
    /// How urgent it is.
    pub priority: Priority,
    /// What it takes.
    pub resources: Resources,
    /// Whether peers may be asked that are only believed to have room.
    pub may_ask: bool,
}

/// The jobs of the callers that are connected here.
#[derive(Default)]
pub struct Jobs {
    safeguards: Safeguards,
    jobs: BTreeMap<Name, Job>,
    by_request: HashMap<RequestId, Name>,
    /// Jobs with tasks that wait, the most urgent first. Within a rank the
    /// order doesn't change with the time; ranks are looked at again with
    /// each tick.
    ready: BTreeSet<Ready>,
    ended: BTreeMap<Name, (Answer, Millis)>,
    /// The first runs of jobs that may come again, above all earlier ones:
    /// what is still told of those can't be taken for news of these.
    next_attempts: BTreeMap<Name, (u32, Millis)>,
    /// Runs that are to be ended, with the peer that has them.
    pub stops: Vec<(Option<Name>, AttemptId)>,
    /// What to do.
    pub out: Vec<Action>,
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

    /// Tells whether no job is under way.
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

    /// Tells a job's state, if it is known.
    #[must_use]
    pub fn state(&self, id: &Name) -> Option<Answer> {
        if let Some(job) = self.jobs.get(id) {
            return Some(if job.begun {
                Answer::Running
            } else {
                Answer::Queued
            });
        }
        self.ended.get(id).map(|(answer, _)| answer.clone())
    }

    /// Takes a job that was checked; one that is known already is joined.
    pub fn submit(
        &mut self,
        now: Millis,
        request_id: RequestId,
        id: Name,
        submit: Submit,
        queue: &Queue,
        version: u64,
    ) {
        if let Some((answer, _)) = self.ended.get(&id) {
            let answer = answer.clone();
            self.out.push(Action::Answer { request_id, answer });
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.request_ids.push(request_id);
            self.by_request.insert(request_id, id);
            return;
        }
        if self.jobs.len() >= MAX_JOBS {
            let answer = Answer::Refused {
                retry_after_ms: RETRY_AFTER_MS.1,
            };
            self.out.push(Action::Answer { request_id, answer });
            return;
        }
        let wait = submit.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let objective_ms = queue.latency_objective(submit.spec.chain_ms());
        let attempt = self
            .next_attempts
            .get(&id)
            .map_or(1, |(attempt, _)| *attempt);
        let mut tasks = Vec::new();
        for (step, spec) in submit.spec.steps.iter().enumerate() {
            for _ in 0..spec.count {
                tasks.push(Task {
                    step,
                    state: TaskState::Blocked,
                    attempt,
                    failures: 0,
                    avoid: Vec::new(),
                    ask_after: 0,
                });
            }
        }
        self.out.push(Action::Record(Decision::JobTaken {
            job: id.clone(),
            queue: queue.name.clone(),
            tasks: tasks.len(),
            objective_ms,
            deadline_ms: wait,
            version,
        }));
        let mut job = Job {
            queue: queue.clone(),
            spec: submit.spec,
            request_ids: vec![request_id],
            taken: now,
            objective_ms,
            deadline: now + wait.saturating_sub(ANSWER_MS),
            tasks,
            begun: false,
            starts: 0,
            ready: None,
            next_look: 0,
        };
        job.unblock();
        self.by_request.insert(request_id, id.clone());
        self.jobs.insert(id.clone(), job);
        self.rank(now, &id);
    }

    /// The caller of a request is gone; its job ends unless others wait.
    pub fn caller_gone(&mut self, now: Millis, request_id: RequestId) {
        let Some(id) = self.by_request.remove(&request_id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.request_ids.retain(|other| *other != request_id);
            if job.request_ids.is_empty() {
                self.end(now, &id, Cause::CallerGone);
            }
        }
    }

    /// The caller takes a job back; returns whether it was known.
    pub fn cancel(&mut self, now: Millis, id: &Name) -> bool {
        if self.jobs.contains_key(id) {
            self.end(now, id, Cause::Cancelled);
            return true;
        }
        self.ended.contains_key(id)
    }
}

fn avoid(task: &mut Task, target: &Name) {
    if !task.avoid.contains(target) {
        task.avoid.push(target.clone());
    }
}

/// Tells why a job has to end now, if it has.
fn due_end(now: Millis, job: &Job) -> Option<Cause> {
    let wait = (job.deadline - job.taken).min(job.worth_ms()) as f64;
    let waited_enough = now >= job.taken + (wait * WAIT_SHARE) as Millis;
    let mut open = job
        .tasks
        .iter()
        .filter(|task| task.state != TaskState::Done);
    if !job.may_have_begun() {
        let worthless =
            open.any(|task| job.priority(now, task.step).rank == PriorityClass::Worthless);
        return (waited_enough || worthless).then_some(Cause::NoRoom);
    }
    if now >= job.deadline {
        return Some(Cause::Deadline);
    }
    // What runs is let run: breaking it off would gain nothing.
    let attempts = job
        .tasks
        .iter()
        .any(|task| matches!(task.state, TaskState::Runs(_) | TaskState::Asked(_)));
    let hopeless = open.any(|task| {
        let estimate = job.spec.steps[task.step].estimate_ms as f64 * ESTIMATE_FLOOR;
        let end = now + estimate as Millis;
        end >= job.deadline || end >= job.taken + job.worth_ms()
    });
    (hopeless && !attempts).then_some(Cause::Deadline)
}

/// Sums up tasks of one pool that found no room.
#[must_use]
pub fn demand(left: &[WaitingTask], pool: &Name) -> Option<Demand> {
    let first = left.first()?;
    let mut least = first.resources;
    for task in left {
        least = Resources {
            cpu: least.cpu.min(task.resources.cpu),
            memory_mb: least.memory_mb.min(task.resources.memory_mb),
            gpus: least.gpus.min(task.resources.gpus),
        };
    }
    Some(Demand {
        priority: first.priority,
        pool: pool.clone(),
        least,
        count: left.len() as u32,
    })
}
