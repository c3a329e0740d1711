//! Learns running times from the ends of attempts and forecasts the attempts that still run.
//!
//! Owns the running times of each kind of task ([`crate::rules::running_time`]), where the kind
//! failed ([`crate::rules::failure_source`]), and a speed per target
//! ([`crate::rules::target_speed`]). A target's speed is kept while other hosts hold the target,
//! and reset when the target restarts. Ends count whichever host owns the attempt. Nothing is
//! shared between hosts: a new holder starts with what it has learned itself.

use std::collections::HashMap;

use gannetridge_wire::Name;

use crate::action::Action;
use crate::decision::{Decision, EndEvidence};
use crate::event::TargetEntry;
use crate::message::{AttemptId, AttemptOutcome};
use crate::rules::failure_source::RecentOutcomes;
use crate::rules::running_time::{usable_estimate_ms, RunningTimes, TaskKind};
use crate::rules::target_health::ONE_TASK_SLOWDOWN;
use crate::rules::target_speed::{common_slowdown, RunningAttempt, Slowdown, TargetSpeed};
use crate::settings::{RunningTimes as RunningTimesFrom, Settings};
use crate::Millis;

use super::attempt::{Attempt, EndReport, Forecast};
use super::target::Target;
use super::TargetLeases;

/// Time between forecasts of all attempts, in ms; about as often as targets list their progress.
const FORECAST_INTERVAL_MS: Millis = 50;
/// The most kinds that are kept: bounds memory if callers' estimates and resources never repeat.
const MAX_KINDS: usize = 256;
/// Kinds without an end for this long are removed, in ms.
const KIND_RETENTION_MS: Millis = 300_000;
/// Time between log lines of a kind's running times, in ms.
const KIND_LOG_INTERVAL_MS: Millis = 10_000;
/// A target's slowdown is logged when it has changed by this factor.
const LOGGED_CHANGE_FACTOR: f64 = 1.4;
/// The least certainty at which a slowdown is logged and acted on.
const MIN_CERTAINTY: f64 = 0.5;

/// The running times and recent ends of a kind of task.
#[derive(Debug)]
struct KnownKind {
    times: RunningTimes,
    ends: RecentOutcomes,
}

/// The running times of the kinds of tasks that ran on this host's targets.
#[derive(Debug)]
pub(super) struct LearnedTimes {
    kinds: HashMap<TaskKind, KnownKind>,
    /// Used for kinds without an end so far.
    default_times: RunningTimes,
    /// The part of the slowdown that is common to all targets.
    common_slowdown: f64,
    /// How many times as long tasks take in racks without their data.
    far_slowdown: f64,
    next_forecast: Millis,
    next_log: Millis,
}

/// A target's learned speed.
#[derive(Debug)]
pub(super) struct LearnedSpeed {
    speed: TargetSpeed,
    /// The slowdown relative to other targets, including the evidence of running attempts.
    pub(super) slowdown: Slowdown,
    /// When an attempt last completed on the target.
    last_done: Millis,
    /// The slowdown that was logged last.
    logged_factor: f64,
}

impl LearnedSpeed {
    fn new(speed: TargetSpeed) -> Self {
        let slowdown = speed.slowdown(0, std::iter::empty());
        Self {
            speed,
            slowdown,
            last_done: 0,
            logged_factor: 1.0,
        }
    }

    /// Returns true if the target is slow enough, with enough certainty, to get one task at a time.
    pub(super) fn is_very_slow(&self) -> bool {
        self.slowdown.factor >= ONE_TASK_SLOWDOWN && self.slowdown.certainty >= MIN_CERTAINTY
    }
}

impl LearnedTimes {
    /// Creates the initial state, or returns `None` if running times aren't learned.
    pub(super) fn from_settings(settings: &Settings) -> Option<Self> {
        let is_learned = settings.scheduling.running_times == RunningTimesFrom::Learned;
        is_learned.then(|| Self {
            kinds: HashMap::new(),
            default_times: RunningTimes::new(0),
            common_slowdown: 1.0,
            far_slowdown: settings.far_slowdown,
            next_forecast: 0,
            next_log: 0,
        })
    }

    fn times(&self, kind: &TaskKind) -> &RunningTimes {
        let known = self.kinds.get(kind);
        known.map_or(&self.default_times, |known| &known.times)
    }

    fn kind_mut(&mut self, now: Millis, kind: &TaskKind) -> Option<&mut KnownKind> {
        if self.kinds.len() >= MAX_KINDS && !self.kinds.contains_key(kind) {
            return None;
        }
        let known = self.kinds.entry(kind.clone());
        Some(known.or_insert_with(|| KnownKind {
            times: RunningTimes::new(now),
            ends: RecentOutcomes::default(),
        }))
    }

    /// Returns the running time at a ratio of 1 on a target of ordinary speed, in ms.
    fn scale_ms(&self, estimate_ms: Millis, is_far: bool) -> f64 {
        let far = if is_far { self.far_slowdown } else { 1.0 };
        usable_estimate_ms(estimate_ms) as f64 * far.max(1.0)
    }

