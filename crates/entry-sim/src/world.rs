//! The simulation: the event queue, the clock, and the state of all simulated parts.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use gannetridge_entry_core::{ChangeAnswer, Event, SendFailure};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{TableFailure, TableOp, TableResult};
use gannetridge_entry_wire::target::{StartTask, TaskQuery, TaskReport};
use gannetridge_entry_wire::{TaskId, Time};
use gannetridge_wire::Name;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::callers::{Callers, RequestId};
use crate::checks::Checks;
use crate::faults::FaultEvent;
use crate::hosts::{OutgoingCall, ProcessId, SimHost};
use crate::platform::Platform;
use crate::report::Report;
use crate::runners::SimRunner;
use crate::scenario::Scenario;

/// Simulated time at which every run starts, in ms since the Unix epoch.
pub const START_MS: u64 = 1_800_000_000_000;
/// Time until an attempt to connect to an unreachable host fails, in µs.
pub(crate) const CONNECT_TIMEOUT_US: u64 = 500_000;
/// Time after which a host stops waiting for the platform's table, in µs.
pub(crate) const TABLE_TIMEOUT_US: u64 = 1_500_000;
/// Time between refreshes of the platform's list of targets, in µs.
pub(crate) const LIST_REFRESH_US: u64 = 1_000_000;

/// An event of the simulation.
///
/// Events that carry the incarnation of a host or a runner have no effect, or fail, once
/// another incarnation runs.
pub(crate) enum SimEvent {
    Deliver(ProcessId, Box<Event>),
    Tick(ProcessId),
    Resume(usize),
    Restart(usize),
    PeerRequest {
        to: ProcessId,
        from: Option<OutgoingCall>,
        request: Box<PeerRequest>,
    },
    PeerReply(OutgoingCall, Box<Result<PeerReply, SendFailure>>),
    TaskReply(OutgoingCall, Result<TaskReport, SendFailure>),
    TableReply(OutgoingCall, Result<TableResult, TableFailure>),
    Start {
        runner: usize,
        incarnation: u32,
        from: OutgoingCall,
        start: Box<StartTask>,
    },
    TaskQuery {
        runner: usize,
        from: OutgoingCall,
        query: TaskQuery,
    },
    TaskEnd {
        runner: usize,
        incarnation: u32,
        task: TaskId,
        lease_end: Time,
        report: TaskReport,
        to: OutgoingCall,
    },
    LeaseExpired(TaskId),
    ApplyTable(Option<OutgoingCall>, TableOp),
    RefreshList,
    JobArrival(usize),
    CallerSend {
        job: usize,
        conflicting: bool,
    },
    CallerAnswer(RequestId, Option<gannetridge_entry_wire::Answer>),
    CallerTimeout(RequestId),
    ConcurrentChanges,
    OperatorAnswer(u64, Option<ChangeAnswer>),
    Fault(FaultEvent),
    RandomFault,
}

/// A change of a configuration document that an operator requested.
pub(crate) struct OperatorChange {
    pub(crate) id: Name,
    /// True if the operator was told that nothing was written.
    pub(crate) rejected: bool,
    /// The configuration's version that the change was accepted as.
    pub(crate) accepted: Option<u64>,
}

/// The current faults of the network.
#[derive(Default)]
pub(crate) struct Network {
    pub(crate) cut_halls: BTreeSet<usize>,
    /// Pairs of hosts, the lower index first.
    pub(crate) cut_pairs: BTreeSet<(usize, usize)>,
    /// Hosts that can't reach the platform.
    pub(crate) cut_platform: BTreeSet<usize>,
    pub(crate) drop_probability: f64,
    pub(crate) duplicate_probability: f64,
    pub(crate) max_extra_delay_us: u64,
}

/// The state of a simulated run.
pub struct World {
    pub(crate) scenario: Scenario,
    pub(crate) now: Time,
    pub(crate) rng: Pcg64Mcg,
    /// Used for the jobs only, so that a seed gives the same jobs however the hosts
    /// handle them.
    pub(crate) load_rng: Pcg64Mcg,
    queue: BTreeMap<(Time, u64), SimEvent>,
    last_sequence: u64,
    pub(crate) halls: Vec<Name>,
    pub(crate) hosts: Vec<SimHost>,
    pub(crate) host_by_address: HashMap<Name, usize>,
    pub(crate) runner_by_name: HashMap<Name, usize>,
    pub(crate) runners: Vec<SimRunner>,
    pub(crate) platform: Platform,
    pub(crate) network: Network,
    pub(crate) callers: Callers,
    pub(crate) changes: Vec<OperatorChange>,
    pub(crate) checks: Checks,
    pub(crate) report: Report,
    /// Time of the last change of a fault that can delay updates on leaving targets.
    pub(crate) undisturbed_since: Time,
}

