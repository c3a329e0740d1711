//! What a run has counted and measured.

use std::collections::BTreeMap;

use gannetridge_entry_core::Waste;
use gannetridge_wire::Name;
use hdrhistogram::Histogram;

/// Histograms hold ratios in thousandths, up to this one.
const HIGHEST: u64 = 10_000_000;

/// Response time over the ideal, in thousandths.
#[derive(Clone, Debug)]
pub struct Ratios(pub Histogram<u64>);

impl Default for Ratios {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, HIGHEST, 3);
        Self(histogram.expect("the bounds are constants"))
    }
}

impl Ratios {
    /// Adds a job.
    pub fn add(&mut self, response_us: u64, ideal_us: u64) {
        let ratio = response_us * 1_000 / ideal_us.max(1);
        self.0.saturating_record(ratio);
    }

    /// Returns a quantile as a ratio.
    #[must_use]
    pub fn at(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// What became of an account's jobs.
#[derive(Clone, Debug, Default)]
pub struct AccountReport {
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs answered completely.
    pub complete: u64,
    /// Jobs that failed.
    pub failed: u64,
    /// Requests refused as not run.
    pub refused: u64,
    /// Jobs completed after their deadline.
    pub late: u64,
    /// Response over ideal, all complete jobs.
    pub ratios: Ratios,
}

/// What a run has counted and measured.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Events handled.
    pub events: u64,
    /// Tasks begun.
    pub tasks_started: u64,
    /// Wasted messages by kind.
    pub wasted: BTreeMap<&'static str, u64>,
    /// By account.
    pub accounts: BTreeMap<Name, AccountReport>,
    /// Failures by cause.
    pub causes: BTreeMap<String, u64>,
    /// Refusals by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Faults brought about, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Operators' changes by answer.
    pub changes: BTreeMap<&'static str, u64>,
    /// Requests told to ask again, since the outcome wasn't known.
    pub pending: u64,
    /// Final answers to one submission that differ, one of them `failed`.
    pub differing: u64,
}

impl Report {
    /// Counts a wasted message.
    pub fn waste(&mut self, waste: Waste) {
        *self.wasted.entry(waste.as_str()).or_default() += 1;
    }

    /// Returns wasted messages in all.
    #[must_use]
    pub fn wasted_in_all(&self) -> u64 {
        self.wasted.values().sum()
    }

    /// Returns all accounts' figures together.
    #[must_use]
    pub fn total(&self) -> AccountReport {
        let mut total = AccountReport::default();
        for account in self.accounts.values() {
            total.jobs += account.jobs;
            total.complete += account.complete;
            total.failed += account.failed;
            total.refused += account.refused;
            total.late += account.late;
            total.ratios.0 += &account.ratios.0;
        }
        total
    }
}
