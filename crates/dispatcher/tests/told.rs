//! What operators read: each decision's log line, and all metrics with their
//! labels. Alerts and `gannetridge story` hang on these names.

use std::io::Write;
use std::sync::{Arc, Mutex};

use gannetridge_dispatcher::decision_log;
use gannetridge_dispatcher::metrics::Metrics;
use gannetridge_dispatcher::traffic::{Traffic, Way};
use gannetridge_dispatcher_core::message::{End, RunKey};
use gannetridge_dispatcher_core::note::Cause;
use gannetridge_dispatcher_core::{Bounds, Dispatcher, Note, Safeguards, Settings};
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

fn key() -> RunKey {
    RunKey {
        task: "0123456789abcdef.0.1.2".into(),
        run: 3,
    }
}

fn job_ended(cause: Cause) -> Note {
    Note::JobEnded {
        job: "0123456789abcdef".into(),
        queue: "queue-1".into(),
        cause,
        done: 2,
        starts: 4,
        took_ms: 310,
        aim_ms: 400,
    }
}

fn run_ended(end: End) -> Note {
    Note::RunEnded {
        key: key(),
        target: "target-7".into(),
        end,
        by: "listed",
        took_ms: 95,
    }
}

fn notes() -> Vec<Note> {
    let mut notes = vec![
        Note::JobTaken {
            job: "0123456789abcdef".into(),
            queue: "queue-1".into(),
            tasks: 4,
            aim_ms: 400,
            deadline_ms: 2_500,
            version: 12,
        },
        Note::JobRejected {
            path: "/q/0123456789abcdef".into(),
            reason: "stopping",
            version: 12,
        },
        Note::Asked {
            peer: "host-b".into(),
            first: key(),
            tasks: 3,
            age_ms: 17,
        },
        Note::Started {
            key: key(),
            target: "target-7".into(),
            owner: "host-a".into(),
            left_cpu: 300,
        },
        Note::Stopping {
            key: key(),
            target: "target-7".into(),
            reason: "overrun",
        },
        Note::Target {
            target: "target-7".into(),
            state: "silent",
            by: "hold",
        },
        Note::Peer {
            peer: "host-b".into(),
            state: "silent",
            silent_ms: 600,
        },
        Note::SessionLost {
            peer: "host-b".into(),
            runs: 2,
            over_in_ms: 900,
        },
        Note::Queues {
            version: 12,
            from: "store",
        },
        Note::Store { reachable: false },
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
    let ends = [End::Done, End::Failed, End::Lost, End::Outnumbered];
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
        power: 1_000,
        seeds: vec![address],
        bounds: Bounds {
            retransmit_ms: 1_300,
            max_hold_ms: 1_000,
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
    for way in [Way::ToPeer, Way::FromPeer, Way::ToTarget, Way::FromCaller] {
        traffic.count(way, "kind");
    }
    traffic.publish();
    metrics.observe(0, &dispatcher(), 5);
    let text = String::from_utf8(metrics.text().unwrap()).unwrap();
    insta::assert_snapshot!("metrics", text);
}
