//! Decides when a listed target gets no tasks, or one at a time.
//!
//! **Rule.**
//! - *Silent*: `MISSED_CALLS_TO_SILENCE` calls in a row had no reply. The target gets nothing until
//!   it answers. One lost answer is not silence.
//! - *Suspended*: `FAILURES_TO_SUSPEND` attempts in a row failed, it refused a start, or an attempt
//!   overran. It gets nothing for 1 s, doubling up to 8 s.
//! - *On trial*: after a suspension, and while it takes `ONE_TASK_SLOWDOWN` times the estimates, it
//!   gets one task at a time to show whether it is healthy.
//! - *Slow*: a moving average of running times over estimates raises its cost; see
//!   [`super::target_choice`]. Overdue attempts count at once.
//! - An attempt *overruns* after `OVERRUN_FACTOR` times its estimate and `OVERRUN_MARGIN_MS`: it is
//!   stopped and retried elsewhere.
//! - Where running times are learned, [`super::target_speed`] determines how slow it is instead,
//!   and [`super::running_time`] what overruns. It gets one task at a time while it is certainly
//!   that slow, and is suspended for an overrun only if no other attempt has ended successfully
//!   there for half of the overrunning attempt's time. Failures then count by
//!   [`super::failure_source`].
//!
//! **Inputs.** Replies, ends of attempts, estimates in ms. **Reason.** A shorter overrun limit
//! would help where targets are slow, and lose more where they start tasks late. Attempts aren't
//! moved off a slow target, since its capacity would be missing once it is healthy again.
//! **Trade-off.** A task on a hung target that reports no progress waits for 4 times its estimate;
//! otherwise see [`super::progress`].

use crate::Millis;

/// Failures in a row after which a target is suspended.
const FAILURES_TO_SUSPEND: u32 = 2;
/// The first suspension, in ms; doubles each time.
const FIRST_SUSPENSION_MS: Millis = 1_000;
/// The longest suspension, in ms.
const MAX_SUSPENSION_MS: Millis = 8_000;
/// The most doublings of a suspension.
const MAX_SUSPENSION_DOUBLINGS: u32 = 3;
/// Calls in a row without reply after which a target is silent: one answer may be lost.
const MISSED_CALLS_TO_SILENCE: u32 = 2;
/// The weight of the last attempt in the moving average of the slowdown.
const SLOWDOWN_WEIGHT: f64 = 0.4;
/// The bounds of the ratio of running time to estimate that one attempt adds to the average.
const SLOWDOWN_RANGE: (f64, f64) = (0.2, 5.0);
/// A running attempt shows a slow target after this many times its estimate: on healthy targets few
/// take as long.
const OVERDUE_FACTOR: f64 = 1.8;
/// The time subtracted from the running time of an attempt before it is compared with its estimate,
/// in ms: estimates of short tasks are off by as much.
const OVERDUE_MARGIN_MS: f64 = 30.0;
/// A target with at least this slowdown gets one task at a time.
pub const ONE_TASK_SLOWDOWN: f64 = 3.0;
/// An attempt overruns after this many times its estimate.
const OVERRUN_FACTOR: f64 = 4.0;
/// The time added to the overrun limit, in ms.
const OVERRUN_MARGIN_MS: Millis = 150;
/// The largest slowdown of a target that extends the time until an attempt overruns.
const MAX_OVERRUN_SLOWDOWN: f64 = 2.0;

/// The health of a target, by its replies and the ends of attempts.
#[derive(Clone, Copy, Debug)]
pub struct TargetHealth {
    /// Failures in a row.
    failures: u32,
    /// Suspensions since the last success.
    suspensions: u32,
    suspended_until: Millis,
    /// The moving average of running time over estimate.
    slowdown: f64,
    /// Calls in a row without reply.
    misses: u32,
    silent_since: Option<Millis>,
}

impl Default for TargetHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            suspensions: 0,
            suspended_until: 0,
            slowdown: 1.0,
            misses: 0,
            silent_since: None,
        }
    }
}

