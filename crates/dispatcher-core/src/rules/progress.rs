//! Whether an attempt stands still, by what its target says of its progress.
//!
//! **Rule.** Listings tell what part of its work an attempt has done. One that did nothing for
//! `LEAST_STALL_MS`, and for as long as a target that is `SLOWEST` times slower than
//! estimated takes for `VISIBLE_PERCENT` of the work, is *stalled*: it is stopped and tried
//! elsewhere, and its target is suspended as for an overrun. A slow attempt isn't stalled.
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

/// How far an attempt has got, and since when.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Percent of its work.
    percent: u8,
    /// When it had got so far, in ms of its target's clock.
    since: Millis,
}

impl Progress {
    /// Returns what is known of an attempt when its target has accepted it.
    #[must_use]
    pub fn begun(clock: Millis) -> Self {
        Self {
            percent: 0,
            since: clock,
        }
    }

    /// Records what a listing told.
    pub fn observe(&mut self, percent: u8, clock: Millis) {
        if percent > self.percent {
            *self = Self {
                percent,
                since: clock,
            };
        }
    }

    /// Returns whether the attempt stands still.
    #[must_use]
    pub fn is_stalled(&self, clock: Millis, estimate_ms: Millis) -> bool {
        let still_ms = clock.saturating_sub(self.since) as f64;
        let visible_ms = estimate_ms as f64 * SLOWEST * VISIBLE_PERCENT / 100.0;
        still_ms >= visible_ms.max(LEAST_STALL_MS)
    }
}
