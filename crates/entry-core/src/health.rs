//! The health of one target, derived from the outcomes of its tasks.
//!
//! A target that fails repeatedly is ejected for a while, then probed with a few tasks
//! before it gets its full share again. The transitions are those of the `TARGET`
//! chart (`charts`).

use gannetridge_entry_wire::Time;

use crate::charts::{TargetEvent, TargetState, TARGET};

/// Consecutive failures after which a target is ejected.
const STRIKES: u32 = 3;
/// Duration of the first ejection, in ms; it doubles with each further one.
const FIRST_TIME_OUT_MS: u64 = 1_000;
/// Longest duration of an ejection, in ms.
const LAST_TIME_OUT_MS: u64 = 30_000;
/// Successful tasks after which a probed target is healthy again.
const PROBES: u32 = 8;
/// Weight of the latest task in the moving average of the run time ratio.
const NEWEST_WEIGHT: f32 = 0.1;
/// Run time ratio below which a target isn't ranked as slow.
const ORDINARY: f32 = 1.5;
/// Width of a slowness rank, as a run time ratio.
const STEP: f32 = 0.5;
/// The highest slowness rank.
const LAST_RANK: u32 = 20;

/// The health state of a target and the statistics it is based on.
#[derive(Clone, Debug)]
pub struct Health {
    state: TargetState,
    strikes: u32,
    proven: u32,
    time_out_ms: u64,
    /// The end of the ejection, or the time at which the target was marked as leaving.
    until: Time,
    /// Moving average of run times relative to those of all targets.
    ratio: f32,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: TARGET.initial(),
            strikes: 0,
            proven: 0,
            time_out_ms: FIRST_TIME_OUT_MS,
            until: Time::ZERO,
            ratio: 1.0,
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
    pub fn usable(&self) -> bool {
        !matches!(self.state, TargetState::Ejected | TargetState::Leaving)
    }

    /// Returns true if the target is known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.state == TargetState::Leaving
    }

    /// Returns how many tasks of this host the target may run at a time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self.state {
            TargetState::Healthy => u32::MAX,
            TargetState::Suspect => 1,
            TargetState::Probing => 1 + self.proven / 2,
            TargetState::Ejected | TargetState::Leaving => 0,
        }
    }

    /// Returns the target's slowness rank; 0 for a target that isn't slow.
    #[must_use]
    pub fn slowness(&self) -> u32 {
        if self.ratio < ORDINARY {
            return 0;
        }
        (((self.ratio - ORDINARY) / STEP) as u32 + 1).min(LAST_RANK)
    }

    /// Records a task that ended. `ratio` is its run time over the expected one,
    /// relative to the average of all targets.
    pub fn succeeded(&mut self, ratio: f32) {
        self.ratio += (ratio - self.ratio) * NEWEST_WEIGHT;
        self.strikes = 0;
        TARGET.advance(&mut self.state, TargetEvent::Succeeded);
        if self.state == TargetState::Probing {
            self.proven += 1;
            if self.proven >= PROBES {
                TARGET.advance(&mut self.state, TargetEvent::Proven);
                self.time_out_ms = FIRST_TIME_OUT_MS;
            }
        }
    }

    /// Records a request to the target that got no reply.
    pub fn failed(&mut self, now: Time) {
        let was_out = !self.usable();
        self.strikes += 1;
        TARGET.advance(&mut self.state, TargetEvent::Failed);
        if self.state == TargetState::Suspect && self.strikes >= STRIKES {
            TARGET.advance(&mut self.state, TargetEvent::StruckOut);
        }
        if self.state == TargetState::Ejected && !was_out {
            self.until = now.plus_millis(self.time_out_ms);
            self.time_out_ms = (self.time_out_ms * 2).min(LAST_TIME_OUT_MS);
        }
    }

    /// Records a report that the target is leaving.
    pub fn leaves(&mut self, now: Time) {
        if self.state != TargetState::Leaving {
            TARGET.advance(&mut self.state, TargetEvent::Leaves);
            self.until = now;
        }
    }

    /// Records that the list read at `now` shows the target as live. Since the list
    /// lags by up to `lag_ms`, it doesn't override a more recent report of leaving.
    pub fn listed_live(&mut self, now: Time, lag_ms: u64) {
        if self.leaving() && now > self.until.plus_millis(lag_ms) {
            TARGET.advance(&mut self.state, TargetEvent::Returned);
            self.proven = 0;
        }
    }

    /// Starts to probe a target whose ejection has ended. Returns true if it did.
    pub fn revive(&mut self, now: Time) -> bool {
        if self.state != TargetState::Ejected || now < self.until {
            return false;
        }
        TARGET.advance(&mut self.state, TargetEvent::Waited);
        self.proven = 0;
        true
    }
}
