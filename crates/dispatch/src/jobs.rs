//! The owner's side: jobs of the callers that are connected here.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::event::{Submit, Token};
use crate::message::{End, Rank, RunEnd, RunKey, TaskOrder, Urge, Want};
use crate::note::{Cause, Note};
use crate::queues::Queue;
use crate::settings::Safeguards;
use crate::spec::{JobSpec, Room};
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
const RUN_LEAP: u32 = 16;

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
    run: u32,
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
    tokens: Vec<Token>,
    taken: Millis,
    aim_ms: Millis,
    deadline: Millis,
    tasks: Vec<Task>,
    /// Whether a task of it was started, or is lost.
    begun: bool,
    starts: u32,
    /// Where it stands among those with tasks that wait.
    ready: Option<Ready>,
}

impl Job {
    fn urge(&self, now: Millis, step: usize) -> Urge {
        let estimate = self.spec.steps[step].estimate_ms as i64;
        let since = now.saturating_sub(self.taken) as i64;
        let slack = self.aim_ms as i64 - estimate - since;
        let late_slack = self.worth_ms() as i64 - estimate - since;
        let (rank, slack_ms) = match (self.begun, slack >= 0, late_slack >= 0) {
            (_, _, false) => (Rank::Worthless, late_slack),
            (true, _, _) => (Rank::Begun, slack),
            (false, true, _) => (Rank::InAim, slack),
            (false, false, _) => (Rank::Late, late_slack),
        };
        Urge { rank, slack_ms }
    }

