//! A dispatcher with perfect knowledge and no delays: the limit for any other
//! on the same jobs.

use std::collections::{BTreeMap, VecDeque};

use crate::report::Ratios;

/// A job of the trace.
#[derive(Clone, Debug)]
pub struct TraceJob {
    /// When it comes, in µs.
    pub at_us: u64,
    /// Its tasks' times, in ms.
    pub tasks_ms: Vec<u64>,
}

/// Runs a trace on `slots` slots, first come first served, each task as soon
/// as any slot is free. Adds `trips_us` to each response.
#[must_use]
pub fn run(trace: &[TraceJob], slots: u32, trips_us: u64) -> Ratios {
    let mut ratios = Ratios::default();
    let mut free = slots;
    let mut ends: BTreeMap<(u64, usize), u32> = BTreeMap::new();
    let mut waiting: VecDeque<(usize, u64)> = VecDeque::new();
    let mut left: Vec<usize> = trace.iter().map(|job| job.tasks_ms.len()).collect();
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
            left[job] -= count as usize;
            if left[job] == 0 {
                let slowest = trace[job].tasks_ms.iter().max().copied().unwrap_or(0);
                let response = now - trace[job].at_us + trips_us;
                ratios.add(response, slowest * 1_000 + trips_us);
            }
        } else {
            // The longest tasks first.
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
