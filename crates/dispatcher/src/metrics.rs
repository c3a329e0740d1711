//! Counters, gauges and latency histograms.
//!
//! `docs/OPERATIONS.md` lists them; `tests/operator_view.rs` checks their names and labels.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::decision::{
    EndCause, EntryFault, StateSource, Suspicion, TargetState,
};
use gannetridge_dispatcher_core::dispatcher::Counts;
use gannetridge_dispatcher_core::rules::hall_load::HallLoad;
use gannetridge_dispatcher_core::{Decision, Millis};
use gannetridge_net::HttpReply;
use gannetridge_process::metrics::{MetricsRegistry, TargetInfo};
use gannetridge_wire::Name;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};
use opentelemetry::KeyValue;

/// Bucket bounds of the histograms of times, in ms; they span the usual latency objectives of
/// 90 ms to 3 s.
const TIME_BUCKETS_MS: [f64; 16] = [
    5.0, 10.0, 25.0, 50.0, 75.0, 100.0, 150.0, 200.0, 300.0, 500.0, 750.0, 1_000.0, 1_500.0,
    2_000.0, 3_000.0, 5_000.0,
];
/// Bucket bounds of the histogram of response time over latency objective; an answer has no
/// value beyond 3.
const RATIO_BUCKETS: [f64; 12] = [0.25, 0.5, 0.6, 0.7, 0.8, 0.9, 1.0, 1.2, 1.5, 2.0, 3.0, 5.0];

/// The instruments of a host's metrics.
pub struct Metrics {
    jobs_ended: Counter<u64>,
    rejected: Counter<u64>,
    foreseen: Counter<u64>,
    faulty_rows: Counter<u64>,
    starts: Counter<u64>,
    ends: Counter<u64>,
    handed_over: Counter<u64>,
    stops: Counter<u64>,
    suspected: Counter<u64>,
    capacity_changes: Counter<u64>,
    unusable_capacities: Counter<u64>,
    response_ms: Histogram<f64>,
    response_over_objective: Histogram<f64>,
    attempt_ms: Histogram<f64>,
    configuration_version: Gauge<u64>,
    store_reachable: Gauge<u64>,
    store_age_ms: Gauge<u64>,
    halls_draining: Gauge<u64>,
    jobs_in_progress: Gauge<u64>,
    targets_leased: Gauge<u64>,
    targets_known: Gauge<u64>,
    attempts: Gauge<u64>,
    cpu_freed_soon: Gauge<u64>,
    tasks_of_peers: Gauge<u64>,
    hall_cpu: Gauge<u64>,
    hall_waiting_core_ms: Gauge<u64>,
    hall_update_age_ms: Gauge<u64>,
    peers_alive: Gauge<u64>,
    log_dropped: Gauge<u64>,
    slowdown: Gauge<f64>,
    task_times: Gauge<f64>,
    registry: MetricsRegistry,
}

