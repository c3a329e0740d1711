//! When to try again, and when to leave it.

use gannetridge_entry_wire::Time;
use rand::Rng;
use rand_pcg::Pcg32;

/// Part of a retry that each first try pays for. Chosen, not measured.
const EARNED: f64 = 0.1;
/// Retries that may be saved up. Chosen, not measured.
const MOST_SAVED: f64 = 200.0;
/// Retries allowed each second whatever the load. Chosen, not measured.
const PER_SECOND: f64 = 10.0;

/// Bounds retries to a part of first tries, so that an outage or a burst
/// doesn't multiply messages.
#[derive(Debug)]
pub struct RetryBudget {
    saved: f64,
    updated: Time,
}

impl RetryBudget {
    /// Creates a full budget.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            saved: MOST_SAVED,
            updated: now,
        }
    }

    /// Notes a first try.
    pub fn earn(&mut self) {
        self.saved = (self.saved + EARNED).min(MOST_SAVED);
    }

    /// Pays for a retry, if the budget allows it.
    pub fn spend(&mut self, now: Time) -> bool {
        let seconds = now.micros_since(self.updated) as f64 / 1e6;
        self.updated = now.max(self.updated);
        self.saved = (self.saved + seconds * PER_SECOND).min(MOST_SAVED);
        let allowed = self.saved >= 1.0;
        if allowed {
            self.saved -= 1.0;
        }
        allowed
    }
}

/// Returns the wait before try number `tries`, doubling from `first_ms` up to
/// `last_ms`, with half of it random.
pub fn backoff_ms(rng: &mut Pcg32, tries: u32, first_ms: u64, last_ms: u64) -> u64 {
    let doubled = first_ms.saturating_mul(1 << tries.min(16));
    let wait = doubled.min(last_ms);
    wait / 2 + rng.random_range(0..=wait / 2)
}

/// Returns a time spread evenly from `ms` to twice `ms`, so that callers who
/// are told to come back don't all come at once.
pub fn spread_ms(rng: &mut Pcg32, ms: u64) -> u64 {
    ms + rng.random_range(0..=ms)
}