    /// Returns for how long an answer is worth something.
    fn worth_ms(&self) -> Millis {
        self.aim_ms * LATE_FACTOR
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
    rank: Rank,
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
    pub urge: Urge,
    /// What it takes.
    pub room: Room,
    /// Whether peers may be asked that are only believed to have room.
    pub may_ask: bool,
}

/// The jobs of the callers that are connected here.
#[derive(Default)]
pub struct Jobs {
    safeguards: Safeguards,
    jobs: BTreeMap<Name, Job>,
    by_token: HashMap<Token, Name>,
    /// Jobs with tasks that wait, the most urgent first. Within a rank the
    /// order doesn't change with the time; ranks are looked at again with
    /// each tick.
    ready: BTreeSet<Ready>,
    ended: BTreeMap<Name, (Answer, Millis)>,
    /// The first runs of jobs that may come again, above all earlier ones:
    /// what is still told of those can't be taken for news of these.
    next_runs: BTreeMap<Name, (u32, Millis)>,
    /// Runs that are to be ended, with the peer that has them.
    pub stops: Vec<(Option<Name>, RunKey)>,
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
        token: Token,
        id: Name,
        submit: Submit,
        queue: &Queue,
        version: u64,
    ) {
        if let Some((answer, _)) = self.ended.get(&id) {
            let answer = answer.clone();
            self.out.push(Action::Answer { token, answer });
            return;
        }
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tokens.push(token);
            self.by_token.insert(token, id);
            return;
        }
        if self.jobs.len() >= MAX_JOBS {
            let answer = Answer::Refused {
                retry_after_ms: RETRY_AFTER_MS.1,
            };
            self.out.push(Action::Answer { token, answer });
            return;
        }
        let wait = submit.deadline_ms.unwrap_or(DEFAULT_DEADLINE_MS);
        let aim_ms = queue.aim(submit.spec.chain_ms());
        let run = self.next_runs.get(&id).map_or(1, |(run, _)| *run);
        let mut tasks = Vec::new();
        for (step, spec) in submit.spec.steps.iter().enumerate() {
            for _ in 0..spec.count {
                tasks.push(Task {
                    step,
                    state: TaskState::Blocked,
                    run,
                    failures: 0,
                    avoid: Vec::new(),
                    ask_after: 0,
                });
            }
        }
        self.out.push(Action::Note(Note::JobTaken {
            job: id.clone(),
            queue: queue.name.clone(),
            tasks: tasks.len(),
            aim_ms,
            deadline_ms: wait,
            version,
        }));
        let mut job = Job {
            queue: queue.clone(),
            spec: submit.spec,
            tokens: vec![token],
            taken: now,
            aim_ms,
            deadline: now + wait.saturating_sub(ANSWER_MS),
            tasks,
            begun: false,
            starts: 0,
            ready: None,
        };
        job.unblock();
        self.by_token.insert(token, id.clone());
        self.jobs.insert(id.clone(), job);
        self.rank(now, &id);
    }

    /// The caller of a request is gone; its job ends unless others wait.
    pub fn caller_gone(&mut self, now: Millis, token: Token) {
        let Some(id) = self.by_token.remove(&token) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.tokens.retain(|other| *other != token);
            if job.tokens.is_empty() {
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

    /// Tells whether no task waits.
    #[must_use]
    pub fn none_waits(&self) -> bool {
        self.ready.is_empty()
    }

    /// Returns tasks that wait, the most urgent first, `most` at most.
    #[must_use]
    pub fn waiting(&self, now: Millis, most: usize) -> Vec<WaitingTask> {
        let mut waiting = Vec::new();
        for ready in &self.ready {
            let job = &self.jobs[&ready.job];
            let urge = Urge {
                rank: ready.rank,
                slack_ms: ready.latest - now as i64,
            };
            for (index, task) in job.tasks.iter().enumerate() {
                if task.state == TaskState::Waiting {
                    waiting.push(WaitingTask {
                        job: ready.job.clone(),
                        index,
                        urge,
                        room: job.spec.steps[task.step].room,
                        may_ask: task.ask_after <= now,
                    });
                }
            }
            if waiting.len() >= most {
                waiting.truncate(most);
                break;
            }
        }
        waiting
    }

    /// Finds a job's place among those with tasks that wait.
    fn rank(&mut self, now: Millis, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let waiting = job.tasks.iter();
        let waiting = waiting.filter(|task| task.state == TaskState::Waiting);
        let urges = waiting.map(|task| job.urge(now, task.step));
        let least = urges.min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        let ready = least.filter(|urge| urge.rank != Rank::Worthless);
        let ready = ready.map(|urge| Ready {
            rank: urge.rank,
            latest: urge.slack_ms + now as i64,
            job: id.clone(),
        });
        if job.ready == ready {
            return;
        }
        if let Some(old) = std::mem::replace(&mut job.ready, ready.clone()) {
            self.ready.remove(&old);
        }
        self.ready.extend(ready);
    }

    /// Returns the order for a task that waits.
    ///
    /// # Panics
    ///
    /// Panics if there is no such task.
    #[must_use]
    pub fn order(&self, id: &Name, index: usize) -> TaskOrder {
        let job = &self.jobs[id];
        let task = &job.tasks[index];
        let step = &job.spec.steps[task.step];
        let first = job.tasks.iter().position(|other| other.step == task.step);
        let within = index - first.expect("the task itself is of its step");
        let step_name = format!("{id}.0.{}", task.step);
        TaskOrder {
            key: RunKey {
                task: format!("{step_name}.{within}").into(),
                run: task.run,
            },
            specification: job.spec.specification.clone(),
            pool: job.queue.pool.clone(),
            room: step.room,
            estimate_ms: step.estimate_ms,
            requirement: step.requirement.clone(),
            rack: step.rack.clone(),
            spread: step.spread.map(|most| (Name::from(step_name), most)),
            avoid: task.avoid.clone(),
        }
    }

    /// Returns the pool of a job's targets.
    ///
    /// # Panics
    ///
    /// Panics if there is no such job.
    #[must_use]
    pub fn pool(&self, id: &Name) -> &Name {
        &self.jobs[id].queue.pool
    }

    /// Returns a job's first task of each step, as orders.
    #[must_use]
    pub fn samples(&self, id: &Name) -> Vec<TaskOrder> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let mut steps = Vec::new();
        for (index, task) in job.tasks.iter().enumerate() {
            if task.step == steps.len() {
                steps.push(self.order(id, index));
            }
        }
        steps
    }

    /// Takes note that a task is started on a target of this host.
    pub fn started(&mut self, now: Millis, id: &Name, index: usize) {
        self.set(now, id, index, TaskState::Runs(None));
    }

    /// Takes note that a peer is asked to start a task.
    pub fn asked(&mut self, now: Millis, id: &Name, index: usize, peer: &Name) {
        self.set(now, id, index, TaskState::Asked(peer.clone()));
    }

    fn set(&mut self, now: Millis, id: &Name, index: usize, state: TaskState) {
        if let Some(job) = self.jobs.get_mut(id) {
            if matches!(state, TaskState::Runs(_)) {
                job.begun = true;
                job.starts += 1;
            }
            job.tasks[index].state = state;
            self.rank(now, id);
        }
    }

    /// Finds the task of a run, if the run is its last.
    fn find(&mut self, key: &RunKey) -> Option<(Name, usize)> {
        let (id, rest) = key.task.split_once('.')?;
        let (id, job) = self.jobs.get_key_value(id)?;
        let mut numbers = rest.split('.').skip(1);
        let step: usize = numbers.next()?.parse().ok()?;
        let within: usize = numbers.next()?.parse().ok()?;
        let first = job.tasks.iter().position(|task| task.step == step)?;
        let index = first + within;
        let current = job.tasks.get(index)?.run == key.run;
        current.then(|| (id.clone(), index))
    }

    /// Takes a peer's word on a task that it was asked to start.
    pub fn placed(&mut self, now: Millis, key: &RunKey, peer: &Name, taken: bool) {
        let Some((id, index)) = self.find(key) else {
            if taken {
                // The job ended meanwhile.
                self.stops.push((Some(peer.clone()), key.clone()));
            }
            return;
        };
        let state = &self.jobs[&id].tasks[index].state;
        if *state == TaskState::Asked(peer.clone()) {
            let state = if taken {
                TaskState::Runs(Some(peer.clone()))
            } else {
                let job = self.jobs.get_mut(&id).expect("the job was found");
                job.tasks[index].ask_after = now + ASK_PAUSE_MS;
                TaskState::Waiting
            };
            self.set(now, &id, index, state);
        }
    }

    /// Takes the end of a run in.
    pub fn run_ended(&mut self, now: Millis, end: &RunEnd) {
        let Some((id, index)) = self.find(&end.key) else {
            return;
        };
        let job = self.jobs.get_mut(&id).expect("the job was found");
        let task = &mut job.tasks[index];
        if !matches!(task.state, TaskState::Runs(_) | TaskState::Asked(_)) {
            // What is over by reckoning may still be told to be done.
            let done = end.end == End::Done && matches!(task.state, TaskState::Lost(_));
            if !done {
                return;
            }
        }
        job.begun = true;
        match end.end {
            End::Done => {
                task.state = TaskState::Done;
                if job.done() == job.tasks.len() {
                    self.end(now, &id, Cause::Done);
                } else {
                    job.unblock();
                }
            }
            End::Failed => {
                task.failures += 1;
                task.run += 1;
                task.state = TaskState::Waiting;
                avoid(task, &end.target);
                if task.failures >= job.queue.max_attempts.max(1) {
                    self.end(now, &id, Cause::Attempts);
                }
            }
            End::Lost => {
                task.run += 1;
                task.state = TaskState::Waiting;
                avoid(task, &end.target);
            }
            End::Outnumbered => {
                task.run += RUN_LEAP;
                task.state = TaskState::Waiting;
            }
        }
        self.rank(now, &id);
    }

    /// Runs at a peer may go on until `over` and then no longer.
    ///
    /// Returns how many there are.
    pub fn peer_lost(&mut self, peer: &Name, over: Millis) -> usize {
        let mut lost = 0;
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                let there = match &task.state {
                    TaskState::Asked(at) | TaskState::Runs(Some(at)) => at == peer,
                    _ => false,
                };
                if there {
                    job.begun = true;
                    task.state = TaskState::Lost(over);
                    lost += 1;
                }
            }
        }
        lost
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.ended.retain(|_, (_, until)| *until > now);
        self.next_runs.retain(|_, (_, until)| *until > now);
        let mut ends = Vec::new();
        let ids: Vec<Name> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.rank(now, &id);
        }
        for (id, job) in &mut self.jobs {
            for task in &mut job.tasks {
                if matches!(task.state, TaskState::Lost(over) if over <= now) {
                    task.run += 1;
                    task.state = TaskState::Waiting;
                }
            }
            if let Some(cause) = due_end(now, job) {
                ends.push((id.clone(), cause));
            }
        }
        for (id, cause) in ends {
            self.end(now, &id, cause);
        }
    }

    /// Ends all jobs, since the host does.
    pub fn end_all(&mut self, now: Millis) {
        let ids: Vec<Name> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.end(now, &id, Cause::Stopping);
        }
    }

    /// Ends a job of which a task fits no target.
    pub fn too_large(&mut self, now: Millis, id: &Name) {
        self.end(now, id, Cause::TooLarge);
    }

    fn end(&mut self, now: Millis, id: &Name, cause: Cause) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        if let Some(ready) = &job.ready {
            self.ready.remove(ready);
        }
        self.stop_runs(id, &job);
        let took_ms = now.saturating_sub(job.taken);
        let answer = match cause {
            Cause::Done => Answer::Completed,
            Cause::Cancelled => Answer::Cancelled,
            Cause::Attempts => Answer::Failed,
            _ if !job.may_have_begun() || !self.safeguards.begun_is_not_refused => {
                Answer::Refused {
                    retry_after_ms: job.aim_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1),
                }
            }
            _ => Answer::Unfinished,
        };
        for token in &job.tokens {
            self.by_token.remove(token);
            self.out.push(Action::Answer {
                token: *token,
                answer: answer.clone(),
            });
        }
        if matches!(answer, Answer::Completed | Answer::Cancelled) {
            self.remember(id, answer, now + REMEMBER_MS);
        } else {
            let last = job.tasks.iter().map(|task| task.run).max();
            self.remember_run(id, last.unwrap_or(0) + 1, now + REMEMBER_MS);
        }
        self.out.push(Action::Note(Note::JobEnded {
            job: id.clone(),
            queue: job.queue.name.clone(),
            cause,
            done: job.done(),
            starts: job.starts,
            took_ms,
            aim_ms: job.aim_ms,
        }));
    }

    fn stop_runs(&mut self, id: &Name, job: &Job) {
        let mut within = vec![0; job.spec.steps.len()];
        for task in &job.tasks {
            let place = within[task.step];
            within[task.step] += 1;
            let peer = match &task.state {
                TaskState::Runs(peer) => peer.clone(),
                TaskState::Asked(peer) => Some(peer.clone()),
                _ => continue,
            };
            let key = RunKey {
                task: format!("{id}.0.{}.{place}", task.step).into(),
                run: task.run,
            };
            self.stops.push((peer, key));
        }
    }

    fn remember_run(&mut self, id: &Name, next: u32, until: Millis) {
        if self.next_runs.len() >= MAX_REMEMBERED {
            self.next_runs.pop_first();
        }
        self.next_runs.insert(id.clone(), (next, until));
    }

    fn remember(&mut self, id: &Name, answer: Answer, until: Millis) {
        if self.ended.len() >= MAX_REMEMBERED {
            self.ended.pop_first();
        }
        self.ended.insert(id.clone(), (answer, until));
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
        let worthless = open.any(|task| job.urge(now, task.step).rank == Rank::Worthless);
        return (waited_enough || worthless).then_some(Cause::NoRoom);
    }
    if now >= job.deadline {
        return Some(Cause::Deadline);
    }
    // What runs is let run: breaking it off would gain nothing.
    let runs = job
        .tasks
        .iter()
        .any(|task| matches!(task.state, TaskState::Runs(_) | TaskState::Asked(_)));
    let hopeless = open.any(|task| {
        let estimate = job.spec.steps[task.step].estimate_ms as f64 * ESTIMATE_FLOOR;
        let end = now + estimate as Millis;
        end >= job.deadline || end >= job.taken + job.worth_ms()
    });
    (hopeless && !runs).then_some(Cause::Deadline)
}

/// Sums up tasks of one pool that found no room.
#[must_use]
pub fn want(left: &[WaitingTask], pool: &Name) -> Option<Want> {
    let first = left.first()?;
    let mut least = first.room;
    for task in left {
        least = Room {
            cpu: least.cpu.min(task.room.cpu),
            memory_mb: least.memory_mb.min(task.room.memory_mb),
            gpus: least.gpus.min(task.room.gpus),
        };
    }
    Some(Want {
        urge: first.urge,
        pool: pool.clone(),
        least,
        count: left.len() as u32,
    })
}
