//! Detects stalled attempts by the progress that their targets report.
//!
//! **Rule.** Listings report what part of its work an attempt has done. An attempt is *stalled* if
//! it made no progress for `MIN_STALL_MS`, and for as long as a target that is `MAX_SLOWDOWN` times
//! slower than estimated needs for `VISIBLE_PERCENT` of the work. It is stopped and retried
//! elsewhere, and its target is suspended as for an overrun. A slow attempt isn't stalled. Where
//! running times are learned, the longest tasks of its kind replace the estimate
//! ([`super::running_time`]), and an attempt may continue at its own pace, which also predicts its
//! end.
//!
//! **Inputs.** Percent of the work, the target's own clock and the estimate in ms: on one clock, so
//! that a delayed listing doesn't make an attempt look stalled. **Reason.** Healthy attempts
//! advance evenly, those on a hung target not at all. **Trade-off.** Attempts shorter than the
//! interval of listings are only detected after their expected time.

use crate::Millis;

/// The shortest time without progress after which an attempt is stalled, in ms of the target's
/// clock.
const MIN_STALL_MS: f64 = 100.0;
/// An attempt that is this many times slower than estimated still shows progress. Above what slow
/// targets need.
const MAX_SLOWDOWN: f64 = 10.0;
/// The percent of work in which progress is certain to show where it is compared with the estimate:
/// it is reported in whole percent.
const VISIBLE_PERCENT: f64 = 2.0;
/// The percent of work in which progress shows where it is compared with the longest tasks of a
/// kind. Less suffices, since such tasks are rare.
const VISIBLE_LONG_PERCENT: f64 = 1.0;
/// The factor from which an attempt counts as slowed: well above the rounding error of whole
/// percents.
const MIN_SLOWED_FACTOR: f64 = 2.0;
/// The percent of work over which a pace is measured: progress is reported in whole percent.
const MIN_PACE_PERCENT: u8 = 5;

/// The progress of an attempt at one time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Mark {
    /// Percent of its work that is done.
    percent: u8,
    /// The target's clock, in ms.
    clock: Millis,
}

/// The progress of an attempt, and its pace.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Progress {
    /// Percent of its work that is done.
    percent: u8,
    /// When that was first reported, in ms of the target's clock.
    since: Millis,
    /// The first known progress.
    first: Mark,
    /// The start of the measurement of the current pace, and of the next one.
    pace_from: Mark,
    next_from: Mark,
    /// Its fastest pace so far, as the time for all of its work in ms.
    fastest_ms: Option<f64>,
    /// Whether a listing has reported any progress.
    is_reported: bool,
}

impl Progress {
    /// Creates the progress of an attempt that its target has just accepted.
    #[must_use]
    pub fn started(clock: Millis) -> Self {
        Self::known(0, clock, false)
    }

    /// Creates the progress of an attempt that is first known by a listing.
    #[must_use]
    pub fn from_listing(percent: u8, clock: Millis) -> Self {
        Self::known(percent, clock, true)
    }

    fn known(percent: u8, clock: Millis, is_reported: bool) -> Self {
        let first = Mark { percent, clock };
        Self {
            percent,
            since: clock,
            first,
            pace_from: first,
            next_from: first,
            fastest_ms: None,
            is_reported,
        }
    }

    /// Records the progress that a listing reports.
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

    /// Returns the time for all of its work at the fastest pace seen so far, in ms; `None` until
    /// its progress shows a pace.
    #[must_use]
    pub fn fastest_total_ms(&self) -> Option<f64> {
        let done = self.percent - self.first.percent;
        let ran_ms = self.since.saturating_sub(self.first.clock) as f64;
        let whole_ms = (done > 0).then(|| ran_ms * 100.0 / f64::from(done));
        let totals_ms = [whole_ms, self.pace_ms(), self.fastest_ms];
        totals_ms.into_iter().flatten().reduce(f64::min)
    }

    /// Returns whether its target reports its progress.
    #[must_use]
    pub fn is_reported(&self) -> bool {
        self.is_reported
    }

    /// Returns the time for all of its work at its latest pace, in ms, once that shows. The latest
    /// pace, since a target may become slow in the middle of a task.
    #[must_use]
    pub fn pace_ms(&self) -> Option<f64> {
        let done = self.percent - self.pace_from.percent;
        let took = self.since.saturating_sub(self.pace_from.clock);
        (done >= MIN_PACE_PERCENT && took > 0).then(|| took as f64 * 100.0 / f64::from(done))
    }

    /// Returns by how many times it has become slower than its fastest pace, once it counts as
    /// slowed. A task that is long by nature advances slowly from its start.
    #[must_use]
    pub fn slowed_by(&self) -> Option<f64> {
        let slowed_by = self.pace_ms()? / self.fastest_ms?;
        (slowed_by >= MIN_SLOWED_FACTOR).then_some(slowed_by)
    }

    /// Returns the expected running time until its end, in ms, at its latest pace, once that shows.
    #[must_use]
    pub fn expected_run_ms(&self) -> Option<f64> {
        let ran_ms = self.since.saturating_sub(self.first.clock) as f64;
        let left = 1.0 - f64::from(self.percent.min(100)) / 100.0;
        Some(ran_ms + self.pace_ms()? * left)
    }

    /// Returns whether the attempt is stalled, by its estimate.
    #[must_use]
    pub fn is_stalled(&self, clock: Millis, estimate_ms: Millis) -> bool {
        let visible_ms = estimate_ms as f64 * MAX_SLOWDOWN * VISIBLE_PERCENT / 100.0;
        self.has_no_progress_for(clock, visible_ms)
    }

    /// Returns whether the attempt is stalled, by its own pace and by the longest tasks of its
    /// kind, which take `longest_ms`. An attempt that continues isn't stalled however long it
    /// takes, even if its target has just become `MAX_SLOWDOWN` times slower.
    #[must_use]
    pub fn is_stalled_for_kind(&self, clock: Millis, longest_ms: f64) -> bool {
        let total_ms = longest_ms.max(self.rough_pace_ms());
        self.has_no_progress_for(
            clock,
            total_ms * MAX_SLOWDOWN * VISIBLE_LONG_PERCENT / 100.0,
        )
    }

    /// Returns a rough time for all of its work, in ms, or 0 without progress.
    fn rough_pace_ms(&self) -> f64 {
        let done = f64::from(self.percent - self.first.percent).max(1.0);
        let ran_ms = self.since.saturating_sub(self.first.clock) as f64;
        self.pace_ms().unwrap_or(ran_ms * 100.0 / done)
    }

    /// Returns whether no progress was made in `visible_ms`, in which some would show.
    fn has_no_progress_for(&self, clock: Millis, visible_ms: f64) -> bool {
        let idle_ms = clock.saturating_sub(self.since) as f64;
        idle_ms >= visible_ms.max(MIN_STALL_MS)
    }
}
