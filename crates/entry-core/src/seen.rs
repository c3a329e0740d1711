//! Detection of duplicate requests of peers.

use std::collections::{HashSet, VecDeque};

use gannetridge_entry_wire::{HostId, Time};

/// How long a request is remembered, in ms; assumed to be longer than any copy of it
/// can be delayed.
const RETENTION_MS: u64 = 10_000;

/// Identifies a request: its sender and the sender's serial of it.
pub type RequestKey = (HostId, u64);

/// The requests received within the last `RETENTION_MS`.
#[derive(Debug, Default)]
pub struct SeenRequests {
    keys: HashSet<RequestKey>,
    by_age: VecDeque<(Time, RequestKey)>,
}

impl SeenRequests {
    /// Records a request. Returns true if it wasn't recorded before.
    pub fn insert(&mut self, key: RequestKey, now: Time) -> bool {
        self.remove_before(now.minus_millis(RETENTION_MS));
        let new = self.keys.insert(key.clone());
        if new {
            self.by_age.push_back((now, key));
        }
        new
    }

    fn remove_before(&mut self, before: Time) {
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
