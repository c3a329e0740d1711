//! Decides on arrival of a job whether it is accepted, by the wait that is known.
//!
//! **Rule.** The wait is the time in which the pool's targets do the work that goes before the job
//! ([`super::waiting_order`]) and the job itself. A job that can be on time is accepted. One that
//! will be late is accepted if its answer is still worth something after waiting for all waiting
//! work: then it takes no capacity from a job on time. All others are refused at once as not run,
//! with a time to retry at which the wait is short enough; these times are spread by the job ids
//! over as long again.
//!
//! No job is refused while a target that could run it is known to have free capacity, nor while too
//! little is known: recent updates have to cover `MIN_KNOWN_SHARE` of the pool's processor time. A
//! host that has just started knows nothing, so its jobs wait for the first targets.
//!
//! **Inputs.** Loads of hosts' targets ([`PoolLoad`]) with their age in ms, during which the
//! targets may have done waiting work; processor time in thousandths of a core, work in core-ms,
//! the job's times in ms. **Reason.** A caller that is refused at once can still go elsewhere; one
//! that waits in vain loses that time. Whatever isn't known counts in favour of the job, since a
//! wrong refusal is worse than a wait. **Trade-off.** More urgent jobs that arrive later aren't
//! predicted, so [`super::giving_up`] ends some accepted jobs. The pool counts as one target.

use std::collections::BTreeMap;

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::decision::Forecast;
use crate::message::PoolLoad;
use crate::{Millis, Urgency};

use super::priority::worth_ms;

/// The share of a pool's processor time that has to be known for a refusal.
const MIN_KNOWN_SHARE: f64 = 0.5;
/// The bounds of the time after which a refused caller may retry, in ms: updates on other hosts'
/// load don't arrive sooner, and the wait can't be predicted for longer.
const RETRY_AFTER_MS: (Millis, Millis) = (200, 3_000);

/// The known load of the targets of one pool.
#[derive(Clone, Debug, Default)]
pub struct KnownPoolLoad {
    /// Thousandths of a core of the targets with a recent update.
    known_cpu: u64,
    used_cpu: u64,
    /// Thousandths of a core of all listed targets.
    listed_cpu: u64,
    /// Waiting work in core-ms, by urgency.
    waiting: BTreeMap<Urgency, u64>,
    /// The age of the oldest load included, in ms.
    age_ms: Option<Millis>,
}

impl KnownPoolLoad {
    /// Sums up the loads of the pool's holders, each with its age; those older than `fresh_ms` are
    /// left out. `listed_cpu` is the capacity of all listed targets in thousandths of a core.
    #[must_use]
    pub fn new<'a>(
        loads: impl Iterator<Item = (&'a PoolLoad, Millis)>,
        listed_cpu: u64,
        fresh_ms: Millis,
    ) -> Self {
        let mut known = Self {
            listed_cpu,
            ..Self::default()
        };
        for (load, age_ms) in loads.filter(|(_, age_ms)| *age_ms <= fresh_ms) {
            known.add(load, age_ms);
        }
        known
    }

    fn add(&mut self, load: &PoolLoad, age_ms: Millis) {
        let capacity_cpu = u64::from(load.capacity_cpu);
        self.known_cpu += capacity_cpu;
        self.used_cpu += u64::from(load.used_cpu);
        self.age_ms = Some(self.age_ms.unwrap_or(0).max(age_ms));
        // `waiting` is sorted by urgency, and the most urgent work may have been done since the
        // update.
        let mut done = capacity_cpu * age_ms / 1_000;
        for work in &load.waiting {
            let left = work.core_ms.saturating_sub(done);
            done = done.saturating_sub(work.core_ms);
            *self.waiting.entry(work.urgency).or_default() += left;
        }
    }

    /// Returns whether enough is known to refuse a job.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        let needed = MIN_KNOWN_SHARE * self.listed_cpu as f64;
        self.known_cpu > 0 && self.known_cpu as f64 >= needed
    }

    /// Returns the known thousandths of a core that aren't in use.
    #[must_use]
    pub fn free_cpu(&self) -> u64 {
        self.known_cpu.saturating_sub(self.used_cpu)
    }

    /// Returns the known thousandths of a core.
    #[must_use]
    pub fn known_cpu(&self) -> u64 {
        self.known_cpu
    }

    /// Returns the age of the oldest load included, in ms.
    #[must_use]
    pub fn age_ms(&self) -> Option<Millis> {
        self.age_ms
    }

    /// Returns the time in ms in which the waiting work of this and more urgent urgencies, and
    /// `more_core_ms` besides, is done.
    ///
    /// # Panics
    ///
    /// Panics if no capacity is known.
    #[must_use]
    pub fn wait_ms(&self, urgency: Urgency, more_core_ms: u64) -> Millis {
        let before: u64 = self.waiting.range(..=urgency).map(|(_, work)| work).sum();
        (before + more_core_ms) * 1_000 / self.known_cpu
    }
}

/// A job that has just arrived.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingJob<'a> {
    /// The job's id; spreads the times to retry.
    pub id: &'a Name,
    /// The urgency of its queue; 0 is the most urgent.
    pub urgency: Urgency,
    /// The work of all its tasks, in core-ms.
    pub core_ms: u64,
    /// The estimated running time of its longest chain of tasks, in ms.
    pub chain_ms: Millis,
    /// Its latency objective, in ms from its arrival.
    pub objective_ms: Millis,
    /// How long its caller waits for the answer, in ms.
    pub deadline_ms: Millis,
    /// Whether a target that could run it has free capacity, here or at a peer with a recent
    /// update.
    pub has_free_target: bool,
}

/// The decision on a job that has just arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Whether the job is expected to be on time, or is refused.
    pub forecast: Forecast,
    /// How long it would wait for its last task to start, in ms, if known.
    pub wait_ms: Option<Millis>,
    /// After how many ms its caller may retry; set only if the job is refused.
    pub retry_after_ms: Option<Millis>,
}

impl Arrival {
    fn accepted(forecast: Forecast, wait_ms: Option<Millis>) -> Self {
        Self {
            forecast,
            wait_ms,
            retry_after_ms: None,
        }
    }
}

/// Decides whether a job is accepted.
#[must_use]
pub fn decide(pool: &KnownPoolLoad, job: &ArrivingJob<'_>) -> Arrival {
    if !pool.is_sufficient() {
        return Arrival::accepted(Forecast::Unknown, None);
    }
    let wait_ms = pool.wait_ms(job.urgency, job.core_ms);
    let slack_ms = job.objective_ms.saturating_sub(job.chain_ms);
    if job.has_free_target || wait_ms <= slack_ms {
        return Arrival::accepted(Forecast::OnTime, Some(wait_ms));
    }
    let wait_behind_all_ms = pool.wait_ms(Urgency::MAX, job.core_ms);
    let worth_ms = worth_ms(job.objective_ms).min(job.deadline_ms);
    if wait_behind_all_ms + job.chain_ms <= worth_ms {
        return Arrival::accepted(Forecast::Late, Some(wait_behind_all_ms));
    }
    Arrival {
        forecast: Forecast::Refused,
        wait_ms: Some(wait_ms),
        retry_after_ms: Some(retry_after_ms(wait_ms - slack_ms, job.id)),
    }
}

/// Returns after how many ms the caller of a job may retry that could be on time in `until_ms`.
/// Spread by the job's id, so that callers don't return at the same moment.
fn retry_after_ms(until_ms: Millis, id: &str) -> Millis {
    let (least, longest) = RETRY_AFTER_MS;
    let first = until_ms.clamp(least, longest / 2);
    first + xxh3_64(id.as_bytes()) % first
}
