//! How much a target has, where its entry in the list and its listings tell it.
//!
//! **Rule.** A target's capacity may shrink and grow while it runs, and both its entry and its
//! listings may tell it. The newer of the two holds. No clock orders them, so:
//!
//! - a listing is first-hand: what it tells holds, until the entry tells another capacity than
//!   it did before;
//! - from then on the less of both holds, of each resource, until a listing that was asked for
//!   after that entry came tells which is right. It is asked for at once.
//!
//! Such a listing that tells none leaves the entry in force. A capacity that can't be read
//! tells none. Another life of the target, or another holder, begins with the entry.
//!
//! A task that fits what the target had at its most could run there again: its job isn't
//! refused as too large.
//!
//! **Inputs.** Resources as told, and when, in ms of this host's clock. An entry may have been
//! written before the last listing and come seconds after it, where the store is slow or other
//! hosts tell of it: taken as the newer it would allow starts beyond a capacity that has shrunk
//! since. **Gives up.** Growth that the entry tells first is used one renewal later.

use crate::spec::Resources;
use crate::Millis;

/// What a target has told of its capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedCapacity {
    /// What its entry told last.
    entry: Resources,
    /// What its listing told last, if any did.
    listed: Option<Resources>,
    /// When the entry changed since, if it did.
    entry_changed: Option<Millis>,
    /// The most of each resource that was told.
    maximum: Resources,
}

impl ReportedCapacity {
    /// Knows what the target's entry tells.
    #[must_use]
    pub fn new(entry: Resources) -> Self {
        Self {
            entry,
            listed: None,
            entry_changed: None,
            maximum: entry,
        }
    }

    /// Records what the target's entry tells; returns whether a listing is needed to know
    /// what holds.
    pub fn record_entry(&mut self, now: Millis, capacity: Resources) -> bool {
        if capacity == self.entry {
            return false;
        }
        self.entry = capacity;
        self.maximum = self.maximum.most(&capacity);
        self.entry_changed = Some(now);
        self.listed.is_some()
    }

    /// Records what a listing tells that was asked for at `asked`, if it tells any.
    pub fn record_listing(&mut self, asked: Millis, capacity: Option<Resources>) {
        if let Some(capacity) = capacity {
            self.maximum = self.maximum.most(&capacity);
        }
        // What came in the same millisecond may have come after.
        let entry_is_older = self.entry_changed.is_none_or(|at| at < asked);
        let entry_is_newest = entry_is_older && self.entry_changed.is_some();
        if capacity.is_some() || entry_is_newest {
            self.listed = capacity;
        }
        if entry_is_older {
            self.entry_changed = None;
        }
    }

    /// Forgets the listings: those that follow are another life's, or another holder's.
    pub fn discard_listings(&mut self) {
        *self = Self::new(self.entry);
    }

    /// Returns the most of each resource that it had: it may have it again.
    #[must_use]
    pub fn maximum(&self) -> Resources {
        self.maximum
    }

    /// Returns the capacity that holds.
    #[must_use]
    pub fn in_force(&self) -> Resources {
        match (self.listed, self.entry_changed) {
            (None, _) => self.entry,
            (Some(listed), None) => listed,
            (Some(listed), Some(_)) => listed.least(&self.entry),
        }
    }
}
