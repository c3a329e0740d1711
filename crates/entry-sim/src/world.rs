//! The driver: one queue of events, a clock, and everything that moves.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannetridge_entry_core::{ChangeAnswer, Event, SendFailure};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{TableFailure, TableOp, TableResult};
use gannetridge_entry_wire::target::{AskTask, StartTask, TaskReport};
use gannetridge_entry_wire::{TaskId, Time};
use gannetridge_wire::Name;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::callers::{Callers, RequestId};
use crate::checks::Checks;
use crate::faults::FaultEvent;
use crate::hosts::{CallOf, RunOf, SimHost};
use crate::platform::Platform;
use crate::report::Report;
use crate::runners::SimRunner;
use crate::scenario::Scenario;

/// When every run begins, in ms since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;
/// How long it takes to find out that a host can't be connected to, in µs.
/// Chosen, not measured.
pub(crate) const CONNECT_TIMEOUT_US: u64 = 500_000;
/// How long a host waits for the table, in µs. Chosen, not measured.
pub(crate) const TABLE_TIMEOUT_US: u64 = 1_500_000;
/// Time between refreshes of the platform's list, in µs.
pub(crate) const LIST_LAG_US: u64 = 1_000_000;

/// Something that happens.
pub(crate) enum Ev {
    Deliver(RunOf, Box<Event>),
    Tick(RunOf),
    Thaw(usize),
    Restart(usize),
    PeerRequest {
        to: RunOf,
        from: Option<CallOf>,
        request: Box<PeerRequest>,
    },
    PeerReply(CallOf, Box<Result<PeerReply, SendFailure>>),
    TaskReply(CallOf, Result<TaskReport, SendFailure>),
    TableReply(CallOf, Result<TableResult, TableFailure>),
    Start {
        runner: usize,
        life: u32,
        from: CallOf,
        start: Box<StartTask>,
    },
    Ask {
        runner: usize,
        from: CallOf,
        ask: AskTask,
    },
    TaskEnd {
        runner: usize,
        life: u32,
        task: TaskId,
        lease_end: Time,
        report: TaskReport,
        to: CallOf,
    },
    LeaseOver(TaskId),
    ApplyTable(Option<CallOf>, TableOp),
    RefreshList,
    Arrive(usize),
    CallerSend {
        job: usize,
        clash: bool,
    },
    CallerAnswer(RequestId, Option<gannetridge_entry_wire::Answer>),
    CallerTimeout(RequestId),
    OperatorRace,
    OperatorAnswer(u64, Option<ChangeAnswer>),
    Fault(FaultEvent),
    RandomFault,
}

/// A change that an operator has asked for.
pub(crate) struct OperatorChange {
    pub(crate) id: Name,
    pub(crate) denied: bool,
    /// The version that it was accepted at.
    pub(crate) accepted: Option<u64>,
}

/// What is wrong with the network.
#[derive(Default)]
pub(crate) struct Network {
    pub(crate) cut_halls: BTreeSet<usize>,
    pub(crate) cut_pairs: BTreeSet<(usize, usize)>,
    pub(crate) cut_platform: BTreeSet<usize>,
    pub(crate) drop: f64,
    pub(crate) duplicate: f64,
    pub(crate) extra_us: u64,
}

/// Everything that moves.
pub struct World {
    pub(crate) scenario: Scenario,
    pub(crate) now: Time,
    pub(crate) rng: Pcg64Mcg,
    /// Draws the jobs and nothing else, so that one seed brings the same jobs
    /// whatever the hosts do with them.
    pub(crate) load_rng: Pcg64Mcg,
    queue: BTreeMap<(Time, u64), Ev>,
    last: u64,
    pub(crate) halls: Vec<Name>,
    pub(crate) hosts: Vec<SimHost>,
    pub(crate) by_address: HashMap<Name, usize>,
    pub(crate) by_runner: HashMap<Name, usize>,
    pub(crate) runners: Vec<SimRunner>,
    pub(crate) platform: Platform,
    pub(crate) network: Network,
    pub(crate) callers: Callers,
    pub(crate) changes: Vec<OperatorChange>,
    pub(crate) checks: Checks,
    pub(crate) report: Report,
    /// Since when nothing is wrong that could delay news.
    pub(crate) calm_since: Time,
}

