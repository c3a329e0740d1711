//! Computes the times that make it safe to start a task again from the deployment's bounds.
//!
//! **Rule.** A caller whose connection broke sends its job again after `retransmit-ms`, to any
//! host. Every attempt of the first request must have ended by then, whatever failed in between:
//!
//! ```text
//! owner lease + target lease on a true clock + stop grace + margin <= retransmit
//! ```
//!
//! - *Target lease*: the host that holds a target renews its lease there for at most this long at a
//!   time. Without a renewal the target ends all attempts. Its clock may be slow, so the lease is
//!   longer on a true clock.
//! - *Owner lease*: a job's owner proves with each message that it is alive, by echoing the
//!   receiver's clock. When the newest echo is older than this, the holder of a target stops the
//!   owner's attempts. No two clocks are compared, and a delayed message renews nothing.
//! - An owner that receives nothing from a peer for an owner lease assumes that its attempts there
//!   have ended after owner lease, target lease and stop grace, and only then starts the tasks
//!   again.
//!
//! `crates/dispatcher-sim/tests/promises.rs` shows that its runs find the loss of each safeguard.
//!
//! **Inputs.** [`Bounds`], in ms. **Trade-off.** A task whose peer died waits for up to
//! [`Times::lost_attempts_over_ms`] before it is started again.

use crate::settings::{Bounds, BoundsError};
use crate::Millis;

/// The share of the time that targets' clocks may lose: a bound of the platform.
const CLOCK_LOSS: f64 = 0.02;
/// The time left between the end of the last attempt and the earliest time at which a caller sends
/// again, in ms.
const MARGIN_MS: Millis = 120;
/// The share of the time before callers send again that a target lease may take; the rest is the
/// owner lease's.
const TARGET_LEASE_SHARE: f64 = 0.5;
/// Heartbeats in one owner lease: one may be lost and the next one late.
const HEARTBEATS_PER_OWNER_LEASE: Millis = 4;
/// Renewals in one target lease: some may be late or lost.
const RENEWALS_PER_TARGET_LEASE: Millis = 3;
/// The longest time that a renewal waits at the target for the end of an attempt, in ms: longer
/// waits would save few calls.
const MAX_LONG_POLL_MS: Millis = 150;
/// The shortest owner lease that heartbeats over HTTP can renew, in ms.
pub(crate) const MIN_OWNER_LEASE_MS: Millis = 100;

/// Times that follow from the deployment's bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// The longest lease that a target is asked for, on the target's clock.
    pub target_lease_ms: Millis,
    /// The same on a true clock, if the target's clock is as slow as allowed.
    pub target_lease_true_ms: Millis,
    /// The time for which an owner's attempts continue after its newest echo.
    pub owner_lease_ms: Millis,
    /// The time for which a renewal may wait at the target for the end of an attempt.
    pub long_poll_ms: Millis,
    /// The heartbeat interval where an owner lease depends on it.
    pub heartbeat_ms: Millis,
    /// The time from the last acknowledgement of a peer until this host's attempts there have
    /// certainly ended.
    pub lost_attempts_over_ms: Millis,
    /// The time from the last renewal of a target's lease until all attempts there have ended.
    pub target_attempts_over_ms: Millis,
    /// The same if the target may have granted the longest lease that it ever grants.
    pub longest_attempts_over_ms: Millis,
}

impl Bounds {
    /// Computes the times.
    ///
    /// # Errors
    ///
    /// Returns an error if callers may send again before a lost attempt is known to have ended.
    pub fn times(&self) -> Result<Times, BoundsError> {
        let spare = self
            .retransmit_ms
            .saturating_sub(self.stop_grace_ms + MARGIN_MS);
        let target_lease_ms =
            ((spare as f64 * TARGET_LEASE_SHARE) as Millis).min(self.max_target_lease_ms);
        let target_lease_true_ms = longest_on_true_clock(target_lease_ms);
        let owner_lease_ms = spare.saturating_sub(target_lease_true_ms);
        if owner_lease_ms < MIN_OWNER_LEASE_MS {
            return Err(BoundsError::TooTight {
                retransmit_ms: self.retransmit_ms,
                left_ms: owner_lease_ms,
            });
        }
        let target_attempts_over_ms = target_lease_true_ms + self.stop_grace_ms;
        Ok(Times {
            target_lease_ms,
            target_lease_true_ms,
            owner_lease_ms,
            long_poll_ms: (target_lease_ms / RENEWALS_PER_TARGET_LEASE).min(MAX_LONG_POLL_MS),
            heartbeat_ms: owner_lease_ms / HEARTBEATS_PER_OWNER_LEASE,
            lost_attempts_over_ms: owner_lease_ms + target_attempts_over_ms,
            target_attempts_over_ms,
            longest_attempts_over_ms: longest_on_true_clock(self.max_target_lease_ms)
                + self.stop_grace_ms,
        })
    }
}

/// Returns the longest true time that `ms` of a target's clock may take.
#[must_use]
pub fn longest_on_true_clock(ms: Millis) -> Millis {
    (ms as f64 / (1.0 - CLOCK_LOSS)).ceil() as Millis
}

/// Returns the least time by which a target's clock advances in `ms` of true time.
#[must_use]
pub fn least_on_target_clock(ms: Millis) -> Millis {
    (ms as f64 * (1.0 - CLOCK_LOSS)) as Millis
}
