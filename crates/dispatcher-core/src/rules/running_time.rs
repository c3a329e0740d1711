//! Estimates how long tasks of one kind run on an ordinary target.
//!
//! **Rule.** Tasks of one *kind* share their pool, and their estimate and processor time to a
//! factor of 2: a holder of targets isn't sent a task's queue, and queues of one pool mostly differ
//! in these. For each kind the ratios of running time to estimate form a histogram in steps of a
//! third of an octave, from ends on any target and for any owner, each divided by the slowdown of
//! its target ([`super::target_speed`]) and by that of its data's distance. Ends decay with
//! `MEMORY_MS` and `MEMORY_ENDS`, whichever is shorter, but for the last few. If most of the last
//! ends lie outside the usual range, all earlier ones are removed: the work has changed. A few
//! prior ends around the estimate are added, which alone determine a kind that isn't known. The
//! median, the tail and the remaining time of a running task follow from the histogram. A task
//! *overruns* after `OVERRUN_TAIL_FACTOR` times the tail.
//!
//! **Inputs.** Ratios without unit, times in ms. **Reason.** Unlike a mean and a deviation, a
//! histogram shows that a few tasks take many times as long by nature, so that a task past its
//! estimate is likely one of them on a healthy target. Long tasks move neither the median nor, by
//! themselves, the slowdown of targets. A task stopped as an overrun counts with the time it ran,
//! so that estimates that are far too low are corrected. **Trade-off.** Queues of one pool with
//! similar tasks share a histogram. Where no progress is reported, a hung task of a kind with a
//! long tail is waited for.

use gannetridge_wire::Name;

use crate::message::TaskOrder;
use crate::Millis;

/// Histogram steps per doubling of the ratio.
pub(super) const STEPS_PER_OCTAVE: f64 = 3.0;
/// Steps from the smallest ratio to 1: six octaves.
const STEPS_BELOW_ONE: usize = 18;
/// Steps of the histogram: sixteen octaves.
const STEPS: usize = 48;
/// The time in which weights decay to about a third, in ms: work changes over hours, and tails only
/// show in some hundred ends.
const MEMORY_MS: Millis = 60_000;
/// The bound of the total weight of ends, about: a change in a busy kind is detected early, and a
/// tail of one task in a hundred still shows.
const MEMORY_ENDS: f32 = 300.0;
/// The weight of ends that time alone doesn't reduce, about, so that rare kinds stay known by their
/// last ends.
const MIN_RETAINED_ENDS: f32 = 16.0;
/// The number of last ends that are checked for a change of the work.
const LAST_ENDS: usize = 16;
/// The number of unusual ones among the last ends that shows a change of the work.
const CHANGED_ENDS: usize = 12;
/// The quantiles between which a running time is usual.
const USUAL_QUANTILES: (f64, f64) = (0.05, 0.95);
/// Prior ends, as ratios: estimates are assumed right to a factor of 2.
const PRIOR_RATIOS: [f64; 5] = [0.5, 0.71, 1.0, 1.41, 2.0];
/// The weight of ends at which the certainty is one half.
const HALF_KNOWN_ENDS: f32 = 8.0;
/// The quantile of the tail.
const TAIL_QUANTILE: f64 = 0.99;
/// The least upper bound of running times, as a multiple of the median.
const MIN_UPPER_BOUND_FACTOR: f64 = 4.0;
/// A task overruns after this many times the tail: about four times the estimate for an unknown
/// kind.
const OVERRUN_TAIL_FACTOR: f64 = 2.0;
/// The time added to the overrun limit, in ms: allows for calls and listings.
const OVERRUN_MARGIN_MS: f64 = 150.0;
/// The remaining time of a task that has run longer than all known ones, as a share of its running
/// time so far.
const REMAINING_SHARE_BEYOND_ALL: f64 = 0.5;
/// The estimate of tasks without a usable one, in ms.
const UNKNOWN_ESTIMATE_MS: Millis = 1_000;
/// The least estimate, in ms: calls and listings take as long.
const MIN_ESTIMATE_MS: Millis = 10;
/// The largest usable estimate, in ms: longer than any caller waits.
const MAX_USABLE_ESTIMATE_MS: Millis = 600_000;

