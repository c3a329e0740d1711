//! Configuration rows that can't be decoded: they keep no other document out of force.

use gannetridge_entry_core::{Action, Event, Host, TelemetryEvent};
use gannetridge_entry_core::{HostSettings, Safeguards, Tuning};
use gannetridge_entry_wire::ids::HostId;
use gannetridge_entry_wire::platform::{Row, TableOp, TableResult};
use gannetridge_entry_wire::Time;

const START: Time = Time::from_millis(1_760_000_000_000);

fn settings() -> HostSettings {
    HostSettings {
        id: HostId {
            name: "host-1".into(),
            incarnation: 1,
        },
        hall: "north".into(),
        address: "127.0.0.1:1".into(),
        peers: Vec::new(),
        seed: 1,
        tuning: Tuning::default(),
        safeguards: Safeguards::default(),
    }
}

fn row(key: &str, version: u64, value: &str) -> Row {
    Row {
        key: format!("config/{key}").into(),
        version,
        value: value.into(),
    }
}

/// Returns a row of a hall's document.
fn hall(name: &str, version: u64, text: &str) -> Row {
    let value = serde_json::json!({
        "key": format!("hall/{name}"), "version": version, "text": text, "changes": []
    });
    row(&format!("hall/{name}"), version, &value.to_string())
}

/// A host and its configuration table.
struct Rig {
    host: Host,
    now: Time,
    rows: Vec<Row>,
    faulty: Vec<String>,
}

impl Rig {
    fn new() -> Self {
        Self {
            host: Host::new(settings(), START),
            now: START,
            rows: Vec::new(),
            faulty: Vec::new(),
        }
    }

    /// Writes a version of the configuration and lets the host read it.
    fn configure(&mut self, version: u64, docs: Vec<Row>) {
        let head = row("head", version, &format!(r#"{{"version":{version}}}"#));
        self.rows = docs;
        self.rows.push(head);
        let end = self.now.plus_millis(20_000);
        while self.now < end {
            self.now = self.now.plus_millis(100);
            let actions = self.host.handle(self.now, Event::Tick);
            self.perform(actions);
        }
    }

    fn perform(&mut self, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Table { call, op } => {
                    let reply = Ok(TableResult::Rows {
                        rows: self.find(&op),
                    });
                    let event = Event::TableReply { call, reply };
                    let actions = self.host.handle(self.now, event);
                    self.perform(actions);
                }
                Action::Telemetry(TelemetryEvent::FaultyDocument { key }) => {
                    self.faulty.push(key.to_string());
                }
                _ => {}
            }
        }
    }

    fn find(&self, op: &TableOp) -> Vec<Row> {
        let rows = self.rows.iter();
        let found = rows.filter(|row| match op {
            TableOp::Get { key } => row.key == *key,
            TableOp::Scan { prefix } => row.key.starts_with(&**prefix),
            TableOp::Commit { .. } => false,
        });
        found.cloned().collect()
    }

    fn draining(&self) -> Vec<String> {
        let draining = self.host.config().draining();
        draining.iter().map(ToString::to_string).collect()
    }
}

// Guards against a document that keeps the whole version out of force.
#[test]
fn an_unreadable_document_keeps_no_other_out_of_force() {
    let mut rig = Rig::new();
    let odd = row("hall/south", 3, r#"{"key":"hall/south","version":"x"}"#);
    rig.configure(3, vec![odd, hall("north", 3, "state = \"draining\"\n")]);
    assert_eq!(rig.host.config().version(), 3);
    assert_eq!(rig.draining(), ["north"]);
    assert_eq!(rig.faulty, ["hall/south"]);
}

#[test]
fn a_document_that_becomes_unreadable_stays_in_force() {
    let mut rig = Rig::new();
    rig.configure(3, vec![hall("south", 3, "state = \"draining\"\n")]);
    assert_eq!(rig.draining(), ["south"]);
    let odd = row("hall/south", 4, "[[[[");
    rig.configure(4, vec![odd, hall("north", 4, "state = \"draining\"\n")]);
    assert_eq!(rig.host.config().version(), 4);
    assert_eq!(rig.draining(), ["north", "south"]);
    assert_eq!(rig.faulty, ["hall/south"]);
}
