//! Whether an attempt stands still, by what its target says of its progress.
//!
//! **Rule.** Listings tell what part of its work an attempt has done. One that did nothing for
//! `MIN_STALL_MS`, and for as long as a target that is `MAX_SLOWDOWN` times slower than
//! estimated takes for `VISIBLE_PERCENT` of the work, is *stalled*: it is stopped and tried
//! elsewhere, and its target is suspended as for an overrun. A slow attempt isn't stalled.
//! Where running times are learned, the longest tasks of its kind stand in for the estimate
//! ([`super::running_time`]), and one is let go on at its own pace, which also tells when
//! it will end.
//!
//! **Inputs.** Percent of the work, the target's own clock and the estimate in ms: on one
//! clock, so that a listing that was long on its way stalls nothing. **Reason.** Well attempts
//! advance evenly, those on a hung target not at all. **Gives up.** Attempts shorter than a
//! listing's round are judged after their time.

use crate::Millis;

/// The shortest time without progress after which an attempt is stalled, in ms of the target's
/// clock.
const MIN_STALL_MS: f64 = 100.0;
/// An attempt that is so many times slower than estimated still shows progress.
/// Above what slow targets need.
const MAX_SLOWDOWN: f64 = 10.0;
/// Progress is told in whole percent: of two, one shows at least.
const VISIBLE_PERCENT: f64 = 2.0;
/// The longest tasks of a kind are far rarer than others: these show a percent at least.
const VISIBLE_LONG_PERCENT: f64 = 1.0;
/// An attempt that is so many times slower than it was has been slowed: far more than what
/// whole percents leave open.
const MIN_SLOWED_FACTOR: f64 = 2.0;
/// Percent of its work after which an attempt's pace shows: it is told in whole percent.
const MIN_PACE_PERCENT: u8 = 5;

/// How far an attempt had got at some time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mark {
    /// Percent of its work.
    percent: u8,
    /// The target's clock, in ms.
    clock: Millis,
}

/// How far an attempt has got, and since when.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Percent of its work.
    percent: u8,
    /// When it had got so far, in ms of its target's clock.
    since: Millis,
    /// What was first known.
    first: Mark,
    /// From where its pace is reckoned, and from where it will be next.
    pace_from: Mark,
    next_from: Mark,
    /// Its fastest pace so far, as the time for all of its work in ms.
    fastest_ms: Option<f64>,
    /// Whether a listing told any of it.
    is_reported: bool,
}

impl Progress {
    /// Returns what is known of an attempt when its target has accepted it.
    #[must_use]
    pub fn started(clock: Millis) -> Self {
        Self::known(0, clock, false)
    }

    /// Returns what is known of an attempt of which a listing is the first to tell.
    #[must_use]
    pub fn from_listing(percent: u8, clock: Millis) -> Self {
        Self::known(percent, clock, true)
    }

    fn known(percent: u8, clock: Millis, told: bool) -> Self {
        let first = Mark { percent, clock };
        Self {
            percent,
            since: clock,
            first,
            pace_from: first,
            next_from: first,
            fastest_ms: None,
            is_reported: told,
        }
    }

    /// Records what a listing told.
    pub fn observe(&mut self, percent: u8, clock: Millis) {
        self.is_reported = true;
        if percent > self.percent {
            self.percent = percent;
            self.since = clock;
            if percent - self.next_from.percent >= MIN_PACE_PERCENT {
                self.pace_from = self.next_from;
                self.next_from = Mark { percent, clock };
                let fastest_ms = self.fastest_ms.unwrap_or(f64::INFINITY);
                self.fastest_ms = self.pace_ms().map(|pace_ms| pace_ms.min(fastest_ms));
            }
        }
    }

    /// Returns the percent of its work that is done.
    #[must_use]
    pub fn percent(&self) -> u8 {
        self.percent
    }

    /// Returns how long all of its work takes at the quickest pace shown so far, in ms, once any
    /// shows.
    #[must_use]
    pub fn fastest_total_ms(&self) -> Option<f64> {
        let done = self.percent - self.first.percent;
        let run_ms = self.since.saturating_sub(self.first.clock) as f64;
        let whole_ms = (done > 0).then(|| run_ms * 100.0 / f64::from(done));
        let shown = [whole_ms, self.pace_ms(), self.fastest_ms];
        shown.into_iter().flatten().reduce(f64::min)
    }

    /// Returns whether its target tells its progress.
    #[must_use]
    pub fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Returns how long all of its work takes at its latest pace, in ms, once that shows. The
    /// latest, since a target that turns slow does so in the middle of its tasks.
    #[must_use]
    pub fn pace_ms(&self) -> Option<f64> {
        let done = self.percent - self.pace_from.percent;
        let took = self.since.saturating_sub(self.pace_from.clock);
        (done >= MIN_PACE_PERCENT && took > 0).then(|| took as f64 * 100.0 / f64::from(done))
    }

    /// Returns by how many times it has become slower than it was, once that shows. A task that is
    /// long by nature advances slowly from its beginning.
    #[must_use]
    pub fn slowed_by(&self) -> Option<f64> {
        let slowed_by = self.pace_ms()? / self.fastest_ms?;
        (slowed_by >= MIN_SLOWED_FACTOR).then_some(slowed_by)
    }

    /// Returns how long it will have run when it is done, in ms, if it goes on at its latest
    /// pace, once that shows.
    #[must_use]
    pub fn expected_run_ms(&self) -> Option<f64> {
        let run_ms = self.since.saturating_sub(self.first.clock) as f64;
        let left = 1.0 - f64::from(self.percent.min(100)) / 100.0;
        Some(run_ms + self.pace_ms()? * left)
    }

    /// Returns whether the attempt stands still.
    #[must_use]
    pub fn is_stalled(&self, clock: Millis, estimate_ms: Millis) -> bool {
        let visible_ms = estimate_ms as f64 * MAX_SLOWDOWN * VISIBLE_PERCENT / 100.0;
        self.has_no_progress_for(clock, visible_ms)
    }

    /// Returns whether the attempt stands still: beside its own pace, and beside the longest
    /// tasks of its kind, which take `longest_ms`. One that goes on isn't stalled, however long
    /// it takes, also if its target has just turned `MAX_SLOWDOWN` times slower.
    #[must_use]
    pub fn is_stalled_for_kind(&self, clock: Millis, longest_ms: f64) -> bool {
        let total_ms = longest_ms.max(self.rough_pace_ms());
        self.has_no_progress_for(
            clock,
            total_ms * MAX_SLOWDOWN * VISIBLE_LONG_PERCENT / 100.0,
        )
    }

    /// Returns how long all of its work takes as far as that shows, in ms, or 0.
    fn rough_pace_ms(&self) -> f64 {
        let done = f64::from(self.percent - self.first.percent).max(1.0);
        let run_ms = self.since.saturating_sub(self.first.clock) as f64;
        self.pace_ms().unwrap_or(run_ms * 100.0 / done)
    }

    /// Returns whether nothing was done for the time in which some would show, in ms.
    fn has_no_progress_for(&self, clock: Millis, visible_ms: f64) -> bool {
        let still_ms = clock.saturating_sub(self.since) as f64;
        still_ms >= visible_ms.max(MIN_STALL_MS)
    }
}