/// Returns the estimate in ms that is used for a caller's estimate.
#[must_use]
pub fn usable_estimate_ms(estimate_ms: Millis) -> Millis {
    if is_usable(estimate_ms) {
        estimate_ms.max(MIN_ESTIMATE_MS)
    } else {
        UNKNOWN_ESTIMATE_MS
    }
}

/// Returns whether a caller's estimate is usable.
fn is_usable(estimate_ms: Millis) -> bool {
    (1..=MAX_USABLE_ESTIMATE_MS).contains(&estimate_ms)
}

/// A kind of task: the properties shared by tasks whose running times are learned together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKind {
    /// The pool of the tasks.
    pub pool: Name,
    /// The binary logarithm of the estimate in ms, rounded down; none if the estimate isn't usable.
    pub estimate_octave: Option<u32>,
    /// The binary logarithm of the processor time in thousandths of a core, rounded down.
    pub cpu_octave: u32,
}

impl TaskKind {
    /// Returns the kind of a task order.
    #[must_use]
    pub fn of(order: &TaskOrder) -> Self {
        Self {
            pool: order.pool.clone(),
            estimate_octave: is_usable(order.estimate_ms)
                .then(|| usable_estimate_ms(order.estimate_ms).ilog2()),
            cpu_octave: order.resources.cpu.max(1).ilog2(),
        }
    }
}

/// The running times of tasks of one kind on an ordinary target, as ratios to their estimates.
#[derive(Clone, Debug)]
pub struct RunningTimes {
    /// The weight of ends in each step.
    ends: [f32; STEPS],
    /// When the weights last decayed, in ms.
    at: Millis,
    /// The last ends, the latest first.
    last: [LastEnd; LAST_ENDS],
}

/// One of the last ends of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct LastEnd {
    step: usize,
    /// Whether its ratio was outside the usual range of those before it.
    unusual: bool,
}