impl Metrics {
    /// Creates the instruments.
    ///
    /// # Errors
    ///
    /// Fails if the exporter can't be registered.
    pub fn new() -> anyhow::Result<Self> {
        let registry = MetricsRegistry::new(TargetInfo::Omitted)?;
        let meter = registry.meter();
        let counter = |name: &'static str, help: &'static str| {
            meter.u64_counter(name).with_description(help).build()
        };
        let gauge = |name: &'static str, help: &'static str| {
            meter.u64_gauge(name).with_description(help).build()
        };
        let float_gauge = |name: &'static str, help: &'static str| {
            meter.f64_gauge(name).with_description(help).build()
        };
        let histogram = |name: &'static str, help: &'static str, bounds: &[f64]| {
            let builder = meter.f64_histogram(name).with_description(help);
            builder.with_boundaries(bounds.to_vec()).build()
        };
        let metrics = Self {
            jobs_ended: counter("jobs_ended", "Jobs that ended, by queue and cause"),
            rejected: counter("jobs_rejected", "Jobs that weren't taken, by reason"),
            foreseen: counter(
                "jobs_foreseen",
                "Jobs not expected to be on time when they came, by queue and forecast",
            ),
            faulty_rows: counter(
                "faulty_rows",
                "Rows of the store that can't be used, by reason",
            ),
            starts: counter("starts", "Starts sent to targets"),
            ends: counter("run_ends", "Ends of runs, by how and what showed it"),
            handed_over: counter("tasks_asked", "Tasks handed to peers"),
            stops: counter("stops", "Runs that were to be ended, by reason"),
            suspected: counter(
                "tasks_suspected",
                "Tasks under which targets crashed, by what they were taken for then",
            ),
            capacity_changes: counter(
                "capacity_changes",
                "Changes of what targets have, by what told them",
            ),
            unusable_capacities: counter(
                "unusable_capacities",
                "Targets that began to list a capacity that can't be read",
            ),
            response_ms: histogram("job_ms", "From the request to its answer", &TIME_BUCKETS_MS),
            response_over_objective: histogram("job_over_aim", "Response over aim", &RATIO_BUCKETS),
            attempt_ms: histogram("run_ms", "From a start to its end", &TIME_BUCKETS_MS),
            configuration_version: gauge("configuration_version", "The version in force"),
            store_reachable: gauge("store_reachable", "1 while the store answers"),
            store_age_ms: gauge("store_age_ms", "Age of what is believed of the store"),
            halls_draining: gauge("halls_draining", "Halls that get no new tasks"),
            jobs_in_progress: gauge("jobs_under_way", "Jobs under way"),
            targets_leased: gauge("targets_kept", "Targets that this host looks after"),
            targets_known: gauge("targets_known", "Targets in the list"),
            attempts: gauge("runs", "Runs on the targets kept"),
            cpu_freed_soon: gauge(
                "cpu_freed_soon",
                "Thousandths of a core that runs are expected to free within 100 ms",
            ),
            tasks_of_peers: gauge("tasks_of_peers", "Tasks of peers that wait here"),
            hall_cpu: gauge(
                "hall_cpu",
                "Thousandths of a core of a hall's targets, and in use, as this host knows",
            ),
            hall_waiting_core_ms: gauge(
                "hall_waiting_core_ms",
                "Work that waits in a hall by urgency, in core-ms, as this host knows",
            ),
            hall_update_age_ms: gauge(
                "hall_news_age_ms",
                "Age of the oldest news of a hall's hosts",
            ),
            peers_alive: gauge("peers_alive", "Peers that are taken to live"),
            log_dropped: gauge("log_lines_dropped", "Log lines dropped"),
            slowdown: float_gauge(
                "target_slowdown",
                "How many times as long tasks take on a target as on an ordinary one",
            ),
            task_times: float_gauge(
                "task_time_over_estimate",
                "Running times over estimates on an ordinary target, by kind of task",
            ),
            registry,
        };
        metrics.store_reachable.record(1, &[]);
        metrics.init_rare_counters();
        Ok(metrics)
    }

    /// Adds 0 to counters that most hosts never increment, so that they are exported as 0.
    fn init_rare_counters(&self) {
        self.unusable_capacities.add(0, &[]);
        for by in [StateSource::List, StateSource::Renewal] {
            let by = KeyValue::new("by", by.as_str());
            self.capacity_changes.add(0, &[by]);
        }
        for state in Suspicion::ALL {
            let state = KeyValue::new("state", state.as_str());
            self.suspected.add(0, &[state]);
        }
    }

    /// Returns the meter, for instruments that other modules own.
    #[must_use]
    pub fn meter(&self) -> Meter {
        self.registry.meter()
    }

