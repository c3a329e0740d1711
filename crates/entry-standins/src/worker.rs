//! HTTP stand-in for the runners on workers: slots, leases and faults, which
//! are injected through `/control`.
//!
//! A task does no work: it lasts N ms if its input begins with `run-ms=N`, else
//! a default time, and its output is its input.

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

use crate::platform::{bad_request, json_reply};
use crate::runner::{nominal_run_ms, Runner};

/// How often a running task checks whether it has to stop.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// A runner in the settings.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RunnerSettings {
    /// Names the runner in error messages.
    pub name: Name,
    /// The address on which it listens.
    pub listen: SocketAddr,
    /// The number of tasks that it can run at the same time.
    pub slots: u32,
}

/// Settings of the workers' stand-in.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct WorkersSettings {
    /// The runners that this process serves.
    pub runners: Vec<RunnerSettings>,
}

/// The faults that are injected into a runner.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Faults {
    /// The runner accepts no new tasks.
    pub leaving: bool,
    /// Tasks take this many times as long; 0 and 1 mean normal speed.
    pub slower: u64,
    /// Tasks fail when they end.
    pub failing: bool,
    /// Replies about tasks are withheld, as after a lost connection.
    pub mute: bool,
}

#[derive(Default)]
struct State {
    runner: Runner,
    faults: Faults,
}

/// The stand-in for one runner. Clones share its state.
#[derive(Clone)]
pub struct RunnerServer {
    state: Rc<RefCell<State>>,
}

fn now() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Time(since_epoch.map_or(0, |d| d.as_micros() as u64))
}

impl RunnerServer {
    /// Creates an idle runner that starts now.
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
                Ok(start) => self.reply(self.start(start).await).await,
                Err(error) => bad_request(&error),
            },
            "/v1/tasks/ask" => match serde_json::from_slice(&req.body) {
                Ok(query) => {
                    let report = self.state.borrow_mut().runner.query(&query);
                    self.reply(report).await
                }
                Err(error) => bad_request(&error),
            },
            "/control" => match serde_json::from_slice::<Faults>(&req.body) {
                Ok(faults) => {
                    let mut state = self.state.borrow_mut();
                    state.runner.leaving = faults.leaving;
                    state.faults = faults;
                    HttpReply::json(StatusCode::OK, "{}")
                }
                Err(error) => bad_request(&error),
            },
            "/counts" => json_reply(&self.state.borrow().runner.counts()),
            _ => HttpReply::new(StatusCode::NOT_FOUND, "text/plain", "no such path\n"),
        }
    }

    async fn reply(&self, report: TaskReport) -> HttpReply {
        let mute = self.state.borrow().faults.mute;
        if mute {
            monoio::time::sleep(Duration::from_secs(120)).await;
        }
        json_reply(&report)
    }

    async fn start(&self, start: StartTask) -> TaskReport {
        let started = self.state.borrow_mut().runner.start(&start, now());
        if let Err(report) = started {
            return report;
        }
        let (ran_ms, completed) = self.run(&start).await;
        let mut state = self.state.borrow_mut();
        let report = if completed && !state.faults.failing {
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

    /// Waits for a task's duration, or until it is stopped or its lease expires.
    /// Returns how long it ran in ms, and true if it completed.
    async fn run(&self, start: &StartTask) -> (u64, bool) {
        let slower = self.state.borrow().faults.slower.max(1);
        let duration = Duration::from_millis(nominal_run_ms(&start.input) * slower);
        let lease = Duration::from_millis(start.lease_ms);
        let started_at = Instant::now();
        loop {
            let elapsed = started_at.elapsed();
            let ran_ms = elapsed.as_millis() as u64;
            if elapsed >= duration {
                return (ran_ms, true);
            }
            let stopped = self.state.borrow().runner.is_stopped(&start.task);
            if stopped || elapsed >= lease {
                return (ran_ms, false);
            }
            monoio::time::sleep(STOP_CHECK_INTERVAL.min(duration - elapsed)).await;
        }
    }
}
