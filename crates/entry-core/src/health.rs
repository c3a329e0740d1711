//! The health of one target, derived from the outcomes of its tasks.
//!
//! A target that fails repeatedly is ejected for a while, then probed with a few tasks
//! before it gets its full share again. The transitions are those of the `TARGET`
//! chart (`charts`).

use gannetridge_entry_wire::Time;

use crate::charts::{TargetEvent, TargetState, TARGET};

/// Consecutive failures after which a target is ejected.
const MAX_CONSECUTIVE_FAILURES: u32 = 3;
/// Duration of the first ejection, in ms; it doubles with each further one until the
/// target has recovered.
const FIRST_EJECTION_MS: u64 = 1_000;
/// Longest duration of an ejection, in ms.
const MAX_EJECTION_MS: u64 = 30_000;
/// Successful tasks after which a probed target is healthy again.
const PROBES_TO_RECOVER: u32 = 8;
/// Weight of the latest task in the moving average of the run time ratio.
const LATEST_WEIGHT: f32 = 0.1;
/// Run time ratio below which a target isn't ranked as slow.
const SLOW_RATIO: f32 = 1.5;
/// Width of a slowness rank, as a run time ratio.
const RANK_WIDTH: f32 = 0.5;
/// The highest slowness rank.
const MAX_RANK: u32 = 20;

/// The health state of a target and the statistics it is based on.
#[derive(Clone, Debug)]
pub struct Health {
    state: TargetState,
    consecutive_failures: u32,
    probe_successes: u32,
    ejection_ms: u64,
    /// The end of the ejection, or the time at which the target was marked as leaving.
    reference_time: Time,
    /// Moving average of run times relative to those of all targets.
    run_time_ratio: f32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: TARGET.initial(),
            consecutive_failures: 0,
            probe_successes: 0,
            ejection_ms: FIRST_EJECTION_MS,
            reference_time: Time::ZERO,
            run_time_ratio: 1.0,
        }
    }
}

impl Health {
    /// Returns the state in the `TARGET` chart.
    #[must_use]
    pub fn state(&self) -> TargetState {
        self.state
    }

    /// Returns true if the target may get new tasks.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        !matches!(self.state, TargetState::Ejected | TargetState::Leaving)
    }

    /// Returns true if the target is known to be leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.state == TargetState::Leaving
    }

    /// Returns how many tasks of this host the target may run at a time.
    #[must_use]
    pub fn task_limit(&self) -> u32 {
        match self.state {
            TargetState::Healthy => u32::MAX,
            TargetState::Suspect => 1,
            TargetState::Probing => 1 + self.probe_successes / 2,
            TargetState::Ejected | TargetState::Leaving => 0,
        }
    }

    /// Returns the target's slowness rank; 0 for a target that isn't slow.
    #[must_use]
    pub fn slowness_rank(&self) -> u32 {
        if self.run_time_ratio < SLOW_RATIO {
            return 0;
        }
        (((self.run_time_ratio - SLOW_RATIO) / RANK_WIDTH) as u32 + 1).min(MAX_RANK)
    }

    /// Records a task that ended with an output. `ratio` is its run time over the expected
    /// one, relative to the average of all targets.
    pub fn record_success(&mut self, ratio: f32) {
        self.run_time_ratio += (ratio - self.run_time_ratio) * LATEST_WEIGHT;
        self.consecutive_failures = 0;
        TARGET.advance(&mut self.state, TargetEvent::Succeeded);
        if self.state == TargetState::Probing {
            self.probe_successes += 1;
            if self.probe_successes >= PROBES_TO_RECOVER {
                TARGET.advance(&mut self.state, TargetEvent::Proven);
                self.ejection_ms = FIRST_EJECTION_MS;
            }
        }
    }

    /// Records a request to the target that got no reply.
    pub fn record_failure(&mut self, now: Time) {
        let was_unusable = !self.is_usable();
        self.consecutive_failures += 1;
        TARGET.advance(&mut self.state, TargetEvent::Failed);
        if self.state == TargetState::Suspect
            && self.consecutive_failures >= MAX_CONSECUTIVE_FAILURES
        {
            TARGET.advance(&mut self.state, TargetEvent::StruckOut);
        }
        if self.state == TargetState::Ejected && !was_unusable {
            self.reference_time = now.plus_millis(self.ejection_ms);
            self.ejection_ms = (self.ejection_ms * 2).min(MAX_EJECTION_MS);
        }
    }

    /// Records a report that the target is leaving.
    pub fn mark_leaving(&mut self, now: Time) {
        if self.state != TargetState::Leaving {
            TARGET.advance(&mut self.state, TargetEvent::Leaves);
            self.reference_time = now;
        }
    }

    /// Records that the list read at `now` shows the target as live. Since the list
    /// lags by up to `lag_ms`, it doesn't override a more recent report of leaving.
    pub fn record_listed_live(&mut self, now: Time, lag_ms: u64) {
        if self.is_leaving() && now > self.reference_time.plus_millis(lag_ms) {
            TARGET.advance(&mut self.state, TargetEvent::Returned);
            self.probe_successes = 0;
        }
    }

    /// Starts to probe a target whose ejection has ended. Returns true if it did.
    pub fn probe_if_due(&mut self, now: Time) -> bool {
        if self.state != TargetState::Ejected || now < self.reference_time {
            return false;
        }
        TARGET.advance(&mut self.state, TargetEvent::Waited);
        self.probe_successes = 0;
        true
    }
}
