//! Tasks that wait: their order, and their wording for targets.

use super::*;

impl Jobs {
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
            let priority = Priority {
                rank: ready.rank,
                urgency: ready.urgency,
                slack_ms: ready.latest - now as i64,
            };
            for (index, task) in job.tasks.iter().enumerate() {
                if task.state == TaskState::Waiting {
                    waiting.push(WaitingTask {
                        job: ready.job.clone(),
                        index,
                        priority,
                        resources: job.spec.steps[task.step].resources,
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
    pub(super) fn rank(&mut self, now: Millis, id: &Name) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        let waiting = job.tasks.iter();
        let waiting = waiting.filter(|task| task.state == TaskState::Waiting);
        let priorities = waiting.map(|task| job.priority(now, task.step));
        let least = priorities.min_by(|a, b| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal));
        let ready = least.filter(|priority| priority.rank != PriorityClass::Worthless);
        let ready = ready.map(|priority| Ready {
            rank: priority.rank,
            urgency: priority.urgency,
            latest: priority.slack_ms + now as i64,
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
            key: AttemptId {
                task: format!("{step_name}.{within}").into(),
                attempt: task.attempt,
            },
            specification: job.spec.specification.clone(),
            pool: job.queue.pool.clone(),
            resources: step.resources,
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
}
