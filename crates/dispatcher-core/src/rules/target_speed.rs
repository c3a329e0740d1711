//! How slow a target is beside others, apart from which tasks it happened to run.
//!
//! **Rule.** For each target, a *belief*: how likely it is that tasks take so many times as long
//! there as on an ordinary target, in steps of a third of an octave from 0.4 to 10. Each end
//! multiplies it by how many tasks of its kind take so long ([`super::running_time`]): where some
//! are long by nature a long one says little, where none is it says much. With time the
//! belief returns, by a third in 2 s, to what the target was for long, and to what any
//! target may be: one that turned slow gets tasks again, and a change is believed soon. Attempts
//! that still run count by their pace where progress is told, and more if that has changed,
//! else by having lasted so long; they are reckoned in when asked, and not kept. A target
//! without ends is believed to be like those of its labels and size. The slowdown is the belief's mean, in logarithms.
//!
//! **Inputs.** Ratios of running time to estimate, with distance of data taken out; ms. **Reason.**
//! An average of ratios is moved by one odd task; a median of the last few forgets nothing at
//! once, and doesn't tell a kind with long tasks from one without. What is common to
//! all targets is their tasks', not theirs: see [`common_slowdown`]. **Gives up.** A hall in which all
//! targets turn slow at once is taken for work that has become longer, until others are compared.

use super::running_time::{RunningTimes, STEPS_PER_OCTAVE};
use crate::Millis;

/// Steps of the belief, as wide as those of running times.
const STEPS: usize = 15;
/// Steps of the belief below a slowdown of 1.
const STEPS_BELOW_ONE: usize = 4;
/// A belief returns by two thirds in this time, in ms: a target's trouble lasts for seconds, and
/// one that isn't used shows nothing.
const DECAY_MS: f64 = 5_000.0;
/// By so much an end moves what the target is for long: some sixty ends count.
const LONG_TERM_WEIGHT: f32 = 1.0 / 64.0;
/// How much a belief returns to what any target may be, the rest to what it was for long.
const PRIOR_SHARE: f32 = 0.5;
/// The part of attempts that change their pace on a target that doesn't.
const UNEVEN_SHARE: f64 = 0.02;
/// How many ends it takes for a target to count for others of its kind, or for what is common.
const MIN_ENDS: u32 = 8;
/// How many targets it takes to say what is common to them.
const MIN_TARGETS: usize = 3;
/// So many steps are a factor of 1.4.
const NEAR_STEPS: f32 = 1.5;

/// The likelihood of each slowdown.
type Distribution = [f32; STEPS];

/// How slow a target is taken to be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Slowdown {
    /// How many times as long tasks take there as on an ordinary target.
    pub factor: f64,
    /// How sure that is, from 0 to 1: the likelihood that it is right to a factor of 1.4.
    pub certainty: f64,
}

/// What an attempt that still runs shows.
#[derive(Clone, Copy, Debug)]
pub enum Running<'a> {
    /// It tells its progress.
    AtPace {
        /// The running times of its kind.
        times: &'a RunningTimes,
        /// How many times its estimate all of its work takes at its latest pace.
        ratio: f64,
        /// By how many times it has become slower since it began, if it has.
        slowed_by: Option<f64>,
    },
    /// It has run for so many times its estimate, and tells no progress.
    WithoutProgress(&'a RunningTimes, f64),
}

