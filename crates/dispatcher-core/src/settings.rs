//! What a host is told of itself, and the times that follow from it.

use std::net::SocketAddr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::Millis;

/// Targets' clocks may lose this share of the time.
const CLOCK_LOSS: f64 = 0.02;
/// Left over between the end of a run whose owner is gone and the earliest
/// time at which its caller may send the job again.
const MARGIN_MS: Millis = 120;
/// The part of the time before a resend that a hold may take.
const HOLD_SHARE: f64 = 0.5;
/// Heartbeats within one vouch: one may be lost, and the next one come late.
const BEATS_PER_VOUCH: Millis = 4;
/// Calls that hold within one hold: some may be late, or lost.
const HOLDS_IN_ONE: Millis = 3;
/// Longer waits for an end would spare few calls.
const LONGEST_HOLD_WAIT_MS: Millis = 150;
/// The shortest vouch that heartbeats over HTTP can keep up.
const LEAST_VOUCH_MS: Millis = 100;

/// Bounds that the deployment sets, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// The earliest time after a broken answer at which a caller sends again.
    pub retransmit_ms: Millis,
    /// The longest hold that a target grants.
    pub max_hold_ms: Millis,
    /// The longest that a stop of a run takes.
    pub stop_grace_ms: Millis,
    /// How long a stop in order of the process may take.
    pub grace_period_ms: Millis,
    /// How long a target serves on after it said that it leaves.
    pub drain_ms: Millis,
}

/// Why the bounds leave no room for safe heartbeats.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BoundsError {
    /// Callers send again sooner than a lost run can be known to be over.
    #[error("retransmit-ms {retransmit_ms} leaves {left_ms} ms for a vouch, {LEAST_VOUCH_MS} are needed")]
    TooTight {
        /// The bound.
        retransmit_ms: Millis,
        /// What is left for a vouch.
        left_ms: Millis,
    },
}

/// Times that follow from the bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// By how much a keeper extends a target's hold at most.
    pub hold: Millis,
    /// The hold as it may look on a true clock.
    pub hold_true: Millis,
    /// How long an owner's runs go on after its keeper last heard of it.
    pub vouch: Millis,
    /// How long a target may wait for an end before it answers a hold.
    pub hold_wait: Millis,
    /// From one heartbeat to the next.
    pub beat: Millis,
    /// From the last acknowledgement until runs there are over for sure.
    pub over: Millis,
}

impl Bounds {
    /// Reckons the times.
    ///
    /// # Errors
    ///
    /// Fails if callers may send again before a lost run is known to be over.
    pub fn times(&self) -> Result<Times, BoundsError> {
        let spare = self
            .retransmit_ms
            .saturating_sub(self.stop_grace_ms + MARGIN_MS);
        let hold = ((spare as f64 * HOLD_SHARE) as Millis).min(self.max_hold_ms);
        let hold_true = on_true_clock(hold);
        let vouch = spare.saturating_sub(hold_true);
        if vouch < LEAST_VOUCH_MS {
            return Err(BoundsError::TooTight {
                retransmit_ms: self.retransmit_ms,
                left_ms: vouch,
            });
        }
        Ok(Times {
            hold,
            hold_true,
            vouch,
            hold_wait: (hold / HOLDS_IN_ONE).min(LONGEST_HOLD_WAIT_MS),
            beat: vouch / BEATS_PER_VOUCH,
            over: vouch + hold_true + self.stop_grace_ms,
        })
    }
}

/// Returns how long `ms` of a slow target's clock last at most.
#[must_use]
pub fn on_true_clock(ms: Millis) -> Millis {
    (ms as f64 / (1.0 - CLOCK_LOSS)).ceil() as Millis
}

/// Mechanisms that tests take out one at a time, to show that the checks miss
/// them. Everywhere else all are there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A keeper ends the runs of owners that it no longer hears.
    pub vouches_lapse: bool,
    /// A newcomer waits until nothing runs on a target that it doesn't know.
    pub newcomers_settle: bool,
    /// Runs at a lost peer are run again only once they are over.
    pub lost_runs_are_waited_for: bool,
    /// A start without reply counts as running until its end is known.
    pub starts_are_doubted: bool,
    /// Targets that leave get no new work.
    pub leaving_is_heeded: bool,
    /// A job that may have begun isn't refused as not run.
    pub begun_is_not_refused: bool,
    /// Runs on a target that doesn't answer are over after its hold.
    pub silent_runs_are_waited_for: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            vouches_lapse: true,
            newcomers_settle: true,
            lost_runs_are_waited_for: true,
            starts_are_doubted: true,
            leaving_is_heeded: true,
            begun_is_not_refused: true,
            silent_runs_are_waited_for: true,
        }
    }
}

/// What a host is told of itself.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub name: Name,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Name,
    /// Unique to this life of the process.
    pub incarnation: u64,
    /// The processor time that it has, in thousandths of a core.
    pub power: u32,
    /// Addresses of peers that may be there.
    pub seeds: Vec<SocketAddr>,
    /// The bounds.
    pub bounds: Bounds,
    /// Wall-clock time at which the steady clock was 0, in ms since 1970.
    pub epoch_ms: u64,
    /// The mechanisms that are there.
    pub safeguards: Safeguards,
}
