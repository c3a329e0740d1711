//! One host: events and the time go in, actions come out.

mod callers;
mod calls;
mod due;
mod placement;
mod requests;
mod rights;
mod stopping;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::decision::Decision;
use crate::event::{CallId, Event, RequestId, SendFailure, Submit};
use crate::jobs::{self, Jobs, WaitingTask};
use crate::message::{
    AttemptEnd, AttemptId, AttemptOutcome, Demand, Envelope, FreeResources, Heartbeat,
    HeartbeatReply, HostInfo, Priority, Reply, ReplyBody, Request, TaskOrder,
};
use crate::peers::{Peers, DEMAND_TTL_MS};
use crate::queues::Queues;
use crate::settings::{BoundsError, Settings, Times};
use crate::spec::{check_id, Resources};
use crate::targets::TargetLeases;
use crate::Millis;

/// Between looks at what is due.
const TICK_MS: Millis = 10;
/// Longest sleep where nothing is under way.
const IDLE_TICK_MS: Millis = 50;
/// Between looks at which targets are this host's.
const ASSIGNMENT_MS: Millis = 50;
/// After its start a host waits this long for news of others before it takes
/// targets.
const SETTLE_MS: Millis = 250;
/// How long a peer's reply is awaited.
const PEER_WAIT_MS: Millis = 300;
/// How long a reply to a request is awaited that may be sent again.
const RETRY_MS: Millis = 100;
/// Between wants that tell the same.
const ADVERTISE_INTERVAL_MS: Millis = 100;
/// The most waiting tasks that are looked at in one go.
const MAX_LOOKED_AT: usize = 64;
/// A stopping host stays at least for this part of its grace period, since
/// callers keep coming until the platform has seen that it isn't ready.
const STAYS_SHARE: f64 = 0.4;
/// It ends what is left this long before its grace period is over.
const LAST_WORD_MS: Millis = 500;

/// What a call to a peer was for.
enum Purpose {
    Heartbeat,
    Seed,
    Place(Vec<AttemptId>),
    Demand,
    Reservation,
    Stop,
    Ended,
    Queues,
}

/// The call numbers of peers are told from those of targets by this bit.
const PEER_CALLS: u64 = 1 << 63;

/// One host.
pub struct Dispatcher {
    settings: Settings,
    times: Times,
    own: HostInfo,
    queues: Option<Queues>,
    jobs: Jobs,
    targets: TargetLeases,
    peers: Peers,
    calls: HashMap<CallId, (Option<Name>, Purpose)>,
    last_call: u64,
    started: Option<Millis>,
    stopping: Option<Millis>,
    stopped: bool,
    next_tick: Millis,
    next_assignment: Millis,
    demand: Option<(Demand, Millis)>,
    fetching_queues: bool,
    out: Vec<Action>,
}

impl Dispatcher {
    /// Creates a host that knows nothing yet.
    ///
    /// # Errors
    ///
    /// Fails if the bounds leave no room for safe heartbeats.
    pub fn new(settings: Settings) -> Result<Self, BoundsError> {
        let times = settings.bounds.times()?;
        let jobs = Jobs::new(settings.safeguards);
        let own = HostInfo {
            name: settings.name.clone(),
            address: settings.address,
            hall: settings.hall.clone(),
            incarnation: settings.incarnation,
            processor_weight: settings.processor_weight,
        };
        Ok(Self {
            targets: TargetLeases::new(&settings, times),
            peers: Peers::new(own.clone(), &settings.seeds, times),
            settings,
            times,
            own,
            queues: None,
            jobs,
            calls: HashMap::new(),
            last_call: PEER_CALLS,
            started: None,
            stopping: None,
            stopped: false,
            next_tick: 0,
            next_assignment: 0,
            demand: None,
            fetching_queues: false,
            out: Vec::new(),
        })
    }

    /// Returns the host's identity.
    #[must_use]
    pub fn info(&self) -> &HostInfo {
        &self.own
    }

    /// Tells whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.queues.is_some() && self.stopping.is_none()
    }

    /// Returns the version of the configuration in force, 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.queues.as_ref().map_or(0, |queues| queues.version)
    }

    /// Returns how many jobs are under way, targets are known, targets are
    /// kept, and runs are in the books.
    #[must_use]
    pub fn counts(&self) -> [usize; 4] {
        let (known, leased) = self.targets.counts();
        [self.jobs.len(), known, leased, self.targets.attempts()]
    }

    /// Returns how many peers are taken to live.
    #[must_use]
    pub fn live_peers(&self, now: Millis) -> usize {
        let intervals = self.peers.intervals();
        let peers = self.peers.all.values();
        peers.filter(|peer| peer.is_alive(now, &intervals)).count()
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.peers.set_seeds(seeds);
    }

    /// Returns when the next timer is due.
    #[must_use]
    pub fn next_timer(&self) -> Millis {
        self.next_tick
    }

    /// Takes an event in and returns what is to be done.
    ///
    /// Rights are looked at first: whatever lapsed while the process stood
    /// still is lost before the event can use it.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        self.started.get_or_insert(now);
        self.expire_leases(now);
        self.take(now, event);
        if self.next_tick <= now {
            self.tick(now);
        }
        self.settle(now);
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, now: Millis, event: Event) {
        match event {
            Event::Submit { request_id, submit } => self.submit(now, request_id, *submit),
            Event::Ask {
                request_id,
                host,
                path,
            } => self.ask(request_id, &host, &path),
            Event::Cancel {
                request_id,
                host,
                path,
            } => self.cancel(now, request_id, &host, &path),
            Event::CallerGone { request_id } => self.jobs.caller_gone(now, request_id),
            Event::Peer {
                request_id,
                envelope,
            } => self.peer_asks(now, request_id, *envelope),
            Event::PeerReply { call, reply } => self.peer_replied(now, call, reply.map(|r| *r)),
            Event::TargetReply { call, reply } => self.targets.replied(now, call, reply),
            Event::TargetsChanged(changes) => self.targets.change(now, changes),
            Event::TargetsRead(entries) => self.targets.read(now, entries),
            Event::StoreReachable(reachable) => {
                self.targets.store_reachable(now, reachable);
                self.out.push(Action::Record(Decision::Store { reachable }));
            }
            Event::QueuesRead(queues) => self.use_queues(queues, "store"),
            Event::HostsRead(hosts) => {
                for host in &hosts {
                    self.peers.learn(now, host);
                }
            }
            Event::Tick => {}
            Event::Stop => self.stop(now),
        }
    }

    fn use_queues(&mut self, queues: Queues, from: &'static str) {
        if queues.version > self.version() || self.queues.is_none() {
            let version = queues.version;
            self.queues = Some(queues);
            self.out
                .push(Action::Record(Decision::Queues { version, from }));
        }
    }
}
