//! How long tasks of one kind run on an ordinary target.
//!
//! **Rule.** Tasks of one *kind* have their pool, and their estimate and processor time to a
//! factor of 2, in common: a holder of targets isn't told a task's queue, and queues of one pool
//! mostly differ in these. For each kind the ratios of running time to estimate make a
//! histogram in steps of a third of an octave, from ends on whichever target and for whichever
//! owner, each divided by how slow its target is ([`super::target_speed`]) and by what its
//! data's distance costs. Ends fade with `MEMORY_MS` and `MEMORY_ENDS`, whichever is
//! shorter, but for the last few. Where most of the last ends lie beyond what was usual, all
//! before them are forgotten: the work has changed. A few imagined ends around the estimate are
//! added, which alone speak for a kind that isn't known. From this follow the median, the tail,
//! and what is left of a task that has run for some time. A task *overruns* after `OVERRUN_TAIL_FACTOR` times the tail.
//!
//! **Inputs.** Ratios without unit, times in ms. **Reason.** A histogram shows what a mean and a
//! spread don't: that a few tasks take many times as long by their own nature, so that a task
//! past its estimate is likely one of them and its target well. Long tasks move neither the
//! median nor, by themselves, what is believed of targets. A task stopped as an overrun counts
//! with the time it had: estimates that are far too low are outgrown, not enforced for ever.
//! **Gives up.** Queues of one pool whose tasks look alike share a histogram. Where no progress
//! is told, a hung task of a kind with a long tail is waited for.

use gannetridge_wire::Name;

use crate::message::TaskOrder;
use crate::Millis;

/// Steps of a histogram in a doubling of the ratio.
pub(super) const STEPS_PER_OCTAVE: f64 = 3.0;
/// Steps from the smallest ratio to 1: six octaves.
const STEPS_BELOW_ONE: usize = 18;
/// Steps of the histogram: sixteen octaves.
const STEPS: usize = 48;
/// Ends fade to a third in this time, in ms: callers' work changes with its hour and their
/// releases, and tails show only in some hundred ends.
const MEMORY_MS: Millis = 60_000;
/// No more than about so many ends count: a busy kind's change is seen sooner, and a tail of one
/// task in a hundred still shows.
const MEMORY_ENDS: f32 = 300.0;
/// Time alone leaves about so many ends: a kind whose tasks come rarely is known by its last.
const MIN_RETAINED_ENDS: f32 = 16.0;
/// How many of the last ends are looked at for a change of the work.
const LAST_ENDS: usize = 16;
/// So many of these lie beyond the usual once the work has changed.
const CHANGED_ENDS: usize = 12;
/// The parts of a kind's tasks between which a running time is usual.
const USUAL_QUANTILES: (f64, f64) = (0.05, 0.95);
/// Imagined ends, as ratios: callers' estimates are right to a factor of 2.
const PRIOR_RATIOS: [f64; 5] = [0.5, 0.71, 1.0, 1.41, 2.0];
/// A kind with this weight of ends is known as well as not.
const HALF_KNOWN_ENDS: f32 = 8.0;
/// The part of tasks that end before the tail.
const TAIL_QUANTILE: f64 = 0.99;
/// Some task may take so many times the median, though none of the known ones did.
const MIN_UPPER_BOUND_FACTOR: f64 = 4.0;
/// A task overruns after so many times the tail: four times the estimate while nothing is known.
const OVERRUN_TAIL_FACTOR: f64 = 2.0;
/// An attempt overruns no sooner than this beyond that, in ms: calls and listings take it.
const OVERRUN_MARGIN_MS: f64 = 150.0;
/// What a task that outlived all known ones has left, as a part of the time it has run.
const REMAINING_SHARE_BEYOND_ALL: f64 = 0.5;
/// What callers that give no estimate are taken to mean, in ms: they wait for their answers.
const UNKNOWN_ESTIMATE_MS: Millis = 1_000;
/// No estimate counts as shorter than this, in ms: calls and listings take as long.
const MIN_ESTIMATE_MS: Millis = 10;
/// A longer estimate counts as none, in ms: it is beyond all that callers wait for.
const MAX_USABLE_ESTIMATE_MS: Millis = 600_000;

/// Returns what a caller's estimate counts as, in ms.
#[must_use]
pub fn usable_estimate_ms(estimate_ms: Millis) -> Millis {
    if is_usable(estimate_ms) {
        estimate_ms.max(MIN_ESTIMATE_MS)
    } else {
        UNKNOWN_ESTIMATE_MS
    }
}

/// Returns whether a caller's estimate says anything.
fn is_usable(estimate_ms: Millis) -> bool {
    (1..=MAX_USABLE_ESTIMATE_MS).contains(&estimate_ms)
}

/// A kind of task: what tasks have in common whose running times are learned together.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TaskKind {
    /// The pool.
    pub pool: Name,
    /// The exponent of 2 in the estimate in ms, if that says anything.
    pub estimate_octave: Option<u32>,
    /// The exponent of 2 in the processor time in thousandths of a core.
    pub cpu_octave: u32,
}

impl TaskKind {
    /// Returns an order's kind.
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
    /// When the weights were last faded, in ms.
    at: Millis,
    /// The last ends, the latest first.
    last: [LastEnd; LAST_ENDS],
}

/// One of the last ends of a kind.
#[derive(Clone, Copy, Debug, Default)]
struct LastEnd {
    step: usize,
    /// Whether it lay beyond most of those before it.
    unusual: bool,
}

impl RunningTimes {
    /// Returns what is known before any end.
    #[must_use]
    pub fn new(now: Millis) -> Self {
        Self {
            ends: [0.0; STEPS],
            at: now,
            last: [LastEnd::default(); LAST_ENDS],
        }
    }

