//! The time on a target between the end of an attempt and its next start.
//!
//! A gap counts as one while tasks wait if a single task, of a queue whose tasks ran on that
//! target, waited throughout. A task waits from its job's acceptance, or from the last end of an
//! attempt of its job, to its start, so that the time until earlier steps have ended doesn't count.
//! A job without a start waits until its end.

use std::collections::{BTreeMap, BTreeSet};

use crate::account::jobs::{Attempt, Job};

/// The time from an end on a target to its next start.
#[derive(Clone, Copy, Debug)]
pub struct Gap {
    /// When the attempt ended, in ms of the logs' time.
    pub start_ms: i64,
    /// The time until the next start, in ms.
    pub duration_ms: i64,
    /// One task waited throughout the gap.
    pub while_waiting: bool,
}

/// The attempts on one target.
#[derive(Debug, Default)]
struct TargetRuns<'a> {
    /// When attempts were started, in ascending order.
    starts: Vec<i64>,
    /// When attempts ended.
    ends: Vec<i64>,
    /// The queues of the attempts' jobs.
    queues: BTreeSet<&'a str>,
}

/// Returns the gaps of all targets.
#[must_use]
pub fn collect(jobs: &[Job]) -> Vec<Gap> {
    let waiting = waiting_spans(jobs);
    let mut gaps = Vec::new();
    for runs in runs_by_target(jobs).into_values() {
        for from in runs.ends {
            let next = runs.starts.partition_point(|start| *start < from);
            let Some(until) = runs.starts.get(next) else {
                continue;
            };
            let mut queues = runs.queues.iter().filter_map(|queue| waiting.get(queue));
            gaps.push(Gap {
                start_ms: from,
                duration_ms: until - from,
                while_waiting: queues.any(|spans| spans.covers(from, *until)),
            });
        }
    }
    gaps
}

/// Returns the attempts on each target.
fn runs_by_target(jobs: &[Job]) -> BTreeMap<&str, TargetRuns<'_>> {
    let mut targets: BTreeMap<&str, TargetRuns> = BTreeMap::new();
    for job in jobs {
        for attempt in &job.attempts {
            let runs = targets.entry(&attempt.target).or_default();
            runs.queues.insert(&job.queue);
            runs.starts.push(attempt.started_ms);
            runs.ends.extend(end_time(attempt));
        }
    }
    for runs in targets.values_mut() {
        runs.starts.sort_unstable();
    }
    targets
}

/// Returns when an attempt ended, in ms of the logs' time.
fn end_time(attempt: &Attempt) -> Option<i64> {
    let end = attempt.end.as_ref()?;
    Some(attempt.started_ms + end.took_ms)
}

/// The spans of time in which tasks of one queue waited.
#[derive(Debug, Default)]
struct WaitingSpans {
    /// Start and end of each, in the order of their starts.
    spans: Vec<(i64, i64)>,
}

impl WaitingSpans {
    /// Sorts the spans, and raises the end of each to the latest of those before it.
    fn sort(&mut self) {
        self.spans.sort_unstable();
        let mut latest = i64::MIN;
        for (_, until) in &mut self.spans {
            latest = latest.max(*until);
            *until = latest;
        }
    }

    /// Returns `true` if one task waited throughout.
    fn covers(&self, from: i64, until: i64) -> bool {
        let candidates = self.spans.partition_point(|(start, _)| *start <= from);
        let last = candidates.checked_sub(1).map(|at| self.spans[at]);
        last.is_some_and(|(_, latest)| latest >= until)
    }
}

/// Returns the spans in which tasks of each queue waited.
fn waiting_spans(jobs: &[Job]) -> BTreeMap<&str, WaitingSpans> {
    let mut queues: BTreeMap<&str, WaitingSpans> = BTreeMap::new();
    for job in jobs {
        let spans = &mut queues.entry(&job.queue).or_default().spans;
        let started = job.attempts.iter();
        spans.extend(started.map(|attempt| (waiting_since(job, attempt), attempt.started_ms)));
        if let (true, Some(end)) = (job.attempts.is_empty(), &job.end) {
            spans.push((job.accepted_ms, job.accepted_ms + end.took_ms));
        }
    }
    queues.values_mut().for_each(WaitingSpans::sort);
    queues
}

/// Returns from when on an attempt's task waited.
fn waiting_since(job: &Job, attempt: &Attempt) -> i64 {
    let ends = job.attempts.iter().filter_map(end_time);
    let earlier_ends = ends.filter(|end| *end <= attempt.started_ms);
    earlier_ends.fold(job.accepted_ms, i64::max)
}
