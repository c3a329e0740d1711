//! The simulated system: hosts, targets, callers, store and network, driven by one event queue.
//!
//! [`World`] owns all state, and takes every random choice from generators seeded by the
//! scenario.

mod callers;
mod draining;
mod faults;
mod model;
mod network;
mod setup;
mod target_restarts;

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
use model::{Host, LongPoll, Pending, SimEvent};

/// The interval at which attempts on targets progress, in ms.
const ADVANCE_INTERVAL_MS: Millis = 5;
/// The delay until hosts that follow the store receive a change of it, in ms.
const STORE_CHANGE_DELAY_MS: Millis = 250;
/// The interval between a host's reads of the store where hosts share reads, in ms.
const STORE_READ_INTERVAL_MS: Millis = 500;
/// The number of groups of hosts where hosts share reads: an outage may hit one group only.
const STORE_HOST_GROUPS: usize = 3;
/// In halls of up to this many hosts every host reads the store; in larger ones they share reads.
const MAX_HOSTS_WITHOUT_SHARED_READS: usize = 4;
/// How long the store keeps the entry of a crashed target, in ms.
const ENTRY_EXPIRY_MS: Millis = 4_500;
/// A submission with less time than this left, in ms, may stay unanswered.
const MIN_ANSWER_MS: Millis = 50;
/// The time from the end of the load until every host has to serve again, in ms.
const RECOVERY_MS: Millis = 12_000;
/// The interval between the probes of a host after that, in ms.
const PROBE_INTERVAL_MS: Millis = 100;
/// The number of probes of each host.
const PROBES_PER_HOST: u64 = 10;
/// The time after the last probes in which answers may come, in ms.
const FINAL_WAIT_MS: Millis = 3_000;
/// When jobs and faults begin, in ms; by then hosts have discovered each other.
const WARM_UP_MS: Millis = 2_000;
/// The probability that a fault of calls affects a call while it lasts.
const CALL_FAULT_PROBABILITY: f64 = 0.1;
/// The wall clock's time at simulated time 0.
const EPOCH_MS: u64 = 1_760_000_000_000;
/// Separates the random numbers of drains from all others.
const DRAIN_SEED_MASK: u64 = 0x6472_6169_6e00;
/// Separates the random numbers of target restarts from all others.
const RESTART_SEED_MASK: u64 = 0x7265_7374_6172;
/// How often a task may fail.
const MAX_ATTEMPTS: u32 = 2;

/// The state of a simulation and its event queue.
pub struct World {
    scenario: Scenario,
    rng: Pcg64,
    now: Millis,
    last_sequence: u64,
    /// Times and sequence numbers of scheduled events; equal times keep the order of scheduling.
    event_queue: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Scheduled events by sequence number.
    scheduled_events: HashMap<u64, SimEvent>,
    hosts: Vec<Host>,
    targets: Vec<Target>,
    /// Numbers processes of hosts and targets, so that each is unique.
    instances_created: u64,
    /// Calls without a reply, by calling host and its instance.
    open_calls: HashSet<(usize, u64, CallId)>,
    long_polls: Vec<LongPoll>,
    callers: Vec<Caller>,
    request_ids: u64,
    /// The resources and the estimate of each job's tasks, by job id.
    resources: HashMap<Name, (Resources, Millis)>,
    /// Hosts that reach no other host, with the number of such faults in progress.
    hosts_cut_from_peers: BTreeMap<usize, u32>,
    /// Hosts that reach no target, with the number of such faults in progress.
    hosts_cut_from_targets: BTreeMap<usize, u32>,
    /// Halls cut off from all others, with the number of such faults in progress.
    cut_off_halls: BTreeMap<usize, u32>,
    /// Targets that no host reaches, with the number of such faults in progress.
    cut_off_targets: BTreeMap<usize, u32>,
    // The numbers of faults of these kinds in progress.
    late_calls: u32,
    lost_replies: u32,
    lossy_peers: u32,
    store_outages: u32,
    /// The only one of [`STORE_HOST_GROUPS`] groups that an outage hits; none if it hits all hosts.
    rejected_host_group: Option<usize>,
    /// Grows with each change of the store's contents.
    store_version: u64,
    /// When an outage of the store last began, or the store last came back.
    last_store_outage: Millis,
    /// When an outage for all hosts last ended.
    last_full_store_outage: Millis,
    /// When each host was last cut off or suspended, by the end of the fault.
    host_disturbed_at: Vec<Millis>,
    /// When each hall was last cut off, by the end of the fault.
    hall_disturbed_at: Vec<Millis>,
    /// When requests between hosts were last lost, by the end of the fault.
    peers_disturbed_at: Millis,
    halls: Vec<HallState>,
    drain_rng: Pcg64,
    restart_rng: Pcg64,
    /// When each leaving target was marked as leaving.
    leaving_since: HashMap<Name, Millis>,
    checks: Checks,
    outcome: Outcome,
}