impl World {
    /// Creates a run at its start, with its first events scheduled.
    #[must_use]
    pub fn new(scenario: Scenario) -> Self {
        let mut world = Self {
            now: Time::from_millis(START_MS),
            rng: Pcg64Mcg::seed_from_u64(scenario.seed),
            load_rng: Pcg64Mcg::seed_from_u64(!scenario.seed),
            queue: BTreeMap::new(),
            last_sequence: 0,
            halls: Vec::new(),
            hosts: Vec::new(),
            host_by_address: HashMap::new(),
            runner_by_name: HashMap::new(),
            runners: Vec::new(),
            platform: Platform::default(),
            network: Network::default(),
            callers: Callers::default(),
            changes: Vec::new(),
            checks: Checks::default(),
            report: Report::default(),
            undisturbed_since: Time::ZERO,
            scenario,
        };
        world.set_up();
        world
    }

    /// Schedules an event `us` µs from now.
    pub(crate) fn schedule(&mut self, us: u64, ev: SimEvent) {
        self.last_sequence += 1;
        self.queue
            .insert((self.now.plus_micros(us), self.last_sequence), ev);
    }

    /// Schedules an event `ms` ms after the run's start.
    pub(crate) fn schedule_at_ms(&mut self, ms: u64, ev: SimEvent) {
        self.last_sequence += 1;
        let time = Time::from_millis(START_MS + ms);
        self.queue.insert((time, self.last_sequence), ev);
    }

    /// Runs to the scenario's end, checks the final state, and returns the results.
    pub fn run(mut self) -> (Report, Checks) {
        let end_ms = START_MS + self.scenario.load_ms + self.scenario.tail_ms;
        self.run_until(Time::from_millis(end_ms));
        self.check_final_state();
        (self.report, self.checks)
    }

    /// Handles all events up to and including the time `end`.
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

    fn handle(&mut self, ev: SimEvent) {
        match ev {
            SimEvent::Deliver(process, event) => self.deliver(process, *event),
            SimEvent::Tick(process) => {
                if self.is_current(process) {
                    self.hosts[process.host].next_tick = None;
                    self.deliver(process, Event::Tick);
                }
            }
            SimEvent::Resume(host) => self.resume(host),
            SimEvent::Restart(host) => self.restart(host),
            SimEvent::PeerRequest { to, from, request } => self.on_peer_request(to, from, *request),
            SimEvent::PeerReply(call, reply) => {
                if self.remove_open_call(call) {
                    let event = Event::PeerReply {
                        call: call.call,
                        reply: *reply,
                    };
                    self.deliver(call.process, event);
                }
            }
            SimEvent::TaskReply(call, reply) => {
                if self.remove_open_call(call) {
                    let call_id = call.call;
                    let event = Event::TaskReply {
                        call: call_id,
                        reply,
                    };
                    self.deliver(call.process, event);
                }
            }
            SimEvent::TableReply(call, reply) => {
                if self.remove_open_call(call) {
                    let call_id = call.call;
                    let event = Event::TableReply {
                        call: call_id,
                        reply,
                    };
                    self.deliver(call.process, event);
                }
            }
            SimEvent::Start {
                runner,
                incarnation,
                from,
                start,
            } => self.on_start(runner, incarnation, from, *start),
            SimEvent::TaskQuery {
                runner,
                from,
                query,
            } => self.on_task_query(runner, from, query),
            SimEvent::TaskEnd {
                runner,
                incarnation,
                task,
                lease_end,
                report,
                to,
            } => self.on_task_end(runner, incarnation, task, lease_end, report, to),
            SimEvent::LeaseExpired(task) => self.checks.record_end(&task),
            SimEvent::ApplyTable(from, op) => self.apply_table(from, &op),
            SimEvent::RefreshList => {
                self.schedule(LIST_REFRESH_US, SimEvent::RefreshList);
                if !self.platform.list_stale {
                    self.refresh_list();
                }
            }
            SimEvent::JobArrival(account) => self.on_job_arrival(account),
            SimEvent::CallerSend { job, conflicting } => self.send_attempt(job, conflicting),
            SimEvent::CallerAnswer(request, answer) => self.on_caller_answer(request, answer),
            SimEvent::CallerTimeout(request) => self.on_caller_timeout(request),
            SimEvent::ConcurrentChanges => self.submit_concurrent_changes(),
            SimEvent::OperatorAnswer(change, answer) => self.on_operator_answer(change, answer),
            SimEvent::Fault(fault) => self.apply_fault(fault),
            SimEvent::RandomFault => self.inject_random_fault(),
        }
    }

    /// Removes a call from its process's open calls. Returns false if it isn't open or
    /// the process has ended.
    fn remove_open_call(&mut self, call: OutgoingCall) -> bool {
        self.is_current(call.process)
            && self.hosts[call.process.host]
                .open_calls
                .remove(&call.call)
                .is_some()
    }
}
