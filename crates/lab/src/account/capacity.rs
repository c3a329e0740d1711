//! What no host could have served: the work that was asked for, against what the well
//! targets can hold.
//!
//! A target that is well holds as many tasks at a time as the well ones held in the mean
//! of the busiest window. It is well in a window in which a task ran there in ordinary
//! time, or there wasn't work for all. Work moves freely within a window.

use std::collections::{BTreeMap, BTreeSet};

use super::jobs::{Attempt, Job};
use super::outcome::SLOW_FACTOR;

/// Of this much load, as a part of what targets hold, each of them has work in a window.
/// Below, targets without work count as well. Chosen, not measured.
const ALL_BUSY: f64 = 0.8;

/// Work and room in each window, in ms of one task.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    /// What the jobs that came in it take, by what they took or by their estimates.
    pub asked_ms: f64,
    /// What the targets that were well in it can hold.
    pub held_ms: f64,
}

impl Window {
    /// Returns the largest part of its jobs that can be served, 1 at most.
    #[must_use]
    pub fn bound(&self) -> f64 {
        if self.asked_ms > self.held_ms {
            self.held_ms / self.asked_ms
        } else {
            1.0
        }
    }
}

/// Reckons the windows of `window_ms` in which jobs came.
#[must_use]
pub fn windows(jobs: &[Job], window_ms: i64) -> BTreeMap<i64, Window> {
    let done = done(jobs, window_ms);
    let targets = done.values().flat_map(|window| &window.targets);
    let all = targets.collect::<BTreeSet<_>>().len();
    let well_enough = done.values().filter(|done| 2 * done.targets.len() > all);
    let held_by_each = well_enough.map(|done| done.held_by_each(window_ms));
    let held_by_each = held_by_each.fold(0.0, f64::max);
    let held_ms = |targets: usize| targets as f64 * held_by_each * window_ms as f64;
    let mut windows: BTreeMap<i64, Window> = BTreeMap::new();
    for job in jobs {
        let window = windows
            .entry(job.accepted.div_euclid(window_ms))
            .or_default();
        window.asked_ms += work_ms(job);
    }
    for (at, window) in &mut windows {
        let busy = window.asked_ms > ALL_BUSY * held_ms(all);
        let well = done.get(at).map_or(0, |done| done.targets.len());
        window.held_ms = held_ms(if busy { well } else { all });
    }
    windows
}

/// Returns what a job's tasks take together, in ms.
fn work_ms(job: &Job) -> f64 {
    let ends = job
        .attempts
        .iter()
        .filter_map(|attempt| attempt.end.as_ref());
    let done: Vec<f64> = ends
        .filter(|end| end.done)
        .map(|end| end.took_ms as f64)
        .collect();
    let each = if done.is_empty() {
        job.chain_ms
    } else {
        done.iter().sum::<f64>() / done.len() as f64
    };
    each * job.tasks as f64
}

/// What targets did in one window.
#[derive(Debug, Default)]
struct Done<'a> {
    /// How long tasks ran in it that took ordinary time, in ms.
    ran_ms: i64,
    /// Where.
    targets: BTreeSet<&'a str>,
}

impl Done<'_> {
    /// Returns how many tasks each of its targets held in the mean.
    fn held_by_each(&self, window_ms: i64) -> f64 {
        let targets = self.targets.len().max(1) as i64;
        self.ran_ms as f64 / (targets * window_ms) as f64
    }
}

/// Returns what targets did in each window.
fn done(jobs: &[Job], window_ms: i64) -> BTreeMap<i64, Done<'_>> {
    let mut windows: BTreeMap<i64, Done<'_>> = BTreeMap::new();
    for job in jobs {
        for attempt in &job.attempts {
            let Some(took_ms) = ordinary_ms(job, attempt) else {
                continue;
            };
            let end = attempt.started + took_ms;
            for at in attempt.started.div_euclid(window_ms)..=end.div_euclid(window_ms) {
                let window = windows.entry(at).or_default();
                let (from, until) = (at * window_ms, (at + 1) * window_ms);
                window.ran_ms += end.min(until) - attempt.started.max(from);
                window.targets.insert(&attempt.target);
            }
        }
    }
    windows
}

/// Returns how long an attempt took, if it is done and took ordinary time.
fn ordinary_ms(job: &Job, attempt: &Attempt) -> Option<i64> {
    let end = attempt.end.as_ref().filter(|end| end.done)?;
    let ordinary = end.took_ms as f64 <= SLOW_FACTOR * job.chain_ms;
    ordinary.then_some(end.took_ms)
}
