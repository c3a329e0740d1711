//! A job in progress: its tasks, the state of each, and the names of attempts.

use gannetridge_wire::Name;

use crate::configuration::Queue;
use crate::event::RequestId;
use crate::message::{AttemptId, Priority, PriorityClass};
use crate::rules::giving_up::OpenJob;
use crate::rules::priority::{priority, WaitingJob};
use crate::spec::JobSpec;
use crate::{Millis, Urgency};

/// The host whose target runs an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AttemptLocation {
    /// This host holds the target's lease.
    Local,
    /// The named peer holds the target's lease.
    Peer(Name),
}

/// The state of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum TaskState {
    /// A step on which it depends isn't done.
    Blocked,
    /// It waits for a target.
    Waiting,
    /// The named peer was asked to start it and hasn't confirmed the start.
    HandedOver(Name),
    /// An attempt runs.
    Running(AttemptLocation),
    /// The peer of its last attempt was lost; the attempt may run until this time.
    Lost(Millis),
    Done,
}

impl TaskState {
    /// Returns where an attempt runs or may run; `None` for a lost one, whose session with
    /// the peer was given up.
    pub(super) fn location(&self) -> Option<AttemptLocation> {
        match self {
            Self::Running(location) => Some(location.clone()),
            Self::HandedOver(peer) => Some(AttemptLocation::Peer(peer.clone())),
            Self::Blocked | Self::Waiting | Self::Lost(_) | Self::Done => None,
        }
    }

    /// Returns the peer at which an attempt runs or may run.
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

    /// Returns whether an attempt runs or a peer was asked to start one.
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
    /// The number of the current attempt, or of the next one if none runs.
    pub(super) attempt: u32,
    /// The number of failed attempts.
    pub(super) failures: u32,
    /// Targets that further attempts avoid.
    pub(super) avoided_targets: Vec<Name>,
    /// Before this time no peer is asked unless it reserved resources: the last one that was
    /// asked didn't start the task.
    pub(super) ask_peers_after: Millis,
}

impl Task {
    pub(super) fn new(step: usize, attempt: u32) -> Self {
        Self {
            step,
            state: TaskState::Blocked,
            attempt,
            failures: 0,
            avoided_targets: Vec::new(),
            ask_peers_after: 0,
        }
    }

    pub(super) fn avoid_target(&mut self, target: &Name) {
        if !self.avoided_targets.contains(target) {
            self.avoided_targets.push(target.clone());
        }
    }
}

/// A job in progress; times in ms of this host's clock.
#[derive(Debug)]
pub(super) struct Job {
    /// The memory that was counted for it.
    pub(super) bytes: usize,
    pub(super) queue: Queue,
    pub(super) spec: JobSpec,
    /// The requests that wait for its answer.
    pub(super) request_ids: Vec<RequestId>,
    pub(super) accepted: Millis,
    /// The latency objective, counted from the acceptance.
    pub(super) objective_ms: Millis,
    /// When the answer has to be sent.
    pub(super) deadline: Millis,
    pub(super) tasks: Vec<Task>,
    /// Whether a task was started, or was lost and may have started.
    pub(super) started: bool,
    /// The number of attempts started on targets of this host or by peers.
    pub(super) starts: u32,
    /// Its key among the jobs with waiting tasks.
    pub(super) ready_key: Option<ReadyKey>,
    /// Ticks before this time leave the job unchanged.
    pub(super) next_due: Millis,
}

impl Job {
    /// Returns the priority of the tasks of a step.
    pub(super) fn priority(&self, now: Millis, step: usize) -> Priority {
        let job = WaitingJob {
            age_ms: now.saturating_sub(self.accepted),
            objective_ms: self.objective_ms,
            started: self.started,
            urgency: self.queue.urgency,
        };
        priority(&job, self.spec.steps[step].estimate_ms)
    }

    /// Returns whether the job waits and will miss its objective, as of its last update.
    pub(super) fn is_late(&self) -> bool {
        let key = self.ready_key.as_ref();
        key.is_some_and(|key| key.class == PriorityClass::Late)
    }

