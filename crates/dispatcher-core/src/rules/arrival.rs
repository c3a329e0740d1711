//! What a host tells a caller on arrival of its job, from the wait that it knows.
//!
//! **Rule.** The wait is the time in which the pool's targets do the work that goes before
//! the job ([`super::waiting_order`]) and the job itself. A job that can be on time is taken.
//! One that will be late is taken if it could wait for all that waits and its answer would
//! still be worth something: then it takes no room from a job on time. All others are refused
//! at once as not run; they may come back when the wait is short enough for them, spread by
//! their ids over as long again.
//!
//! Nothing is refused while a target that could run it has room, as this host knows, nor where
//! too little is known: less than `MIN_KNOWN_SHARE` of the pool's processor time was heard of
//! lately. A host that has just started knows nothing, so its jobs wait for the first targets.
//!
//! **Inputs.** Loads of hosts' targets ([`PoolLoad`]) with their age in ms, at which each
//! may have done what waited; processor time in thousandths of a core, work in core-ms, the
//! job's times in ms. **Reason.** A caller that is refused at once can still go elsewhere or
//! do without; one that waits in vain loses that time, and takes the room of others if it is
//! started after all. Whatever isn't known counts in favour of the job: a refusal in error is
//! worse than a wait. **Gives up.** More urgent jobs that arrive later aren't foreseen: some
//! that are taken are given up by [`super::giving_up`]. The pool counts as one target.

use std::collections::BTreeMap;

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::decision::Forecast;
use crate::message::PoolLoad;
use crate::Millis;

use super::priority::worth_ms;

/// The part of a pool's processor time that must be known of for a refusal: then the rest
/// can't hold as much room again.
const MIN_KNOWN_SHARE: f64 = 0.5;
/// The least and the longest time after which a refused caller may come back, in ms: the load
/// of other hosts is known no sooner, and not foreseen for longer.
const RETRY_AFTER_MS: (Millis, Millis) = (200, 3_000);

/// What is known of the targets of one pool.
#[derive(Clone, Debug, Default)]
pub struct KnownPoolLoad {
    /// Thousandths of a core that the targets have that were heard of lately.
    known_cpu: u64,
    used_cpu: u64,
    /// Thousandths of a core that all targets of the list have.
    listed_cpu: u64,
    /// Work that waits, in core-ms, by urgency.
    waiting: BTreeMap<u8, u64>,
    /// The age of the oldest load that counts, in ms.
    age_ms: Option<Millis>,
}

impl KnownPoolLoad {
    /// Sums up loads of the pool's holders, each with its age; those older than `fresh_ms`
    /// don't count. `listed_cpu` thousandths of a core are in the list of targets.
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
        // The most urgent comes first, and may have been done since.
        let mut done = capacity_cpu * age_ms / 1_000;
        for work in &load.waiting {
            let left = work.core_ms.saturating_sub(done);
            done = done.saturating_sub(work.core_ms);
            *self.waiting.entry(work.urgency).or_default() += left;
        }
    }

    /// Returns whether enough is known for a refusal.
    #[must_use]
    pub fn is_sufficient(&self) -> bool {
        let needed = MIN_KNOWN_SHARE * self.listed_cpu as f64;
        self.known_cpu > 0 && self.known_cpu as f64 >= needed
    }

    /// Returns the thousandths of a core that were heard of and aren't in use.
    #[must_use]
    pub fn free_cpu(&self) -> u64 {
        self.known_cpu.saturating_sub(self.used_cpu)
    }

    /// Returns the thousandths of a core that were heard of.
    #[must_use]
    pub fn known_cpu(&self) -> u64 {
        self.known_cpu
    }

    /// Returns the age of the oldest load that counts, in ms.
    #[must_use]
    pub fn age_ms(&self) -> Option<Millis> {
        self.age_ms
    }

    /// Returns the time in which the work of an urgency and of more urgent ones is done,
    /// and `more_core_ms` besides; in ms.
    ///
    /// # Panics
    ///
    /// Panics if nothing is known.
    #[must_use]
    pub fn wait_ms(&self, urgency: u8, more_core_ms: u64) -> Millis {
        let before: u64 = self.waiting.range(..=urgency).map(|(_, work)| work).sum();
        (before + more_core_ms) * 1_000 / self.known_cpu
    }
}

/// A job that arrives; times in ms.
#[derive(Clone, Copy, Debug)]
pub struct ArrivingJob<'a> {
    /// Its id.
    pub id: &'a Name,
    /// Its queue's urgency; 0 is the most urgent.
    pub urgency: u8,
    /// What all of its tasks take, in core-ms.
    pub core_ms: u64,
    /// The estimate of its longest chain of tasks.
    pub chain_ms: Millis,
    /// Its latency objective.
    pub objective_ms: Millis,
    /// How long its caller waits.
    pub deadline_ms: Millis,
    /// Whether a target that could run it has room, here or at a peer that was heard lately.
    pub has_free_target: bool,
}

/// What becomes of a job on its arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// What is expected.
    pub forecast: Forecast,
    /// How long it would wait for its last task to start, in ms, if that is known.
    pub wait_ms: Option<Millis>,
    /// When its caller may come back, in ms, if it is refused.
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

/// Decides whether a job is taken.
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
    let behind_all_ms = pool.wait_ms(u8::MAX, job.core_ms);
    let worth_ms = worth_ms(job.objective_ms).min(job.deadline_ms);
    if behind_all_ms + job.chain_ms <= worth_ms {
        return Arrival::accepted(Forecast::Late, Some(behind_all_ms));
    }
    Arrival {
        forecast: Forecast::Refused,
        wait_ms: Some(wait_ms),
        retry_after_ms: Some(retry_after_ms(wait_ms - slack_ms, job.id)),
    }
}

/// Returns when the caller of a job may come back for which there is room in `until_ms`: other
/// callers of that time come at other moments.
fn retry_after_ms(until_ms: Millis, id: &str) -> Millis {
    let (least, longest) = RETRY_AFTER_MS;
    let first = until_ms.clamp(least, longest / 2);
    first + xxh3_64(id.as_bytes()) % first
}
