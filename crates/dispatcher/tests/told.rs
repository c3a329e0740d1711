//! What operators read: each decision's log line, and all metrics with their
//! labels. Alerts and `gannetridge story` hang on these names.

use std::io::Write;
use std::sync::{Arc, Mutex};

use gannetridge_dispatcher::decision_log;
use gannetridge_dispatcher::metrics::Metrics;
use gannetridge_dispatcher::traffic::{Direction, Traffic};
use gannetridge_dispatcher_core::decision::Cause;
use gannetridge_dispatcher_core::message::{AttemptId, AttemptOutcome};
use gannetridge_dispatcher_core::{Bounds, Decision, Dispatcher, Safeguards, Settings};
use serde_json::Value;

/// Collects what is written to the log.
#[derive(Clone, Default)]
struct Lines(Arc<Mutex<Vec<u8>>>);

impl Write for Lines {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

fn key() -> AttemptId {
    AttemptId {
        task: "0123456789abcdef.0.1.2".into(),
        attempt: 3,
    }
}

fn job_ended(cause: Cause) -> Decision {
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

fn run_ended(end: AttemptOutcome) -> Decision {
    Decision::RunEnded {
        key: key(),
        target: "target-7".into(),
        end,
        by: "listed",
        took_ms: 95,
    }
}

fn notes() -> Vec<Decision> {
    let mut notes = vec![
        Decision::JobTaken {
            job: "0123456789abcdef".into(),
            queue: "queue-1".into(),
            tasks: 4,
            objective_ms: 400,
            deadline_ms: 2_500,
            version: 12,
        },
        Decision::JobRejected {
            path: "/q/0123456789abcdef".into(),
            reason: "stopping",
            version: 12,
        },
        Decision::Asked {
            peer: "host-b".into(),
            first: key(),
            tasks: 3,
            age_ms: 17,
        },
        Decision::Started {
            key: key(),
            target: "target-7".into(),
            owner: "host-a".into(),
            left_cpu: 300,
        },
        Decision::Stopping {
            key: key(),
            target: "target-7".into(),
            reason: "overrun",
        },
        Decision::Target {
            target: "target-7".into(),
            state: "silent",
            by: "hold",
        },
        Decision::Peer {
            peer: "host-b".into(),
            state: "silent",
            silent_ms: 600,
        },
        Decision::SessionLost {
            peer: "host-b".into(),
            attempts: 2,
            over_in_ms: 900,
        },
        Decision::Queues {
            version: 12,
            from: "store",
        },
        Decision::Store { reachable: false },
    ];
    let causes = [
        Cause::Done,
        Cause::Attempts,
        Cause::Deadline,
        Cause::NoRoom,
        Cause::TooLarge,
        Cause::CallerGone,
        Cause::Cancelled,
        Cause::Stopping,
    ];
    notes.extend(causes.map(job_ended));
    let ends = [
        AttemptOutcome::Done,
        AttemptOutcome::Failed,
        AttemptOutcome::Lost,
        AttemptOutcome::StaleAttempt,
    ];
    notes.extend(ends.map(run_ended));
    notes
}

#[test]
fn each_decision_has_its_log_line() {
    let lines = Lines::default();
    let writer = lines.clone();
    let subscriber = tracing_subscriber::fmt()
        .with_writer(move || writer.clone())
        .with_target(false)
        .json()
        .flatten_event(true)
        .finish();
    tracing::subscriber::with_default(subscriber, || {
        for note in notes() {
            decision_log::write(&note);
        }
    });
    let written = lines.0.lock().unwrap();
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
        safeguards: Safeguards::default(),
    })
    .unwrap()
}

#[test]
fn the_metrics_keep_their_names_and_labels() {
    let metrics = Metrics::new().unwrap();
    let mut traffic = Traffic::new(&metrics.meter());
    for note in notes() {
        metrics.note(&note);
    }
    for way in [
        Direction::ToPeer,
        Direction::FromPeer,
        Direction::ToTarget,
        Direction::FromCaller,
    ] {
        traffic.count(way, "kind");
    }
    traffic.publish();
    metrics.observe(0, &dispatcher(), 5);
    let text = String::from_utf8(metrics.text().unwrap()).unwrap();
    insta::assert_snapshot!("metrics", text);
}
