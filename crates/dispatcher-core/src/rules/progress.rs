//! Whether an attempt stands still, by what its target says of its progress.
//!
//! **Rule.** Listings tell what part of its work an attempt has done. One that did nothing for
//! `LEAST_STALL_MS`, and for as long as a target that is `SLOWEST` times slower than
//! estimated takes for `VISIBLE_PERCENT` of the work, is *stalled*: it is stopped and tried
//! elsewhere, and its target is suspended as for an overrun. A slow attempt isn't stalled.
//! Where running times are learned, the time that is expected of it stands in for the estimate
//! ([`super::running_time`]), and one is let go on at its own pace, which also tells when
//! it will end.
//!
//! **Inputs.** Percent of the work, the target's own clock and the estimate in ms: on one
//! clock, so that a listing that was long on its way stalls nothing. **Measured.** Of attempts
//! on a played day the progress of well ones grew evenly to 100, that of hung ones stayed at
//! 0 for as long as their targets hung. Days on which a tenth of the targets hang for 5.5 s:
//! 0.910 and 0.910 to 0.962 and 0.968 worth (two seeds in pairs, no processor time charged, with
//! the changes of [`super::congestion`]). **Gives up.** Attempts shorter than a listing's round
//! are judged after their time.

use crate::Millis;

/// The shortest time without progress after which an attempt is stalled, in ms of the
/// target's clock. Chosen, not measured.
const LEAST_STALL_MS: f64 = 100.0;
/// An attempt that is so many times slower than estimated still shows progress.
/// Above the slowest targets of the played days (6.5 times).
const SLOWEST: f64 = 10.0;
/// Progress is told in whole percent: of two, one shows at least.
const VISIBLE_PERCENT: f64 = 2.0;

/// An attempt's pace may fall by this factor, as when others begin beside it.
const UNEVEN: f64 = 3.0;
/// Percent of its work after which an attempt's pace shows: it is told in whole percent.
const LEAST_PERCENT: u8 = 5;

/// How far an attempt has got, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Percent of its work.
    percent: u8,
    /// When it had got so far, in ms of its target's clock.
    since: Millis,
    /// What was first known: percent of its work, and when on its target's clock.
    first: (u8, Millis),
    /// Whether a listing told any of it.
    told: bool,
}

impl Progress {
    /// Returns what is known of an attempt when its target has accepted it.
    #[must_use]
    pub fn begun(clock: Millis) -> Self {
        Self {
            percent: 0,
            since: clock,
            first: (0, clock),
            told: false,
        }
    }

    /// Returns what is known of an attempt of which a listing is the first to tell.
    #[must_use]
    pub fn first_told(percent: u8, clock: Millis) -> Self {
        Self {
            percent,
            since: clock,
            first: (percent, clock),
            told: true,
        }
    }

    /// Records what a listing told.
    pub fn observe(&mut self, percent: u8, clock: Millis) {
        self.told = true;
        if percent > self.percent {
            self.percent = percent;
            self.since = clock;
        }
    }

    /// Returns whether its target tells its progress.
    #[must_use]
    pub fn is_told(&self) -> bool {
        self.told
    }

    /// Returns how long all of its work takes at the pace so far, in ms, once that shows.
    #[must_use]
    pub fn total_ms(&self) -> Option<f64> {
        let (first, began) = self.first;
        let (done, took) = (self.percent - first, self.since.saturating_sub(began));
        (done >= LEAST_PERCENT && took > 0).then(|| took as f64 * 100.0 / f64::from(done))
    }

    /// Returns whether the attempt stands still.
    #[must_use]
    pub fn is_stalled(&self, clock: Millis, estimate_ms: Millis) -> bool {
        let visible_ms = estimate_ms as f64 * SLOWEST * VISIBLE_PERCENT / 100.0;
        self.is_still_for(clock, visible_ms)
    }

    /// Returns whether the attempt stands still, beside what is expected of it: `expected_ms`
    /// for all of its work, and beside its own pace. One that goes on as before isn't stalled,
    /// however long it takes.
    #[must_use]
    pub fn is_stalled_beside(&self, clock: Millis, expected_ms: f64) -> bool {
        let slowest_ms = expected_ms * SLOWEST;
        let own_ms = self.total_ms().unwrap_or(0.0) * UNEVEN;
        let visible_ms = slowest_ms.max(own_ms) * VISIBLE_PERCENT / 100.0;
        self.is_still_for(clock, visible_ms)
    }

    fn is_still_for(&self, clock: Millis, visible_ms: f64) -> bool {
        let still_ms = clock.saturating_sub(self.since) as f64;
        still_ms >= visible_ms.max(LEAST_STALL_MS)
    }
}
