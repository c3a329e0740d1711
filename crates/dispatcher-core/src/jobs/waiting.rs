//! Tasks that wait for targets: their order, and the orders that start them.
//!
//! Jobs with waiting tasks are kept sorted by [`crate::rules::priority`], so that one
//! event doesn't sort them anew.

use std::cmp::Ordering;

use gannetridge_wire::Name;

use crate::message::{Demand, Priority, PriorityClass, SpreadLimit, TaskOrder};
use crate::rules::long_tasks::TaskSize;
use crate::rules::shares::Origin;
use crate::spec::Resources;
use crate::Millis;

use super::job::{attempt_id, step_name, Ready, TaskState};
use super::Jobs;

/// A task that waits for a target.
#[derive(Clone, Debug)]
pub struct WaitingTask {
    /// Its job.
    pub job: Name,
    /// Its position in the job.
    pub index: usize,
    /// Its queue.
    pub queue: Name,
    /// Its priority.
    pub priority: Priority,
    /// What it takes.
    pub resources: Resources,
    /// Its estimate, in ms.
    pub estimate_ms: Millis,
    /// Time since its job was accepted, in ms.
    pub age_ms: Millis,
    /// Whether peers may be asked that are only believed to have the resources.
    pub may_ask_peers: bool,
    /// Whether it is to run alone on a target.
    pub runs_alone: bool,
}

impl WaitingTask {
    /// Returns its size.
    #[must_use]
    pub fn size(&self) -> TaskSize {
        TaskSize {
            urgency: self.priority.urgency,
            cpu: self.resources.cpu,
            estimate_ms: self.estimate_ms,
        }
    }

    /// Returns for whom it runs, where this host is in `own_hall`.
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

    /// Returns the most urgent of the jobs with waiting tasks that haven't begun and can still
    /// be on time.
    pub(super) fn on_time_urgency(&self) -> Option<u8> {
        let ready = self.ready.iter();
        let on_time = ready.filter(|ready| ready.class == PriorityClass::OnTime);
        on_time.map(|ready| ready.urgency).min()
    }

    /// Returns waiting tasks, the first in priority first, `most` at most.
    #[must_use]
    pub fn waiting(&self, now: Millis, most: usize) -> Vec<WaitingTask> {
        let mut waiting = Vec::new();
        for ready in &self.ready {
            let job = &self.jobs[&ready.job];
            let priority = Priority {
                class: ready.class,
                urgency: ready.urgency,
                slack_ms: ready.latest_start - now as i64,
            };
            for (index, task) in job.tasks.iter().enumerate() {
                if task.state == TaskState::Waiting {
                    waiting.push(WaitingTask {
                        job: ready.job.clone(),
                        index,
                        queue: job.queue.name.clone(),
                        priority,
                        resources: job.spec.steps[task.step].resources,
                        estimate_ms: job.spec.steps[task.step].estimate_ms,
                        age_ms: now.saturating_sub(job.accepted),
                        may_ask_peers: task.ask_after <= now,
                        runs_alone: self.runs_alone(now, || self.order(&ready.job, index).id.task),
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

    /// Updates a job's place among those with tasks that wait. One whose answer
    /// is worth nothing any more has none.
    pub(super) fn update_ready(&mut self, now: Millis, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let waiting = job.tasks.iter();
        let waiting = waiting.filter(|task| task.state == TaskState::Waiting);
        let priorities = waiting.map(|task| job.priority(now, task.step));
        let first = priorities.min_by(|a, b| a.partial_cmp(b).unwrap_or(Ordering::Equal));
        let first = first.filter(|priority| priority.class != PriorityClass::Worthless);
        let ready = first.map(|priority| Ready {
            class: priority.class,
            urgency: priority.urgency,
            latest_start: priority.slack_ms + now as i64,
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

    /// Returns the order for a waiting task.
    ///
    /// # Panics
    ///
    /// Panics if there is no such task.
    #[must_use]
    pub fn order(&self, id: &Name, index: usize) -> TaskOrder {
        let job = &self.jobs[id];
        let task = &job.tasks[index];
        let step = &job.spec.steps[task.step];
        let first = job.first_of(task.step);
        let within = index - first.expect("the task itself is of its step");
        TaskOrder {
            id: attempt_id(id, task.step, within, task.attempt),
            specification: job.spec.specification.clone(),
            pool: job.queue.pool.clone(),
            resources: step.resources,
            estimate_ms: step.estimate_ms,
            requirement: step.requirement.clone(),
            rack: step.rack.clone(),
            spread: step.spread.map(|most| SpreadLimit {
                step: step_name(id, task.step).into(),
                most,
            }),
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

    /// Returns orders for the first task of each step of a job that hasn't begun, where it
    /// waits for no other step.
    ///
    /// # Panics
    ///
    /// Panics if there is no such job.
    #[must_use]
    pub fn first_waiting_orders(&self, id: &Name) -> Vec<TaskOrder> {
        let job = &self.jobs[id];
        let steps = 0..job.spec.steps.len();
        let firsts = steps.filter_map(|step| job.first_of(step));
        let waiting = firsts.filter(|index| job.tasks[*index].state == TaskState::Waiting);
        waiting.map(|index| self.order(id, index)).collect()
    }

    /// Returns orders for the first task of each step of a job.
    #[must_use]
    pub fn first_orders(&self, id: &Name) -> Vec<TaskOrder> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let steps = 0..job.spec.steps.len();
        let firsts = steps.filter_map(|step| job.first_of(step));
        firsts.map(|index| self.order(id, index)).collect()
    }
}

/// Sums up waiting tasks of one pool, the first in priority first.
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
