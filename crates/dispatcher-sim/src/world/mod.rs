//! Hosts, targets, callers and the network between them, as one queue of what happens.
//!
//! [`World`] owns all of it, and draws every chance from the scenario's seed.

mod answers;
mod building;
mod draining;
mod faults;
mod network;
mod parts;
mod restarts;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use gannetridge_dispatcher_core::event::TargetChange;
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::{Action, CallId, Event, Millis};
use gannetridge_wire::Name;
use rand::SeedableRng;
use rand_pcg::Pcg64;

use crate::callers::Caller;
use crate::checks::Checks;
use crate::scenario::{Outcome, Scenario};
use crate::target::Target;

use draining::HallState;
use parts::{Happening, Host, LongPoll, Pending};

/// Between steps of what runs on targets, in ms. Chosen, not measured.
const STEP_MS: Millis = 5;
/// From a change of the list until hosts hear of it, in ms.
const NEWS_MS: Millis = 250;
/// Between a host's reads of the store, in ms, where hosts tell each other what it holds.
const READ_MS: Millis = 500;
/// Where hosts tell each other what the store holds, it may turn one of so many parts of
/// them away and serve the others.
const STORE_PARTS: usize = 3;
/// Halls of more hosts than this are so large that they do.
const LARGE_HALL: usize = 4;
/// From a target's silent death until its entry goes, in ms.
const LAPSE_MS: Millis = 4_500;
/// A caller with less time than this, in ms, may get no answer in time.
const HURRY_MS: Millis = 50;
/// After the load, time in ms until every host must serve again. Chosen, not measured.
const RECOVERY_MS: Millis = 12_000;
/// Between probes of each host after that, in ms, and how many there are.
/// Chosen, not measured.
const PROBE_GAP_MS: Millis = 100;
const PROBES: u64 = 10;
/// Time for the last answers, in ms. Chosen, not measured.
const AFTER_MS: Millis = 3_000;
/// Faults begin when hosts have found each other, in ms. Chosen, not measured.
const QUIET_MS: Millis = 2_000;
/// The share of calls that are late, or whose answers are lost, during such a fault.
/// Chosen, not measured.
const HIT: f64 = 0.1;
/// The wall clock's time when the run begins.
const EPOCH_MS: u64 = 1_760_000_000_000;
/// Sets the generator of drained halls apart from that of all else.
const DRAIN_STREAM: u64 = 0x6472_6169_6e00;
/// Sets the generator of targets that start again apart from that of all else.
const RESTART_STREAM: u64 = 0x7265_7374_6172;
/// How often a task may fail. Chosen, not measured.
const MAX_ATTEMPTS: u32 = 2;

/// Hosts, targets, callers and the network between them.
pub struct World {
    scenario: Scenario,
    rng: Pcg64,
    now: Millis,
    sequence: u64,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    happenings: HashMap<u64, Happening>,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    lives: u64,
    calls: HashSet<(usize, u64, CallId)>,
    renewals: Vec<LongPoll>,
    callers: Vec<Caller>,
    request_ids: u64,
    resources: HashMap<Name, (Resources, Millis)>,
    cut_peers: BTreeMap<usize, u32>,
    cut_targets: BTreeMap<usize, u32>,
    cut_halls: BTreeMap<usize, u32>,
    cut_target: BTreeMap<usize, u32>,
    late: u32,
    lost_answers: u32,
    lossy_peers: u32,
    store_out: u32,
    /// While the store is out for some hosts only: which of [`STORE_PARTS`] parts of them.
    turned_away: Option<usize>,
    /// Grows with each change of what the store holds.
    store_version: u64,
    store_troubled: Millis,
    /// When the store was last out for all hosts.
    store_out_for_all: Millis,
    /// When each host was last cut off.
    host_troubled: Vec<Millis>,
    /// When each hall was last cut off.
    hall_troubled: Vec<Millis>,
    /// When requests between hosts were last lost.
    peers_troubled: Millis,
    halls: Vec<HallState>,
    drain_rng: Pcg64,
    restart_rng: Pcg64,
    leaving_since: HashMap<Name, Millis>,
    checks: Checks,
    outcome: Outcome,
}