impl RunningTimes {
    /// Creates running times without any end.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            ends: [0.0; STEPS],
            at: now,
            last: [LastEnd::default(); LAST_ENDS],
        }
    }

    /// Records an end: the ratio of running time to estimate on an ordinary target.
    pub fn record_end(&mut self, now: Millis, ratio: f64) {
        self.record_last(ratio);
        self.decay(now);
        self.ends[step_of(ratio)] += 1.0;
        if self.has_changed() {
            self.reset_to_last();
        }
    }

    /// Adds an end to the last ones.
    fn record_last(&mut self, ratio: f64) {
        let (few, most) = USUAL_QUANTILES;
        let usual = self.quantile(few)..=self.quantile(most);
        self.last.rotate_right(1);
        self.last[0] = LastEnd {
            step: step_of(ratio),
            unusual: !usual.contains(&ratio),
        };
    }

    /// Returns whether the last ends show that the work has changed.
    fn has_changed(&self) -> bool {
        let unusual = self.last.iter().filter(|end| end.unusual).count();
        unusual >= CHANGED_ENDS && self.sample_weight() > LAST_ENDS as f32
    }

    /// Removes all but the last ends.
    fn reset_to_last(&mut self) {
        self.ends = [0.0; STEPS];
        for end in &mut self.last {
            self.ends[end.step] += 1.0;
            end.unusual = false;
        }
    }

    /// Decays the weights by the time since they last did, and by one more end.
    fn decay(&mut self, now: Millis) {
        let since = now.saturating_sub(self.at) as f32;
        let by_time = (-since / MEMORY_MS as f32).exp();
        let least = (MIN_RETAINED_ENDS / self.sample_weight().max(MIN_RETAINED_ENDS)).min(1.0);
        let factor = by_time.max(least) * (1.0 - 1.0 / MEMORY_ENDS);
        for weight in &mut self.ends {
            *weight *= factor;
        }
        self.at = self.at.max(now);
    }

    /// Records that a task was stopped after it had run for this ratio, if that is more than the
    /// median.
    pub fn record_stopped(&mut self, now: Millis, ratio: f64) {
        if ratio > self.median() {
            self.record_end(now, ratio);
        }
    }

    /// Returns when the last end was recorded, or when this was created, in ms.
    #[must_use]
    pub fn last_end(&self) -> Millis {
        self.at
    }

    /// Returns the total weight of the recorded ends.
    #[must_use]
    pub fn sample_weight(&self) -> f32 {
        self.ends.iter().sum()
    }

    /// Returns how certain the running times are, from 0 to 1.
    #[must_use]
    pub fn certainty(&self) -> f64 {
        let known = self.sample_weight();
        f64::from(known / (known + HALF_KNOWN_ENDS))
    }

    /// Returns the ratio that half of the tasks exceed.
    #[must_use]
    pub fn median(&self) -> f64 {
        self.quantile(0.5)
    }

    /// Returns the ratio that one task in 100 exceeds.
    #[must_use]
    pub fn tail(&self) -> f64 {
        self.quantile(TAIL_QUANTILE)
    }

    /// Returns the longest ratio to expect, also where few ends leave the tail unknown.
    #[must_use]
    pub fn upper_bound(&self) -> f64 {
        self.tail().max(self.median() * MIN_UPPER_BOUND_FACTOR)
    }

    /// Returns the ratio that a share of the tasks stays below.
    #[must_use]
    pub fn quantile(&self, share: f64) -> f64 {
        let weights = self.weights();
        let mut left = share * weights.iter().sum::<f64>();
        for (step, weight) in weights.iter().enumerate() {
            if left <= *weight && *weight > 0.0 {
                return ratio_at(step as f64 + left / weight);
            }
            left -= weight;
        }
        ratio_at(STEPS as f64)
    }

    /// Returns the share of the tasks that take about this ratio: those in its step of the
    /// histogram, smoothed with the steps beside it, so that few ends leave no gaps.
    ///
    /// Where the kind isn't known, all ratios are about equally likely: a wrong estimate doesn't
    /// show that a target is slow.
    #[must_use]
    pub fn likelihood(&self, ratio: f64) -> f64 {
        let step = step_of(ratio);
        let beside = self.ends[step.saturating_sub(1)] + self.ends[(step + 1).min(STEPS - 1)];
        let about = self.ends[step] / 2.0 + beside / 4.0;
        let share = about / self.sample_weight().max(f32::MIN_POSITIVE);
        self.blend(f64::from(share), 1.0 / STEPS as f64)
    }

    /// Returns the share of the tasks that take longer than this ratio.
    #[must_use]
    pub fn share_longer_than(&self, ratio: f64) -> f64 {
        let longer: f32 = self.ends[step_of(ratio)..].iter().sum();
        let share = longer / self.sample_weight().max(f32::MIN_POSITIVE);
        self.blend(f64::from(share), 1.0)
    }

    /// Returns the expected remaining time of a task that has run for `run`, both as ratios.
    #[must_use]
    pub fn expected_remaining(&self, run: f64) -> f64 {
        let weights = self.weights();
        let first = step_of(run);
        let longer = (first..STEPS).filter_map(|step| {
            let middle = ratio_at(step as f64 + 0.5);
            (middle > run).then_some((weights[step], middle - run))
        });
        let (total, left) = longer.fold((0.0, 0.0), |(total, left), (weight, more)| {
            (total + weight, left + weight * more)
        });
        if total > f64::EPSILON {
            left / total
        } else {
            run * REMAINING_SHARE_BEYOND_ALL
        }
    }

    /// Returns after how many ms a task overruns, if tasks take `scale_ms` at a ratio of 1.
    #[must_use]
    pub fn overrun_after_ms(&self, scale_ms: f64) -> Millis {
        (self.tail() * OVERRUN_TAIL_FACTOR * scale_ms + OVERRUN_MARGIN_MS) as Millis
    }

    /// Returns the weights including the prior ends.
    fn weights(&self) -> [f64; STEPS] {
        let mut weights = self.ends.map(f64::from);
        for ratio in PRIOR_RATIOS {
            weights[step_of(ratio)] += 1.0;
        }
        weights
    }

    /// Returns the mean of both values, weighted by the certainty of the kind.
    fn blend(&self, known: f64, unknown: f64) -> f64 {
        let certainty = self.certainty();
        certainty * known + (1.0 - certainty) * unknown
    }
}

/// Returns the step of a ratio; ratios outside the histogram fall into its first or last step.
fn step_of(ratio: f64) -> usize {
    let step = ratio.max(f64::MIN_POSITIVE).log2() * STEPS_PER_OCTAVE;
    (step + STEPS_BELOW_ONE as f64).clamp(0.0, (STEPS - 1) as f64) as usize
}

/// Returns the ratio at a position in the histogram, counted in steps.
fn ratio_at(step: f64) -> f64 {
    ((step - STEPS_BELOW_ONE as f64) / STEPS_PER_OCTAVE).exp2()
}
