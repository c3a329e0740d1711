//! The tasks of peers that wait at this host for one of its targets.
//!
//! [`Backlog`] owns each of them until it is started, returned to its owner or withdrawn, so that
//! a task waits or runs in one place at a time. It relies on the dispatcher to start tasks and to
//! report returned ones to their owners, and on [`crate::rules::backlog`] for its limits.

use gannetridge_wire::Name;

use crate::message::{AttemptId, HandedTask, Priority, PriorityClass};
use crate::rules::backlog::MAX_QUEUED_PEER_TASKS;
use crate::rules::long_tasks::TaskSize;
use crate::rules::peer_choice::aged;
use crate::rules::shares::Origin;
use crate::targets::{Owner, OwnerSession};
use crate::Millis;

/// A task that a peer handed over and that waits for a target of this host.
#[derive(Clone, Debug)]
pub struct BacklogTask {
    /// The owner of the task's job.
    pub owner: Owner,
    /// The owner's hall.
    pub hall: Name,
    /// The task as the owner sent it.
    pub task: HandedTask,
    /// When the task was received, in ms of this host's clock.
    pub received_at: Millis,
}

impl BacklogTask {
    /// Returns the urgency, queue and hall that the task is accounted to.
    #[must_use]
    pub fn origin(&self) -> Origin<'_> {
        Origin {
            urgency: self.task.priority.urgency,
            queue: &self.task.queue,
            hall: &self.hall,
        }
    }

    /// Returns the inputs of the long-task rule.
    #[must_use]
    pub fn size(&self) -> TaskSize {
        TaskSize {
            urgency: self.task.priority.urgency,
            cpu: self.task.order.resources.cpu,
            estimate_ms: self.task.order.estimate_ms,
        }
    }

    /// Returns the priority at `now`: the slack shrinks while the task waits, and a task whose
    /// slack is used up counts as late.
    #[must_use]
    pub fn priority(&self, now: Millis) -> Priority {
        let priority = aged(&self.task.priority, now.saturating_sub(self.received_at));
        let late = priority.class == PriorityClass::OnTime && priority.slack_ms < 0;
        Priority {
            class: if late {
                PriorityClass::Late
            } else {
                priority.class
            },
            ..priority
        }
    }
}

/// Tasks of peers that wait for targets of this host, in order of arrival.
#[derive(Debug, Default)]
pub struct Backlog {
    tasks: Vec<BacklogTask>,
}

impl Backlog {
    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns true if no task waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the waiting tasks in order of arrival.
    pub fn iter(&self) -> impl Iterator<Item = &BacklogTask> {
        self.tasks.iter()
    }

    /// Adds a task; drops it if [`MOST_HANDED`] tasks wait already.
    pub fn push(&mut self, handed: BacklogTask) {
        if self.tasks.len() < MAX_QUEUED_PEER_TASKS {
            self.tasks.push(handed);
        }
    }

    /// Removes and returns the task of an attempt.
    pub fn remove(&mut self, id: &AttemptId) -> Option<BacklogTask> {
        let position = self
            .tasks
            .iter()
            .position(|handed| handed.task.order.id == *id)?;
        Some(self.tasks.remove(position))
    }

    /// Returns true if any attempt at a task waits.
    #[must_use]
    pub fn has_task(&self, task: &Name) -> bool {
        self.tasks
            .iter()
            .any(|handed| handed.task.order.id.task == *task)
    }

    /// Removes and returns those of an owner's tasks whose attempts are in `ids`.
    pub fn remove_for_owner(&mut self, owner: &Name, ids: &[AttemptId]) -> Vec<BacklogTask> {
        self.take_matching(|handed| {
            handed.owner.host == *owner && ids.contains(&handed.task.order.id)
        })
    }

    /// Drops an owner's tasks of sessions before `session`. They aren't returned, as the owner
    /// already treats them as lost.
    pub fn drop_earlier_sessions(&mut self, owner: &Name, session: OwnerSession) {
        self.tasks
            .retain(|handed| handed.owner.host != *owner || handed.owner.session >= session);
    }

    /// Removes and returns the tasks whose latest start has passed.
    pub fn take_expired(&mut self, now: Millis) -> Vec<BacklogTask> {
        self.take_matching(|handed| handed.task.latest_start < now)
    }

    /// Removes and returns the tasks that match a predicate.
    pub fn take_matching(&mut self, predicate: impl Fn(&BacklogTask) -> bool) -> Vec<BacklogTask> {
        let tasks = std::mem::take(&mut self.tasks);
        let (taken, remaining) = tasks.into_iter().partition(predicate);
        self.tasks = remaining;
        taken
    }
}
