//! Which waiting task goes first where the tasks of all hosts' callers wait together.
//!
//! **Rule.** By the urgency of the queue; within an urgency by class (jobs that have begun,
//! jobs that can be on time, jobs that will be late), then by who is due
//! ([`super::shares`]: queues, then halls of origin), then by the latest start that keeps the
//! class. An urgency below its least share goes before more urgent ones with what can still be
//! on time. What is worth nothing any more goes last. Whether a task's owner is this host or a
//! peer makes no difference.
//!
//! A job is a unit: what has begun goes first within its urgency, and none begins while the
//! room until its latest end doesn't suffice for it and for what has begun ([`may_begin`]).
//!
//! **Inputs.** Class and slack in ms as [`super::priority`] reckons them, the queue, its
//! urgency, the hall of origin, shares; for beginnings, work in core-ms and room in
//! thousandths of a core. **Reason.** A short job has little slack and is late soon, a long one
//! keeps its slack: with class before urgency the most urgent queue, if its jobs are short, is
//! served last in an overload. A late answer is worth less than one on time, so within an
//! urgency late jobs wait for those on time; before less urgent ones they go even so, since else
//! the smallest delay costs an urgent job its place for good. **Gives up.** A less urgent job
//! may be late, or not served, for the sake of a late one of a more urgent queue. A job that
//! began out of its share holds it until its tasks are started; its queue and hall wait so much
//! longer for the next.

use std::cmp::Ordering;

use crate::message::PriorityClass;
use crate::Millis;

use super::shares::{Due, Origin, Shares};

/// A task that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting<'a> {
    /// For whom it is to run.
    pub origin: Origin<'a>,
    /// Whether its job has begun, can be on time, will be late.
    pub class: PriorityClass,
    /// Time in ms from now until the latest start that keeps the class.
    pub slack_ms: i64,
}

impl Waiting<'_> {
    /// Returns whether it counts for shares: tasks that will be late don't.
    #[must_use]
    pub fn counts(&self) -> bool {
        self.class <= PriorityClass::OnTime
    }
}

/// The place of a waiting task; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Place {
    worthless: bool,
    has_least_share: bool,
    urgency: u8,
    class: PriorityClass,
    due: Due,
    slack_ms: i64,
}

/// Returns the place of a waiting task.
#[must_use]
pub fn place(task: &Waiting<'_>, shares: &Shares) -> Place {
    let urgency = task.origin.urgency;
    Place {
        worthless: task.class == PriorityClass::Worthless,
        has_least_share: !(task.counts() && shares.is_below_least(urgency)),
        urgency,
        class: task.class,
        due: shares.due(&task.origin),
        slack_ms: task.slack_ms,
    }
}

/// Compares two waiting tasks; the lesser goes first. Sorts by it are to be stable, so that of
/// equals the one that came first goes first.
#[must_use]
pub fn compare(a: &Waiting<'_>, b: &Waiting<'_>, shares: &Shares) -> Ordering {
    let places = place(a, shares).partial_cmp(&place(b, shares));
    places.unwrap_or(Ordering::Equal)
}

/// Returns the position of the task that goes first of those that fit; who is due changes with
/// each start.
#[must_use]
pub fn first<'a>(
    tasks: impl Iterator<Item = (usize, Waiting<'a>)>,
    shares: &Shares,
) -> Option<usize> {
    let placed = tasks.map(|(position, task)| (position, place(&task, shares)));
    let first = placed.min_by(|(_, a), (_, b)| a.partial_cmp(b).unwrap_or(Ordering::Equal));
    first.map(|(position, _)| position)
}

/// Returns whether a job may begin: `room_cpu` thousandths of a core do its `core_ms` and the
/// `begun_core_ms` that are left of what has begun within the `left_ms` that the job has.
#[must_use]
pub fn may_begin(core_ms: u64, begun_core_ms: u64, room_cpu: u32, left_ms: Millis) -> bool {
    let room = u64::from(room_cpu) * left_ms / 1_000;
    begun_core_ms + core_ms <= room
}