    /// Records a completed attempt. The kind learns the ratio without the target's slowdown, the
    /// target the part that the kind doesn't explain.
    fn record_done(&mut self, now: Millis, learned: &mut LearnedSpeed, report: &EndReport) {
        let task = &report.task;
        let ratio = report.took_ms as f64 / self.scale_ms(task.estimate_ms, task.is_far);
        let before = learned.speed.slowdown(now, std::iter::empty());
        learned.speed.record_end(now, self.times(&task.kind), ratio);
        learned.last_done = now;
        let beside_others = before.factor / self.common_slowdown;
        if let Some(kind) = self.kind_mut(now, &task.kind) {
            kind.times.record_end(now, ratio / beside_others);
            kind.ends.record(now, &report.end.target, false);
        }
    }

    /// Records a failed attempt; returns true if the failure is attributed to the target.
    fn record_failure(&mut self, now: Millis, report: &EndReport) -> bool {
        let target = &report.end.target;
        let kind = self.kind_mut(now, &report.task.kind);
        kind.is_none_or(|kind| {
            kind.ends.record(now, target, true);
            kind.ends.counts_against(now, target)
        })
    }

    /// Records that an attempt is stopped because it took too long.
    pub(super) fn record_overrun(&mut self, now: Millis, attempt: &Attempt, slowdown: f64) {
        let run_ms = now.saturating_sub(attempt.started) as f64;
        let scale_ms = self.scale_ms(attempt.estimate_ms, attempt.is_far);
        if let Some(kind) = self.kind_mut(now, &attempt.kind) {
            kind.times.record_stopped(now, run_ms / scale_ms / slowdown);
        }
    }

    /// Returns what a running attempt shows of the target's speed; `None` until the target has
    /// confirmed the attempt.
    fn running_evidence(&self, now: Millis, attempt: &Attempt) -> Option<RunningAttempt<'_>> {
        attempt.confirmed?;
        let times = self.times(&attempt.kind);
        let scale_ms = self.scale_ms(attempt.estimate_ms, attempt.is_far);
        let progress = attempt.progress;
        let run_ms = now.saturating_sub(attempt.started) as f64;
        Some(match progress.and_then(|progress| progress.pace_ms()) {
            Some(pace_ms) => RunningAttempt::AtPace {
                times,
                ratio: pace_ms / scale_ms,
                slowed_by: progress.and_then(|progress| progress.slowed_by()),
            },
            None => RunningAttempt::WithoutProgress(times, run_ms / scale_ms),
        })
    }

    /// Returns the forecast of an attempt on a target with this slowdown. The time until it is
    /// overrunning uses the slowdown by ends alone, so that a hung attempt doesn't extend its own
    /// limit.
    fn forecast(
        &self,
        now: Millis,
        attempt: &Attempt,
        slowdown: f64,
        slowdown_by_ends: f64,
    ) -> Forecast {
        let times = self.times(&attempt.kind);
        let ordinary_ms = self.scale_ms(attempt.estimate_ms, attempt.is_far);
        let scale_ms = ordinary_ms * slowdown;
        let run_ms = now.saturating_sub(attempt.started) as f64;
        let end_ms = attempt
            .progress
            .and_then(|progress| progress.expected_run_ms());
        let left_ms = match end_ms {
            Some(end_ms) => (end_ms - run_ms).max(0.0),
            None => times.expected_remaining(run_ms / scale_ms) * scale_ms,
        };
        Forecast {
            longest_ms: times.upper_bound() * ordinary_ms * slowdown_by_ends,
            end: now + left_ms as Millis,
            overrun_after_ms: times.overrun_after_ms(ordinary_ms * slowdown_by_ends),
        }
    }

    /// Returns the running times to log, if that is due, and removes old kinds.
    fn due_log_records(&mut self, now: Millis) -> Vec<Decision> {
        if now < self.next_log {
            return Vec::new();
        }
        self.next_log = now + KIND_LOG_INTERVAL_MS;
        self.remove_old_kinds(now);
        let recent = self.kinds.iter();
        let recent =
            recent.filter(|(_, known)| known.times.last_end() + KIND_LOG_INTERVAL_MS > now);
        let mut recent: Vec<_> = recent.collect();
        recent.sort_by_key(|(kind, _)| *kind);
        recent
            .into_iter()
            .map(|(kind, known)| task_times(kind, &known.times))
            .collect()
    }

    fn remove_old_kinds(&mut self, now: Millis) {
        self.kinds
            .retain(|_, known| known.times.last_end() + KIND_RETENTION_MS > now);
    }
}

fn task_times(kind: &TaskKind, times: &RunningTimes) -> Decision {
    Decision::TaskTimes {
        pool: kind.pool.clone(),
        estimate_ms: kind.estimate_octave.map(|octave| 1 << octave),
        cpu: 1 << kind.cpu_octave,
        median: times.median(),
        tail: times.tail(),
        ends: times.sample_weight() as u32,
    }
}