/// What is known of a target's speed.
#[derive(Clone, Debug)]
pub struct TargetSpeed {
    distribution: Distribution,
    /// What it was for long.
    long_term: Distribution,
    /// When the belief last returned towards that, in ms.
    at: Millis,
    /// How many ends it rests on.
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
    /// Returns what is believed of a target that is like others.
    #[must_use]
    pub fn from_similar<'a>(others: impl Iterator<Item = &'a Self>) -> Self {
        let known: Vec<&Self> = others.filter(|other| other.is_known()).collect();
        if known.len() < MIN_TARGETS {
            return Self::default();
        }
        let mut lasting = [0.0; STEPS];
        for other in known {
            for (sum, part) in lasting.iter_mut().zip(other.long_term) {
                *sum += part;
            }
        }
        let lasting = normalized(lasting);
        Self {
            distribution: lasting,
            long_term: lasting,
            ..Self::default()
        }
    }

    /// Returns whether it rests on ends of its own.
    #[must_use]
    pub fn is_known(&self) -> bool {
        self.ends >= MIN_ENDS
    }

    /// Takes an end in that took so many times its estimate.
    pub fn record_end(&mut self, now: Millis, times: &RunningTimes, ratio: f64) {
        self.distribution = self.decayed(now);
        self.at = self.at.max(now);
        self.ends = self.ends.saturating_add(1);
        apply_likelihood(&mut self.distribution, |slowdown| {
            times.likelihood(ratio / slowdown)
        });
        for (lasting, recent) in self.long_term.iter_mut().zip(self.distribution) {
            *lasting += LONG_TERM_WEIGHT * (recent - *lasting);
        }
    }

    /// Returns how slow the target is, with what its running attempts show.
    #[must_use]
    pub fn slowdown<'a>(
        &self,
        now: Millis,
        running: impl Iterator<Item = Running<'a>>,
    ) -> Slowdown {
        let mut belief = self.decayed(now);
        for shown in running {
            match shown {
                Running::AtPace {
                    times,
                    ratio,
                    slowed_by,
                } => {
                    apply_likelihood(&mut belief, |slowdown| times.likelihood(ratio / slowdown));
                    if let Some(by) = slowed_by {
                        let shown = slowdown_at(f64::from(mean(&self.long_term))) * by;
                        apply_likelihood(&mut belief, |slowdown| {
                            pace_change_likelihood(shown, slowdown)
                        });
                    }
                }
                Running::WithoutProgress(times, ratio) => {
                    apply_likelihood(&mut belief, |slowdown| {
                        times.share_longer_than(ratio / slowdown)
                    });
                }
            }
        }
        let mean = mean(&belief);
        let near = (0..STEPS).filter(|step| (*step as f32 - mean).abs() <= NEAR_STEPS);
        Slowdown {
            factor: slowdown_at(f64::from(mean)),
            certainty: f64::from(near.map(|step| belief[step]).sum::<f32>()),
        }
    }

    /// Returns the belief as it has returned since the last end.
    fn decayed(&self, now: Millis) -> Distribution {
        let since = now.saturating_sub(self.at) as f64;
        let kept = (-since / DECAY_MS).exp() as f32;
        let any = prior();
        std::array::from_fn(|step| {
            let rest = PRIOR_SHARE * any[step] + (1.0 - PRIOR_SHARE) * self.long_term[step];
            kept * self.distribution[step] + (1.0 - kept) * rest
        })
    }
}

/// Returns what is common to targets' slowdowns, which is their tasks' and not theirs: the
/// median of those known, and 1 where they are few.
#[must_use]
pub fn common_slowdown(known: impl Iterator<Item = f64>) -> f64 {
    let mut known: Vec<f64> = known.collect();
    if known.len() < MIN_TARGETS {
        return 1.0;
    }
    known.sort_by(f64::total_cmp);
    known[known.len() / 2]
}

/// Returns what any target may be: most are within a factor of 1.6 of the ordinary, and few
/// are many times slower.
fn prior() -> Distribution {
    normalized(std::array::from_fn(|step| {
        let off = step as f32 - STEPS_BELOW_ONE as f32;
        1.0 / (1.0 + off * off)
    }))
}

/// Multiplies a belief by what is seen.
fn apply_likelihood(belief: &mut Distribution, likelihood: impl Fn(f64) -> f64) {
    for (step, part) in belief.iter_mut().enumerate() {
        *part *= likelihood(slowdown_at(step as f64)) as f32;
    }
    *belief = normalized(*belief);
}

/// Returns a belief whose parts sum to 1; nothing is ruled out for ever.
fn normalized(belief: Distribution) -> Distribution {
    let sum: f32 = belief.iter().sum();
    belief.map(|part| (part / sum).max(f32::EPSILON))
}

/// Returns the mean place of a belief, in steps.
fn mean(belief: &Distribution) -> f32 {
    let steps = belief.iter().enumerate();
    steps.map(|(step, part)| step as f32 * part).sum()
}

/// Returns how likely it is that an attempt's change shows one slowdown where it is another.
fn pace_change_likelihood(shown: f64, other: f64) -> f64 {
    let steps = (shown / other).log2().abs() * STEPS_PER_OCTAVE;
    if steps <= f64::from(NEAR_STEPS) {
        1.0
    } else {
        UNEVEN_SHARE
    }
}

/// Returns the slowdown at a place of the belief, counted in steps.
fn slowdown_at(step: f64) -> f64 {
    ((step - STEPS_BELOW_ONE as f64) / STEPS_PER_OCTAVE).exp2()
}
