//! The host's metrics, served in the Prometheus text format.

use std::cell::RefCell;
use std::collections::BTreeMap;

use gannetridge_entry_core::{Host, TelemetryEvent};
use gannetridge_net::{HttpReply, RefusalCounts, RefusalKind};
use gannetridge_process::metrics::{MetricsRegistry, TargetInfo};
use opentelemetry::metrics::{Counter, Gauge, Histogram};
use opentelemetry::KeyValue;

/// Bounds of the histogram of response time over the ideal.
const RATIO_BOUNDS: [f64; 14] = [
    1.005, 1.01, 1.02, 1.05, 1.1, 1.2, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0, 50.0, 100.0,
];
/// Bounds of the histogram of response times, in seconds.
const SECONDS_BOUNDS: [f64; 12] = [
    0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1.0, 2.0, 5.0, 10.0, 30.0,
];

/// The instruments of an entry host.
pub struct Metrics {
    registry: MetricsRegistry,
    ratio: Histogram<f64>,
    seconds: Histogram<f64>,
    refused: Counter<u64>,
    wasted: Counter<u64>,
    starts: Counter<u64>,
    faulty_entries: Counter<u64>,
    faulty_documents: Counter<u64>,
    shards: Gauge<u64>,
    config_version: Gauge<u64>,
    jobs: Gauge<u64>,
    remembered: Gauge<u64>,
    server_refusals: Counter<u64>,
    refusal_counts: RefusalCounts,
    /// The part of the counts that was added to the counter.
    published_refusals: RefCell<BTreeMap<RefusalKind, u64>>,
}

impl Metrics {
    /// Creates the instruments in a registry of their own.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry can't be set up.
    pub fn new(refusal_counts: RefusalCounts) -> anyhow::Result<Self> {
        let registry = MetricsRegistry::new(TargetInfo::Included)?;
        let meter = registry.meter();
        let ratio = meter
            .f64_histogram("response_over_ideal")
            .with_description("A job's response time over its slowest task's own time")
            .with_boundaries(RATIO_BOUNDS.to_vec())
            .build();
        let seconds = meter
            .f64_histogram("response_seconds")
            .with_description("A job's response time at its owner")
            .with_boundaries(SECONDS_BOUNDS.to_vec())
            .build();
        let counter = |name, description| {
            meter
                .u64_counter(name)
                .with_description(description)
                .build()
        };
        let gauge = |name, description| meter.u64_gauge(name).with_description(description).build();
        Ok(Self {
            ratio,
            seconds,
            refused: counter("requests_refused", "Requests refused as not run"),
            wasted: counter("messages_wasted", "Messages that helped nobody, by kind"),
            starts: counter("task_starts", "Starts sent to targets"),
            faulty_entries: counter(
                "faulty_entries",
                "Entries in the list of targets that can't be used",
            ),
            faulty_documents: counter(
                "faulty_documents",
                "Documents of a new configuration that can't be decoded",
            ),
            shards: gauge("shards_held", "Shards that this host holds"),
            config_version: gauge("config_version", "Version of the configuration in force"),
            jobs: gauge("jobs_running", "Jobs that this host runs"),
            remembered: gauge("submissions_remembered", "Submissions in the ledger"),
            server_refusals: counter(
                "refused",
                "Requests and connections that the servers refused, by address and reason",
            ),
            refusal_counts,
            published_refusals: RefCell::default(),
            registry,
        })
    }

    /// Counts entries in the list of targets that can't be used.
    pub fn count_faulty_entries(&self, entries: usize) {
        self.faulty_entries.add(entries as u64, &[]);
    }

    /// Adds what the servers refused since the last call to the exported counter.
    pub fn publish_refusals(&self) {
        let counts = self.refusal_counts.get();
        let mut published = self.published_refusals.borrow_mut();
        for (kind, count) in &counts {
            let (server, refusal) = kind;
            let labels = [
                KeyValue::new("address", *server),
                KeyValue::new("reason", refusal.as_str()),
            ];
            let new = count - published.get(kind).copied().unwrap_or(0);
            self.server_refusals.add(new, &labels);
        }
        *published = counts;
    }

    /// Counts a task start sent to a target.
    pub fn count_start(&self) {
        self.starts.add(1, &[]);
    }

    /// Updates counters and histograms with a telemetry event of the host.
    pub fn record_telemetry(&self, event: &TelemetryEvent) {
        match event {
            TelemetryEvent::Finished {
                account,
                urgency,
                complete,
                response_us,
                ideal_us,
            } => {
                let labels = [
                    KeyValue::new("account", account.to_string()),
                    KeyValue::new("class", urgency.as_str()),
                    KeyValue::new("complete", *complete),
                ];
                let response = *response_us as f64;
                self.seconds.record(response / 1e6, &labels);
                if *ideal_us > 0 {
                    self.ratio.record(response / *ideal_us as f64, &labels);
                }
            }
            TelemetryEvent::Refused { account } => {
                self.refused
                    .add(1, &[KeyValue::new("account", account.to_string())]);
            }
            TelemetryEvent::Wasted(waste) => {
                self.wasted.add(1, &[KeyValue::new("kind", waste.as_str())]);
            }
            TelemetryEvent::FaultyDocument { .. } => self.faulty_documents.add(1, &[]),
            TelemetryEvent::ShardAcquired { .. }
            | TelemetryEvent::ShardReleased { .. }
            | TelemetryEvent::ConfigInForce { .. } => {}
        }
    }

    /// Sets all gauges to the host's current state.
    pub fn record_gauges(&self, host: &Host) {
        self.shards
            .record(host.ownership().held_shards().len() as u64, &[]);
        self.config_version.record(host.config().version(), &[]);
        self.jobs.record(host.running_jobs() as u64, &[]);
        self.remembered.record(host.ledger_len() as u64, &[]);
        self.publish_refusals();
    }

    /// Returns all metrics as an HTTP reply.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric can't be encoded.
    pub fn reply(&self) -> anyhow::Result<HttpReply> {
        self.registry.reply()
    }
}
