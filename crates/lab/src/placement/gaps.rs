//! How long a target stands between the end of an attempt and its next start.
//!
//! A gap counts as one while tasks wait if one task, of a queue whose tasks ran on that
//! target, waited all the while. A task waits from its job's acceptance, or from the last
//! end of an attempt of its job, to its start: what depends on earlier steps isn't taken
//! to wait for them. A job without a start waits until its end.

use std::collections::{BTreeMap, BTreeSet};

use crate::account::jobs::{Attempt, Job};

/// The time from an end on a target to its next start.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    /// When the attempt ended, in ms of the logs' time.
    pub from: i64,
    /// How long until the next start, in ms.
    pub ms: i64,
    /// Whether a task waited all the while.
    pub while_waiting: bool,
}

/// What ran on one target.
#[derive(Debug, Default)]
struct Runs<'a> {
    /// When attempts were started.
    starts: Vec<i64>,
    /// When attempts ended.
    ends: Vec<i64>,
    /// The queues of their jobs.
    queues: BTreeSet<&'a str>,
}

/// Returns the gaps of all targets.
#[must_use]
pub fn gather(jobs: &[Job]) -> Vec<Gap> {
    let waits = waits(jobs);
    let mut gaps = Vec::new();
    for runs in runs(jobs).into_values() {
        for from in runs.ends {
            let next = runs.starts.partition_point(|start| *start < from);
            let Some(until) = runs.starts.get(next) else {
                continue;
            };
            let mut queues = runs.queues.iter().filter_map(|queue| waits.get(queue));
            gaps.push(Gap {
                from,
                ms: until - from,
                while_waiting: queues.any(|waits| waits.cover(from, *until)),
            });
        }
    }
    gaps
}

/// Returns what ran on each target, starts in the order of time.
fn runs(jobs: &[Job]) -> BTreeMap<&str, Runs<'_>> {
    let mut targets: BTreeMap<&str, Runs> = BTreeMap::new();
    for job in jobs {
        for attempt in &job.attempts {
            let runs = targets.entry(&attempt.target).or_default();
            runs.queues.insert(&job.queue);
            runs.starts.push(attempt.started);
            runs.ends.extend(ended(attempt));
        }
    }
    for runs in targets.values_mut() {
        runs.starts.sort_unstable();
    }
    targets
}

fn ended(attempt: &Attempt) -> Option<i64> {
    let end = attempt.end.as_ref()?;
    Some(attempt.started + end.took_ms)
}

/// When tasks of one queue waited.
#[derive(Debug, Default)]
struct Waits {
    /// From when and until when, in the order of their beginnings.
    spans: Vec<(i64, i64)>,
}

impl Waits {
    /// Sorts the spans, and lets each end no sooner than those before it.
    fn sort(&mut self) {
        self.spans.sort_unstable();
        let mut latest = i64::MIN;
        for (_, until) in &mut self.spans {
            latest = latest.max(*until);
            *until = latest;
        }
    }

    /// Returns whether one task waited all the while.
    fn cover(&self, from: i64, until: i64) -> bool {
        let begun = self.spans.partition_point(|(begin, _)| *begin <= from);
        let last = begun.checked_sub(1).map(|at| self.spans[at]);
        last.is_some_and(|(_, latest)| latest >= until)
    }
}

/// Returns when tasks of each queue waited.
fn waits(jobs: &[Job]) -> BTreeMap<&str, Waits> {
    let mut queues: BTreeMap<&str, Waits> = BTreeMap::new();
    for job in jobs {
        let spans = &mut queues.entry(&job.queue).or_default().spans;
        let started = job.attempts.iter();
        spans.extend(started.map(|attempt| (waits_from(job, attempt), attempt.started)));
        if let (true, Some(end)) = (job.attempts.is_empty(), &job.end) {
            spans.push((job.accepted, job.accepted + end.took_ms));
        }
    }
    queues.values_mut().for_each(Waits::sort);
    queues
}

/// Returns since when an attempt's task waited.
fn waits_from(job: &Job, attempt: &Attempt) -> i64 {
    let ends = job.attempts.iter().filter_map(ended);
    let before = ends.filter(|end| *end <= attempt.started);
    before.fold(job.accepted, i64::max)
}
