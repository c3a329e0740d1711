//! Estimates how slow a target is compared with others, independent of which tasks it happened to
//! run.
//!
//! **Rule.** For each target, a probability *distribution* of its slowdown: the ratio of running
//! times there to those on an ordinary target, in steps of a third of an octave from 0.4 to 10.
//! Each end multiplies it by the likelihood of that running time for its kind
//! ([`super::running_time`]): a long end says little where some tasks are long by nature, and much
//! where none is. Over some seconds the distribution returns to the average of the target's
//! long-term distribution and the prior of all targets, so that a target that became slow gets
//! tasks again, and a change is detected early. Running attempts count by their pace where progress
//! is reported, and more if that pace has changed, otherwise by how long they have run; they are
//! included in each query, and not stored. A target without ends is assumed to be like those of its
//! labels and size. The slowdown is the mean of the distribution, in logarithms.
//!
//! **Inputs.** Ratios of running time to estimate, with the distance of data factored out; ms.
//! **Reason.** An average of ratios is moved by one odd task; a median of the last few loses old
//! values at once, and can't tell a kind with long tasks from one without. What all targets have in
//! common is due to their tasks; see [`common_slowdown`]. **Trade-off.** A hall in which all
//! targets become slow at once is taken for work that has become longer, until others are compared.

use super::running_time::{RunningTimes, STEPS_PER_OCTAVE};
use crate::Millis;

/// Steps of the distribution, as wide as those of running times.
const STEPS: usize = 15;
/// Steps of the distribution below a slowdown of 1.
const STEPS_BELOW_ONE: usize = 4;
/// The time in which a distribution returns by two thirds, in ms: a target's trouble lasts for
/// seconds, and an unused target provides no ends.
const DECAY_MS: f64 = 5_000.0;
/// The weight of one end in the long-term distribution: some sixty ends count.
const LONG_TERM_WEIGHT: f32 = 1.0 / 64.0;
/// The share of the prior in what a distribution returns to; the rest is the long-term
/// distribution.
const PRIOR_SHARE: f32 = 0.5;
/// The share of attempts that change their pace on a target that doesn't.
const UNEVEN_SHARE: f64 = 0.02;
/// The number of ends from which a target counts for similar ones, or for the common slowdown.
const MIN_ENDS: u32 = 8;
/// The number of targets from which a common value is derived.
const MIN_TARGETS: usize = 3;
/// The distance in steps within which slowdowns count as equal: a factor of 1.4.
const NEAR_STEPS: f32 = 1.5;

/// The probability of each slowdown.
type Distribution = [f32; STEPS];

/// The estimated slowdown of a target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    /// The ratio of running times there to those on an ordinary target.
    pub factor: f64,
    /// The probability that the factor is right within a factor of 1.4.
    pub certainty: f64,
}

/// The evidence of an attempt that still runs.
#[derive(Clone, Copy, Debug)]
pub enum RunningAttempt<'a> {
    /// Its target reports its progress.
    AtPace {
        /// The running times of its kind.
        times: &'a RunningTimes,
        /// The time for all of its work at its latest pace, as a ratio to its estimate.
        ratio: f64,
        /// By how many times it has become slower than its fastest pace, if it counts as slowed.
        slowed_by: Option<f64>,
    },
    /// No progress is reported. The running times of its kind, and its running time so far as a
    /// ratio to its estimate.
    WithoutProgress(&'a RunningTimes, f64),
}

/// The distribution of a target's slowdown.
#[derive(Clone, Debug)]
pub struct TargetSpeed {
    distribution: Distribution,
    /// The long-term average of the distribution.
    long_term: Distribution,
    /// When the last end was recorded, in ms.
    at: Millis,
    /// The number of recorded ends.
    ends: u32,
}

impl Default for TargetSpeed {
    fn default() -> Self {
        Self {
            distribution: prior(),
            long_term: prior(),
            at: 0,
            ends: 0,
        }
    }
}