impl TargetHealth {
    /// Records a successful attempt.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.suspensions = 0;
    }

    /// Records the running time of a successful attempt. Not called where running times are
    /// learned, since a long task doesn't show that the target is slow; see
    /// [`super::target_speed`].
    pub fn record_running_time(&mut self, took_ms: Millis, estimate_ms: Millis) {
        let (least, most) = SLOWDOWN_RANGE;
        let ratio = took_ms as f64 / estimate_ms.max(1) as f64;
        self.slowdown += SLOWDOWN_WEIGHT * (ratio.clamp(least, most) - self.slowdown);
    }

    /// Records a failed attempt, and suspends the target after several in a row.
    pub fn record_failure(&mut self, now: Millis) {
        self.failures += 1;
        if self.failures >= FAILURES_TO_SUSPEND && self.suspended_until <= now {
            self.suspend(now);
        }
    }

    /// Suspends the target, longer with each suspension since the last success.
    pub fn suspend(&mut self, now: Millis) {
        let length = FIRST_SUSPENSION_MS << self.suspensions.min(MAX_SUSPENSION_DOUBLINGS);
        self.suspended_until = now + length.min(MAX_SUSPENSION_MS);
        self.suspensions += 1;
        self.failures = self.failures.max(FAILURES_TO_SUSPEND);
    }

    /// Records a reply.
    pub fn record_reply(&mut self) {
        self.silent_since = None;
        self.misses = 0;
    }

    /// Records a call without reply; returns whether the target is silent. One whose lease isn't
    /// held yet (`is_held`) is silent after one.
    pub fn record_missed_call(&mut self, now: Millis, is_held: bool) -> bool {
        self.misses += 1;
        let silent = self.misses >= MISSED_CALLS_TO_SILENCE || !is_held;
        if silent {
            self.silent_since.get_or_insert(now);
        }
        silent
    }

    /// Returns whether the last call had no reply.
    #[must_use]
    pub fn has_missed(&self) -> bool {
        self.misses > 0
    }

    /// Clears the silence, when another host holds the target's lease.
    pub fn clear_silence(&mut self) {
        self.silent_since = None;
    }

    /// Returns since when the target has been silent, if it is.
    #[must_use]
    pub fn silent_since(&self) -> Option<Millis> {
        self.silent_since
    }

    /// Returns the failures in a row.
    #[must_use]
    pub fn failures(&self) -> u32 {
        self.failures
    }

    /// Returns whether a task may be started; `idle` is set if none runs there.
    #[must_use]
    pub fn accepts_task(&self, now: Millis, idle: bool) -> bool {
        let healthy = self.failures < FAILURES_TO_SUSPEND && self.slowdown < ONE_TASK_SLOWDOWN;
        self.silent_since.is_none() && self.suspended_until <= now && (healthy || idle)
    }

    /// Returns the ratio of running time to estimate here: the moving average, or the largest that
    /// overdue attempts show if that is more.
    #[must_use]
    pub fn slowdown(&self, running: impl Iterator<Item = RunningTime>) -> f64 {
        let overdue = running.map(|attempt| {
            let since = attempt.since_ms as f64 - OVERDUE_MARGIN_MS;
            since / attempt.estimate_ms.max(1) as f64
        });
        let slowest = overdue.fold(1.0, f64::max);
        let overdue = if slowest < OVERDUE_FACTOR {
            1.0
        } else {
            slowest
        };
        self.slowdown.max(overdue)
    }

    /// Returns after how many ms an attempt overruns.
    #[must_use]
    pub fn overrun_after_ms(&self, estimate_ms: Millis) -> Millis {
        let slowdown = self.slowdown.clamp(1.0, MAX_OVERRUN_SLOWDOWN);
        let allowed = estimate_ms as f64 * OVERRUN_FACTOR * slowdown;
        allowed as Millis + OVERRUN_MARGIN_MS
    }
}

/// The running time of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct RunningTime {
    /// The time since its start was sent, in ms.
    pub since_ms: Millis,
    /// Its estimate, in ms.
    pub estimate_ms: Millis,
}
