//! Reports what the servers refuse: a log line at intervals, and a counter by address and reason.

use std::collections::BTreeMap;
use std::fmt;

use gannetridge_dispatcher_core::Millis;
use gannetridge_net::{RefusalCounts, RefusalKind};
use opentelemetry::metrics::{Counter, Meter};
use opentelemetry::KeyValue;
use tracing::warn;

/// The least interval between log lines.
const LOG_INTERVAL_MS: Millis = 10_000;

/// The refusals of the process's servers.
pub struct RefusalLog {
    counts: RefusalCounts,
    counter: Counter<u64>,
    /// The part of the counts that was added to the counter.
    published: BTreeMap<RefusalKind, u64>,
    /// The part of the counts that was logged.
    logged: BTreeMap<RefusalKind, u64>,
    next_line_ms: Millis,
}

impl RefusalLog {
    /// Creates the counter of refusals on a meter.
    #[must_use]
    pub fn new(meter: &Meter, counts: RefusalCounts) -> Self {
        let counter = meter.u64_counter("refused");
        Self {
            counts,
            counter: counter
                .with_description(
                    "Requests and connections that servers refused, by address and reason",
                )
                .build(),
            published: BTreeMap::new(),
            logged: BTreeMap::new(),
            next_line_ms: 0,
        }
    }

    /// Writes a log line with the refusals since the last one, if there are any and a line is due.
    pub fn log_if_due(&mut self, now: Millis) {
        if now < self.next_line_ms {
            return;
        }
        self.next_line_ms = now + LOG_INTERVAL_MS;
        let counts = self.counts.get();
        if counts == self.logged {
            return;
        }
        let new = NewRefusals {
            counts: &counts,
            before: &self.logged,
        };
        warn!(event = "refused", counts = %new);
        self.logged = counts;
    }

    /// Adds the refusals counted since the last call to the exported counter.
    pub fn publish(&mut self) {
        let counts = self.counts.get();
        for (kind, count) in &counts {
            let (server, refusal) = kind;
            let labels = [
                KeyValue::new("address", *server),
                KeyValue::new("reason", refusal.as_str()),
            ];
            let new = count - count_of(&self.published, kind);
            self.counter.add(new, &labels);
        }
        self.published = counts;
    }
}

fn count_of(counts: &BTreeMap<RefusalKind, u64>, kind: &RefusalKind) -> u64 {
    counts.get(kind).copied().unwrap_or(0)
}

/// Formats the difference between two counts.
struct NewRefusals<'a> {
    counts: &'a BTreeMap<RefusalKind, u64>,
    before: &'a BTreeMap<RefusalKind, u64>,
}

impl fmt::Display for NewRefusals<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut separator = "";
        for (kind, count) in self.counts {
            let new = count - count_of(self.before, kind);
            if new > 0 {
                let (server, refusal) = kind;
                write!(f, "{separator}{server} {} {new}", refusal.as_str())?;
                separator = ", ";
            }
        }
        Ok(())
    }
}