    /// Takes an end in: the running time over the estimate, on an ordinary target.
    pub fn record_end(&mut self, now: Millis, ratio: f64) {
        self.record_last(ratio);
        self.fade(now);
        self.ends[step_of(ratio)] += 1.0;
        if self.has_changed() {
            self.reset_to_last();
        }
    }

    /// Keeps one of the last ends.
    fn record_last(&mut self, ratio: f64) {
        let (few, most) = USUAL_QUANTILES;
        let usual = self.quantile(few)..=self.quantile(most);
        self.last.rotate_right(1);
        self.last[0] = LastEnd {
            step: step_of(ratio),
            unusual: !usual.contains(&ratio),
        };
    }

    /// Returns whether the work is another one than most of the ends show.
    fn has_changed(&self) -> bool {
        let unusual = self.last.iter().filter(|end| end.unusual).count();
        unusual >= CHANGED_ENDS && self.sample_weight() > LAST_ENDS as f32
    }

    /// Forgets all but the last ends.
    fn reset_to_last(&mut self) {
        self.ends = [0.0; STEPS];
        for end in &mut self.last {
            self.ends[end.step] += 1.0;
            end.unusual = false;
        }
    }

    /// Lets the ends fade by the time since they last did, and by one more end.
    fn fade(&mut self, now: Millis) {
        let since = now.saturating_sub(self.at) as f32;
        let by_time = (-since / MEMORY_MS as f32).exp();
        let least = (MIN_RETAINED_ENDS / self.sample_weight().max(MIN_RETAINED_ENDS)).min(1.0);
        let kept = by_time.max(least) * (1.0 - 1.0 / MEMORY_ENDS);
        for weight in &mut self.ends {
            *weight *= kept;
        }
        self.at = self.at.max(now);
    }

    /// Takes in that a task was stopped after it had run for so long, if that says anything.
    pub fn record_stopped(&mut self, now: Millis, ratio: f64) {
        if ratio > self.median() {
            self.record_end(now, ratio);
        }
    }

    /// Returns when the last end came, in ms.
    #[must_use]
    pub fn last_end(&self) -> Millis {
        self.at
    }

    /// Returns the weight of ends by which it is known.
    #[must_use]
    pub fn sample_weight(&self) -> f32 {
        self.ends.iter().sum()
    }

    /// Returns how well it is known, between 0 and 1.
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

    /// Returns the ratio that few tasks exceed.
    #[must_use]
    pub fn tail(&self) -> f64 {
        self.quantile(TAIL_QUANTILE)
    }

    /// Returns the longest ratio to reckon with, also where few ends leave the tail unknown.
    #[must_use]
    pub fn upper_bound(&self) -> f64 {
        self.tail().max(self.median() * MIN_UPPER_BOUND_FACTOR)
    }

    /// Returns the ratio that a part of the tasks stays below.
    #[must_use]
    pub fn quantile(&self, part: f64) -> f64 {
        let weights = self.weights();
        let mut left = part * weights.iter().sum::<f64>();
        for (step, weight) in weights.iter().enumerate() {
            if left <= *weight && *weight > 0.0 {
                return ratio_at(step as f64 + left / weight);
            }
            left -= weight;
        }
        ratio_at(STEPS as f64)
    }

    /// Returns the part of the tasks that takes about so long: in one step of the histogram, and
    /// half as much of those beside it, so that few ends leave no gaps.
    ///
    /// Where the kind isn't known, all ratios are about as likely: a wrong estimate says nothing
    /// of a target.
    #[must_use]
    pub fn likelihood(&self, ratio: f64) -> f64 {
        let step = step_of(ratio);
        let beside = self.ends[step.saturating_sub(1)] + self.ends[(step + 1).min(STEPS - 1)];
        let about = self.ends[step] / 2.0 + beside / 4.0;
        let part = about / self.sample_weight().max(f32::MIN_POSITIVE);
        self.blend(f64::from(part), 1.0 / STEPS as f64)
    }

    /// Returns the part of the tasks that takes longer.
    #[must_use]
    pub fn share_longer_than(&self, ratio: f64) -> f64 {
        let longer: f32 = self.ends[step_of(ratio)..].iter().sum();
        let part = longer / self.sample_weight().max(f32::MIN_POSITIVE);
        self.blend(f64::from(part), 1.0)
    }

    /// Returns what is expected to be left of a task that has run for so long, both as ratios.
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

    /// Returns after how long a task overruns, in ms, if tasks take `scale_ms` at a ratio of 1.
    #[must_use]
    pub fn overrun_after_ms(&self, scale_ms: f64) -> Millis {
        (self.tail() * OVERRUN_TAIL_FACTOR * scale_ms + OVERRUN_MARGIN_MS) as Millis
    }

    /// Returns the weights with the imagined ends.
    fn weights(&self) -> [f64; STEPS] {
        let mut weights = self.ends.map(f64::from);
        for ratio in PRIOR_RATIOS {
            weights[step_of(ratio)] += 1.0;
        }
        weights
    }

    /// Returns what the ends say as far as the kind is known, and else the other value.
    fn blend(&self, known: f64, unknown: f64) -> f64 {
        let certainty = self.certainty();
        certainty * known + (1.0 - certainty) * unknown
    }
}

/// Returns the step of a ratio; those beyond the histogram count for its ends.
fn step_of(ratio: f64) -> usize {
    let step = ratio.max(f64::MIN_POSITIVE).log2() * STEPS_PER_OCTAVE;
    (step + STEPS_BELOW_ONE as f64).clamp(0.0, (STEPS - 1) as f64) as usize
}

/// Returns the ratio at a place of the histogram, counted in steps.
fn ratio_at(step: f64) -> f64 {
    ((step - STEPS_BELOW_ONE as f64) / STEPS_PER_OCTAVE).exp2()
}
