//! One job under way: its tasks and how far each has got.

use gannetridge_wire::Name;

use crate::configuration::Queue;
use crate::event::RequestId;
use crate::message::{AttemptId, Priority, PriorityClass};
use crate::rules::giving_up::OpenJob;
use crate::rules::priority::{priority, WaitingJob};
use crate::spec::JobSpec;
use crate::Millis;

/// Where an attempt runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptLocation {
    /// On a target that this host holds.
    Local,
    /// On a target that a peer holds.
    Peer(Name),
}

/// How far a task has got.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// Earlier steps aren't done.
    Blocked,
    /// It waits for a target.
    Waiting,
    /// A peer is asked to start it and has not answered.
    HandedOver(Name),
    /// An attempt runs.
    Running(AttemptLocation),
    /// Its last attempt was lost and may run until then, not longer.
    Lost(Millis),
    /// It is done.
    Done,
}

impl TaskState {
    /// Returns where an attempt runs or may run, if one may.
    pub(super) fn place(&self) -> Option<AttemptLocation> {
        match self {
            Self::Running(place) => Some(place.clone()),
            Self::HandedOver(peer) => Some(AttemptLocation::Peer(peer.clone())),
            Self::Blocked | Self::Waiting | Self::Lost(_) | Self::Done => None,
        }
    }

    /// Returns the peer at which an attempt runs or may run, if one may.
    pub(super) fn peer(&self) -> Option<&Name> {
        match self {
            Self::HandedOver(peer) | Self::Running(AttemptLocation::Peer(peer)) => Some(peer),
            Self::Running(AttemptLocation::Local)
            | Self::Blocked
            | Self::Waiting
            | Self::Lost(_)
            | Self::Done => None,
        }
    }

    /// Returns whether an attempt runs, or a peer is asked to start one.
    pub(super) fn is_running(&self) -> bool {
        matches!(self, Self::Running(_) | Self::HandedOver(_))
    }
}

/// One task of a job.
#[derive(Debug)]
pub(super) struct Task {
    /// The position of its step in the job.
    pub(super) step: usize,
    pub(super) state: TaskState,
    /// The number of its attempt that runs, or of the next one.
    pub(super) attempt: u32,
    /// Attempts that failed.
    pub(super) failures: u32,
    /// Targets that further attempts avoid.
    pub(super) avoid: Vec<Name>,
    /// Peers aren't asked on mere belief before this time: one had no resources
    /// after all. Reservations are used at any time.
    pub(super) ask_after: Millis,
}

impl Task {
    pub(super) fn new(step: usize, attempt: u32) -> Self {
        Self {
            step,
            state: TaskState::Blocked,
            attempt,
            failures: 0,
            avoid: Vec::new(),
            ask_after: 0,
        }
    }

    pub(super) fn avoid(&mut self, target: &Name) {
        if !self.avoid.contains(target) {
            self.avoid.push(target.clone());
        }
    }
}

/// A job under way; times in ms of this host's clock.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) queue: Queue,
    pub(super) spec: JobSpec,
    /// The callers' requests that wait for its answer.
    pub(super) request_ids: Vec<RequestId>,
    pub(super) accepted: Millis,
    /// Its latency objective, from its acceptance.
    pub(super) objective_ms: Millis,
    /// When its answer has to leave.
    pub(super) deadline: Millis,
    pub(super) tasks: Vec<Task>,
    /// Whether a task of it was started, or is lost.
    pub(super) begun: bool,
    /// Starts asked for.
    pub(super) starts: u32,
    /// Its place among the jobs with tasks that wait.
    pub(super) ready: Option<Ready>,
    /// Nothing is due before this time.
    pub(super) next_due: Millis,
}

impl Job {
    /// Returns the priority of a task of a step.
    pub(super) fn priority(&self, now: Millis, step: usize) -> Priority {
        let job = WaitingJob {
            age_ms: now.saturating_sub(self.accepted),
            objective_ms: self.objective_ms,
            started: self.begun,
            urgency: self.queue.urgency,
        };
        priority(&job, self.spec.steps[step].estimate_ms)
    }

    /// Returns whether it will be late, as its place among those that wait shows.
    pub(super) fn is_late(&self) -> bool {
        let ready = self.ready.as_ref();
        ready.is_some_and(|ready| ready.class == PriorityClass::Late)
    }