impl Target {
    /// Resets the learned speed after a restart.
    pub(super) fn reset_speed(&mut self) {
        if let Some(learned) = &mut self.learned_speed {
            *learned = LearnedSpeed::new(TargetSpeed::default());
        }
    }

    /// Returns true if a stalled or overrunning attempt makes the target suspect. Where running
    /// times are learned, an overrunning attempt doesn't if another attempt completed there in the
    /// second half of its running time: the target isn't hung.
    pub(super) fn is_suspect_for(&self, now: Millis, id: &AttemptId) -> bool {
        let attempt = self.attempts.get(id);
        let (Some(learned), Some(attempt)) = (&self.learned_speed, attempt) else {
            return true;
        };
        let run_ms = now.saturating_sub(attempt.started);
        attempt.is_stalled || learned.last_done + run_ms / 2 < now
    }

    /// Updates the slowdown and the forecasts of the attempts.
    fn forecast(&mut self, now: Millis, times: &LearnedTimes) {
        let Some(learned) = &mut self.learned_speed else {
            return;
        };
        let attempts = self.attempts.values();
        let running = attempts.filter_map(|attempt| times.running_evidence(now, attempt));
        let slowdown = learned.speed.slowdown(now, running);
        let factor = slowdown.factor / times.common_slowdown;
        learned.slowdown = Slowdown { factor, ..slowdown };
        let by_ends = learned.speed.slowdown(now, std::iter::empty());
        let by_ends = by_ends.factor / times.common_slowdown;
        for attempt in self.attempts.values_mut() {
            attempt.forecast = Some(times.forecast(now, attempt, factor, by_ends));
        }
    }

    /// Returns a log record of the slowdown, if it has changed enough since the last one.
    fn speed_to_log(&mut self) -> Option<Decision> {
        let learned = self.learned_speed.as_mut()?;
        let slowdown = learned.slowdown;
        let change = (slowdown.factor / learned.logged_factor).ln().abs();
        let is_known = learned.speed.is_known() && slowdown.certainty >= MIN_CERTAINTY;
        if !is_known || change < LOGGED_CHANGE_FACTOR.ln() {
            return None;
        }
        learned.logged_factor = slowdown.factor;
        Some(Decision::TargetSpeed {
            target: self.entry.id.clone(),
            slowdown: slowdown.factor,
            certainty: slowdown.certainty,
        })
    }
}

impl TargetLeases {
    /// Returns the assumed speed of a new target, taken from targets with the same labels and
    /// capacity; `None` if running times aren't learned.
    pub(super) fn initial_speed(&self, entry: &TargetEntry) -> Option<LearnedSpeed> {
        self.learned_times.as_ref()?;
        let similar = self.targets.values().filter(|other| {
            other.entry.labels == entry.labels && other.entry.capacity == entry.capacity
        });
        let speeds = similar.filter_map(|other| other.learned_speed.as_ref());
        let speeds = speeds.map(|learned| &learned.speed);
        Some(LearnedSpeed::new(TargetSpeed::from_similar(speeds)))
    }

    /// Learns from the ends that a target listed.
    pub(super) fn learn_from(&mut self, now: Millis, id: &Name, reports: &[EndReport]) {
        let (Some(times), Some(target)) = (&mut self.learned_times, self.targets.get_mut(id))
        else {
            return;
        };
        let Some(learned) = &mut target.learned_speed else {
            return;
        };
        let listed = reports.iter();
        let listed = listed.filter(|report| report.by == EndEvidence::Listed);
        for report in listed {
            match report.end.outcome {
                AttemptOutcome::Done => times.record_done(now, learned, report),
                AttemptOutcome::Failed if times.record_failure(now, report) => {
                    target.health.record_failure(now)
                }
                AttemptOutcome::Failed
                | AttemptOutcome::Lost
                | AttemptOutcome::StaleAttempt
                | AttemptOutcome::NotStarted
                | AttemptOutcome::CrashedAlone
                | AttemptOutcome::CrashedBesideOthers
                | AttemptOutcome::PerhapsCrashed => {}
            }
        }
    }

    /// Updates forecasts: periodically of all attempts, at once of new ones.
    pub(super) fn forecast(&mut self, now: Millis) {
        let Some(times) = &mut self.learned_times else {
            return;
        };
        let all = times.next_forecast <= now;
        if all {
            times.next_forecast = now + FORECAST_INTERVAL_MS;
            let known = self.leased.iter().filter_map(|id| {
                let learned = self.targets[id].learned_speed.as_ref()?;
                let slowdown = learned.speed.slowdown(now, std::iter::empty());
                learned.speed.is_known().then_some(slowdown.factor)
            });
            times.common_slowdown = common_slowdown(known);
        }
        let mut records = times.due_log_records(now);
        for id in &self.active {
            let target = self.targets.get_mut(id);
            let target = target.expect("active targets are known");
            let mut attempts = target.attempts.values();
            if all || attempts.any(|attempt| attempt.forecast.is_none()) {
                target.forecast(now, times);
                records.extend(target.speed_to_log());
            }
        }
        self.actions.extend(records.into_iter().map(Action::Record));
    }
}
