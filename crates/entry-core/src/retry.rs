//! The retry budget, and the delays between retries.

use gannetridge_entry_wire::Time;
use rand::Rng;
use rand_pcg::Pcg32;

/// Fraction of a retry that each first try adds to the budget.
const EARNED_PER_TRY: f64 = 0.1;
/// Largest number of retries that the budget can hold.
const MAX_BALANCE: f64 = 200.0;
/// Retries added to the budget each second, independent of the load.
const EARNED_PER_SECOND: f64 = 10.0;

/// Limits retries to a fraction of first tries, so that an outage or a burst doesn't
/// multiply messages.
#[derive(Debug)]
pub struct RetryBudget {
    balance: f64,
    updated: Time,
}

impl RetryBudget {
    /// Creates a budget at its maximum.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            balance: MAX_BALANCE,
            updated: now,
        }
    }

    /// Records a first try.
    pub fn earn(&mut self) {
        self.balance = (self.balance + EARNED_PER_TRY).min(MAX_BALANCE);
    }

    /// Takes one retry from the budget. Returns false if the budget is exhausted.
    pub fn try_spend(&mut self, now: Time) -> bool {
        let seconds = now.micros_since(self.updated) as f64 / 1e6;
        self.updated = now.max(self.updated);
        self.balance = (self.balance + seconds * EARNED_PER_SECOND).min(MAX_BALANCE);
        let allowed = self.balance >= 1.0;
        if allowed {
            self.balance -= 1.0;
        }
        allowed
    }
}

/// Returns the wait before try number `tries`, in ms: it doubles from `first_ms` up to
/// `last_ms`, and half of it is random.
pub fn backoff_ms(rng: &mut Pcg32, tries: u32, first_ms: u64, last_ms: u64) -> u64 {
    let doubled = first_ms.saturating_mul(1 << tries.min(16));
    let wait = doubled.min(last_ms);
    wait / 2 + rng.random_range(0..=wait / 2)
}

/// Returns a random time from `ms` to twice `ms`, so that callers don't all retry at
/// the same time.
pub fn spread_ms(rng: &mut Pcg32, ms: u64) -> u64 {
    ms + rng.random_range(0..=ms)
}
