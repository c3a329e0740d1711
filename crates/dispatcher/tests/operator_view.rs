//! The log line of each decision, and all metrics with their labels. Operators' alerts and
//! `gannetridge story` rely on these names.

use std::io::Write;
use std::sync::{Arc, Mutex};

use gannetridge_dispatcher::decision_log;
use gannetridge_dispatcher::metrics::Metrics;
use gannetridge_dispatcher::traffic::{Direction, Traffic};
use gannetridge_dispatcher_core::decision::{
    ConfigurationSource, EndCause, EndEvidence, EntryFault, Forecast, PeerState, Rejection,
    StateSource, StopReason, StoreReading, Suspicion, TargetState,
};
use gannetridge_dispatcher_core::dispatcher::Counts;
use gannetridge_dispatcher_core::message::{AttemptId, AttemptOutcome, PoolLoad, WaitingWork};
use gannetridge_dispatcher_core::rules::hall_load::HallLoad;
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::{Bounds, Decision, Dispatcher, Millis, Safeguards, Settings};
use serde_json::Value;

/// A writer that collects the log's lines in memory.
#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn attempt_id() -> AttemptId {
    AttemptId {
        task: "0123456789abcdef.0.1.2".into(),
        attempt: 3,
    }
}

fn pool_load() -> PoolLoad {
    PoolLoad {
        pool: "pool-1".into(),
        capacity_cpu: 16_000,
        used_cpu: 15_300,
        queue_cpu: 4_000,
        waiting: vec![WaitingWork {
            urgency: 2,
            tasks: 3,
            core_ms: 1_440,
        }],
    }
}

fn resources(cpu: u32) -> Resources {
    Resources {
        cpu,
        memory_mb: 64,
        gpus: 0,
    }
}

fn job_ended(cause: EndCause) -> Decision {
    Decision::JobEnded {
        job: "0123456789abcdef".into(),
        queue: "queue-1".into(),
        cause,
        done: 2,
        starts: 4,
        took_ms: 310,
        objective_ms: 400,
    }
}

fn job_foreseen(forecast: Forecast, known_ms: Option<Millis>) -> Decision {
    Decision::JobForecast {
        job: "0123456789abcdef".into(),
        queue: "queue-1".into(),
        forecast,
        wait_ms: known_ms,
        free_cpu: 700,
        known_cpu: 64_000,
        age_ms: known_ms.map(|_| 40),
        retry_after_ms: known_ms.map(|ms| ms + 300),
    }
}

fn attempt_ended(outcome: AttemptOutcome) -> Decision {
    Decision::AttemptEnded {
        id: attempt_id(),
        target: "target-7".into(),
        outcome,
        by: EndEvidence::Listed,
        took_ms: 95,
    }
}

/// Returns at least one decision of each kind.
fn decisions() -> Vec<Decision> {
    let mut decisions = vec![
        Decision::JobAccepted {
            job: "0123456789abcdef".into(),
            queue: "queue-1".into(),
            tasks: 4,
            objective_ms: 400,
            chain_ms: 200,
            extension: 1.6,
            deadline_ms: 2_500,
            version: 12,
        },
        Decision::JobRejected {
            path: "/q/0123456789abcdef".into(),
            reason: Rejection::Stopping,
            version: 12,
        },
        job_foreseen(Forecast::Refused, Some(1_200)),
        job_foreseen(Forecast::Unknown, None),
        Decision::TasksHandedOver {
            peer: "host-b".into(),
            first: attempt_id(),
            tasks: 3,
            age_ms: 17,
        },
        Decision::AttemptStarted {
            id: attempt_id(),
            target: "target-7".into(),
            owner: "host-a".into(),
            left_cpu: 300,
        },
        Decision::AttemptStopping {
            id: attempt_id(),
            target: "target-7".into(),
            reason: StopReason::Overrun,
        },
        Decision::Target {
            target: "target-7".into(),
            state: TargetState::Silent,
            by: StateSource::Renewal,
        },
        Decision::TargetSpeed {
            target: "target-7".into(),
            slowdown: 1.75,
            certainty: 0.875,
        },
        Decision::TaskTimes {
            pool: "pool-1".into(),
            estimate_ms: Some(64),
            cpu: 4_096,
            median: 1.25,
            tail: 7.5,
            ends: 230,
        },
        Decision::TaskSuspected {
            task: attempt_id().task,
            alone: 1,
            beside_others: 1,
            perhaps: 0,
            state: Suspicion::GivenUp,
        },
        Decision::Target {
            target: "target-7".into(),
            state: TargetState::CapacityUnusable,
            by: StateSource::Renewal,
        },
        Decision::TargetCapacity {
            target: "target-7".into(),
            capacity: resources(2_000),
            used: resources(7_000),
            by: StateSource::Renewal,
        },
        Decision::Peer {
            peer: "host-b".into(),
            state: PeerState::Silent,
            silent_ms: 600,
        },
        Decision::SessionLost {
            peer: "host-b".into(),
            attempts: 2,
            over_in_ms: 900,
        },
        Decision::ProcessStalled { gap_ms: 3_010 },
        Decision::Configuration {
            version: 12,
            from: ConfigurationSource::Store,
        },
        Decision::HallDraining {
            hall: "hall-a".into(),
            draining: true,
            version: 12,
            age_ms: Some(40),
            from: ConfigurationSource::Peer,
        },
        Decision::Store { reachable: false },
        Decision::StoreReading {
            reading: StoreReading::Stale,
            age_ms: Some(2_300),
        },
    ];
    decisions.extend(EndCause::ALL.iter().map(|cause| job_ended(*cause)));
    let outcomes = [
        AttemptOutcome::Done,
        AttemptOutcome::Failed,
        AttemptOutcome::Lost,
        AttemptOutcome::StaleAttempt,
        AttemptOutcome::CrashedAlone,
        AttemptOutcome::CrashedBesideOthers,
        AttemptOutcome::PerhapsCrashed,
    ];
    decisions.extend(outcomes.map(attempt_ended));
    decisions
}