    /// Returns the inputs of the decision to give the job up, assuming that no target is known
    /// to have free capacity for it.
    pub(super) fn open_job(&self, passed_over: bool, host_is_starting: bool) -> OpenJob {
        OpenJob {
            accepted: self.accepted,
            deadline: self.deadline,
            objective_ms: self.objective_ms,
            may_have_started: self.may_have_started(),
            is_running: self.has_attempts(),
            passed_over,
            has_free_target: false,
            host_is_starting,
        }
    }

    /// Returns whether an attempt runs or a peer was asked to start one.
    pub(super) fn has_attempts(&self) -> bool {
        self.tasks.iter().any(|task| task.state.is_running())
    }

    /// Returns the estimates of the tasks that aren't done, in ms.
    pub(super) fn open_estimates(&self) -> impl Iterator<Item = Millis> + '_ {
        let open = self.tasks.iter();
        let open = open.filter(|task| task.state != TaskState::Done);
        open.map(|task| self.spec.steps[task.step].estimate_ms)
    }

    /// Returns whether a task may have started. If none can have, the job may be
    /// refused as not run.
    pub(super) fn may_have_started(&self) -> bool {
        let handed_over = |task: &Task| matches!(task.state, TaskState::HandedOver(_));
        self.started || self.tasks.iter().any(handed_over)
    }

    /// Returns the number of tasks that are done.
    pub(super) fn done_count(&self) -> usize {
        let done = self.tasks.iter();
        done.filter(|task| task.state == TaskState::Done).count()
    }

    /// Returns the position of a step's first task in the job.
    pub(super) fn first_task_of(&self, step: usize) -> Option<usize> {
        // Tasks are in the order of their steps.
        let first = self.tasks.partition_point(|task| task.step < step);
        let has_task = self.tasks.get(first).is_some_and(|task| task.step == step);
        has_task.then_some(first)
    }

    /// Returns the earliest time at which a tick may change the job: with waiting tasks, at
    /// every tick.
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

    /// Moves blocked tasks to waiting once the steps on which they depend are done.
    pub(super) fn unblock_tasks(&mut self) {
        let ready = self.ready_steps();
        for task in &mut self.tasks {
            if task.state == TaskState::Blocked && ready[task.step] {
                task.state = TaskState::Waiting;
            }
        }
    }

    /// Returns, for each step, whether the steps on which it depends are done.
    fn ready_steps(&self) -> Vec<bool> {
        let mut is_open = vec![false; self.spec.steps.len()];
        for task in &self.tasks {
            is_open[task.step] |= task.state != TaskState::Done;
        }
        let steps = self.spec.steps.iter();
        steps
            .map(|step| !step.after.iter().any(|earlier| is_open[*earlier]))
            .collect()
    }
}

/// Sort key of a job with waiting tasks; the least goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ReadyKey {
    pub(super) class: PriorityClass,
    pub(super) urgency: Urgency,
    /// The latest start at which the job keeps its class, in ms of this host's clock;
    /// negative if that lies before the clock's zero.
    pub(super) latest_start: i64,
    pub(super) job: Name,
}

/// Returns a step's name: the job's id, the submission number (always 0 here) and the
/// step's position.
pub(super) fn step_name(job: &Name, step: usize) -> String {
    format!("{job}.0.{step}")
}

/// Returns the id of an attempt at the task of a step at position `index_in_step`.
pub(super) fn attempt_id(job: &Name, step: usize, index_in_step: usize, attempt: u32) -> AttemptId {
    AttemptId {
        task: format!("{}.{index_in_step}", step_name(job, step)).into(),
        attempt,
    }
}

/// The parts of a task's name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TaskName<'a> {
    pub(super) job: &'a str,
    pub(super) step: usize,
    /// The task's position within its step.
    pub(super) index_in_step: usize,
}

/// Parses a task's name as written by [`attempt_id`]; `None` if it has another form.
pub(super) fn parse_task_name(name: &str) -> Option<TaskName<'_>> {
    let (job, rest) = name.split_once('.')?;
    let mut numbers = rest.split('.').skip(1);
    Some(TaskName {
        job,
        step: numbers.next()?.parse().ok()?,
        index_in_step: numbers.next()?.parse().ok()?,
    })
}
