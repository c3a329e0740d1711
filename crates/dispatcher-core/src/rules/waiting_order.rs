//! Orders waiting tasks at a holder, where tasks of all hosts' callers wait together.
//!
//! **Rule.** Tasks that can still be on time or whose job has started go before those that will be
//! late; worthless ones go last. Then by the urgency of the queue, but an urgency below its minimum
//! share goes before more urgent ones. Within an urgency, jobs that have started go first, then by
//! virtual time ([`super::shares`]: queues, then halls of origin), then by the latest start that
//! keeps the class. Whether a task's owner is this host or a peer makes no difference.
//!
//! A job is a unit: tasks of a started job go first within their urgency. By [`may_start_job`], a
//! job would count as late as soon as the capacity until its latest start doesn't suffice for it
//! and for the started jobs; only tests of the rules use this, not the dispatcher.
//!
//! **Inputs.** Class and slack in ms from [`super::priority`], the queue, its urgency, the hall of
//! origin, shares; for starting a job, work in core-ms and capacity in thousandths of a core.
//! **Reason.** A late answer takes as much capacity as one on time and is worth less, in any queue.
//! Among jobs on time and started ones the urgency decides alone: if started jobs of all queues, or
//! those with the least slack, went first, the long jobs of other queues would delay urgent short
//! ones in an overload. Without [`may_start_job`], jobs that need many targets start at their
//! latest start one task at a time, and end late. **Trade-off.** A late urgent job isn't served
//! while less urgent ones on time use all capacity. A job that was started beyond its share
//! continues; its queue and hall wait longer for the next.

use std::cmp::Ordering;

use crate::message::PriorityClass;
use crate::{Millis, Urgency};

use super::shares::{Origin, Shares, VirtualStart};

/// A waiting task, with what its rank depends on.
#[derive(Clone, Copy, Debug)]
pub struct WaitingEntry<'a> {
    /// The queue and hall on whose behalf it runs.
    pub origin: Origin<'a>,
    /// The class of its job.
    pub class: PriorityClass,
    /// The time from now until the latest start that keeps the class, in ms.
    pub slack_ms: i64,
}

impl WaitingEntry<'_> {
    /// Returns whether its job has started or can be on time; shares are computed over these.
    #[must_use]
    pub fn counts_for_shares(&self) -> bool {
        self.class <= PriorityClass::OnTime
    }
}

/// The worth of an answer, which decides first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Worth {
    /// The job has started, or its answer can be on time.
    Whole,
    /// The answer will be late.
    Part,
    None,
}

impl Worth {
    fn of(class: PriorityClass) -> Self {
        match class {
            PriorityClass::Started | PriorityClass::OnTime => Self::Whole,
            PriorityClass::Late => Self::Part,
            PriorityClass::Worthless => Self::None,
        }
    }
}

/// The rank of a waiting task; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rank {
    worth: Worth,
    has_min_share: bool,
    urgency: Urgency,
    class: PriorityClass,
    virtual_start: VirtualStart,
    slack_ms: i64,
}

/// Returns the rank of a waiting task.
#[must_use]
pub fn rank(task: &WaitingEntry<'_>, shares: &Shares) -> Rank {
    let urgency = task.origin.urgency;
    Rank {
        worth: Worth::of(task.class),
        has_min_share: !shares.is_below_min_share(urgency),
        urgency,
        class: task.class,
        virtual_start: shares.virtual_start(&task.origin),
        slack_ms: task.slack_ms,
    }
}

/// Compares two waiting tasks; the lesser goes first. The dispatcher uses [`GroupedTasks`], which
/// compares many tasks at a time in the same order.
#[must_use]
pub fn compare(a: &WaitingEntry<'_>, b: &WaitingEntry<'_>, shares: &Shares) -> Ordering {
    let ranks = rank(a, shares).partial_cmp(&rank(b, shares));
    ranks.unwrap_or(Ordering::Equal)
}

/// Waiting tasks of one origin and class, the least slack first.
#[derive(Clone, Debug)]
struct Group<'a> {
    first: WaitingEntry<'a>,
    /// Slack in ms and position of each task.
    tasks: Vec<(i64, usize)>,
}

impl<'a> Group<'a> {
    fn matches(&self, task: &WaitingEntry<'_>) -> bool {
        let (own, other) = (&self.first.origin, &task.origin);
        self.first.class == task.class
            && own.urgency == other.urgency
            && own.queue == other.queue
            && own.hall == other.hall
    }

    /// Returns the task of the group with a slack.
    fn task(&self, slack_ms: i64) -> WaitingEntry<'a> {
        WaitingEntry {
            slack_ms,
            ..self.first
        }
    }
}

/// Waiting tasks grouped by origin and class, so that the virtual times are looked up once per
/// group instead of once per task.
#[derive(Clone, Debug, Default)]
pub struct GroupedTasks<'a> {
    groups: Vec<Group<'a>>,
}

impl<'a> GroupedTasks<'a> {
    /// Groups tasks; they are identified by their position in the iterator.
    #[must_use]
    pub fn new(tasks: impl Iterator<Item = WaitingEntry<'a>>) -> Self {
        let mut waiting = Self::default();
        for (position, task) in tasks.enumerate() {
            waiting.add(position, task);
        }
        for group in &mut waiting.groups {
            group.tasks.sort_unstable();
        }
        waiting
    }

    fn add(&mut self, position: usize, task: WaitingEntry<'a>) {
        let entry = (task.slack_ms, position);
        match self.groups.iter_mut().find(|group| group.matches(&task)) {
            Some(group) => group.tasks.push(entry),
            None => self.groups.push(Group {
                first: task,
                tasks: vec![entry],
            }),
        }
    }

    /// Returns the origins of the tasks that count for shares; see [`Shares::advance`].
    pub fn origins(&self) -> impl Iterator<Item = Origin<'a>> + Clone + '_ {
        let counting = self
            .groups
            .iter()
            .filter(|group| group.first.counts_for_shares());
        counting.map(|group| group.first.origin)
    }

    /// Removes the first task in order of those that may start, and returns its position. Each
    /// start changes the virtual times, so it has to be recorded before the next call.
    pub fn take_first(
        &mut self,
        shares: &Shares,
        mut may_start: impl FnMut(usize) -> bool,
    ) -> Option<usize> {
        let mut first: Option<(Rank, usize, usize)> = None;
        for (number, group) in self.groups.iter().enumerate() {
            let mut tasks = group.tasks.iter().enumerate();
            let Some((at, (slack_ms, _))) = tasks.find(|(_, (_, position))| may_start(*position))
            else {
                continue;
            };
            let rank = rank(&group.task(*slack_ms), shares);
            if first.is_none_or(|(least, ..)| rank < least) {
                first = Some((rank, number, at));
            }
        }
        let (_, number, at) = first?;
        let (_, position) = self.groups[number].tasks.remove(at);
        if self.groups[number].tasks.is_empty() {
            self.groups.remove(number);
        }
        Some(position)
    }
}

/// Returns whether a job may start: `capacity_cpu` thousandths of a core can do its `core_ms` and
/// the remaining `started_core_ms` of started jobs within `slack_ms`, until its latest start.
#[must_use]
pub fn may_start_job(
    core_ms: u64,
    started_core_ms: u64,
    capacity_cpu: u32,
    slack_ms: Millis,
) -> bool {
    let capacity_core_ms = u64::from(capacity_cpu) * slack_ms / 1_000;
    started_core_ms + core_ms <= capacity_core_ms
}
