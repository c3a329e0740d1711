//! Counters and measurements of a run.

use std::collections::BTreeMap;

use gannetridge_entry_core::WastedMessage;
use gannetridge_wire::Name;
use hdrhistogram::Histogram;

/// Upper bound of recorded ratios, in thousandths.
const MAX_RATIO_THOUSANDTHS: u64 = 10_000_000;

/// Histogram of response time over ideal time, in thousandths.
#[derive(Clone, Debug)]
pub struct Ratios(pub Histogram<u64>);

impl Default for Ratios {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_RATIO_THOUSANDTHS, 3);
        Self(histogram.expect("the bounds are constants"))
    }
}

impl Ratios {
    /// Records a job.
    pub fn add(&mut self, response_us: u64, ideal_us: u64) {
        let ratio = response_us * 1_000 / ideal_us.max(1);
        self.0.saturating_record(ratio);
    }

    /// Returns a quantile as a ratio.
    #[must_use]
    pub fn quantile(&self, quantile: f64) -> f64 {
        self.0.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Results of an account's measured jobs.
#[derive(Clone, Debug, Default)]
pub struct AccountReport {
    /// Jobs submitted.
    pub jobs: u64,
    /// Jobs whose first final answer was complete.
    pub complete: u64,
    /// Jobs whose first final answer was a failure.
    pub failed: u64,
    /// Requests refused as not run; a job may count several times.
    pub refused: u64,
    /// Complete jobs that were answered after their deadline.
    pub late: u64,
    /// Response time over ideal time of complete jobs.
    pub ratios: Ratios,
}

/// Counters and measurements of a run.
#[derive(Clone, Debug, Default)]
pub struct Report {
    /// Simulation events handled.
    pub events: u64,
    /// Tasks started on runners after the warm-up.
    pub tasks_started: u64,
    /// Wasted messages after the warm-up, by kind.
    pub wasted: BTreeMap<&'static str, u64>,
    /// Results by account.
    pub accounts: BTreeMap<Name, AccountReport>,
    /// Failed jobs by cause.
    pub causes: BTreeMap<String, u64>,
    /// Refused requests by reason.
    pub reasons: BTreeMap<String, u64>,
    /// Injected faults by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Operators' changes by answer.
    pub changes: BTreeMap<&'static str, u64>,
    /// Requests of measured jobs answered with `Pending`.
    pub pending: u64,
    /// Final answers that differ from the first final answer to the same submission.
    pub differing: u64,
}

impl Report {
    /// Counts a wasted message.
    pub fn count_wasted(&mut self, message: WastedMessage) {
        *self.wasted.entry(message.as_str()).or_default() += 1;
    }

    /// Returns the number of wasted messages of all kinds.
    #[must_use]
    pub fn total_wasted(&self) -> u64 {
        self.wasted.values().sum()
    }

    /// Returns the sum over all accounts.
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
