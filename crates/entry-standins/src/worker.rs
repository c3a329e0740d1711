//! Runners on workers over HTTP: slots, leases, and faults that are switched
//! on from outside.
//!
//! A task's input may begin with `run-ms=N`; the runner then takes N ms for
//! it. The output is the input.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use gannetridge_entry_wire::target::{StartTask, TaskReport};
use gannetridge_entry_wire::Time;
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_wire::Name;
use http::StatusCode;
use serde::{Deserialize, Serialize};

use crate::platform::{bad, json};
use crate::runner::{nominal_run_ms, Runner};

/// How often a running task looks whether it must end.
const LOOK: Duration = Duration::from_millis(5);

/// A runner as the settings name it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RunnerSettings {
    /// Its name.
    pub name: Name,
    /// Where it listens.
    pub listen: SocketAddr,
    /// Tasks that it runs at once.
    pub slots: u32,
}

/// Settings of the stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkersSettings {
    /// The runners of this process.
    pub runners: Vec<RunnerSettings>,
}

/// What is wrong with a runner at the moment.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Faults {
    /// It takes no new work.
    pub leaving: bool,
    /// Tasks take this many times as long.
    pub slower: u64,
    /// Tasks fail at their end.
    pub failing: bool,
    /// Answers are held back, as if the connection had broken.
    pub mute: bool,
}

#[derive(Default)]
struct State {
    runner: Runner,
    faults: Faults,
}

/// One runner's stand-in. Clones share its state.
#[derive(Clone)]
pub struct RunnerServer {
    state: Rc<RefCell<State>>,
}

fn now() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Time(since_epoch.map_or(0, |d| d.as_micros() as u64))
}

impl RunnerServer {
    /// Creates an idle runner.
    #[must_use]
    pub fn new(slots: u32) -> Self {
        let mut runner = Runner::new(slots);
        runner.restart(now());
        let state = State {
            runner,
            ..State::default()
        };
        Self {
            state: Rc::new(RefCell::new(state)),
        }
    }

    /// Handles one request.
    pub async fn handle(self, req: HttpRequest) -> HttpReply {
        match req.path.as_str() {
            "/v1/tasks" => match serde_json::from_slice(&req.body) {
                Ok(start) => self.say(self.start(start).await).await,
                Err(error) => bad(&error),
            },
            "/v1/tasks/ask" => match serde_json::from_slice(&req.body) {
                Ok(ask) => {
                    let report = self.state.borrow_mut().runner.query(&ask);
                    self.say(report).await
                }
                Err(error) => bad(&error),
            },
            "/control" => match serde_json::from_slice::<Faults>(&req.body) {
                Ok(faults) => {
                    let mut state = self.state.borrow_mut();
                    state.runner.leaving = faults.leaving;
                    state.faults = faults;
                    HttpReply::json(StatusCode::OK, "{}")
                }
                Err(error) => bad(&error),
            },
            "/counts" => json(&self.state.borrow().runner.counts()),
            _ => HttpReply::new(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
        }
    }

    async fn say(&self, report: TaskReport) -> HttpReply {
        let mute = self.state.borrow().faults.mute;
        if mute {
            monoio::time::sleep(Duration::from_secs(120)).await;
        }
        json(&report)
    }

    async fn start(&self, start: StartTask) -> TaskReport {
        let begun = self.state.borrow_mut().runner.start(&start, now());
        if let Err(report) = begun {
            return report;
        }
        let (ran_ms, whole) = self.run(&start).await;
        let mut state = self.state.borrow_mut();
        let report = if whole && !state.faults.failing {
            TaskReport::Done {
                output: start.input,
                ran_ms,
            }
        } else {
            TaskReport::Failed { ran_ms }
        };
        state.runner.record_end(&start.task, report.clone());
        report
    }

    /// Runs a task. Tells how long, and whether to its end.
    async fn run(&self, start: &StartTask) -> (u64, bool) {
        let slower = self.state.borrow().faults.slower.max(1);
        let whole = Duration::from_millis(nominal_run_ms(&start.input) * slower);
        let lease = Duration::from_millis(start.lease_ms);
        let began = Instant::now();
        loop {
            let elapsed = began.elapsed();
            let ran_ms = elapsed.as_millis() as u64;
            if elapsed >= whole {
                return (ran_ms, true);
            }
            let stopped = self.state.borrow().runner.is_stopped(&start.task);
            if stopped || elapsed >= lease {
                return (ran_ms, false);
            }
            monoio::time::sleep(LOOK.min(whole - elapsed)).await;
        }
    }
}
