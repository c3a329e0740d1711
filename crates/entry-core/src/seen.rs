//! Requests of peers that were taken lately, to tell copies from them.

use std::collections::{HashSet, VecDeque};

use gannetridge_entry_wire::{HostId, Time};

/// How long a request is remembered, in ms. No copy travels for longer.
/// Chosen, not measured.
const MEMORY_MS: u64 = 10_000;

/// Names a request: its sender and the sender's number of it.
pub type RequestKey = (HostId, u64);

/// Requests that were taken lately.
#[derive(Debug, Default)]
pub struct SeenRequests {
    keys: HashSet<RequestKey>,
    by_age: VecDeque<(Time, RequestKey)>,
}

impl SeenRequests {
    /// Notes a request, and tells whether it is the first of its kind.
    pub fn is_new(&mut self, key: RequestKey, now: Time) -> bool {
        self.forget(now.minus_millis(MEMORY_MS));
        let new = self.keys.insert(key.clone());
        if new {
            self.by_age.push_back((now, key));
        }
        new
    }

    fn forget(&mut self, before: Time) {
        while let Some((time, _)) = self.by_age.front() {
            if *time >= before {
                break;
            }
            if let Some((_, key)) = self.by_age.pop_front() {
                self.keys.remove(&key);
            }
        }
    }
}