    /// Returns what decides whether the job is given up, as far as no room is known for it;
    /// `starting` tells whether this host has just started.
    pub(super) fn open(&self, passed_over: bool, starting: bool) -> OpenJob {
        OpenJob {
            accepted: self.accepted,
            deadline: self.deadline,
            objective_ms: self.objective_ms,
            may_have_started: self.may_have_begun(),
            is_running: self.runs(),
            passed_over,
            has_free_target: false,
            host_is_starting: starting,
        }
    }

    /// Returns whether an attempt runs, or a peer was asked to start one.
    pub(super) fn runs(&self) -> bool {
        self.tasks.iter().any(|task| task.state.is_running())
    }

    /// Returns the estimates of the tasks that aren't done, in ms.
    pub(super) fn open_estimates(&self) -> impl Iterator<Item = Millis> + '_ {
        let open = self.tasks.iter();
        let open = open.filter(|task| task.state != TaskState::Done);
        open.map(|task| self.spec.steps[task.step].estimate_ms)
    }

    /// Returns whether a task may have begun: only where none can have, the job may
    /// be said not to have run.
    pub(super) fn may_have_begun(&self) -> bool {
        let handed_over = |task: &Task| matches!(task.state, TaskState::HandedOver(_));
        self.begun || self.tasks.iter().any(handed_over)
    }

    /// Returns how many tasks are done.
    pub(super) fn done(&self) -> usize {
        let done = self.tasks.iter();
        done.filter(|task| task.state == TaskState::Done).count()
    }

    /// Returns the position of the first task of a step.
    pub(super) fn first_of(&self, step: usize) -> Option<usize> {
        self.tasks.iter().position(|task| task.step == step)
    }

    /// Returns when something is due next: with tasks that wait, at any moment.
    pub(super) fn earliest_due(&self) -> Millis {
        let times = self.tasks.iter().map(|task| match &task.state {
            TaskState::Waiting => 0,
            TaskState::Lost(until) => *until,
            TaskState::Blocked
            | TaskState::HandedOver(_)
            | TaskState::Running(_)
            | TaskState::Done => self.deadline,
        });
        times.min().unwrap_or(0).min(self.deadline)
    }

    /// Lets tasks wait for targets whose earlier steps are done.
    pub(super) fn unblock(&mut self) {
        let open = self.tasks.iter();
        let open: Vec<usize> = open
            .filter(|task| task.state != TaskState::Done)
            .map(|task| task.step)
            .collect();
        for task in &mut self.tasks {
            let after = &self.spec.steps[task.step].after;
            let ready = !after.iter().any(|step| open.contains(step));
            if task.state == TaskState::Blocked && ready {
                task.state = TaskState::Waiting;
            }
        }
    }
}

/// A job's place among those with tasks that wait; the least goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Ready {
    pub(super) class: PriorityClass,
    pub(super) urgency: u8,
    /// The latest start that keeps the class, in ms of this host's clock; may lie
    /// before its start.
    pub(super) latest_start: i64,
    pub(super) job: Name,
}

/// Returns the name of a step: the job's id, the number of its sending (always 0
/// here) and the step's position.
pub(super) fn step_name(job: &Name, step: usize) -> String {
    format!("{job}.0.{step}")
}

/// Returns the id of an attempt at the `within`-th task of a step.
pub(super) fn attempt_id(job: &Name, step: usize, within: usize, attempt: u32) -> AttemptId {
    AttemptId {
        task: format!("{}.{within}", step_name(job, step)).into(),
        attempt,
    }
}

/// The parts of a task's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskName<'a> {
    pub(super) job: &'a str,
    pub(super) step: usize,
    /// The task's position within its step.
    pub(super) within: usize,
}

/// Reads a task's name as [`attempt_id`] makes it.
pub(super) fn parse_task(name: &str) -> Option<TaskName<'_>> {
    let (job, rest) = name.split_once('.')?;
    let mut numbers = rest.split('.').skip(1);
    Some(TaskName {
        job,
        step: numbers.next()?.parse().ok()?,
        within: numbers.next()?.parse().ok()?,
    })
}