impl World {
    /// Creates all hosts and targets, and schedules the first events.
    #[must_use]
    pub fn new(scenario: &Scenario) -> Self {
        let mut world = Self {
            scenario: *scenario,
            rng: Pcg64::seed_from_u64(scenario.seed),
            now: 0,
            last_sequence: 0,
            event_queue: BinaryHeap::new(),
            scheduled_events: HashMap::new(),
            hosts: Vec::new(),
            targets: Vec::new(),
            instances_created: 0,
            open_calls: HashSet::new(),
            long_polls: Vec::new(),
            callers: Vec::new(),
            request_ids: 0,
            resources: HashMap::new(),
            hosts_cut_from_peers: BTreeMap::new(),
            hosts_cut_from_targets: BTreeMap::new(),
            cut_off_halls: BTreeMap::new(),
            cut_off_targets: BTreeMap::new(),
            late_calls: 0,
            lost_replies: 0,
            lossy_peers: 0,
            store_outages: 0,
            rejected_host_group: None,
            store_version: 1,
            last_store_outage: 0,
            last_full_store_outage: 0,
            host_disturbed_at: vec![0; scenario.halls * scenario.hosts_per_hall],
            hall_disturbed_at: vec![0; scenario.halls],
            peers_disturbed_at: 0,
            halls: vec![HallState::default(); scenario.halls],
            drain_rng: Pcg64::seed_from_u64(scenario.seed ^ DRAIN_SEED_MASK),
            restart_rng: Pcg64::seed_from_u64(scenario.seed ^ RESTART_SEED_MASK),
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
            world.send_initial_state(index);
        }
        world.schedule(0, SimEvent::AdvanceTargets);
        world.schedule(WARM_UP_MS, SimEvent::NewJob);
        for host in 0..world.hosts.len() {
            for number in 0..PROBES_PER_HOST {
                let at = scenario.load_ms + RECOVERY_MS + number * PROBE_INTERVAL_MS;
                world.schedule(at, SimEvent::ProbeHost(host));
            }
        }
        if world.hosts_share_store_reads() {
            for host in 0..world.hosts.len() {
                world.schedule(host as Millis, SimEvent::ReadStore(host));
            }
        }
        if scenario.fault_gap_ms > 0 {
            world.schedule(WARM_UP_MS, SimEvent::NextFault);
        }
        world.schedule_drains();
        world.schedule_target_restarts();
        world
    }

    /// Schedules an event; a past time means now.
    fn schedule(&mut self, time: Millis, event: SimEvent) {
        self.last_sequence += 1;
        self.event_queue
            .push(Reverse((time.max(self.now), self.last_sequence)));
        self.scheduled_events.insert(self.last_sequence, event);
    }

    /// Schedules an event for the current instance of a host, `after` ms from now.
    fn send_event(&mut self, host: usize, after: Millis, event: Event) {
        let instance = self.hosts[host].instance;
        let event = Box::new(event);
        self.schedule(
            self.now + after,
            SimEvent::Event {
                host,
                instance,
                event,
            },
        );
    }

