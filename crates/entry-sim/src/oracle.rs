//! An ideal first-come, first-served dispatcher with full knowledge and no network delay,
//! for comparison on the same jobs.

use std::collections::{BTreeMap, VecDeque};

use crate::report::Ratios;

/// A job of a recorded load.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// Arrival time, in µs.
    pub at_us: u64,
    /// Run time of each task, in ms.
    pub tasks_ms: Vec<u64>,
}

/// Runs a trace on `slots` slots, first come, first served, and starts each task as soon
/// as any slot is free. Adds `round_trip_us` to each response time and each ideal time.
#[must_use]
pub fn run(trace: &[TraceJob], slots: u32, round_trip_us: u64) -> Ratios {
    let mut ratios = Ratios::default();
    let mut free = slots;
    let mut ends: BTreeMap<(u64, usize), u32> = BTreeMap::new();
    let mut waiting: VecDeque<(usize, u64)> = VecDeque::new();
    let mut tasks_left: Vec<usize> = trace.iter().map(|job| job.tasks_ms.len()).collect();
    let mut next = 0;
    loop {
        let arrival = trace.get(next).map(|job| job.at_us);
        let end = ends.first_key_value().map(|((at, _), _)| *at);
        let now = match (arrival, end) {
            (None, None) => return ratios,
            (Some(a), Some(e)) => a.min(e),
            (Some(a), None) => a,
            (None, Some(e)) => e,
        };
        if end == Some(now) {
            let ((_, job), count) = ends.pop_first().expect("just seen");
            free += count;
            tasks_left[job] -= count as usize;
            if tasks_left[job] == 0 {
                let slowest = trace[job].tasks_ms.iter().max().copied().unwrap_or(0);
                let response = now - trace[job].at_us + round_trip_us;
                ratios.add(response, slowest * 1_000 + round_trip_us);
            }
        } else {
            // Within a job, the longest task starts first.
            let mut tasks = trace[next].tasks_ms.clone();
            tasks.sort_unstable_by(|a, b| b.cmp(a));
            waiting.extend(tasks.into_iter().map(|ms| (next, ms)));
            next += 1;
        }
        while free > 0 {
            let Some((job, ms)) = waiting.pop_front() else {
                break;
            };
            free -= 1;
            *ends.entry((now + ms * 1_000, job)).or_default() += 1;
        }
    }
}
