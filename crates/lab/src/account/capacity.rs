//! What no host could have served: the work that was asked for, against what the well
//! targets can hold.
//!
//! A target holds as many tasks at a time as it was ever seen to hold. It is well in a
//! window in which a task of it was done in ordinary time, or none was to be done. The
//! bound is generous: it packs tasks of any size together, and moves work freely within
//! a window.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::jobs::Job;

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
    let slots = most_at_once(jobs);
    let all: usize = slots.values().sum();
    let mut windows: BTreeMap<i64, Window> = BTreeMap::new();
    for job in jobs {
        let window = windows
            .entry(job.accepted.div_euclid(window_ms))
            .or_default();
        window.asked_ms += work_ms(job);
    }
    let well = well_targets(jobs, window_ms);
    for (at, window) in &mut windows {
        let whole = (all as i64 * window_ms) as f64;
        let busy = window.asked_ms > ALL_BUSY * whole;
        window.held_ms = match well.get(at) {
            Some(targets) if busy => {
                let held: usize = targets.iter().map(|target| slots[target]).sum();
                (held as i64 * window_ms) as f64
            }
            _ => whole,
        };
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

/// Returns how many tasks each target was seen to hold at most.
fn most_at_once(jobs: &[Job]) -> HashMap<&str, usize> {
    let mut changes: HashMap<&str, Vec<(i64, i64)>> = HashMap::new();
    for attempt in jobs.iter().flat_map(|job| &job.attempts) {
        let Some(end) = attempt.end.as_ref().filter(|end| end.done) else {
            continue;
        };
        let of_target = changes.entry(&attempt.target).or_default();
        of_target.push((attempt.started + end.took_ms, -1));
        of_target.push((attempt.started, 1));
    }
    let most = changes.into_iter().map(|(target, mut changes)| {
        // Ends go before starts of the same moment.
        changes.sort_unstable();
        let mut now = 0;
        let counts = changes.into_iter().map(|(_, change)| {
            now += change;
            now
        });
        (target, counts.max().unwrap_or(0).max(0) as usize)
    });
    most.collect()
}

/// Returns the targets that did a task in each window.
fn well_targets(jobs: &[Job], window_ms: i64) -> HashMap<i64, BTreeSet<&str>> {
    let mut well: HashMap<i64, BTreeSet<&str>> = HashMap::new();
    for attempt in jobs.iter().flat_map(|job| &job.attempts) {
        if let Some(end) = attempt.end.as_ref().filter(|end| end.done) {
            let at = (attempt.started + end.took_ms).div_euclid(window_ms);
            well.entry(at).or_default().insert(&attempt.target);
        }
    }
    well
}
