//! Computes which queue is served next, and which hall of origin within it.
//!
//! **Rule.** Start-time fair queueing, a weighted max-min share in two levels: the queues of one
//! urgency, and the halls of origin of one queue. Each has a virtual time, which grows by the
//! processor time of its started tasks over its weight; the least is served first. No capacity is
//! reserved: while one has no waiting task the others use its share, and when it returns it starts
//! at the least virtual time of the others. It neither gains from the share that it left unused nor
//! pays for what it used of others' shares. Between two that always wait, usage over weight differs
//! by the largest task of each at most.
//!
//! Urgencies have no shares but a minimum: an urgency that used less than [`MIN_SHARE`] of what was
//! started recently is served before more urgent ones, so that it isn't starved. The next task of
//! `core_ms` waits until the usage counted for the earlier ones has decayed: at most `HALF_LIFE_MS
//! * log2(1 + core_ms / (MIN_SHARE * all))`.
//!
//! **Inputs.** Processor time of started tasks by estimate in core-ms, time in ms, weights.
//! **Reason.** A queue or a hall that sends more than its share makes only its own callers wait.
//! Client accounts aren't known here; a queue stands for one. **Trade-off.** Each holder counts
//! what it starts itself: shares are equal over all holders as far as tasks of all queues and halls
//! reach each of them. A lost attempt counts as usage.

use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::{Millis, Urgency};

/// The share of the capacity that the waiting tasks of each urgency get, whatever more urgent work
/// waits.
pub const MIN_SHARE: f64 = 0.05;
/// The usage of an urgency counts half after this time, in ms: within the deadlines of callers, so
/// that the minimum share is granted in time.
const HALF_LIFE_MS: f64 = 1_000.0;
/// The most names that one level tracks: bounds memory.
const MAX_TRACKED_NAMES: usize = 128;

/// Weights of queues and of halls; a missing one counts as 1. No setting sets them: in the
/// dispatcher all are 1.
#[derive(Clone, Debug, Default)]
pub struct Weights {
    /// Weights by queue.
    pub queues: BTreeMap<Name, u32>,
    /// Weights by hall.
    pub halls: BTreeMap<Name, u32>,
}

/// The queue and hall on whose behalf a task runs.
#[derive(Clone, Copy, Debug)]
pub struct Origin<'a> {
    /// The urgency of its queue; 0 is the most urgent.
    pub urgency: Urgency,
    /// The queue of the job.
    pub queue: &'a Name,
    /// The hall of the host that its caller is connected to.
    pub hall: &'a Name,
}

/// The virtual times at which an origin's next task starts, in core-ms over weights; the least is
/// served first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct VirtualStart {
    /// The virtual time of its queue among those of its urgency.
    pub queue: f64,
    /// The virtual time of its hall within the queue.
    pub hall: f64,
}

/// The virtual times of the names that share one resource.
#[derive(Clone, Debug, Default)]
struct FairQueue {
    /// The virtual time at which a name starts that has had no waiting task.
    virtual_time: f64,
    /// Names that were served beyond it, each with its own virtual time.
    served: Vec<(Name, f64)>,
}

impl FairQueue {
    /// Returns the virtual time at which the next task of a name starts.
    fn start_of(&self, name: &Name) -> f64 {
        let found = self.served.iter().find(|(other, _)| other == name);
        found.map_or(self.virtual_time, |(_, until)| until.max(self.virtual_time))
    }

    /// Returns whether a name was served beyond the virtual time.
    fn is_ahead(&self, name: &Name) -> bool {
        self.start_of(name) > self.virtual_time
    }

    fn record_start(&mut self, name: &Name, cost: f64) {
        let until = self.start_of(name) + cost;
        match self.served.iter_mut().find(|(other, _)| other == name) {
            Some(entry) => entry.1 = until,
            None => self.add_name(name, until),
        }
    }

    /// Adds a name; if the limit is reached, removes the one that is least ahead.
    fn add_name(&mut self, name: &Name, until: f64) {
        if self.served.len() >= MAX_TRACKED_NAMES {
            let entries = self.served.iter().enumerate();
            let least = entries.min_by(|(_, a), (_, b)| a.1.total_cmp(&b.1));
            if let Some((position, _)) = least {
                self.served.swap_remove(position);
            }
        }
        self.served.push((name.clone(), until));
    }

