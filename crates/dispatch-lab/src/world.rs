//! Hosts, targets, callers and the network between them, as one queue of
//! things to happen.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, HashSet};

use gannetridge_dispatch::event::{TargetChange, TargetEntry};
use gannetridge_dispatch::message::{Envelope, HostInfo, Reply};
use gannetridge_dispatch::queues::{Queue, Queues};
use gannetridge_dispatch::spec::Room;
use gannetridge_dispatch::{
    Action, Answer, CallId, Dispatcher, Event, Millis, RunOrder, SendFailure, Settings, TargetCall,
    TargetReply, Token,
};
use gannetridge_wire::Name;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64;

use crate::callers::Caller;
use crate::checks::Checks;
use crate::faults::{self, Fault};
use crate::scenario::{Outcome, Scenario};
use crate::target::{Mood, Run, Target};

/// Between looks at what runs on targets.
const STEP_MS: Millis = 5;
/// From a change of the list until hosts hear of it.
const NEWS_MS: Millis = 250;
/// From a target's silent death until its entry goes.
const LAPSE_MS: Millis = 4_500;
/// A caller with less time than this may get no answer in time.
const HURRY_MS: Millis = 50;
/// After the load, time for the last answers.
const AFTER_MS: Millis = 8_000;
/// Faults begin when hosts have found each other.
const QUIET_MS: Millis = 2_000;
/// The part of calls that are hit while they get late, or their answers lost.
const HIT: f64 = 0.1;
/// The wall clock's time when the run begins.
const EPOCH_MS: u64 = 1_760_000_000_000;
/// How often a task may fail.
const MAX_ATTEMPTS: u32 = 2;

struct Host {
    info: HostInfo,
    dispatcher: Dispatcher,
    /// World time at which this life's clock was 0.
    base: Millis,
    life: u64,
    up: bool,
    frozen: bool,
    /// When it last began to run again.
    woke: Millis,
    tick_at: Millis,
    queue: Vec<Event>,
    /// Callers that wait here, by token.
    callers: HashMap<u64, usize>,
    /// Peers that wait here, by token.
    peers: HashMap<u64, Pending>,
}

#[derive(Clone, Copy)]
struct Pending {
    host: usize,
    life: u64,
    call: CallId,
}

struct WaitingHold {
    pending: Pending,
    target: usize,
    id: Name,
    until: Millis,
}

enum Happening {
    Step,
    Tick {
        host: usize,
        life: u64,
    },
    Event {
        host: usize,
        life: u64,
        event: Box<Event>,
    },
    Call {
        pending: Pending,
        to: usize,
        envelope: Box<Envelope>,
    },
    Reply {
        pending: Pending,
        reply: Box<Reply>,
    },
    Missed {
        pending: Pending,
        peer: bool,
        why: SendFailure,
    },
    Target {
        pending: Pending,
        target: usize,
        id: Name,
        fence: u64,
        order: TargetCall,
        lost: bool,
    },
    TargetReply {
        pending: Pending,
        reply: TargetReply,
    },
    NewJob,
    Try(usize),
    Deadline(usize),
    Leave(usize),
    Fault,
    Over(Fault),
    Restart(usize),
    NewTarget(usize),
    Lapse(Name),
    ReadAgain(usize),
}

