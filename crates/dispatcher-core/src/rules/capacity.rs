//! Determines a target's capacity from its list entry and its status replies.
//!
//! **Rule.** A target's capacity may shrink and grow while it runs, and both its entry in the
//! target list and its listings (replies that list what runs there) may report it. The newer of the
//! two applies. No clock orders them, so:
//!
//! - a listing comes from the target itself: what it reports applies until the entry reports
//!   another capacity than before;
//! - from then on the lesser of both applies, for each resource, until a listing requested after
//!   that entry arrived settles which is right. That listing is requested at once.
//!
//! If such a listing reports none, the entry applies. A capacity that can't be parsed counts as not
//! reported. For another incarnation of the target, or another holder, the entry applies first.
//!
//! A task that fits the largest capacity reported so far could run there again, so its job isn't
//! refused as too large.
//!
//! **Inputs.** Reported resources, and when, in ms of this host's clock. **Reason.** An entry may
//! have been written before the last listing and arrive seconds after it, where the store is slow
//! or other hosts relay it: taken as the newer, it would allow starts beyond a capacity that has
//! shrunk since. **Trade-off.** Growth that the entry reports first is used one renewal later.

use crate::spec::Resources;
use crate::Millis;

/// The capacity that a target has reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedCapacity {
    /// The capacity of its latest entry.
    entry: Resources,
    /// The capacity of its latest listing, if that reported one.
    listed: Option<Resources>,
    /// When the entry changed, until a later listing settles what applies.
    entry_changed: Option<Millis>,
    /// The most of each resource reported so far, under the same incarnation and holder.
    maximum: Resources,
}

impl ReportedCapacity {
    /// Creates a capacity that only the target's entry has reported.
    #[must_use]
    pub fn new(entry: Resources) -> Self {
        Self {
            entry,
            listed: None,
            entry_changed: None,
            maximum: entry,
        }
    }

    /// Records the capacity of the target's entry; returns whether a listing has to be requested to
    /// settle what applies.
    pub fn record_entry(&mut self, now: Millis, capacity: Resources) -> bool {
        if capacity == self.entry {
            return false;
        }
        self.entry = capacity;
        self.maximum = self.maximum.componentwise_max(&capacity);
        self.entry_changed = Some(now);
        self.listed.is_some()
    }

    /// Records the capacity of a listing that was requested at `requested`, if it reports one.
    pub fn record_listing(&mut self, requested: Millis, capacity: Option<Resources>) {
        if let Some(capacity) = capacity {
            self.maximum = self.maximum.componentwise_max(&capacity);
        }
        // An entry of the same millisecond may have arrived after the request.
        let entry_is_older = self.entry_changed.is_none_or(|at| at < requested);
        let entry_is_newest = entry_is_older && self.entry_changed.is_some();
        if capacity.is_some() || entry_is_newest {
            self.listed = capacity;
        }
        if entry_is_older {
            self.entry_changed = None;
        }
    }

    /// Discards all but the capacity of the entry, when the incarnation of the target or its holder
    /// changes.
    pub fn discard_listings(&mut self) {
        *self = Self::new(self.entry);
    }

    /// Returns the most of each resource reported so far: the target may have it again.
    #[must_use]
    pub fn maximum(&self) -> Resources {
        self.maximum
    }

    /// Returns the capacity that applies.
    #[must_use]
    pub fn in_force(&self) -> Resources {
        match (self.listed, self.entry_changed) {
            (None, _) => self.entry,
            (Some(listed), None) => listed,
            (Some(listed), Some(_)) => listed.componentwise_min(&self.entry),
        }
    }
}
