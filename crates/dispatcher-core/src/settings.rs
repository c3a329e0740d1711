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
const TARGET_LEASE_SHARE: f64 = 0.5;
/// Heartbeats within one vouch: one may be lost, and the next one come late.
const HEARTBEATS_PER_OWNER_LEASE: Millis = 4;
/// Calls that hold within one hold: some may be late, or lost.
const RENEWALS_PER_TARGET_LEASE: Millis = 3;
/// Longer waits for an end would spare few calls.
const LONGEST_LONG_POLL_MS: Millis = 150;
/// The shortest vouch that heartbeats over HTTP can keep up.
const LEAST_OWNER_LEASE_MS: Millis = 100;

/// Bounds that the deployment sets, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// The earliest time after a broken answer at which a caller sends again.
    pub retransmit_ms: Millis,
    /// The longest hold that a target grants.
    pub max_target_lease_ms: Millis,
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
    #[error("retransmit-ms {retransmit_ms} leaves {left_ms} ms for a vouch, {LEAST_OWNER_LEASE_MS} are needed")]
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
    pub target_lease: Millis,
    /// The hold as it may look on a true clock.
    pub target_lease_true: Millis,
    /// How long an owner's runs go on after its keeper last heard of it.
    pub owner_lease: Millis,
    /// How long a target may wait for an end before it answers a hold.
    pub long_poll: Millis,
    /// From one heartbeat to the next.
    pub heartbeat: Millis,
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
        let target_lease =
            ((spare as f64 * TARGET_LEASE_SHARE) as Millis).min(self.max_target_lease_ms);
        let target_lease_true = on_true_clock(target_lease);
        let owner_lease = spare.saturating_sub(target_lease_true);
        if owner_lease < LEAST_OWNER_LEASE_MS {
            return Err(BoundsError::TooTight {
                retransmit_ms: self.retransmit_ms,
                left_ms: owner_lease,
            });
        }
        Ok(Times {
            target_lease,
            target_lease_true,
            owner_lease,
            long_poll: (target_lease / RENEWALS_PER_TARGET_LEASE).min(LONGEST_LONG_POLL_MS),
            heartbeat: owner_lease / HEARTBEATS_PER_OWNER_LEASE,
            over: owner_lease + target_lease_true + self.stop_grace_ms,
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
    pub owner_leases_expire: bool,
    /// A newcomer waits until nothing runs on a target that it doesn't know.
    pub new_holders_settle: bool,
    /// Runs at a lost peer are run again only once they are over.
    pub lost_attempts_are_waited_for: bool,
    /// A start without reply counts as running until its end is known.
    pub starts_are_doubted: bool,
    /// Targets that leave get no new work.
    pub leaving_is_heeded: bool,
    /// A job that may have begun isn't refused as not run.
    pub begun_is_not_refused: bool,
    /// Runs on a target that doesn't answer are over after its hold.
    pub silent_attempts_are_waited_for: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            owner_leases_expire: true,
            new_holders_settle: true,
            lost_attempts_are_waited_for: true,
            starts_are_doubted: true,
            leaving_is_heeded: true,
            begun_is_not_refused: true,
            silent_attempts_are_waited_for: true,
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
    pub processor_weight: u32,
    /// Addresses of peers that may be there.
    pub seeds: Vec<SocketAddr>,
    /// The bounds.
    pub bounds: Bounds,
    /// Wall-clock time at which the steady clock was 0, in ms since 1970.
    pub epoch_ms: u64,
    /// The mechanisms that are there.
    pub safeguards: Safeguards,
}
