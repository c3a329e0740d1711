//! The tasks of peers that wait here for targets of this host.
//!
//! [`Backlog`] owns them until they are started, given back or withdrawn: a task waits or runs
//! at one place at a time. It relies on the dispatcher to start them, and to tell their owners of
//! those that it gives back. What it decides by stands in [`crate::rules::backlog`].

use gannetridge_wire::Name;

use crate::message::{AttemptId, HandedTask, Priority, PriorityClass};
use crate::rules::backlog::MAX_QUEUED_PEER_TASKS;
use crate::rules::long_tasks::TaskSize;
use crate::rules::peer_choice::aged;
use crate::rules::shares::Origin;
use crate::targets::{Owner, OwnerSession};
use crate::Millis;

/// A task of a peer that waits here.
#[derive(Clone, Debug)]
pub struct Handed {
    /// Whose it is.
    pub owner: Owner,
    /// The hall of its owner.
    pub hall: Name,
    /// The task.
    pub task: HandedTask,
    /// When it came, in ms of this host's clock.
    pub came: Millis,
}

impl Handed {
    /// Returns for whom it runs.
    #[must_use]
    pub fn origin(&self) -> Origin<'_> {
        Origin {
            urgency: self.task.priority.urgency,
            queue: &self.task.queue,
            hall: &self.hall,
        }
    }

    /// Returns its size.
    #[must_use]
    pub fn size(&self) -> TaskSize {
        TaskSize {
            urgency: self.task.priority.urgency,
            cpu: self.task.order.resources.cpu,
            estimate_ms: self.task.order.estimate_ms,
        }
    }

    /// Returns its priority by now.
    #[must_use]
    pub fn priority(&self, now: Millis) -> Priority {
        let priority = aged(&self.task.priority, now.saturating_sub(self.came));
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

/// The tasks of peers that wait here, in the order in which they came.
#[derive(Debug, Default)]
pub struct Backlog {
    tasks: Vec<Handed>,
}

impl Backlog {
    /// Returns how many tasks wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns the tasks that wait.
    pub fn iter(&self) -> impl Iterator<Item = &Handed> {
        self.tasks.iter()
    }

    /// Lets a task wait, unless as many do as may.
    pub fn push(&mut self, handed: Handed) {
        if self.tasks.len() < MAX_QUEUED_PEER_TASKS {
            self.tasks.push(handed);
        }
    }

    /// Takes a task out.
    pub fn take(&mut self, id: &AttemptId) -> Option<Handed> {
        let position = self
            .tasks
            .iter()
            .position(|handed| handed.task.order.id == *id)?;
        Some(self.tasks.remove(position))
    }

    /// Returns whether a task waits here, whichever its attempt.
    #[must_use]
    pub fn has_task(&self, task: &Name) -> bool {
        self.tasks
            .iter()
            .any(|handed| handed.task.order.id.task == *task)
    }

    /// Takes out those of an owner's tasks that it asks for; returns them.
    pub fn withdraw(&mut self, owner: &Name, ids: &[AttemptId]) -> Vec<Handed> {
        self.take_where(|handed| handed.owner.host == *owner && ids.contains(&handed.task.order.id))
    }

    /// Drops the tasks of an owner that belong to sessions before `session`: the owner takes
    /// them for lost.
    pub fn drop_owner(&mut self, owner: &Name, session: OwnerSession) {
        self.tasks
            .retain(|handed| handed.owner.host != *owner || handed.owner.session >= session);
    }

    /// Takes out the tasks that may no longer begin.
    pub fn take_expired(&mut self, now: Millis) -> Vec<Handed> {
        self.take_where(|handed| handed.task.latest_begin < now)
    }

    /// Takes out the tasks that `with` picks.
    pub fn take_where(&mut self, with: impl Fn(&Handed) -> bool) -> Vec<Handed> {
        let tasks = std::mem::take(&mut self.tasks);
        let (taken, left) = tasks.into_iter().partition(with);
        self.tasks = left;
        taken
    }
}
