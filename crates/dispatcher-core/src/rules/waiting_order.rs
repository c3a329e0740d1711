//! Which waiting task goes first where the tasks of all hosts' callers wait together.
//!
//! **Rule.** What can still be on time or has begun goes before what will be late, and what
//! is worth nothing any more goes last. Then by the urgency of the queue, but an urgency below
//! its least share goes before more urgent ones. Within an urgency what has begun goes first,
//! then by who is due ([`super::shares`]: queues, then halls of origin), then by the latest
//! start that keeps the class. Whether a task's owner is this host or a peer makes no
//! difference.
//!
//! A job is a unit: what has begun goes first within its urgency. By [`may_start_job`] a job would
//! count as late as soon as the room until its latest start doesn't suffice for it and for what
//! has begun; the dispatcher doesn't ask it, only tests of the rules do.
//!
//! **Inputs.** Class and slack in ms as [`super::priority`] reckons them, the queue, its
//! urgency, the hall of origin, shares; for beginnings, work in core-ms and room in
//! thousandths of a core. **Reason.** A late answer takes as much room as one on time and is
//! worth less, whatever its queue. Among jobs on time and what has begun the urgency decides
//! alone: if what has begun went first whatever its queue, or what has least slack, the long
//! jobs of other queues would pass urgent short ones in an overload. Without the rule for
//! beginnings jobs that need many targets begin at their latest start one task at a time, and
//! end late. **Gives up.** A late urgent job isn't served while less urgent ones on time fill
//! the room. What of a job began out of its share goes on; its queue and hall wait longer for
//! the next.

use std::cmp::Ordering;

use crate::message::PriorityClass;
use crate::Millis;

use super::shares::{Origin, Shares, VirtualStart};

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
    /// Returns whether it has begun or can be on time; shares are reckoned over these.
    #[must_use]
    pub fn counts_for_shares(&self) -> bool {
        self.class <= PriorityClass::OnTime
    }
}

/// What decides first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
enum Worth {
    /// The job has begun, or its answer can be on time.
    Whole,
    /// The answer will be late.
    Part,
    None,
}

impl Worth {
    fn of(class: PriorityClass) -> Self {
        match class {
            PriorityClass::Begun | PriorityClass::OnTime => Self::Whole,
            PriorityClass::Late => Self::Part,
            PriorityClass::Worthless => Self::None,
        }
    }
}

/// The place of a waiting task; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct Rank {
    worth: Worth,
    has_min_share: bool,
    urgency: u8,
    class: PriorityClass,
    virtual_start: VirtualStart,
    slack_ms: i64,
}

/// Returns the place of a waiting task.
#[must_use]
pub fn rank(task: &Waiting<'_>, shares: &Shares) -> Rank {
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

/// Compares two waiting tasks; the lesser goes first. The dispatcher asks [`WaitingTasks`], which looks
/// at many at a time; tests hold the two against each other.
#[must_use]
pub fn compare(a: &Waiting<'_>, b: &Waiting<'_>, shares: &Shares) -> Ordering {
    let places = rank(a, shares).partial_cmp(&rank(b, shares));
    places.unwrap_or(Ordering::Equal)
}

/// Waiting tasks of one origin and class, the least slack first.
#[derive(Clone, Debug)]
struct Group<'a> {
    first: Waiting<'a>,
    /// Slack in ms and position.
    tasks: Vec<(i64, usize)>,
}

impl<'a> Group<'a> {
    fn matches(&self, task: &Waiting<'_>) -> bool {
        let (own, other) = (&self.first.origin, &task.origin);
        self.first.class == task.class
            && own.urgency == other.urgency
            && own.queue == other.queue
            && own.hall == other.hall
    }

    /// Returns a task of the group.
    fn task(&self, slack_ms: i64) -> Waiting<'a> {
        Waiting {
            slack_ms,
            ..self.first
        }
    }
}

/// Waiting tasks in groups, so that who is due is looked up once for each group and not for
/// each task.
#[derive(Clone, Debug, Default)]
pub struct WaitingTasks<'a> {
    groups: Vec<Group<'a>>,
}

impl<'a> WaitingTasks<'a> {
    /// Groups tasks; they are named by their position from here on.
    #[must_use]
    pub fn new(tasks: impl Iterator<Item = Waiting<'a>>) -> Self {
        let mut line = Self::default();
        for (position, task) in tasks.enumerate() {
            line.add(position, task);
        }
        for group in &mut line.groups {
            group.tasks.sort_unstable();
        }
        line
    }

    fn add(&mut self, position: usize, task: Waiting<'a>) {
        let entry = (task.slack_ms, position);
        match self.groups.iter_mut().find(|group| group.matches(&task)) {
            Some(group) => group.tasks.push(entry),
            None => self.groups.push(Group {
                first: task,
                tasks: vec![entry],
            }),
        }
    }

    /// Returns for whom tasks wait that count for shares; see [`Shares::advance`].
    pub fn origins(&self) -> impl Iterator<Item = Origin<'a>> + Clone + '_ {
        let counting = self
            .groups
            .iter()
            .filter(|group| group.first.counts_for_shares());
        counting.map(|group| group.first.origin)
    }

    /// Takes out the task that goes first of those that may start, and returns its position.
    /// Who is due changes with each start: the next is asked for after it was recorded.
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
            let place = rank(&group.task(*slack_ms), shares);
            if first.is_none_or(|(least, ..)| place < least) {
                first = Some((place, number, at));
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

/// Returns whether a job may begin: `room_cpu` thousandths of a core do its `core_ms` and the
/// `begun_core_ms` that are left of what has begun within `slack_ms`, until its latest start.
#[must_use]
pub fn may_start_job(core_ms: u64, begun_core_ms: u64, room_cpu: u32, slack_ms: Millis) -> bool {
    let room = u64::from(room_cpu) * slack_ms / 1_000;
    begun_core_ms + core_ms <= room
}