    /// Records a decision in its instruments.
    pub fn record(&self, decision: &Decision) {
        match decision {
            Decision::JobEnded {
                queue,
                cause,
                took_ms,
                objective_ms,
                ..
            } => self.job_ended(queue, *cause, *took_ms, *objective_ms),
            Decision::JobForecast {
                queue, forecast, ..
            } => {
                let queue = KeyValue::new("queue", queue.to_string());
                let forecast = KeyValue::new("forecast", forecast.as_str());
                self.foreseen.add(1, &[queue, forecast]);
            }
            Decision::JobRejected { reason, .. } => {
                let reason = KeyValue::new("reason", reason.as_str());
                self.rejected.add(1, &[reason]);
            }
            Decision::AttemptStarted { .. } => self.starts.add(1, &[]),
            Decision::AttemptEnded {
                outcome,
                by,
                took_ms,
                ..
            } => {
                let end = KeyValue::new("end", outcome.as_str());
                let by = KeyValue::new("by", by.as_str());
                self.attempt_ms
                    .record(*took_ms as f64, std::slice::from_ref(&end));
                self.ends.add(1, &[end, by]);
            }
            Decision::TasksHandedOver { tasks, .. } => self.handed_over.add(*tasks as u64, &[]),
            Decision::AttemptStopping { reason, .. } => {
                let reason = KeyValue::new("reason", reason.as_str());
                self.stops.add(1, &[reason]);
            }
            Decision::Configuration { version, .. } => {
                self.configuration_version.record(*version, &[])
            }
            Decision::Store { reachable } => {
                self.store_reachable.record(u64::from(*reachable), &[])
            }
            Decision::TaskSuspected { state, .. } => {
                let state = KeyValue::new("state", state.as_str());
                self.suspected.add(1, &[state]);
            }
            Decision::TargetCapacity { by, .. } => {
                let by = KeyValue::new("by", by.as_str());
                self.capacity_changes.add(1, &[by]);
            }
            Decision::Target {
                state: TargetState::CapacityUnusable,
                ..
            } => self.unusable_capacities.add(1, &[]),
            Decision::JobAccepted { .. }
            | Decision::Target { .. }
            | Decision::HallDraining { .. }
            | Decision::ProcessStalled { .. }
            | Decision::Peer { .. }
            | Decision::SessionLost { .. }
            | Decision::StoreReading { .. } => {}
            Decision::TargetSpeed {
                target, slowdown, ..
            } => {
                let target = KeyValue::new("target", target.to_string());
                self.slowdown.record(*slowdown, &[target]);
            }
            Decision::TaskTimes {
                pool,
                estimate_ms,
                cpu,
                median,
                tail,
                ..
            } => {
                let labels = |part: &'static str| {
                    [
                        KeyValue::new("pool", pool.to_string()),
                        KeyValue::new("estimate_ms", estimate_ms.unwrap_or(0) as i64),
                        KeyValue::new("cpu", i64::from(*cpu)),
                        KeyValue::new("part", part),
                    ]
                };
                self.task_times.record(*median, &labels("median"));
                self.task_times.record(*tail, &labels("tail"));
            }
        }
    }

    /// Counts rows of the platform's tables that can't be decoded.
    pub fn faulty_rows(&self, fault: EntryFault, count: u64) {
        let reason = KeyValue::new("reason", fault.as_str());
        self.faulty_rows.add(count, &[reason]);
    }

    /// Counts a job, and records its response time if it was completed.
    fn job_ended(&self, queue: &Name, cause: EndCause, took_ms: Millis, objective_ms: Millis) {
        let queue = KeyValue::new("queue", queue.to_string());
        if cause == EndCause::Done {
            let response_ms = took_ms as f64;
            let labels = std::slice::from_ref(&queue);
            self.response_ms.record(response_ms, labels);
            self.response_over_objective
                .record(response_ms / objective_ms.max(1) as f64, labels);
        }
        let cause = KeyValue::new("cause", cause.as_str());
        self.jobs_ended.add(1, &[queue, cause]);
    }

    /// Sets the gauges of each hall's load.
    pub fn observe_halls(&self, halls: &BTreeMap<Name, HallLoad>) {
        for (hall, load) in halls {
            let hall = KeyValue::new("hall", hall.to_string());
            let part = |part: &'static str| [hall.clone(), KeyValue::new("part", part)];
            self.hall_cpu.record(load.capacity_cpu, &part("capacity"));
            self.hall_cpu.record(load.used_cpu, &part("used"));
            for work in &load.waiting {
                let urgency = KeyValue::new("urgency", work.urgency.to_string());
                self.hall_waiting_core_ms
                    .record(work.core_ms, &[hall.clone(), urgency]);
            }
            self.hall_update_age_ms
                .record(load.age_ms, std::slice::from_ref(&hall));
        }
    }

    /// Sets the gauges of the host's load and of dropped log lines.
    pub fn observe(&self, counts: &Counts, log_dropped: u64) {
        self.jobs_in_progress.record(counts.jobs as u64, &[]);
        self.targets_known.record(counts.targets_known as u64, &[]);
        self.targets_leased
            .record(counts.targets_leased as u64, &[]);
        self.attempts.record(counts.attempts as u64, &[]);
        self.cpu_freed_soon
            .record(u64::from(counts.cpu_freed_soon), &[]);
        self.tasks_of_peers
            .record(counts.tasks_of_peers as u64, &[]);
        self.peers_alive.record(counts.peers_alive as u64, &[]);
        self.halls_draining
            .record(counts.halls_draining as u64, &[]);
        // The age is unknown before the store's first answer.
        if let Some(age_ms) = counts.store_age_ms {
            self.store_age_ms.record(age_ms, &[]);
        }
        self.log_dropped.record(log_dropped, &[]);
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn text(&self) -> anyhow::Result<Vec<u8>> {
        self.registry.text()
    }

    /// Returns all metrics as an HTTP reply in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be encoded.
    pub fn reply(&self) -> anyhow::Result<HttpReply> {
        self.registry.reply()
    }
}