    /// Advances the virtual time to the least of the waiting names.
    fn advance<'a>(&mut self, waiting: impl Iterator<Item = &'a Name>) {
        let starts = waiting.map(|name| self.start_of(name));
        if let Some(least) = starts.min_by(f64::total_cmp) {
            self.virtual_time = least;
            self.served.retain(|(_, until)| *until > least);
        }
    }
}

/// The usage of the queues of one urgency.
#[derive(Clone, Debug, Default)]
struct Level {
    queues: FairQueue,
    /// Virtual times of the halls of origin, by queue.
    halls: BTreeMap<Name, FairQueue>,
    /// Processor time of recently started tasks, in core-ms; decays.
    used: f64,
}

impl Level {
    fn advance<'a>(&mut self, waiting: impl Iterator<Item = Origin<'a>> + Clone) {
        let queues = waiting.clone().map(|origin| origin.queue);
        self.queues.advance(queues.clone());
        for (queue, halls) in &mut self.halls {
            let of_queue = waiting.clone().filter(|origin| origin.queue == queue);
            halls.advance(of_queue.map(|origin| origin.hall));
        }
        // The usage of a queue's halls is kept while the queue waits or is ahead.
        let waits = |queue: &Name| queues.clone().any(|other| other == queue);
        let fair_queue = &self.queues;
        self.halls
            .retain(|queue, _| fair_queue.is_ahead(queue) || waits(queue));
    }
}

/// The usage by queues and halls of the targets that a host holds, in all pools together, so that
/// the pools follow one order.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    weights: Weights,
    levels: BTreeMap<Urgency, Level>,
    /// When the usage of urgencies last decayed, in ms.
    decayed: Millis,
}

impl Shares {
    /// Creates shares without usage.
    #[must_use]
    pub fn new(weights: Weights) -> Self {
        Self {
            weights,
            ..Self::default()
        }
    }

    /// Records the start of a task.
    pub fn record_start(&mut self, now: Millis, origin: &Origin<'_>, core_ms: u64) {
        self.decay(now);
        let core_ms = core_ms as f64;
        let level = self.levels.entry(origin.urgency).or_default();
        level.used += core_ms;
        let queue_cost = core_ms / weight(&self.weights.queues, origin.queue);
        level.queues.record_start(origin.queue, queue_cost);
        let halls = level.halls.entry(origin.queue.clone()).or_default();
        halls.record_start(
            origin.hall,
            core_ms / weight(&self.weights.halls, origin.hall),
        );
    }

    /// Updates the virtual times by the origins of the waiting tasks; called before origins are
    /// compared.
    pub fn advance<'a>(&mut self, now: Millis, waiting: impl Iterator<Item = Origin<'a>> + Clone) {
        self.decay(now);
        for (urgency, level) in &mut self.levels {
            let here = waiting.clone().filter(|origin| origin.urgency == *urgency);
            level.advance(here);
        }
    }

    /// Returns the virtual times at which an origin's next task starts.
    #[must_use]
    pub fn virtual_start(&self, origin: &Origin<'_>) -> VirtualStart {
        let level = self.levels.get(&origin.urgency);
        let halls = level.and_then(|level| level.halls.get(origin.queue));
        VirtualStart {
            queue: level.map_or(0.0, |level| level.queues.start_of(origin.queue)),
            hall: halls.map_or(0.0, |halls| halls.start_of(origin.hall)),
        }
    }

    /// Returns whether an urgency has used less than its minimum share.
    #[must_use]
    pub fn is_below_min_share(&self, urgency: Urgency) -> bool {
        let all: f64 = self.levels.values().map(|level| level.used).sum();
        let used = self.levels.get(&urgency).map_or(0.0, |level| level.used);
        used < MIN_SHARE * all
    }

    /// Decays the usage of urgencies.
    fn decay(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.decayed) as f64;
        let factor = (-passed / HALF_LIFE_MS).exp2();
        for level in self.levels.values_mut() {
            level.used *= factor;
        }
        self.decayed = self.decayed.max(now);
    }
}

/// Returns the weight of a name, above 0.
fn weight(weights: &BTreeMap<Name, u32>, name: &Name) -> f64 {
    let weight = weights.get(name).copied().unwrap_or(1);
    f64::from(weight.max(1))
}