    /// Runs until the last answers may have come; returns the result.
    #[must_use]
    pub fn run(mut self) -> Outcome {
        let end = self.scenario.load_ms
            + RECOVERY_MS
            + PROBES_PER_HOST * PROBE_INTERVAL_MS
            + FINAL_WAIT_MS;
        while let Some(Reverse((time, sequence))) = self.event_queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let event = self
                .scheduled_events
                .remove(&sequence)
                .expect("queued events are stored");
            self.handle_event(event);
        }
        self.check_recovery();
        self.check_service_after_drains(self.scenario.load_ms + RECOVERY_MS);
        self.checks.finish(self.now);
        self.outcome.starts = self.checks.starts;
        self.outcome.violations = self.checks.violations;
        self.outcome
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::AdvanceTargets => self.advance_targets(),
            SimEvent::Tick { host, instance } => self.tick(host, instance),
            SimEvent::Event {
                host,
                instance,
                event,
            } => self.deliver_event(host, instance, *event),
            SimEvent::PeerCall {
                pending,
                to,
                envelope,
            } => self.handle_peer_call(pending, to, envelope),
            SimEvent::PeerReply { pending, reply } => {
                let event = |call| Event::PeerReply {
                    call,
                    reply: Ok(reply),
                };
                self.complete_call(pending, event);
            }
            SimEvent::CallFailed {
                pending,
                is_peer_call,
                failure,
            } => {
                let event = |call| {
                    if is_peer_call {
                        let reply = Err(failure);
                        Event::PeerReply { call, reply }
                    } else {
                        let reply = Err(failure);
                        Event::TargetReply { call, reply }
                    }
                };
                self.complete_call(pending, event);
            }
            SimEvent::TargetCall {
                pending,
                target,
                id,
                process_start,
                token,
                order,
                lost,
            } => self.handle_target_call(pending, target, &id, process_start, token, order, lost),
            SimEvent::TargetReply { pending, reply } => {
                let event = |call| Event::TargetReply {
                    call,
                    reply: Ok(reply),
                };
                self.complete_call(pending, event);
            }
            SimEvent::NewJob => self.submit_new_job(),
            SimEvent::ProbeHost(host) => self.probe_host(host),
            SimEvent::SubmitJob(caller) => self.submit_job(caller),
            SimEvent::CallerDeadline(caller) => self.reach_caller_deadline(caller),
            SimEvent::CallerLeaves(caller) => self.leave_caller(caller),
            SimEvent::NextFault => self.inject_fault(),
            SimEvent::FaultEnds(fault) => self.end_fault(fault),
            SimEvent::HostRestarts(host) => self.restart_host(host),
            SimEvent::ReplaceTarget(target) => self.replace_target(target),
            SimEvent::EntryExpires(id) => {
                self.announce_target_changes(vec![TargetChange::Removed(id)])
            }
            SimEvent::RereadTargets(host) => {
                if self.store_outages == 0 {
                    self.send_event(host, 1, Event::TargetsRead(self.target_entries().into()));
                }
            }
            SimEvent::ReadStore(host) => self.read_store(host),
            SimEvent::DrainHalls => self.drain_halls(),
            SimEvent::EndDrain(hall) => self.end_drain(hall),
            SimEvent::TargetCrashes => self.crash_random_target(),
            SimEvent::TargetRestarts(target) => self.restart_target(target),
            SimEvent::TaskCrashesTarget(target, id) => self.crash_target_by_task(target, &id),
        }
    }

    /// Delivers the result of a call, unless the call has one already.
    fn complete_call(&mut self, pending: Pending, event: impl FnOnce(CallId) -> Event) {
        if self
            .open_calls
            .remove(&(pending.host, pending.instance, pending.call))
        {
            self.deliver_event(pending.host, pending.instance, event(pending.call));
        }
    }

    /// Has a host handle an event; a suspended one handles it once it resumes.
    fn deliver_event(&mut self, host: usize, instance: u64, event: Event) {
        let host_state = &mut self.hosts[host];
        if !host_state.is_up || host_state.instance != instance {
            return;
        }
        if host_state.is_suspended {
            host_state.deferred_events.push(event);
            return;
        }
        self.outcome.events += 1;
        let at = self.now - host_state.clock_start;
        let actions = host_state.dispatcher.handle(at, event);
        let next = host_state.clock_start + host_state.dispatcher.next_timer().max(at + 1);
        if host_state.next_tick <= self.now || next < host_state.next_tick {
            host_state.next_tick = next;
            self.schedule(next, SimEvent::Tick { host, instance });
        }
        for action in actions {
            self.perform_action(host, action);
        }
    }

    fn tick(&mut self, host: usize, instance: u64) {
        let host_state = &self.hosts[host];
        let due = host_state.instance == instance && host_state.next_tick <= self.now;
        if due {
            self.deliver_event(host, instance, Event::Tick);
        }
    }

    fn perform_action(&mut self, host: usize, action: Action) {
        match action {
            Action::Answer { request_id, answer } => {
                self.receive_answer(host, request_id.0, &answer)
            }
            Action::Reply { request_id, reply } => {
                if let Some(pending) = self.hosts[host].waiting_peers.remove(&request_id.0) {
                    if !self.are_peers_cut(host, pending.host) && !self.loses_peer_message() {
                        let at = self.now + self.random_latency_ms();
                        self.schedule(at, SimEvent::PeerReply { pending, reply });
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
            Action::Stopped => self.kill_host(host, 100),
        }
    }
}

/// Ends one of the faults that cut `key` off.
fn end_cut(cuts: &mut BTreeMap<usize, u32>, key: usize) {
    if let Some(count) = cuts.get_mut(&key) {
        *count -= 1;
        if *count == 0 {
            cuts.remove(&key);
        }
    }
}
