//! Counters, gauges and latency histograms.

use gannetridge_dispatcher_core::decision::Cause;
use gannetridge_dispatcher_core::message::AttemptOutcome;
use gannetridge_dispatcher_core::{Decision, Dispatcher, Millis};
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter, MeterProvider};
use opentelemetry::KeyValue;
use opentelemetry_sdk::metrics::SdkMeterProvider;
use prometheus::{Encoder, Registry, TextEncoder};

/// The instrumentation scope of all metrics.
const SCOPE: &str = "gannetridge";
/// Bounds of the histograms of times, in ms.
const MS: [f64; 16] = [
    5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 500.0, 750.0, 1_000.0, 1_500.0,
    2_000.0, 3_000.0, 5_000.0,
];
/// Bounds of the histograms of response over aim.
const RATIO: [f64; 12] = [0.25, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0];

/// Counters, gauges and latency histograms.
pub struct Metrics {
    jobs: Counter<u64>,
    rejected: Counter<u64>,
    starts: Counter<u64>,
    ends: Counter<u64>,
    asked: Counter<u64>,
    stops: Counter<u64>,
    took: Histogram<f64>,
    over_aim: Histogram<f64>,
    run_took: Histogram<f64>,
    version: Gauge<u64>,
    store: Gauge<u64>,
    under_way: Gauge<u64>,
    kept: Gauge<u64>,
    known: Gauge<u64>,
    runs: Gauge<u64>,
    peers: Gauge<u64>,
    log_dropped: Gauge<u64>,
    registry: Registry,
    provider: SdkMeterProvider,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = Registry::new();
        let exporter = opentelemetry_prometheus::exporter()
            .with_registry(registry.clone())
            .without_target_info()
            .build()?;
        let provider = SdkMeterProvider::builder().with_reader(exporter).build();
        let meter = provider.meter(SCOPE);
        let counter = |name: &'static str, text: &'static str| {
            meter.u64_counter(name).with_description(text).build()
        };
        let gauge = |name: &'static str, text: &'static str| {
            meter.u64_gauge(name).with_description(text).build()
        };
        let histogram = |name: &'static str, text: &'static str, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_description(text);
            builder.with_boundaries(bounds.to_vec()).build()
        };
        let metrics = Self {
            jobs: counter("jobs_ended", "Jobs that ended, by queue and cause"),
            rejected: counter("jobs_rejected", "Jobs that weren't taken, by reason"),
            starts: counter("starts", "Starts sent to targets"),
            ends: counter("run_ends", "Ends of runs, by how and what showed it"),
            asked: counter("tasks_asked", "Tasks handed to peers"),
            stops: counter("stops", "Runs that were to be ended, by reason"),
            took: histogram("job_ms", "From the request to its answer", &MS),
            over_aim: histogram("job_over_aim", "Response over aim", &RATIO),
            run_took: histogram("run_ms", "From a start to its end", &MS),
            version: gauge("configuration_version", "The version in force"),
            store: gauge("store_reachable", "1 while the store answers"),
            under_way: gauge("jobs_under_way", "Jobs under way"),
            kept: gauge("targets_kept", "Targets that this host looks after"),
            known: gauge("targets_known", "Targets in the list"),
            runs: gauge("runs", "Runs on the targets kept"),
            peers: gauge("peers_alive", "Peers that are taken to live"),
            log_dropped: gauge("log_lines_dropped", "Log lines dropped"),
            registry,
            provider,
        };
        metrics.store.record(1, &[]);
        Ok(metrics)
    }

    /// Returns the meter, for metrics that others keep.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.provider.meter(SCOPE)
    }

    /// Counts what a host notes.
    pub fn note(&self, note: &Decision) {
        match note {
            Decision::JobEnded {
                queue,
                cause,
                took_ms,
                objective_ms,
                ..
            } => {
                let labels = [
                    KeyValue::new("queue", queue.to_string()),
                    KeyValue::new("cause", cause.as_str()),
                ];
                self.jobs.add(1, &labels);
                if *cause == Cause::Done {
                    let took = *took_ms as f64;
                    self.took.record(took, &labels[..1]);
                    self.over_aim
                        .record(took / (*objective_ms).max(1) as f64, &labels[..1]);
                }
            }
            Decision::JobRejected { reason, .. } => {
                self.rejected.add(1, &[KeyValue::new("reason", *reason)]);
            }
            Decision::Started { .. } => self.starts.add(1, &[]),
            Decision::RunEnded {
                end, by, took_ms, ..
            } => {
                let labels = [
                    KeyValue::new("end", end_name(*end)),
                    KeyValue::new("by", *by),
                ];
                self.ends.add(1, &labels);
                self.run_took.record(*took_ms as f64, &labels[..1]);
            }
            Decision::Asked { tasks, .. } => self.asked.add(*tasks as u64, &[]),
            Decision::Stopping { reason, .. } => {
                self.stops.add(1, &[KeyValue::new("reason", *reason)]);
            }
            Decision::Queues { version, .. } => self.version.record(*version, &[]),
            Decision::Store { reachable } => self.store.record(u64::from(*reachable), &[]),
            Decision::JobTaken { .. }
            | Decision::Target { .. }
            | Decision::Peer { .. }
            | Decision::SessionLost { .. } => {}
        }
    }

    /// Takes over what stands at a host, and how many log lines were dropped.
    pub fn observe(&self, now: Millis, dispatcher: &Dispatcher, log_dropped: u64) {
        let [jobs, known, kept, runs] = dispatcher.counts();
        self.under_way.record(jobs as u64, &[]);
        self.known.record(known as u64, &[]);
        self.kept.record(kept as u64, &[]);
        self.runs.record(runs as u64, &[]);
        self.peers.record(dispatcher.live_peers(now) as u64, &[]);
        self.log_dropped.record(log_dropped, &[]);
    }

    /// Writes all metrics as text.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}

/// Returns the name that logs and metrics use for an end.
#[must_use]
pub fn end_name(end: AttemptOutcome) -> &'static str {
    match end {
        AttemptOutcome::Done => "done",
        AttemptOutcome::Failed => "failed",
        AttemptOutcome::Lost => "lost",
        AttemptOutcome::StaleAttempt => "outnumbered",
    }
}
