//! The times that make it safe to start a task again, reckoned from the
//! deployment's bounds.
//!
//! **Rule.** A caller whose connection broke sends its job again after
//! `retransmit-ms`, at any host. Every attempt of the first sending must be over
//! by then, whatever died in between:
//!
//! ```text
//! owner lease + target lease on a true clock + stop grace + margin <= retransmit
//! ```
//!
//! - *Target lease*: the host that holds a target renews its lease there for at
//!   most this long at a time. When no renewal comes, the target ends all that
//!   runs. Its clock may be slow, so the lease is longer on a true clock.
//! - *Owner lease*: a job's owner proves with each message that it lives, by
//!   echoing the receiver's clock. When the newest echo is older than this, the
//!   holder of a target stops the owner's attempts. No two clocks are compared,
//!   and a delayed message renews nothing.
//! - An owner that hears nothing from a peer for an owner lease takes its
//!   attempts there as over after all three times, and only then starts the
//!   tasks again.
//!
//! **Inputs.** [`Bounds`], in ms. **Gives up.** Time: a task whose peer died waits
//! for up to [`Times::lost_attempts_over`] before it is started again.
//! **Measured.** Each safeguard taken out is found by the randomised runs
//! (`crates/dispatcher-sim/tests/promises.rs`).

use crate::settings::{Bounds, BoundsError};
use crate::Millis;

/// Targets' clocks may lose this share of the time: a bound of the platform.
const CLOCK_LOSS: f64 = 0.02;
/// Left between the end of the last attempt and the earliest time at which a
/// caller sends again, in ms. Chosen, not measured.
const MARGIN_MS: Millis = 120;
/// The part of the time before callers send again that a target lease may
/// take; the rest is the owner lease's. Chosen, not measured.
const TARGET_LEASE_SHARE: f64 = 0.5;
/// Heartbeats within one owner lease: one may be lost and the next one late.
/// Chosen, not measured.
const HEARTBEATS_PER_OWNER_LEASE: Millis = 4;
/// Renewals within one target lease: some may be late, or lost. Chosen, not
/// measured.
const RENEWALS_PER_TARGET_LEASE: Millis = 3;
/// The longest that a renewal waits at the target for an end, in ms: longer
/// waits would spare few calls. Chosen, not measured.
const MAX_LONG_POLL_MS: Millis = 150;
/// The shortest owner lease that heartbeats over HTTP can renew, in ms. Chosen,
/// not measured.
pub(crate) const MIN_OWNER_LEASE_MS: Millis = 100;

/// Times that follow from the bounds, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// How long a target's lease is renewed for at most, on the target's clock.
    pub target_lease: Millis,
    /// The same on a true clock, if the target's is as slow as it may be.
    pub target_lease_true: Millis,
    /// How long an owner's attempts go on after its newest echo.
    pub owner_lease: Millis,
    /// How long a renewal may wait at the target for an end.
    pub long_poll: Millis,
    /// From one heartbeat to the next where an owner lease depends on them.
    pub heartbeat: Millis,
    /// From the last acknowledgement of a peer until this host's attempts there
    /// are over for certain.
    pub lost_attempts_over: Millis,
    /// From the last renewal of a target's lease until all attempts there are
    /// over.
    pub target_attempts_over: Millis,
    /// The same where the target may have granted the longest lease that it grants at all.
    pub longest_attempts_over: Millis,
}

impl Bounds {
    /// Reckons the times.
    ///
    /// # Errors
    ///
    /// Fails if callers may send again before a lost attempt is known to be
    /// over.
    pub fn times(&self) -> Result<Times, BoundsError> {
        let spare = self
            .retransmit_ms
            .saturating_sub(self.stop_grace_ms + MARGIN_MS);
        let target_lease =
            ((spare as f64 * TARGET_LEASE_SHARE) as Millis).min(self.max_target_lease_ms);
        let target_lease_true = longest_on_true_clock(target_lease);
        let owner_lease = spare.saturating_sub(target_lease_true);
        if owner_lease < MIN_OWNER_LEASE_MS {
            return Err(BoundsError::TooTight {
                retransmit_ms: self.retransmit_ms,
                left_ms: owner_lease,
            });
        }
        let target_attempts_over = target_lease_true + self.stop_grace_ms;
        Ok(Times {
            target_lease,
            target_lease_true,
            owner_lease,
            long_poll: (target_lease / RENEWALS_PER_TARGET_LEASE).min(MAX_LONG_POLL_MS),
            heartbeat: owner_lease / HEARTBEATS_PER_OWNER_LEASE,
            lost_attempts_over: owner_lease + target_attempts_over,
            target_attempts_over,
            longest_attempts_over: longest_on_true_clock(self.max_target_lease_ms)
                + self.stop_grace_ms,
        })
    }
}

/// Returns how long `ms` of a target's clock last at most.
#[must_use]
pub fn longest_on_true_clock(ms: Millis) -> Millis {
    (ms as f64 / (1.0 - CLOCK_LOSS)).ceil() as Millis
}

/// Returns how far a target's clock moves at least in `ms` of true time.
#[must_use]
pub fn least_on_target_clock(ms: Millis) -> Millis {
    (ms as f64 * (1.0 - CLOCK_LOSS)) as Millis
}
