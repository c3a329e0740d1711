//! How full this host's own link is, and what it says and waits for then.
//!
//! **Rule.** The least time that any reply of a peer took in the last `WINDOW_MS` is this
//! host's own delay: a peer that is slow delays its own replies only, a full link or a lack
//! of processor time here delays all of them. As far as the delay is more than
//! `ORDINARY_DELAY_MS`, demands are repeated more rarely, and replies and reservations are waited
//! for longer: an overload leads to fewer messages, and isn't taken for the silence of targets.
//!
//! **Inputs.** Times in ms from requests to peers until their replies; of a request without
//! reply, the time that was waited. **Measured**, played days on links of 2 Mbit/s, no processor
//! time charged, one play each: -0.088 to 0.088, -0.311 to -0.164 and -0.047 to 0.081 worth; on links
//! of 25 Mbit/s and more no difference. **Gives up.** Tasks at a
//! host whose link is full hear of free resources later; a target that falls silent then is
//! given up later.

use crate::Millis;

/// The least delay is taken of windows of this length, in ms: long enough for several replies
/// at each host. Chosen, not measured.
const WINDOW_MS: Millis = 100;
/// A window with fewer replies than this says nothing. Chosen, not measured.
const MIN_REPLIES: u32 = 3;
/// What the quickest reply may take on a link that isn't full, in ms: a round trip between
/// halls, and the processors of two busy hosts. Chosen, not measured.
const ORDINARY_DELAY_MS: Millis = 10;
/// Demands are repeated later by this many times the delay. Chosen, not measured.
const REPEAT_FACTOR: Millis = 8;
/// Replies and reservations are waited for longer by this many times the delay: one for the
/// request and one for the reply. Chosen, not measured.
const WAIT_FACTOR: Millis = 2;

/// This host's own delay, as the replies of its peers show it.
#[derive(Clone, Copy, Debug, Default)]
pub struct LocalDelay {
    /// Of the last window that told of it, in ms, beyond what is ordinary.
    delay_ms: Millis,
    window_started: Millis,
    least_ms: Option<Millis>,
    replies: u32,
}

impl LocalDelay {
    /// Records that a reply took so long, or didn't come within it.
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

    /// Returns the delay beyond what is ordinary, in ms.
    #[must_use]
    pub fn delay_ms(&self) -> Millis {
        self.delay_ms
    }

    /// Returns what is added to the time between two demands, in ms.
    #[must_use]
    pub fn extra_demand_interval_ms(&self) -> Millis {
        REPEAT_FACTOR * self.delay_ms
    }

    /// Returns what is added to the time for which replies and reservations are waited for,
    /// in ms.
    #[must_use]
    pub fn extra_wait_ms(&self) -> Millis {
        WAIT_FACTOR * self.delay_ms
    }
}

/// The reply to a start is waited for at least so long, in ms, and at most: after that the
/// attempt may run or not, and is stopped, so that its task can be tried elsewhere. Each day
/// with 5 % of the orders carried out late loses by the wait: with 40 ms instead of 150 its worth
/// rose from 0.837 to 0.879 (4 seeds in pairs). With always 40 ms narrow links lose as much:
/// 0.360 to 0.254 on a played day with 2 Mbit/s.
const START_TIMEOUT_RANGE_MS: (f64, f64) = (40.0, 150.0);
/// A start is waited for so many times as long as slow replies took. Chosen, not measured.
const START_TIMEOUT_FACTOR: f64 = 4.0;
/// With each quicker reply what counts as slow comes down by this part of the difference.
/// Chosen, not measured.
const SLOW_DECAY: f64 = 0.02;
/// With each start without reply what counts as slow grows by this factor: the wait may be
/// too short. One lost order in 20 doesn't make it grow on the whole. Chosen, not measured.
const MISSED_FACTOR: f64 = 1.25;

/// How long replies to starts take, the slower ones of late.
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
    /// Records a reply that took so long.
    pub fn record_reply(&mut self, took_ms: Millis) {
        let took = took_ms as f64;
        let weight = if took > self.slow_ms { 1.0 } else { SLOW_DECAY };
        self.slow_ms += weight * (took - self.slow_ms);
    }

    /// Records a start without reply.
    pub fn record_missing_reply(&mut self) {
        self.slow_ms = (self.slow_ms * MISSED_FACTOR).min(START_TIMEOUT_RANGE_MS.1);
    }

    /// Returns how long the reply to a start is waited for, in ms.
    #[must_use]
    pub fn timeout_ms(&self) -> Millis {
        let (least, most) = START_TIMEOUT_RANGE_MS;
        (self.slow_ms * START_TIMEOUT_FACTOR).clamp(least, most) as Millis
    }
}