impl World {
    /// Builds a world.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let mut world = Self {
            scenario: *scenario,
            rng: Pcg64::seed_from_u64(scenario.seed),
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            hosts: Vec::new(),
            targets: Vec::new(),
            lives: 0,
            calls: HashSet::new(),
            renewals: Vec::new(),
            callers: Vec::new(),
            request_ids: 0,
            resources: HashMap::new(),
            cut_peers: BTreeMap::new(),
            cut_targets: BTreeMap::new(),
            cut_halls: BTreeMap::new(),
            cut_target: BTreeMap::new(),
            late: 0,
            lost_answers: 0,
            lossy_peers: 0,
            store_out: 0,
            turned_away: None,
            store_version: 1,
            store_troubled: 0,
            store_out_for_all: 0,
            host_troubled: vec![0; scenario.halls * scenario.hosts_per_hall],
            hall_troubled: vec![0; scenario.halls],
            peers_troubled: 0,
            halls: vec![HallState::default(); scenario.halls],
            drain_rng: Pcg64::seed_from_u64(scenario.seed ^ DRAIN_STREAM),
            restart_rng: Pcg64::seed_from_u64(scenario.seed ^ RESTART_STREAM),
            leaving_since: HashMap::new(),
            checks: Checks::default(),
            outcome: Outcome::default(),
        };
        for index in 0..scenario.halls * scenario.targets_per_hall {
            let target = world.new_target(index);
            world.targets.push(target);
        }
        for index in 0..scenario.halls * scenario.hosts_per_hall {
            let host = world.new_host(index);
            world.hosts.push(host);
            world.welcome(index);
        }
        world.at(0, Happening::Step);
        world.at(QUIET_MS, Happening::NewJob);
        for host in 0..world.hosts.len() {
            for number in 0..PROBES {
                let at = scenario.load_ms + RECOVERY_MS + number * PROBE_GAP_MS;
                world.at(at, Happening::Probe(host));
            }
        }
        if world.hosts_tell_each_other() {
            for host in 0..world.hosts.len() {
                world.at(host as Millis, Happening::Read(host));
            }
        }
        if scenario.fault_gap_ms > 0 {
            world.at(QUIET_MS, Happening::Fault);
        }
        world.plan_drains();
        world.plan_restarts();
        world
    }

    fn at(&mut self, time: Millis, happening: Happening) {
        self.sequence += 1;
        self.queue
            .push(Reverse((time.max(self.now), self.sequence)));
        self.happenings.insert(self.sequence, happening);
    }

    fn tell(&mut self, host: usize, after: Millis, event: Event) {
        let life = self.hosts[host].life;
        let event = Box::new(event);
        self.at(self.now + after, Happening::Event { host, life, event });
    }

    /// Runs to the end.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        let end = self.scenario.load_ms + RECOVERY_MS + PROBES * PROBE_GAP_MS + AFTER_MS;
        while let Some(Reverse((time, sequence))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let happening = self.happenings.remove(&sequence).expect("it was put there");
            self.happen(happening);
        }
        self.check_recovery();
        self.check_taken_back(self.scenario.load_ms + RECOVERY_MS);
        self.checks.finish(self.now);
        self.outcome.starts = self.checks.starts;
        self.outcome.violations = self.checks.violations;
        self.outcome
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Step => self.step(),
            Happening::Tick { host, life } => self.tick(host, life),
            Happening::Event { host, life, event } => self.give(host, life, *event),
            Happening::Call {
                pending,
                to,
                envelope,
            } => self.peer_called(pending, to, envelope),
            Happening::Reply { pending, reply } => {
                let event = |call| Event::PeerReply {
                    call,
                    reply: Ok(reply),
                };
                self.come_back(pending, event);
            }
            Happening::Missed { pending, peer, why } => {
                let event = |call| {
                    if peer {
                        let reply = Err(why);
                        Event::PeerReply { call, reply }
                    } else {
                        let reply = Err(why);
                        Event::TargetReply { call, reply }
                    }
                };
                self.come_back(pending, event);
            }
            Happening::Target {
                pending,
                target,
                id,
                born,
                token,
                order,
                lost,
            } => self.target_called(pending, target, &id, born, token, order, lost),
            Happening::TargetReply { pending, reply } => {
                let event = |call| Event::TargetReply {
                    call,
                    reply: Ok(reply),
                };
                self.come_back(pending, event);
            }
            Happening::NewJob => self.new_job(),
            Happening::Probe(host) => self.probe(host),
            Happening::Try(caller) => self.try_at(caller),
            Happening::Deadline(caller) => self.deadline(caller),
            Happening::Leave(caller) => self.leave(caller),
            Happening::Fault => self.fault(),
            Happening::Over(fault) => self.over(fault),
            Happening::Restart(host) => self.restart(host),
            Happening::NewTarget(target) => self.replace_target(target),
            Happening::Lapse(id) => self.news(vec![TargetChange::Removed(id)]),
            Happening::ReadAgain(host) => {
                if self.store_out == 0 {
                    self.tell(host, 1, Event::TargetsRead(self.list().into()));
                }
            }
            Happening::Read(host) => self.read_store(host),
            Happening::Drain => self.drain(),
            Happening::TakeBack(hall) => self.take_back(hall),
            Happening::RestartTarget => self.restart_target(),
            Happening::TargetBack(target) => self.target_back(target),
            Happening::CrashUnder(target, id) => self.crash_under(target, &id),
        }
    }

    /// Gives a reply to a call that still waits for one.
    fn come_back(&mut self, pending: Pending, event: impl FnOnce(CallId) -> Event) {
        if self
            .calls
            .remove(&(pending.host, pending.life, pending.call))
        {
            self.give(pending.host, pending.life, event(pending.call));
        }
    }

    fn give(&mut self, host: usize, life: u64, event: Event) {
        let there = &mut self.hosts[host];
        if !there.is_up || there.life != life {
            return;
        }
        if there.frozen {
            there.queue.push(event);
            return;
        }
        self.outcome.events += 1;
        let at = self.now - there.base;
        let actions = there.dispatcher.handle(at, event);
        let next = there.base + there.dispatcher.next_timer().max(at + 1);
        if there.tick_at <= self.now || next < there.tick_at {
            there.tick_at = next;
            self.at(next, Happening::Tick { host, life });
        }
        for action in actions {
            self.perform(host, action);
        }
    }

    fn tick(&mut self, host: usize, life: u64) {
        let there = &self.hosts[host];
        let due = there.life == life && there.tick_at <= self.now;
        if due {
            self.give(host, life, Event::Tick);
        }
    }

    fn perform(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { request_id, answer } => self.answer(host, request_id.0, &answer),
            Action::Reply { request_id, reply } => {
                if let Some(pending) = self.hosts[host].peers.remove(&request_id.0) {
                    if !self.peers_cut(host, pending.host) && !self.is_lossy() {
                        let at = self.now + self.trip();
                        self.at(at, Happening::Reply { pending, reply });
                    }
                }
            }
            Action::Call {
                call,
                address,
                envelope,
                wait_ms,
            } => {
                let to = usize::from(address.port()) - 1_000;
                self.call_peer(host, call, to, envelope, wait_ms);
            }
            Action::Target {
                call,
                id,
                address,
                token,
                order,
                wait_ms,
            } => {
                let target = address.parse().expect("addresses are numbers here");
                self.call_target(host, call, target, id, token, order, wait_ms);
            }
            Action::Record(decision) => {
                if self.scenario.verbose {
                    println!("{:6} host-{host} {decision:?}", self.now);
                }
            }
            Action::Stopped => self.die(host, 100),
        }
    }
}

fn lift(cuts: &mut BTreeMap<usize, u32>, key: usize) {
    if let Some(count) = cuts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            cuts.remove(&key);
        }
    }
}
