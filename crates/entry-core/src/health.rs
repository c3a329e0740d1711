//! How far one target is trusted, learnt from the answers to its tasks.

use gannetridge_entry_wire::Time;

use crate::charts::{TargetEvent, TargetState, TARGET};

/// Failures in a row after which a target is left alone for a while.
/// Chosen, not measured.
const STRIKES: u32 = 3;
/// Shortest time for which a target is left alone, in ms. Chosen, not measured.
const FIRST_TIME_OUT_MS: u64 = 1_000;
/// Longest time for which a target is left alone, in ms. Chosen, not measured.
const LAST_TIME_OUT_MS: u64 = 30_000;
/// Tasks that must end in order before a target is trusted again. Chosen, not measured.
const PROBES: u32 = 8;
/// Weight of the newest task in the moving average of slowness. Chosen, not measured.
const NEWEST_WEIGHT: f32 = 0.1;
/// Slowness below which a target counts as ordinary.
const ORDINARY: f32 = 1.5;
/// Slowness is ranked in steps of this size. Chosen, not measured.
const STEP: f32 = 0.5;
/// Slowest rank. Chosen, not measured.
const LAST_RANK: u32 = 20;

/// What is known of a target.
#[derive(Clone, Debug)]
pub struct Health {
    state: TargetState,
    strikes: u32,
    proven: u32,
    time_out_ms: u64,
    until: Time,
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
    /// Returns the state.
    #[must_use]
    pub fn state(&self) -> TargetState {
        self.state
    }

    /// Tells whether the target may get new work.
    #[must_use]
    pub fn usable(&self) -> bool {
        !matches!(self.state, TargetState::Ejected | TargetState::Leaving)
    }

    /// Tells whether the target is known to be leaving.
    #[must_use]
    pub fn leaving(&self) -> bool {
        self.state == TargetState::Leaving
    }

    /// Returns how many tasks the target may have at a time.
    #[must_use]
    pub fn limit(&self) -> u32 {
        match self.state {
            TargetState::Healthy => u32::MAX,
            TargetState::Suspect => 1,
            TargetState::Probing => 1 + self.proven / 2,
            TargetState::Ejected | TargetState::Leaving => 0,
        }
    }

    /// Returns the target's rank by slowness; 0 for ordinary targets.
    #[must_use]
    pub fn slowness(&self) -> u32 {
        if self.ratio < ORDINARY {
            return 0;
        }
        (((self.ratio - ORDINARY) / STEP) as u32 + 1).min(LAST_RANK)
    }

    /// Notes a task that ended in order, and its time over the expected one,
    /// relative to the same figure of all targets.
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

    /// Notes a connection that failed or a task that was lost.
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

    /// Notes that a source says the target is leaving.
    pub fn leaves(&mut self, now: Time) {
        if self.state != TargetState::Leaving {
            TARGET.advance(&mut self.state, TargetEvent::Leaves);
            self.until = now;
        }
    }

    /// Notes that the list read at `now` shows the target as live. A list may
    /// lag by `lag_ms`, so an older word that it leaves stands for that long.
    pub fn listed_live(&mut self, now: Time, lag_ms: u64) {
        if self.leaving() && now > self.until.plus_millis(lag_ms) {
            TARGET.advance(&mut self.state, TargetEvent::Returned);
            self.proven = 0;
        }
    }

    /// Lets a target that has been left alone long enough be probed. Tells
    /// whether it did.
    pub fn revive(&mut self, now: Time) -> bool {
        if self.state != TargetState::Ejected || now < self.until {
            return false;
        }
        TARGET.advance(&mut self.state, TargetEvent::Waited);
        self.proven = 0;
        true
    }
}