#[test]
fn each_decision_has_its_log_line() {
    let log = LogBuffer::default();
    let writer = log.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .with_target(false)
        .json()
        .flatten_event(true)
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        for decision in decisions() {
            decision_log::write(&decision);
        }
    });
    let written = log.0.lock().unwrap();
    let mut text = String::new();
    for line in std::str::from_utf8(&written).unwrap().lines() {
        let mut line: serde_json::Map<String, Value> = serde_json::from_str(line).unwrap();
        assert!(line.remove("timestamp").is_some());
        text += &format!("{}\n", Value::Object(line));
    }
    insta::assert_snapshot!("decision_log", text);
}

fn dispatcher() -> Dispatcher {
    let address = "10.0.0.1:7001".parse().unwrap();
    Dispatcher::new(Settings {
        name: "host-a".into(),
        address,
        hall: "hall-a".into(),
        incarnation: 1,
        processor_weight: 1_000,
        seeds: vec![address],
        bounds: Bounds {
            retransmit_ms: 1_300,
            max_target_lease_ms: 1_000,
            stop_grace_ms: 50,
            grace_period_ms: 6_000,
            drain_ms: 2_000,
        },
        epoch_ms: 1,
        far_slowdown: 1.5,
        scheduling: gannetridge_dispatcher_core::Scheduling::default(),
        safeguards: Safeguards::default(),
    })
    .unwrap()
}

#[test]
fn the_metrics_keep_their_names_and_labels() {
    let metrics = Metrics::new().unwrap();
    let mut traffic = Traffic::new(&metrics.meter());
    for decision in decisions() {
        metrics.record(&decision);
    }
    for direction in [
        Direction::ToPeer,
        Direction::FromPeer,
        Direction::ToTarget,
        Direction::FromCaller,
    ] {
        traffic.count(direction, "kind");
    }
    traffic.publish();
    let counts = Counts {
        store_age_ms: Some(1_200),
        ..dispatcher().counts(0)
    };
    metrics.observe(&counts, 5);
    let mut hall = HallLoad::default();
    hall.add(&pool_load(), 140);
    metrics.observe_halls(&[("hall-a".into(), hall)].into());
    let text = String::from_utf8(metrics.text().unwrap()).unwrap();
    insta::assert_snapshot!("metrics", text);
}

/// Returns the texts of the variants of enums, one line for each variant.
macro_rules! texts {
    ($($name:ident),+) => {
        concat_texts(&[$((
            stringify!($name),
            $name::ALL.iter().map(|variant| variant.as_str()).collect::<Vec<_>>(),
        )),+])
    };
}

fn concat_texts(enums: &[(&str, Vec<&'static str>)]) -> String {
    let mut text = String::new();
    for (name, variants) in enums {
        text += &format!("{name}\n");
        text.extend(variants.iter().map(|variant| format!("  {variant}\n")));
    }
    text
}

/// Operators search logs for these texts, and metrics have them as labels.
#[test]
fn reasons_and_states_keep_their_texts() {
    let text = texts!(
        EndCause,
        Forecast,
        Rejection,
        StopReason,
        EndEvidence,
        EntryFault,
        TargetState,
        Suspicion,
        StateSource,
        PeerState,
        StoreReading,
        ConfigurationSource
    );
    insta::assert_snapshot!("texts", text);
}
