//! Waiting tasks: their priority order, and the [`TaskOrder`]s that start them.
//!
//! Jobs with waiting tasks are kept sorted by [`crate::rules::priority`], so that no event
//! has to sort all of them.

use std::cmp::Ordering;

use gannetridge_wire::Name;

use crate::message::{Demand, Priority, PriorityClass, SpreadLimit, TaskOrder};
use crate::rules::long_tasks::TaskSize;
use crate::rules::shares::Origin;
use crate::spec::Resources;
use crate::{Millis, Urgency};

use super::job::{attempt_id, step_name, ReadyKey, TaskState};
use super::Jobs;

/// A task that waits for a target.
#[derive(Clone, Debug)]
pub struct WaitingTask {
    /// The id of its job.
    pub job: Name,
    /// Its position in the job.
    pub index: usize,
    /// The name of its job's queue.
    pub queue: Name,
    /// Its priority when it was listed.
    pub priority: Priority,
    /// The resources that it takes on a target.
    pub resources: Resources,
    /// The caller's estimate of its running time, in ms.
    pub estimate_ms: Millis,
    /// Time since its job was accepted, in ms.
    pub age_ms: Millis,
    /// Whether peers may be asked that haven't reserved resources for it.
    pub may_ask_peers: bool,
    /// Whether it has to run alone on a target, since targets crashed under it.
    pub runs_alone: bool,
}

impl WaitingTask {
    /// Returns the task as [`crate::rules::long_tasks`] sees it.
    #[must_use]
    pub fn size(&self) -> TaskSize {
        TaskSize {
            urgency: self.priority.urgency,
            cpu: self.resources.cpu,
            estimate_ms: self.estimate_ms,
        }
    }

    /// Returns the queue and hall to whose share the task counts; `own_hall` is this host's.
    #[must_use]
    pub fn origin<'a>(&'a self, own_hall: &'a Name) -> Origin<'a> {
        Origin {
            urgency: self.priority.urgency,
            queue: &self.queue,
            hall: own_hall,
        }
    }
}

impl Jobs {
    /// Returns whether no task waits.
    #[must_use]
    pub fn has_no_waiting_tasks(&self) -> bool {
        self.ready.is_empty()
    }

    /// Returns the urgency of the most urgent of the jobs that haven't started and can still
    /// meet their objective.
    pub(super) fn on_time_urgency(&self) -> Option<Urgency> {
        let keys = self.ready.iter();
        let on_time = keys.filter(|key| key.class == PriorityClass::OnTime);
        on_time.map(|key| key.urgency).min()
    }

    /// Returns at most `limit` waiting tasks, by priority of their jobs.
    #[must_use]
    pub fn waiting(&self, now: Millis, limit: usize) -> Vec<WaitingTask> {
        let mut waiting = Vec::new();
        for key in &self.ready {
            let job = &self.jobs[&key.job];
            let priority = Priority {
                class: key.class,
                urgency: key.urgency,
                slack_ms: key.latest_start - now as i64,
            };
            for (index, task) in job.tasks.iter().enumerate() {
                if waiting.len() == limit {
                    return waiting;
                }
                if task.state == TaskState::Waiting {
                    waiting.push(WaitingTask {
                        job: key.job.clone(),
                        index,
                        queue: job.queue.name.clone(),
                        priority,
                        resources: job.spec.steps[task.step].resources,
                        estimate_ms: job.spec.steps[task.step].estimate_ms,
                        age_ms: now.saturating_sub(job.accepted),
                        may_ask_peers: task.ask_peers_after <= now,
                        runs_alone: self
                            .is_quarantined(now, || self.order(&key.job, index).id.task),
                    });
                }
            }
        }
        waiting
    }

    /// Updates a job's key among the jobs with waiting tasks. A job has none without waiting
    /// tasks, or once its answer is worthless.
    pub(super) fn update_ready(&mut self, now: Millis, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let waiting = job.tasks.iter();
        let waiting = waiting.filter(|task| task.state == TaskState::Waiting);
        let priorities = waiting.map(|task| job.priority(now, task.step));
        let first = priorities.min_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        let first = first.filter(|priority| priority.class != PriorityClass::Worthless);
        let key = first.map(|priority| ReadyKey {
            class: priority.class,
            urgency: priority.urgency,
            latest_start: priority.slack_ms + now as i64,
            job: id.clone(),
        });
        if job.ready_key == key {
            return;
        }
        if let Some(old) = std::mem::replace(&mut job.ready_key, key.clone()) {
            self.ready.remove(&old);
        }
        self.ready.extend(key);
    }

    /// Returns the order that starts a task.
    ///
    /// # Panics
    ///
    /// Panics if the job is not in progress or has no task at `index`.
    #[must_use]
    pub fn order(&self, id: &Name, index: usize) -> TaskOrder {
        let job = &self.jobs[id];
        let task = &job.tasks[index];
        let step = &job.spec.steps[task.step];
        let first = job.first_task_of(task.step);
        let index_in_step = index - first.expect("the step has at least this task");
        TaskOrder {
            id: attempt_id(id, task.step, index_in_step, task.attempt),
            specification: job.spec.specification.clone(),
            pool: job.queue.pool.clone(),
            resources: step.resources,
            estimate_ms: step.estimate_ms,
            requirement: step.requirement.clone(),
            rack: step.rack.clone(),
            spread: step.spread.map(|max_tasks| SpreadLimit {
                step: step_name(id, task.step).into(),
                max_tasks,
            }),
            avoid: task.avoided_targets.clone(),
        }
    }

    /// Returns the pool whose targets may run a job.
    ///
    /// # Panics
    ///
    /// Panics if the job is not in progress.
    #[must_use]
    pub fn pool(&self, id: &Name) -> &Name {
        &self.jobs[id].queue.pool
    }

    /// Returns orders for the first task of each step, for those of these tasks that wait.
    ///
    /// # Panics
    ///
    /// Panics if the job is not in progress.
    #[must_use]
    pub fn first_waiting_orders(&self, id: &Name) -> Vec<TaskOrder> {
        let job = &self.jobs[id];
        let steps = 0..job.spec.steps.len();
        let firsts = steps.filter_map(|step| job.first_task_of(step));
        let waiting = firsts.filter(|index| job.tasks[*index].state == TaskState::Waiting);
        waiting.map(|index| self.order(id, index)).collect()
    }

    /// Returns orders for the first task of each step; none if the job is not in progress.
    #[must_use]
    pub fn first_orders(&self, id: &Name) -> Vec<TaskOrder> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let steps = 0..job.spec.steps.len();
        let firsts = steps.filter_map(|step| job.first_task_of(step));
        firsts.map(|index| self.order(id, index)).collect()
    }
}

/// Returns the demand of waiting tasks of one pool, which are in priority order; `None`
/// without tasks.
#[must_use]
pub fn demand(tasks: &[&WaitingTask], pool: &Name) -> Option<Demand> {
    let first = tasks.first()?;
    let smallest = tasks.iter().fold(first.resources, |least, task| Resources {
        cpu: least.cpu.min(task.resources.cpu),
        memory_mb: least.memory_mb.min(task.resources.memory_mb),
        gpus: least.gpus.min(task.resources.gpus),
    });
    Some(Demand {
        priority: first.priority,
        pool: pool.clone(),
        smallest,
        tasks: tasks.len() as u32,
    })
}