impl World {
    /// Sets a run up.
    #[must_use]
    pub fn new(scenario: Scenario) -> Self {
        let mut world = Self {
            now: Time::from_millis(START_MS),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            load_rng: Pcg64Mcg::seed_from_u64(!scenario.seed),
            queue: BTreeMap::new(),
            last: 0,
            halls: Vec::new(),
            hosts: Vec::new(),
            by_address: HashMap::new(),
            by_runner: HashMap::new(),
            runners: Vec::new(),
            platform: Platform::default(),
            network: Network::default(),
            callers: Callers::default(),
            changes: Vec::new(),
            checks: Checks::default(),
            report: Report::default(),
            calm_since: Time::ZERO,
            scenario,
        };
        world.build();
        world
    }

    /// Plans an event some µs from now.
    pub(crate) fn at(&mut self, us: u64, ev: Ev) {
        self.last += 1;
        self.queue.insert((self.now.plus_micros(us), self.last), ev);
    }

    /// Plans an event some ms after the run's beginning.
    pub(crate) fn at_ms(&mut self, ms: u64, ev: Ev) {
        self.last += 1;
        let time = Time::from_millis(START_MS + ms);
        self.queue.insert((time, self.last), ev);
    }

    /// Runs to the end.
    pub fn run(mut self) -> (Report, Checks) {
        let end_ms = START_MS + self.scenario.load_ms + self.scenario.tail_ms;
        self.run_until(Time::from_millis(end_ms));
        self.finish();
        (self.report, self.checks)
    }

    /// Runs up to a time.
    pub fn run_until(&mut self, end: Time) {
        while let Some(((time, _), ev)) = self.queue.pop_first() {
            if time > end {
                break;
            }
            self.now = time;
            self.report.events += 1;
            self.handle(ev);
        }
    }

    fn handle(&mut self, ev: Ev) {
        match ev {
            Ev::Deliver(run, event) => self.deliver(run, *event),
            Ev::Tick(run) => {
                if self.is_run(run) {
                    self.hosts[run.host].tick_at = None;
                    self.deliver(run, Event::Tick);
                }
            }
            Ev::Thaw(host) => self.thaw(host),
            Ev::Restart(host) => self.restart(host),
            Ev::PeerRequest { to, from, request } => self.on_peer_request(to, from, *request),
            Ev::PeerReply(call, reply) => {
                if self.close(call) {
                    let event = Event::PeerReply {
                        call: call.call,
                        reply: *reply,
                    };
                    self.deliver(call.run, event);
                }
            }
            Ev::TaskReply(call, reply) => {
                if self.close(call) {
                    let call_id = call.call;
                    let event = Event::TaskReply {
                        call: call_id,
                        reply,
                    };
                    self.deliver(call.run, event);
                }
            }
            Ev::TableReply(call, reply) => {
                if self.close(call) {
                    let call_id = call.call;
                    let event = Event::TableReply {
                        call: call_id,
                        reply,
                    };
                    self.deliver(call.run, event);
                }
            }
            Ev::Start {
                runner,
                life,
                from,
                start,
            } => self.on_start(runner, life, from, *start),
            Ev::Ask { runner, from, ask } => self.on_ask(runner, from, ask),
            Ev::TaskEnd {
                runner,
                life,
                task,
                lease_end,
                report,
                to,
            } => self.on_task_end(runner, life, task, lease_end, report, to),
            Ev::LeaseOver(task) => self.checks.over(&task),
            Ev::ApplyTable(from, op) => self.apply_table(from, &op),
            Ev::RefreshList => {
                self.at(LIST_LAG_US, Ev::RefreshList);
                if !self.platform.list_stale {
                    self.refresh_list();
                }
            }
            Ev::Arrive(account) => self.arrive(account),
            Ev::CallerSend { job, clash } => self.caller_send(job, clash),
            Ev::CallerAnswer(request, answer) => self.caller_answer(request, answer),
            Ev::CallerTimeout(request) => self.caller_timeout(request),
            Ev::OperatorRace => self.operator_race(),
            Ev::OperatorAnswer(change, answer) => self.operator_answer(change, answer),
            Ev::Fault(fault) => self.fault(fault),
            Ev::RandomFault => self.random_fault(),
        }
    }

    /// Takes a call off the list of open ones; false if it is none.
    fn close(&mut self, call: CallOf) -> bool {
        self.is_run(call.run) && self.hosts[call.run.host].open.remove(&call.call).is_some()
    }
}
