//! Measures the congestion of this host's own link, and adapts message rates and timeouts to it.
//!
//! **Rule.** The shortest time that any reply of a peer took in the last `WINDOW_MS` is this host's
//! own delay: a slow peer delays its own replies only, while a full link or a lack of processor
//! time here delays all of them. As far as the delay exceeds `ORDINARY_DELAY_MS`, demands are
//! repeated less often, and timeouts of replies and reservations are longer: an overload leads to
//! fewer messages, and isn't taken for the silence of targets.
//!
//! **Inputs.** Times in ms from requests to peers until their replies; for a request without reply,
//! its timeout. **Trade-off.** Tasks at a host whose link is full learn of free resources later,
//! and a target that falls silent then is detected later.

use crate::Millis;

/// The length of the windows over which the shortest delay is taken, in ms: long enough for several
/// replies at each host.
const WINDOW_MS: Millis = 100;
/// A window with fewer replies is ignored.
const MIN_REPLIES: u32 = 3;
/// The time that the quickest reply may take on a link that isn't full, in ms: a round trip between
/// halls, and the processing at two busy hosts.
const ORDINARY_DELAY_MS: Millis = 10;
/// The delay is multiplied by this for the added time between repeated demands.
const REPEAT_FACTOR: Millis = 8;
/// The delay is multiplied by this for the added timeout of replies and reservations: once for the
/// request and once for the reply.
const WAIT_FACTOR: Millis = 2;

/// The delay that this host adds to all replies of its peers.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDelay {
    /// The excess over the ordinary delay in the last window with enough replies, in ms.
    delay_ms: Millis,
    window_started: Millis,
    least_ms: Option<Millis>,
    replies: u32,
}

impl LocalDelay {
    /// Records that a reply arrived after `took_ms`, or timed out after it.
    pub fn observe(&mut self, now: Millis, took_ms: Millis) {
        if now >= self.window_started + WINDOW_MS {
            self.end_window(now);
        }
        self.replies += 1;
        let least = self.least_ms.map_or(took_ms, |least| least.min(took_ms));
        self.least_ms = Some(least);
    }

    fn end_window(&mut self, now: Millis) {
        if let Some(least) = self.least_ms.filter(|_| self.replies >= MIN_REPLIES) {
            self.delay_ms = least.saturating_sub(ORDINARY_DELAY_MS);
        }
        self.window_started = now;
        self.least_ms = None;
        self.replies = 0;
    }

    /// Returns the excess over the ordinary delay, in ms.
    #[must_use]
    pub fn delay_ms(&self) -> Millis {
        self.delay_ms
    }

    /// Returns the time to add to the interval between two demands, in ms.
    #[must_use]
    pub fn extra_demand_interval_ms(&self) -> Millis {
        REPEAT_FACTOR * self.delay_ms
    }

    /// Returns the time to add to the timeouts of replies and reservations, in ms.
    #[must_use]
    pub fn extra_wait_ms(&self) -> Millis {
        WAIT_FACTOR * self.delay_ms
    }
}

/// The bounds of the timeout of a start's reply, in ms. After the timeout the attempt may run or
/// not, and is stopped so that its task can be retried elsewhere. A short timeout saves time where
/// replies are lost, and loses attempts on slow links.
const START_TIMEOUT_RANGE_MS: (f64, f64) = (40.0, 150.0);
/// The timeout of a start is this many times the slow reply time.
const START_TIMEOUT_FACTOR: f64 = 4.0;
/// With each quicker reply the slow reply time falls by this share of the difference.
const SLOW_DECAY: f64 = 0.02;
/// With each start without reply the slow reply time grows by this factor, since the timeout may be
/// too short. One lost reply in 20 is balanced by [`SLOW_DECAY`].
const MISSED_FACTOR: f64 = 1.25;

/// Tracks the slower reply times of starts, to derive their timeout.
#[derive(Clone, Copy, Debug)]
pub struct StartReplyTimes {
    slow_ms: f64,
}

impl Default for StartReplyTimes {
    fn default() -> Self {
        Self {
            slow_ms: START_TIMEOUT_RANGE_MS.1 / START_TIMEOUT_FACTOR,
        }
    }
}

impl StartReplyTimes {
    /// Records a reply that took `took_ms`.
    pub fn record_reply(&mut self, took_ms: Millis) {
        let took = took_ms as f64;
        let weight = if took > self.slow_ms { 1.0 } else { SLOW_DECAY };
        self.slow_ms += weight * (took - self.slow_ms);
    }

    /// Records a start without reply.
    pub fn record_missing_reply(&mut self) {
        self.slow_ms = (self.slow_ms * MISSED_FACTOR).min(START_TIMEOUT_RANGE_MS.1);
    }

    /// Returns the timeout of a start's reply, in ms.
    #[must_use]
    pub fn timeout_ms(&self) -> Millis {
        let (least, most) = START_TIMEOUT_RANGE_MS;
        (self.slow_ms * START_TIMEOUT_FACTOR).clamp(least, most) as Millis
    }
}