impl TargetSpeed {
    /// Creates the speed of a target without ends from those of similar targets.
    #[must_use]
    pub fn from_similar<'a>(others: impl Iterator<Item = &'a Self>) -> Self {
        let known: Vec<&Self> = others.filter(|other| other.is_known()).collect();
        if known.len() < MIN_TARGETS {
            return Self::default();
        }
        let mut long_term = [0.0; STEPS];
        for other in known {
            for (sum, probability) in long_term.iter_mut().zip(other.long_term) {
                *sum += probability;
            }
        }
        let long_term = normalized(long_term);
        Self {
            distribution: long_term,
            long_term,
            ..Self::default()
        }
    }

    /// Returns whether enough ends of its own were recorded.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.ends >= MIN_ENDS
    }

    /// Records an end with a ratio of running time to estimate.
    pub fn record_end(&mut self, now: Millis, times: &RunningTimes, ratio: f64) {
        self.distribution = self.decayed(now);
        self.at = self.at.max(now);
        self.ends = self.ends.saturating_add(1);
        apply_likelihood(&mut self.distribution, |slowdown| {
            times.likelihood(ratio / slowdown)
        });
        for (long_term, recent) in self.long_term.iter_mut().zip(self.distribution) {
            *long_term += LONG_TERM_WEIGHT * (recent - *long_term);
        }
    }

    /// Returns the slowdown of the target, with the evidence of its running attempts.
    #[must_use]
    pub fn slowdown<'a>(
        &self,
        now: Millis,
        running: impl Iterator<Item = RunningAttempt<'a>>,
    ) -> Slowdown {
        let mut distribution = self.decayed(now);
        for evidence in running {
            match evidence {
                RunningAttempt::AtPace {
                    times,
                    ratio,
                    slowed_by,
                } => {
                    apply_likelihood(&mut distribution, |slowdown| {
                        times.likelihood(ratio / slowdown)
                    });
                    if let Some(by) = slowed_by {
                        let observed = slowdown_at(f64::from(mean(&self.long_term))) * by;
                        apply_likelihood(&mut distribution, |slowdown| {
                            pace_change_likelihood(observed, slowdown)
                        });
                    }
                }
                RunningAttempt::WithoutProgress(times, ratio) => {
                    apply_likelihood(&mut distribution, |slowdown| {
                        times.share_longer_than(ratio / slowdown)
                    });
                }
            }
        }
        let mean = mean(&distribution);
        let near = (0..STEPS).filter(|step| (*step as f32 - mean).abs() <= NEAR_STEPS);
        Slowdown {
            factor: slowdown_at(f64::from(mean)),
            certainty: f64::from(near.map(|step| distribution[step]).sum::<f32>()),
        }
    }

    /// Returns the distribution after its return towards long-term values since the last end.
    fn decayed(&self, now: Millis) -> Distribution {
        let since = now.saturating_sub(self.at) as f64;
        let factor = (-since / DECAY_MS).exp() as f32;
        let any = prior();
        std::array::from_fn(|step| {
            let rest = PRIOR_SHARE * any[step] + (1.0 - PRIOR_SHARE) * self.long_term[step];
            factor * self.distribution[step] + (1.0 - factor) * rest
        })
    }
}

/// Returns the common slowdown of targets, which is due to their tasks: the median of the known
/// ones, and 1 for too few.
#[must_use]
pub fn common_slowdown(known: impl Iterator<Item = f64>) -> f64 {
    let mut known: Vec<f64> = known.collect();
    if known.len() < MIN_TARGETS {
        return 1.0;
    }
    known.sort_by(f64::total_cmp);
    known[known.len() / 2]
}

/// Returns the prior of all targets: most are within a factor of 1.6 of the ordinary, and few are
/// many times slower.
fn prior() -> Distribution {
    normalized(std::array::from_fn(|step| {
        let off = step as f32 - STEPS_BELOW_ONE as f32;
        1.0 / (1.0 + off * off)
    }))
}

/// Multiplies a distribution by a likelihood, and normalises it.
fn apply_likelihood(distribution: &mut Distribution, likelihood: impl Fn(f64) -> f64) {
    for (step, probability) in distribution.iter_mut().enumerate() {
        *probability *= likelihood(slowdown_at(step as f64)) as f32;
    }
    *distribution = normalized(*distribution);
}

/// Returns a distribution whose parts sum to 1; no probability is 0, so that nothing is ruled out
/// for ever.
fn normalized(distribution: Distribution) -> Distribution {
    let sum: f32 = distribution.iter().sum();
    distribution.map(|probability| (probability / sum).max(f32::EPSILON))
}

/// Returns the mean of a distribution, in steps.
fn mean(distribution: &Distribution) -> f32 {
    let steps = distribution.iter().enumerate();
    steps
        .map(|(step, probability)| step as f32 * probability)
        .sum()
}

/// Returns the likelihood that the changed pace of an attempt shows the slowdown `observed` on
/// a target of slowdown `other`.
fn pace_change_likelihood(observed: f64, other: f64) -> f64 {
    let steps = (observed / other).log2().abs() * STEPS_PER_OCTAVE;
    if steps <= f64::from(NEAR_STEPS) {
        1.0
    } else {
        UNEVEN_SHARE
    }
}

/// Returns the slowdown at a position in the distribution, counted in steps.
fn slowdown_at(step: f64) -> f64 {
    ((step - STEPS_BELOW_ONE as f64) / STEPS_PER_OCTAVE).exp2()
}