/// Everything.
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
    holds: Vec<WaitingHold>,
    callers: Vec<Caller>,
    tokens: u64,
    rooms: HashMap<Name, (Room, Millis)>,
    cut_peers: BTreeMap<usize, u32>,
    cut_targets: BTreeMap<usize, u32>,
    cut_halls: BTreeMap<usize, u32>,
    cut_target: BTreeMap<usize, u32>,
    late: u32,
    lost_answers: u32,
    lossy_peers: u32,
    store_out: u32,
    store_troubled: Millis,
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
            holds: Vec::new(),
            callers: Vec::new(),
            tokens: 0,
            rooms: HashMap::new(),
            cut_peers: BTreeMap::new(),
            cut_targets: BTreeMap::new(),
            cut_halls: BTreeMap::new(),
            cut_target: BTreeMap::new(),
            late: 0,
            lost_answers: 0,
            lossy_peers: 0,
            store_out: 0,
            store_troubled: 0,
            leaving_since: HashMap::new(),
            checks: Checks::default(),
            outcome: Outcome::default(),
        };
        for index in 0..scenario.halls * scenario.targets {
            let target = world.new_target(index);
            world.targets.push(target);
        }
        for index in 0..scenario.halls * scenario.hosts {
            let host = world.new_host(index);
            world.hosts.push(host);
            world.welcome(index);
        }
        world.at(0, Happening::Step);
        world.at(QUIET_MS, Happening::NewJob);
        if scenario.fault_gap_ms > 0 {
            world.at(QUIET_MS, Happening::Fault);
        }
        world
    }

    fn hall_of_host(&self, host: usize) -> usize {
        host / self.scenario.hosts
    }

    fn hall_of_target(&self, target: usize) -> usize {
        target / self.scenario.targets
    }

    fn new_target(&mut self, index: usize) -> Target {
        self.lives += 1;
        let hall = self.hall_of_target(index);
        let cores = if index % 3 == 0 { 24 } else { 16 };
        let entry = TargetEntry {
            id: format!("t{index}-{}", self.lives).into(),
            address: format!("{index}").into(),
            hall: format!("hall-{hall}").into(),
            pool: "pool".into(),
            capacity: Room {
                cpu: cores * 1_000,
                memory_mb: 32_768,
                gpus: 0,
            },
            labels: vec!["a".into()],
            leaving: false,
        };
        let rate = self.rng.random_range(0.98..=1.0);
        let longest = self.scenario.bounds.max_hold_ms;
        Target::new(entry, self.scenario.guards, rate, longest)
    }

    fn new_host(&mut self, index: usize) -> Host {
        self.lives += 1;
        let hall = self.hall_of_host(index);
        let skew = self.rng.random_range(0..100);
        let base = self.now;
        let info = HostInfo {
            name: format!("host-{index}").into(),
            address: format!("127.0.0.1:{}", 1_000 + index)
                .parse()
                .expect("an address"),
            hall: format!("hall-{hall}").into(),
            incarnation: EPOCH_MS + self.now,
        };
        let settings = Settings {
            name: info.name.clone(),
            address: info.address,
            hall: info.hall.clone(),
            incarnation: info.incarnation,
            seeds: vec!["127.0.0.1:1000".parse().expect("an address")],
            bounds: self.scenario.bounds,
            epoch_ms: EPOCH_MS + base + skew,
            safeguards: self.scenario.safeguards,
        };
        Host {
            info,
            dispatcher: Dispatcher::new(settings).expect("the bounds leave room"),
            base,
            life: self.lives,
            up: true,
            frozen: false,
            woke: 0,
            tick_at: 0,
            queue: Vec::new(),
            callers: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Tells a new host what the store holds.
    fn welcome(&mut self, host: usize) {
        let life = self.hosts[host].life;
        self.at(self.now + 1, Happening::Tick { host, life });
        if self.store_out == 0 {
            let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
            for event in [
                Event::QueuesRead(queues()),
                Event::TargetsRead(self.list()),
                Event::HostsRead(hosts),
            ] {
                self.tell(host, 10, event);
            }
        }
    }

    fn list(&self) -> Vec<TargetEntry> {
        let listed = self.targets.iter().filter(|target| target.up);
        listed.map(|target| target.entry.clone()).collect()
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
        let end = self.scenario.load_ms + AFTER_MS;
        while let Some(Reverse((time, sequence))) = self.queue.pop() {
            if time > end {
                break;
            }
            self.now = time;
            let happening = self.happenings.remove(&sequence).expect("it was put there");
            self.happen(happening);
        }
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
                fence,
                order,
                lost,
            } => self.target_called(pending, target, &id, fence, order, lost),
            Happening::TargetReply { pending, reply } => {
                let event = |call| Event::TargetReply {
                    call,
                    reply: Ok(reply),
                };
                self.come_back(pending, event);
            }
            Happening::NewJob => self.new_job(),
            Happening::Try(caller) => self.try_at(caller),
            Happening::Deadline(caller) => self.deadline(caller),
            Happening::Leave(caller) => self.leave(caller),
            Happening::Fault => self.fault(),
            Happening::Over(fault) => self.over(fault),
            Happening::Restart(host) => self.restart(host),
            Happening::NewTarget(target) => self.replace_target(target),
            Happening::Lapse(id) => self.news(vec![TargetChange::Gone(id)]),
            Happening::ReadAgain(host) => {
                if self.store_out == 0 {
                    self.tell(host, 1, Event::TargetsRead(self.list()));
                }
            }
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
        if !there.up || there.life != life {
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
            Action::Answer { token, answer } => self.answer(host, token.0, &answer),
            Action::Reply { token, reply } => {
                if let Some(pending) = self.hosts[host].peers.remove(&token.0) {
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
                fence,
                order,
                wait_ms,
            } => {
                let target = address.parse().expect("addresses are numbers here");
                self.call_target(host, call, target, id, fence, order, wait_ms);
            }
            Action::Note(note) => {
                if self.scenario.verbose {
                    println!("{:6} host-{host} {note:?}", self.now);
                }
            }
            Action::Stopped => self.die(host, 100),
        }
    }

    fn trip(&mut self) -> Millis {
        self.rng.random_range(0..=2)
    }

    fn is_lossy(&mut self) -> bool {
        self.lossy_peers > 0 && self.rng.random_bool(HIT)
    }

    fn expect(&mut self, host: usize, call: CallId) -> Pending {
        let life = self.hosts[host].life;
        self.calls.insert((host, life, call));
        Pending { host, life, call }
    }

    fn call_peer(
        &mut self,
        host: usize,
        call: CallId,
        to: usize,
        envelope: Box<Envelope>,
        wait_ms: Millis,
    ) {
        let pending = self.expect(host, call);
        let missed = |why| Happening::Missed {
            pending,
            peer: true,
            why,
        };
        if !self.peers_cut(host, to) && !self.hosts[to].up {
            self.at(self.now + 1, missed(SendFailure::Refused));
            return;
        }
        self.at(self.now + wait_ms, missed(SendFailure::Unknown));
        if !self.peers_cut(host, to) && !self.is_lossy() {
            let at = self.now + self.trip();
            self.at(
                at,
                Happening::Call {
                    pending,
                    to,
                    envelope,
                },
            );
        }
    }

    fn peer_called(&mut self, pending: Pending, to: usize, envelope: Box<Envelope>) {
        self.tokens += 1;
        let token = self.tokens;
        let there = &mut self.hosts[to];
        let life = there.life;
        there.peers.insert(token, pending);
        let token = Token(token);
        self.give(to, life, Event::Peer { token, envelope });
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one action")]
    fn call_target(
        &mut self,
        host: usize,
        call: CallId,
        target: usize,
        id: Name,
        fence: u64,
        order: TargetCall,
        wait_ms: Millis,
    ) {
        let pending = self.expect(host, call);
        let missed = |why| Happening::Missed {
            pending,
            peer: false,
            why,
        };
        let cut = self.target_cut(host, target);
        if !cut && !self.targets[target].up {
            self.at(self.now + 1, missed(SendFailure::Refused));
            return;
        }
        if cut && self.rng.random() {
            self.at(self.now + wait_ms.min(150), missed(SendFailure::NotSent));
            return;
        }
        self.at(self.now + wait_ms, missed(SendFailure::Unknown));
        if cut {
            return;
        }
        let late = self.late > 0 && self.rng.random_bool(HIT);
        let lost = late || (self.lost_answers > 0 && self.rng.random_bool(HIT));
        let after = if late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.trip()
        };
        self.at(
            self.now + after,
            Happening::Target {
                pending,
                target,
                id,
                fence,
                order,
                lost,
            },
        );
    }

    fn target_called(
        &mut self,
        pending: Pending,
        index: usize,
        id: &Name,
        fence: u64,
        order: TargetCall,
        lost: bool,
    ) {
        self.advance(index);
        let target = &mut self.targets[index];
        if !target.up {
            return;
        }
        if target.entry.id != *id {
            self.target_replies(pending, lost, TargetReply::OtherLife);
            return;
        }
        let now = self.now;
        let reply = match order {
            TargetCall::Start(order) => self.start(index, fence, &order),
            TargetCall::Stop(key) => {
                let (reply, ended) = target.stop(now, fence, &key);
                if let Some(ended) = ended {
                    self.checks.ended(id, &ended.key, ended.how);
                }
                reply
            }
            TargetCall::Hold {
                until,
                noted,
                wait_ms,
            } => {
                if !target.hold(now, fence, until, noted) {
                    let clock = target.clock(now) as Millis;
                    TargetReply::Fenced { clock }
                } else if target.ended.is_empty() && wait_ms > 0 {
                    if !lost {
                        self.holds.push(WaitingHold {
                            pending,
                            target: index,
                            id: id.clone(),
                            until: now + wait_ms,
                        });
                    }
                    return;
                } else {
                    target.listing(now)
                }
            }
        };
        self.target_replies(pending, lost, reply);
    }

    fn target_replies(&mut self, pending: Pending, lost: bool, reply: TargetReply) {
        if !lost {
            let at = self.now + self.trip();
            self.at(at, Happening::TargetReply { pending, reply });
        }
    }

    fn start(&mut self, index: usize, fence: u64, order: &RunOrder) -> TargetReply {
        let now = self.now;
        let job = order.key.task.split('.').next().unwrap_or_default();
        let (room, estimate) = self.rooms[job];
        let spread: f64 = self.rng.random_range(-1.0..1.0) + self.rng.random_range(-0.5..0.5);
        let run = Run {
            room,
            left_ms: estimate as f64 * (spread * 0.5).exp(),
            fails: self.rng.random_bool(0.002),
        };
        let target = &mut self.targets[index];
        let (reply, begun) = target.start(now, fence, order, run);
        if begun {
            let id = target.entry.id.clone();
            let over = target.used_cpu() > target.entry.capacity.cpu;
            self.checks.started(now, &id, &order.key, over);
            self.check_leaving(&id);
        }
        reply
    }

    /// A host in touch heard long ago that the target leaves.
    fn check_leaving(&mut self, id: &Name) {
        let Some(since) = self.leaving_since.get(id).copied() else {
            return;
        };
        let calm = self.store_troubled < since && self.store_out == 0 && self.late == 0;
        if calm && self.now > since + self.scenario.bounds.drain_ms {
            self.checks.started_while_leaving(self.now, id);
        }
    }

    fn advance(&mut self, index: usize) {
        let ends = self.targets[index].advance(self.now);
        let id = self.targets[index].entry.id.clone();
        for ended in ends {
            self.checks.ended(&id, &ended.key, ended.how);
        }
    }

    fn step(&mut self) {
        for index in 0..self.targets.len() {
            self.advance(index);
        }
        let holds = std::mem::take(&mut self.holds);
        for hold in holds {
            let target = &self.targets[hold.target];
            let same = target.up && target.entry.id == hold.id;
            if same && target.ended.is_empty() && hold.until > self.now {
                self.holds.push(hold);
            } else if same && !self.target_cut(hold.pending.host, hold.target) {
                let reply = target.listing(self.now);
                self.target_replies(hold.pending, false, reply);
            }
        }
        self.at(self.now + STEP_MS, Happening::Step);
    }

    // Callers.

    fn new_job(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let number = self.callers.len() as u64;
        let caller = Caller::draw(&mut self.rng, number, self.now);
        let step = &caller.spec.steps[0];
        let work = (step.room, step.estimate_ms);
        self.rooms.insert(caller.id.clone(), work);
        let index = self.callers.len();
        self.at(caller.until, Happening::Deadline(index));
        if self.rng.random_bool(0.1) {
            let after = self.rng.random_range(10..600);
            self.at(self.now + after, Happening::Leave(index));
        }
        self.callers.push(caller);
        self.outcome.jobs += 1;
        self.at(self.now, Happening::Try(index));
        let gap = 1_000.0 / self.scenario.jobs_per_s;
        let gap = self.rng.random_range(0.0..2.0 * gap) as Millis;
        self.at(self.now + gap.max(1), Happening::NewJob);
    }

    fn try_at(&mut self, index: usize) {
        let caller = &self.callers[index];
        if caller.over || caller.until <= self.now {
            return;
        }
        let host = self.rng.random_range(0..self.hosts.len());
        if !self.hosts[host].up {
            self.come_again(index);
            return;
        }
        self.tokens += 1;
        let token = self.tokens;
        let submit = self.callers[index].submit(self.now);
        self.callers[index].waits_at = Some((host, token));
        self.callers[index].tried = self.now;
        let there = &mut self.hosts[host];
        there.callers.insert(token, index);
        let life = there.life;
        let token = Token(token);
        self.give(host, life, Event::Submit { token, submit });
    }

    fn come_again(&mut self, index: usize) {
        let again = self.now + self.scenario.bounds.retransmit_ms;
        self.at(again, Happening::Try(index));
    }

    fn answer(&mut self, host: usize, token: u64, answer: &Answer) {
        let Some(index) = self.hosts[host].callers.remove(&token) else {
            return;
        };
        self.callers[index].waits_at = None;
        if self.callers[index].over {
            return;
        }
        let (id, tasks) = (self.callers[index].id.clone(), self.callers[index].tasks);
        let seen = Some(answer);
        self.checks
            .answered(self.now, &id, tasks, MAX_ATTEMPTS, seen);
        let kind = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::Refused { .. } => "refused",
            Answer::NotReady => "not ready",
            Answer::Unfinished => "unfinished",
            _ => "other",
        };
        *self.outcome.answers.entry(kind).or_default() += 1;
        if *answer == Answer::Unfinished {
            self.come_again(index);
        } else {
            self.callers[index].over = true;
        }
    }

    /// A caller's connection broke without an answer.
    fn broken(&mut self, index: usize) {
        self.callers[index].waits_at = None;
        if !self.callers[index].over {
            let (id, tasks) = (self.callers[index].id.clone(), self.callers[index].tasks);
            self.checks
                .answered(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.come_again(index);
        }
    }

    fn deadline(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if let (false, Some((host, token))) = (caller.over, caller.waits_at) {
            let (id, tasks) = (caller.id.clone(), caller.tasks);
            // A host that stood still meanwhile may be late, and a try in the
            // last moment has no time for an answer.
            let there = &self.hosts[host];
            let frozen = there.frozen || there.woke >= self.callers[index].tried;
            let hurried = self.callers[index].tried + HURRY_MS > self.now;
            if !frozen && !hurried {
                self.checks.unanswered(self.now, &id);
            }
            self.checks
                .answered(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.gone(index, host, token);
        }
        self.callers[index].over = true;
    }

    fn leave(&mut self, index: usize) {
        let caller = &self.callers[index];
        if let (false, Some((host, token))) = (caller.over, caller.waits_at) {
            let (id, tasks) = (caller.id.clone(), caller.tasks);
            self.checks
                .answered(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.gone(index, host, token);
        }
        self.callers[index].over = true;
    }

    fn gone(&mut self, index: usize, host: usize, token: u64) {
        self.callers[index].over = true;
        self.callers[index].waits_at = None;
        self.hosts[host].callers.remove(&token);
        let token = Token(token);
        self.tell(host, 1, Event::CallerGone { token });
    }

    // Paths.

    fn peers_cut(&self, a: usize, b: usize) -> bool {
        let halls = self.halls_cut(self.hall_of_host(a), self.hall_of_host(b));
        halls || self.cut_peers.contains_key(&a) || self.cut_peers.contains_key(&b)
    }

    fn target_cut(&self, host: usize, target: usize) -> bool {
        let halls = self.halls_cut(self.hall_of_host(host), self.hall_of_target(target));
        halls || self.cut_targets.contains_key(&host) || self.cut_target.contains_key(&target)
    }

    fn halls_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut_halls.contains_key(&a) || self.cut_halls.contains_key(&b))
    }

    // Faults.

    fn fault(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let halls = self.scenario.halls;
        let fault = faults::draw(&mut self.rng, self.hosts.len(), self.targets.len(), halls);
        let length = faults::length(&mut self.rng);
        self.begin(fault, length);
        let gap = self.rng.random_range(0..2 * self.scenario.fault_gap_ms);
        self.at(self.now + gap, Happening::Fault);
    }

    fn begin(&mut self, fault: Fault, length: Millis) {
        let name = match fault {
            Fault::Kill(host) => {
                self.die(host, length.min(3_000));
                "kill"
            }
            Fault::KillAll => {
                for host in 0..self.hosts.len() {
                    self.die(host, length.min(1_500));
                }
                "kill all"
            }
            Fault::Freeze(host) => {
                self.hosts[host].frozen = true;
                "freeze"
            }
            Fault::Stop(host) => {
                self.tell(host, 0, Event::Stop);
                "stop"
            }
            Fault::CutPeers(host) => {
                *self.cut_peers.entry(host).or_default() += 1;
                "cut peers"
            }
            Fault::CutTargets(host) => {
                *self.cut_targets.entry(host).or_default() += 1;
                "cut targets"
            }
            Fault::CutHall(hall) => {
                *self.cut_halls.entry(hall).or_default() += 1;
                "cut hall"
            }
            Fault::CutTarget(target) => {
                *self.cut_target.entry(target).or_default() += 1;
                "cut target"
            }
            Fault::Crash(target) => {
                self.crash(target, length);
                "crash"
            }
            Fault::Moody(target, mood) => {
                self.targets[target].mood = mood;
                "moody"
            }
            Fault::Leave(target) => {
                self.target_leaves(target);
                "leave"
            }
            Fault::Late => {
                self.late += 1;
                "late"
            }
            Fault::LostAnswers => {
                self.lost_answers += 1;
                "lost answers"
            }
            Fault::LossyPeers => {
                self.lossy_peers += 1;
                "lossy peers"
            }
            Fault::StoreOut => {
                self.store_out += 1;
                self.store_troubled = self.now;
                for host in 0..self.hosts.len() {
                    self.tell(host, 20, Event::StoreReachable(false));
                }
                "store out"
            }
        };
        *self.outcome.faults.entry(name).or_default() += 1;
        if self.scenario.verbose {
            println!("{:6} fault {fault:?} for {length} ms", self.now);
        }
        self.at(self.now + length, Happening::Over(fault));
    }

    fn over(&mut self, fault: Fault) {
        match fault {
            Fault::Freeze(host) => self.wake(host),
            Fault::CutPeers(host) => lift(&mut self.cut_peers, host),
            Fault::CutTargets(host) => lift(&mut self.cut_targets, host),
            Fault::CutHall(hall) => lift(&mut self.cut_halls, hall),
            Fault::CutTarget(target) => lift(&mut self.cut_target, target),
            Fault::Moody(target, _) => self.targets[target].mood = Mood::Well,
            Fault::Late => self.late -= 1,
            Fault::LostAnswers => self.lost_answers -= 1,
            Fault::LossyPeers => self.lossy_peers -= 1,
            Fault::StoreOut => {
                self.store_out -= 1;
                if self.store_out == 0 {
                    self.store_back();
                }
            }
            _ => {}
        }
    }

    fn store_back(&mut self) {
        self.store_troubled = self.now;
        for host in 0..self.hosts.len() {
            self.tell(host, 20, Event::StoreReachable(true));
            let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
            self.tell(host, 21, Event::HostsRead(hosts));
            self.tell(host, 21, Event::QueuesRead(queues()));
            // Some entries lapsed meanwhile, and are back soon.
            let mut list = self.list();
            list.retain(|_| self.rng.random_bool(0.7));
            self.tell(host, 21, Event::TargetsRead(list));
            self.at(self.now + 1_500, Happening::ReadAgain(host));
        }
    }

    fn wake(&mut self, host: usize) {
        let there = &mut self.hosts[host];
        there.frozen = false;
        there.woke = self.now;
        let life = there.life;
        let queued = std::mem::take(&mut there.queue);
        for event in queued {
            self.give(host, life, event);
        }
        self.give(host, life, Event::Tick);
    }

    fn die(&mut self, host: usize, down_ms: Millis) {
        if !self.hosts[host].up {
            return;
        }
        let there = &mut self.hosts[host];
        there.up = false;
        there.frozen = false;
        there.queue.clear();
        there.peers.clear();
        let callers: Vec<usize> = there.callers.drain().map(|(_, caller)| caller).collect();
        let mut callers = callers;
        callers.sort_unstable();
        for caller in callers {
            self.broken(caller);
        }
        self.at(self.now + down_ms, Happening::Restart(host));
    }

    fn restart(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.welcome(host);
    }

    fn crash(&mut self, index: usize, length: Millis) {
        if !self.targets[index].up {
            return;
        }
        self.advance(index);
        let target = &mut self.targets[index];
        target.up = false;
        let id = target.entry.id.clone();
        let keys: Vec<_> = target.runs.keys().cloned().collect();
        for key in keys {
            let how = gannetridge_dispatch::event::ListedHow::Ended;
            self.checks.ended(&id, &key, how);
        }
        self.at(self.now + LAPSE_MS, Happening::Lapse(id));
        self.at(self.now + length, Happening::NewTarget(index));
    }

    fn replace_target(&mut self, index: usize) {
        self.targets[index] = self.new_target(index);
        self.targets[index].advance(self.now);
        let entry = self.targets[index].entry.clone();
        self.news(vec![TargetChange::There(entry)]);
    }

    fn target_leaves(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.up || target.entry.leaving {
            return;
        }
        target.entry.leaving = true;
        let entry = target.entry.clone();
        self.leaving_since.insert(entry.id.clone(), self.now);
        self.news(vec![TargetChange::There(entry)]);
    }

    fn news(&mut self, changes: Vec<TargetChange>) {
        if self.store_out == 0 {
            for host in 0..self.hosts.len() {
                self.tell(host, NEWS_MS, Event::TargetsChanged(changes.clone()));
            }
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

fn queues() -> Queues {
    Queues {
        version: 1,
        queues: vec![Queue {
            name: "turns".into(),
            host: "game.example".into(),
            prefix: "/turns/".into(),
            pool: "pool".into(),
            urgency: 0,
            max_attempts: MAX_ATTEMPTS,
            extension: 1.6,
            slack_ms: 60,
        }],
    }
}
