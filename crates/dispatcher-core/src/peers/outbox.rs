//! Messages to a peer that are sent until the peer has acknowledged them.

use crate::event::CallId;

/// What went out with one call.
#[derive(Debug)]
struct Sent<T> {
    call: CallId,
    items: Vec<T>,
}

/// Items for a peer, some of them on their way; one call at a time.
#[derive(Debug)]
pub struct Outbox<T> {
    waiting: Vec<T>,
    sent: Option<Sent<T>>,
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
    /// Adds an item.
    pub fn push(&mut self, item: T) {
        self.waiting.push(item);
    }

    /// Adds items.
    pub fn extend(&mut self, items: impl IntoIterator<Item = T>) {
        self.waiting.extend(items);
    }

    /// Returns whether items wait to be sent.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Returns whether items wait and no call is on its way.
    #[must_use]
    pub fn may_send(&self) -> bool {
        self.has_waiting() && self.sent.is_none()
    }

    /// Returns the item that has waited longest.
    #[must_use]
    pub fn first(&self) -> Option<&T> {
        self.waiting.first()
    }

    /// Takes the waiting items that `with` picks.
    pub fn take_matching(&mut self, with: impl Fn(&T) -> bool) -> Vec<T> {
        let waiting = std::mem::take(&mut self.waiting);
        let (taken, left) = waiting.into_iter().partition(with);
        self.waiting = left;
        taken
    }

    /// Records that items went out with a call.
    pub fn record_sent(&mut self, call: CallId, items: Vec<T>) {
        self.sent = Some(Sent { call, items });
    }

    /// Records whether the peer has acknowledged a call; if not, its items wait
    /// again. Returns false if they do.
    pub fn handle_reply(&mut self, call: CallId, acknowledged: bool) -> bool {
        let Some(sent) = self.sent.take_if(|sent| sent.call == call) else {
            return true;
        };
        if !acknowledged {
            self.waiting.extend(sent.items);
        }
        acknowledged
    }

    /// Drops the waiting items.
    pub fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    /// Drops all items.
    pub fn clear(&mut self) {
        self.waiting.clear();
        self.sent = None;
    }
}
