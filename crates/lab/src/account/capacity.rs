//! The upper bound of what hosts could have served: the requested work against the capacity of
//! the healthy targets.
//!
//! A healthy target is taken to run as many tasks at a time as the healthy ones ran on average in
//! the busiest window. A target is healthy in a window if a task ran there in normal time, or if
//! there wasn't work for all targets. Work can move freely within a window.

use std::collections::{BTreeMap, BTreeSet};

use super::jobs::{Attempt, Job};
use super::outcome::SLOW_FACTOR;

/// Above this load, as a share of all targets' capacity, every healthy target has work in a window.
/// Below it, targets without work count as healthy.
const BUSY_LOAD_SHARE: f64 = 0.8;

/// Requested work and capacity of a window, in ms of one task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// The work of the jobs accepted in it, by actual times or else by estimates.
    pub requested_ms: f64,
    /// The work that its healthy targets can run.
    pub capacity_ms: f64,
}

impl Window {
    /// Returns the largest share of its jobs that can be served, 1 at most.
    #[must_use]
    pub fn bound(&self) -> f64 {
        if self.requested_ms > self.capacity_ms {
            self.capacity_ms / self.requested_ms
        } else {
            1.0
        }
    }
}

/// Computes the windows of `window_ms` in which jobs were accepted, numbered from time 0.
#[must_use]
pub fn windows(jobs: &[Job], window_ms: i64) -> BTreeMap<i64, Window> {
    let runs_by_window = normal_runs(jobs, window_ms);
    let targets = runs_by_window.values().flat_map(|window| &window.targets);
    let target_count = targets.collect::<BTreeSet<_>>().len();
    let windows_of_most_targets = runs_by_window
        .values()
        .filter(|runs| 2 * runs.targets.len() > target_count);
    let mean_concurrency = windows_of_most_targets.map(|runs| runs.mean_concurrency(window_ms));
    let mean_concurrency = mean_concurrency.fold(0.0, f64::max);
    let capacity_ms = |targets: usize| targets as f64 * mean_concurrency * window_ms as f64;
    let mut windows: BTreeMap<i64, Window> = BTreeMap::new();
    for job in jobs {
        let window = windows
            .entry(job.accepted_ms.div_euclid(window_ms))
            .or_default();
        window.requested_ms += total_work_ms(job);
    }
    for (at, window) in &mut windows {
        let is_busy = window.requested_ms > BUSY_LOAD_SHARE * capacity_ms(target_count);
        let healthy_targets = runs_by_window.get(at).map_or(0, |runs| runs.targets.len());
        window.capacity_ms = capacity_ms(if is_busy {
            healthy_targets
        } else {
            target_count
        });
    }
    windows
}

/// Returns the work of all tasks of a job, in ms.
fn total_work_ms(job: &Job) -> f64 {
    let ends = job
        .attempts
        .iter()
        .filter_map(|attempt| attempt.end.as_ref());
    let durations_ms: Vec<f64> = ends
        .filter(|end| end.done)
        .map(|end| end.took_ms as f64)
        .collect();
    let mean_ms = if durations_ms.is_empty() {
        job.critical_path_ms
    } else {
        durations_ms.iter().sum::<f64>() / durations_ms.len() as f64
    };
    mean_ms * job.tasks as f64
}

/// The attempts in one window that took normal time.
#[derive(Debug, Default)]
struct NormalRuns<'a> {
    /// How long they ran within the window, in ms.
    ran_ms: i64,
    /// The targets on which they ran.
    targets: BTreeSet<&'a str>,
}

impl NormalRuns<'_> {
    /// Returns how many tasks each of its targets ran at a time on average.
    fn mean_concurrency(&self, window_ms: i64) -> f64 {
        let targets = self.targets.len().max(1) as i64;
        self.ran_ms as f64 / (targets * window_ms) as f64
    }
}

/// Returns the attempts of each window that took normal time.
fn normal_runs(jobs: &[Job], window_ms: i64) -> BTreeMap<i64, NormalRuns<'_>> {
    let mut windows: BTreeMap<i64, NormalRuns<'_>> = BTreeMap::new();
    for job in jobs {
        for attempt in &job.attempts {
            let Some(took_ms) = normal_duration_ms(job, attempt) else {
                continue;
            };
            let end = attempt.started_ms + took_ms;
            for at in attempt.started_ms.div_euclid(window_ms)..=end.div_euclid(window_ms) {
                let window = windows.entry(at).or_default();
                let (from, until) = (at * window_ms, (at + 1) * window_ms);
                window.ran_ms += end.min(until) - attempt.started_ms.max(from);
                window.targets.insert(&attempt.target);
            }
        }
    }
    windows
}

/// Returns how long an attempt took, if it is done and took normal time.
fn normal_duration_ms(job: &Job, attempt: &Attempt) -> Option<i64> {
    let end = attempt.end.as_ref().filter(|end| end.done)?;
    let is_normal = end.took_ms as f64 <= SLOW_FACTOR * job.critical_path_ms;
    is_normal.then_some(end.took_ms)
}
