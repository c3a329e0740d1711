//! Queue of items for a peer that are sent until the peer acknowledges them.

use crate::event::CallId;

/// The items of a call in flight.
#[derive(Debug)]
struct SentCall<T> {
    call: CallId,
    items: Vec<T>,
}

/// Items for a peer, with at most one call in flight.
#[derive(Debug)]
pub struct Outbox<T> {
    waiting: Vec<T>,
    sent: Option<SentCall<T>>,
}

impl<T> Default for Outbox<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            sent: None,
        }
    }
}

impl<T> Outbox<T> {
    /// Appends an item to those that wait to be sent.
    pub fn push(&mut self, item: T) {
        self.waiting.push(item);
    }

    /// Appends items to those that wait to be sent.
    pub fn extend(&mut self, items: impl IntoIterator<Item = T>) {
        self.waiting.extend(items);
    }

    /// Returns whether items wait to be sent.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether items wait and no call is in flight.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.has_waiting() && self.sent.is_none()
    }

    /// Returns the first of the waiting items.
    #[must_use]
    pub fn first(&self) -> Option<&T> {
        self.waiting.first()
    }

    /// Removes and returns the waiting items for which `matches` holds.
    pub fn take_matching(&mut self, matches: impl Fn(&T) -> bool) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        let (taken, left) = waiting.into_iter().partition(matches);
        self.waiting = left;
        taken
    }

    /// Records that items were sent with a call.
    pub fn record_sent(&mut self, call: CallId, items: Vec<T>) {
        self.sent = Some(SentCall { call, items });
    }

    /// Handles the outcome of a call: items that weren't acknowledged wait to be sent again.
    /// Returns false if the call is the one in flight and wasn't acknowledged.
    pub fn handle_reply(&mut self, call: CallId, acknowledged: bool) -> bool {
        let Some(sent) = self.sent.take_if(|sent| sent.call == call) else {
            return true;
        };
        if !acknowledged {
            self.waiting.extend(sent.items);
        }
        acknowledged
    }

    /// Removes the waiting items.
    pub fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Removes all items; the outcome of a call in flight is then ignored.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.sent = None;
    }
}
