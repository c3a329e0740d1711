//! One host: events and the time go in, actions come out.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::event::{CallId, Event, SendFailure, Submit, Token};
use crate::jobs::{self, Jobs, WaitingTask};
use crate::keeper::Keeper;
use crate::message::{
    Beat, BeatReply, End, Envelope, FreeRoom, HostInfo, Reply, ReplyBody, Request, RunEnd, RunKey,
    TaskOrder, Urge, Want,
};
use crate::note::Note;
use crate::peers::{Peers, WANT_MS};
use crate::queues::Queues;
use crate::settings::{BoundsError, Settings, Times};
use crate::spec::check_id;
use crate::Millis;

/// Between looks at what is due.
const TICK_MS: Millis = 10;
/// Longest sleep where nothing is under way.
const IDLE_TICK_MS: Millis = 50;
/// After its start a host waits this long for news of others before it takes
/// targets.
const SETTLE_MS: Millis = 250;
/// How long a peer's reply is awaited.
const PEER_WAIT_MS: Millis = 300;
/// How long a reply to a request is awaited that may be sent again.
const RETRY_MS: Millis = 100;
/// Between wants that tell the same.
const WANT_PAUSE_MS: Millis = 100;
/// The most waiting tasks that are looked at in one go.
const MAX_LOOKED_AT: usize = 64;
/// A stopping host stays at least for this part of its grace period, since
/// callers keep coming until the platform has seen that it isn't ready.
const STAYS_SHARE: f64 = 0.4;
/// It ends what is left this long before its grace period is over.
const LAST_WORD_MS: Millis = 500;

/// What a call to a peer was for.
enum Purpose {
    Beat,
    Seed,
    Place(Vec<RunKey>),
    Want,
    Offer,
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
    keeper: Keeper,
    peers: Peers,
    calls: HashMap<CallId, (Option<Name>, Purpose)>,
    last_call: u64,
    started: Option<Millis>,
    stopping: Option<Millis>,
    stopped: bool,
    next_tick: Millis,
    want: Option<(Want, Millis)>,
    fetching: bool,
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
        };
        Ok(Self {
            keeper: Keeper::new(&settings, times),
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
            want: None,
            fetching: false,
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
        let (known, kept) = self.keeper.counts();
        [self.jobs.len(), known, kept, self.keeper.runs()]
    }

    /// Returns how many peers are taken to live.
    #[must_use]
    pub fn live_peers(&self, now: Millis) -> usize {
        let peers = self.peers.all.values();
        peers.filter(|peer| peer.is_alive(now, &self.times)).count()
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
        self.lose_lapsed(now);
        self.take(now, event);
        if self.next_tick <= now {
            self.tick(now);
        }
        self.settle(now);
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, now: Millis, event: Event) {
        match event {
            Event::Submit { token, submit } => self.submit(now, token, *submit),
            Event::Ask { token, host, path } => self.ask(token, &host, &path),
            Event::Cancel { token, host, path } => self.cancel(now, token, &host, &path),
            Event::CallerGone { token } => self.jobs.caller_gone(now, token),
            Event::Peer { token, envelope } => self.peer_asks(now, token, *envelope),
            Event::PeerReply { call, reply } => self.peer_replied(now, call, reply.map(|r| *r)),
            Event::TargetReply { call, reply } => self.keeper.replied(now, call, reply),
            Event::TargetsChanged(changes) => self.keeper.change(now, changes),
            Event::TargetsRead(entries) => self.keeper.read(now, entries),
            Event::StoreReachable(reachable) => {
                self.keeper.store_reachable(now, reachable);
                self.out.push(Action::Note(Note::Store { reachable }));
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
            self.out.push(Action::Note(Note::Queues { version, from }));
        }
    }

    // Callers.

    fn answer(&mut self, token: Token, answer: Answer) {
        self.out.push(Action::Answer { token, answer });
    }

    fn reject(&mut self, token: Token, path: &Name, answer: Answer, reason: &'static str) {
        self.out.push(Action::Note(Note::JobRejected {
            path: path.clone(),
            reason,
            version: self.version(),
        }));
        self.answer(token, answer);
    }

    fn submit(&mut self, now: Millis, token: Token, submit: Submit) {
        let path = submit.path.clone();
        let Some(queues) = &self.queues else {
            return self.reject(token, &path, Answer::NotReady, "no configuration");
        };
        let Some(queue) = queues.find(&submit.host, &path).cloned() else {
            return self.reject(token, &path, Answer::NoQueue, "no such queue");
        };
        let id: Name = path[queue.prefix.len()..].into();
        let checked = check_id(&id).and_then(|()| submit.spec.check());
        if let Err(error) = checked {
            return self.reject(token, &path, Answer::Bad(error), "bad job");
        }
        if self.jobs.state(&id).is_none()
            && self.ends_before(now, queue.aim(submit.spec.chain_ms()))
        {
            let answer = Answer::Refused {
                retry_after_ms: self.settings.bounds.grace_period_ms,
            };
            return self.reject(token, &path, answer, "stopping");
        }
        let version = self.version();
        self.jobs
            .submit(now, token, id.clone(), submit, &queue, version);
        self.refuse_if_too_large(now, &id);
    }

    /// Ends a job that no known target could ever run.
    fn refuse_if_too_large(&mut self, now: Millis, id: &Name) {
        if self.keeper.counts().0 == 0 {
            return;
        }
        let mut steps = self.jobs.samples(id).into_iter();
        let too_large = steps.any(|order| !self.keeper.could_run(&order));
        if too_large {
            self.jobs.too_large(now, id);
        }
    }

    /// Tells whether the host, if it is stopping, ends before a job of this
    /// aim does.
    fn ends_before(&self, now: Millis, aim: Millis) -> bool {
        let grace = self.settings.bounds.grace_period_ms;
        let last = self.stopping.map(|since| since + grace - LAST_WORD_MS);
        last.is_some_and(|last| now + aim >= last)
    }

    fn ask(&mut self, token: Token, host: &Name, path: &Name) {
        let Some(queues) = &self.queues else {
            return self.answer(token, Answer::NotReady);
        };
        let Some(queue) = queues.find(host, path) else {
            return self.answer(token, Answer::NoQueue);
        };
        let id: Name = path[queue.prefix.len()..].into();
        let answer = if id.is_empty() {
            Answer::Pending(self.jobs.pending(&queue.name))
        } else {
            self.jobs.state(&id).unwrap_or(Answer::NoJob)
        };
        self.answer(token, answer);
    }

    fn cancel(&mut self, now: Millis, token: Token, host: &Name, path: &Name) {
        let Some(queues) = &self.queues else {
            return self.answer(token, Answer::NotReady);
        };
        let Some(queue) = queues.find(host, path) else {
            return self.answer(token, Answer::NoQueue);
        };
        let id: Name = path[queue.prefix.len()..].into();
        let known = self.jobs.cancel(now, &id);
        let answer = if known {
            Answer::Cancelled
        } else {
            Answer::NoJob
        };
        self.answer(token, answer);
    }

    // Rights that lapse.

    fn lose_lapsed(&mut self, now: Millis) {
        let mut unvouched = Vec::new();
        let mut lost = Vec::new();
        for (name, peer) in &mut self.peers.all {
            if !peer.lapsed && peer.vouched_until <= now {
                peer.lapsed = true;
                peer.want = None;
                unvouched.push(name.clone());
            }
            let alive = peer.is_alive(now, &self.times);
            if peer.lived && !alive {
                lost.push(name.clone());
            }
            if peer.lived != alive {
                peer.lived = alive;
                self.out.push(Action::Note(Note::Peer {
                    peer: name.clone(),
                    state: if alive { "lives" } else { "silent" },
                    silent_ms: now.saturating_sub(peer.heard),
                }));
            }
        }
        let lapses = self.settings.safeguards.vouches_lapse;
        for name in unvouched.into_iter().filter(|_| lapses) {
            self.keeper.stop_owner(now, &name, u64::MAX, "owner silent");
        }
        for name in lost {
            self.lose_session(now, &name);
        }
    }

    /// Gives all runs at a peer up.
    fn lose_session(&mut self, now: Millis, name: &Name) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        let mut over = peer.acked.unwrap_or(now) + self.times.over;
        if !self.settings.safeguards.lost_runs_are_waited_for {
            over = now;
        }
        peer.session += 1;
        peer.stops.clear();
        peer.stopping = None;
        peer.free.clear();
        let runs = self.jobs.peer_lost(name, over);
        if runs > 0 {
            self.out.push(Action::Note(Note::SessionLost {
                peer: name.clone(),
                runs,
                over_in_ms: over.saturating_sub(now),
            }));
        }
    }

    // Peers' requests.

    fn peer_asks(&mut self, now: Millis, token: Token, envelope: Envelope) {
        let name = envelope.from.name.clone();
        self.peers.learn(now, &envelope.from);
        let Some(peer) = self.peers.all.get_mut(&name) else {
            return;
        };
        if envelope.from.incarnation < peer.info.incarnation {
            return self.reply(now, token, ReplyBody::Stale);
        }
        peer.heard = now;
        if peer.their_session != envelope.session {
            let newer = envelope.session > peer.their_session;
            if newer {
                peer.their_session = envelope.session;
                self.keeper
                    .stop_owner(now, &name, envelope.session, "owner's new session");
            } else {
                return self.reply(now, token, ReplyBody::Stale);
            }
        }
        let peer = self.peers.all.get_mut(&name).expect("just found");
        if let Some(echo) = envelope.echo {
            if echo.incarnation == self.own.incarnation && echo.clock <= now {
                let until = echo.clock + self.times.vouch;
                peer.vouched_until = peer.vouched_until.max(until);
                peer.lapsed &= until <= now;
            }
        }
        let vouched = !peer.lapsed;
        let session = envelope.session;
        let body = match envelope.request {
            Request::Beat(beat) => self.beaten(now, &name, &beat),
            Request::Place(orders) if vouched => self.asked_to_place(now, &name, session, &orders),
            Request::Place(_) => ReplyBody::Stale,
            Request::Want(want) => {
                let peer = self.peers.all.get_mut(&name).expect("just found");
                peer.want = want.map(|want| (want, now, now + WANT_MS));
                ReplyBody::Noted
            }
            Request::Offer(free) => self.offered(now, &name, free),
            Request::Stop { keys, report } => {
                let missing = self.keeper.stop(now, &name, &keys, report, "asked");
                if report {
                    self.tell_lost(&name, &missing);
                }
                ReplyBody::Noted
            }
            Request::Ended(ends) => {
                for end in &ends {
                    self.jobs.run_ended(now, end);
                }
                ReplyBody::Noted
            }
            Request::Queues => ReplyBody::Queues(self.queues.clone()),
        };
        self.reply(now, token, body);
    }

    fn reply(&mut self, now: Millis, token: Token, body: ReplyBody) {
        let reply = Reply {
            incarnation: self.own.incarnation,
            clock: now,
            free: self.spare(now),
            body,
        };
        let reply = Box::new(reply);
        self.out.push(Action::Reply { token, reply });
    }

    /// Returns the room that peers may fill.
    fn spare(&self, now: Millis) -> Vec<FreeRoom> {
        if self.stopping.is_some() {
            return Vec::new();
        }
        self.keeper.free(now)
    }

    fn beaten(&mut self, now: Millis, name: &Name, beat: &Beat) -> ReplyBody {
        let hosts = if beat.hosts_hash == self.peers.hash() {
            Vec::new()
        } else {
            self.peers.hosts()
        };
        if let Some(peer) = self.peers.all.get_mut(name) {
            peer.leaving = beat.leaving;
            peer.version = beat.version;
            peer.next_beat = peer.next_beat.min(if peer.acked.is_none() {
                now
            } else {
                peer.next_beat
            });
        }
        ReplyBody::Beat(BeatReply {
            leaving: self.stopping.is_some(),
            version: self.version(),
            kept: self.keeper.kept(),
            hosts,
        })
    }

    fn asked_to_place(
        &mut self,
        now: Millis,
        name: &Name,
        session: u64,
        orders: &[TaskOrder],
    ) -> ReplyBody {
        let mut taken = Vec::new();
        for (index, order) in orders.iter().enumerate() {
            let open = self.stopping.is_none();
            if open && self.keeper.place(now, name, session, order) {
                taken.push(index as u32);
            }
        }
        self.keeper.end_offers(name);
        ReplyBody::Placed(taken)
    }

    fn tell_lost(&mut self, name: &Name, keys: &[RunKey]) {
        if let Some(peer) = self.peers.all.get_mut(name) {
            let ends = keys.iter().map(|key| RunEnd {
                key: key.clone(),
                end: End::Lost,
                target: "".into(),
            });
            peer.ends.extend(ends);
        }
    }

    /// A peer keeps room free for waiting tasks: those that fit are sent.
    fn offered(&mut self, now: Millis, name: &Name, free: FreeRoom) -> ReplyBody {
        let mut room = free.room;
        let mut orders = Vec::new();
        for task in self.jobs.waiting(now, MAX_LOOKED_AT) {
            if room.fits(&task.room) && *self.jobs.pool(&task.job) == free.pool {
                room = room.less(&task.room);
                orders.push(self.jobs.order(&task.job, task.index));
                self.jobs.asked(now, &task.job, task.index, name);
            }
        }
        let interested = !orders.is_empty();
        if interested {
            self.send_place(now, name, orders);
        }
        ReplyBody::Interested(interested)
    }

    // Calls to peers.

    fn call_peer(&mut self, name: &Name, request: Request, purpose: Purpose) -> Option<CallId> {
        let peer = self.peers.all.get(name)?;
        let address = peer.info.address;
        let (session, echo) = (peer.session, peer.echo);
        let call = self.send(address, session, echo, request);
        self.calls.insert(call, (Some(name.clone()), purpose));
        Some(call)
    }

    fn send(
        &mut self,
        address: SocketAddr,
        session: u64,
        echo: Option<crate::message::Echo>,
        request: Request,
    ) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let envelope = Envelope {
            from: self.own.clone(),
            session,
            echo,
            request,
        };
        self.out.push(Action::Call {
            call,
            address,
            envelope: Box::new(envelope),
            wait_ms: PEER_WAIT_MS,
        });
        call
    }

    fn send_place(&mut self, now: Millis, name: &Name, orders: Vec<TaskOrder>) {
        let keys: Vec<RunKey> = orders.iter().map(|order| order.key.clone()).collect();
        if let (Some(first), Some(peer)) = (keys.first(), self.peers.all.get(name)) {
            self.out.push(Action::Note(Note::Asked {
                peer: name.clone(),
                first: first.clone(),
                tasks: keys.len(),
                age_ms: now.saturating_sub(peer.free_at),
            }));
        }
        self.call_peer(name, Request::Place(orders), Purpose::Place(keys));
    }

    fn peer_replied(&mut self, now: Millis, call: CallId, reply: Result<Reply, SendFailure>) {
        let Some((name, purpose)) = self.calls.remove(&call) else {
            return;
        };
        let Some(name) = name else {
            return self.seed_replied(now, reply);
        };
        if let Ok(reply) = &reply {
            if self.peers.replied(now, &name, reply) {
                self.lose_session(now, &name);
            }
            if let Some(peer) = self.peers.all.get_mut(&name) {
                if !matches!(reply.body, ReplyBody::Stale) {
                    peer.acked = Some(now);
                }
            }
        } else if let (Err(SendFailure::Refused), Some(peer)) =
            (&reply, self.peers.all.get_mut(&name))
        {
            peer.refused = true;
        }
        self.purpose_replied(now, call, &name, purpose, reply);
    }

    fn seed_replied(&mut self, now: Millis, reply: Result<Reply, SendFailure>) {
        if let Ok(Reply {
            body: ReplyBody::Beat(beat),
            ..
        }) = reply
        {
            for host in &beat.hosts {
                self.peers.learn(now, host);
            }
        }
    }

    fn purpose_replied(
        &mut self,
        now: Millis,
        call: CallId,
        name: &Name,
        purpose: Purpose,
        reply: Result<Reply, SendFailure>,
    ) {
        match purpose {
            Purpose::Beat => {
                if let Ok(Reply {
                    body: ReplyBody::Beat(beat),
                    ..
                }) = &reply
                {
                    self.peers.beat_replied(now, name, beat);
                    self.fetch_queues(name);
                }
            }
            Purpose::Seed | Purpose::Want => {}
            Purpose::Place(keys) => self.place_replied(now, name, &keys, reply),
            Purpose::Offer => {
                let interested = matches!(
                    reply,
                    Ok(Reply {
                        body: ReplyBody::Interested(true),
                        ..
                    })
                );
                if !interested {
                    self.keeper.end_offers(name);
                    if let Some(peer) = self.peers.all.get_mut(name) {
                        peer.want = None;
                    }
                }
            }
            Purpose::Stop => self.stop_replied(now, call, name, reply.is_ok()),
            Purpose::Ended => self.ended_replied(now, call, name, reply.is_ok()),
            Purpose::Queues => {
                self.fetching = false;
                if let Ok(Reply {
                    body: ReplyBody::Queues(Some(queues)),
                    ..
                }) = reply
                {
                    self.use_queues(queues, "peer");
                }
            }
        }
    }

    fn place_replied(
        &mut self,
        now: Millis,
        name: &Name,
        keys: &[RunKey],
        reply: Result<Reply, SendFailure>,
    ) {
        let taken = match reply {
            Ok(Reply {
                body: ReplyBody::Placed(taken),
                ..
            }) => taken,
            Ok(_) | Err(SendFailure::Refused | SendFailure::NotSent) => Vec::new(),
            Err(SendFailure::Unknown) => {
                // The end of each is told: of those that never came, at once.
                if let Some(peer) = self.peers.all.get_mut(name) {
                    peer.stops
                        .extend(keys.iter().map(|key| (key.clone(), true)));
                }
                return;
            }
        };
        for (index, key) in keys.iter().enumerate() {
            let taken = taken.contains(&(index as u32));
            self.jobs.placed(now, key, name, taken);
        }
    }

    fn stop_replied(&mut self, now: Millis, call: CallId, name: &Name, noted: bool) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        if let Some((_, stops)) = peer.stopping.take_if(|(current, _)| *current == call) {
            if !noted {
                peer.stops.extend(stops);
                peer.retry_at = now + RETRY_MS;
            }
        }
    }

    fn ended_replied(&mut self, now: Millis, call: CallId, name: &Name, noted: bool) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        if let Some((_, ends)) = peer.telling.take_if(|(current, _)| *current == call) {
            if !noted {
                peer.ends.extend(ends);
                peer.retry_at = now + RETRY_MS;
            }
        }
    }

    fn fetch_queues(&mut self, name: &Name) {
        let newer = self.peers.all.get(name).map_or(0, |peer| peer.version) > self.version();
        if newer && !self.fetching {
            let call = self.call_peer(name, Request::Queues, Purpose::Queues);
            self.fetching = call.is_some();
        }
    }

    // What is due.

    fn tick(&mut self, now: Millis) {
        self.next_tick = now + IDLE_TICK_MS;
        self.jobs.tick(now);
        let may_take = self.started.is_some_and(|at| at + SETTLE_MS <= now);
        let staying = self.staying(now);
        let peers = &self.peers;
        self.keeper
            .assign(now, &staying, |id| peers.is_kept(now, id), may_take);
        self.keeper.tick(now);
        self.send_beats(now);
        self.peers.forget(now);
        self.stop_if_done(now);
    }

    /// Returns the hosts that share the targets: those that stay, or this one
    /// alone where no other does.
    fn staying(&self, now: Millis) -> Vec<HostInfo> {
        let staying = self.peers.staying(now, self.stopping.is_none());
        if staying.is_empty() {
            return vec![self.own.clone()];
        }
        staying
    }

    /// Tells whether new tasks may be started on this host's targets: not
    /// while it is stopping, unless no other host could.
    fn starts_here(&self, now: Millis) -> bool {
        self.stopping.is_none() || self.peers.staying(now, false).is_empty()
    }

    fn send_beats(&mut self, now: Millis) {
        let (peers, seeds) = (self.peers.beats_due(now), self.peers.seeds_due(now));
        if peers.is_empty() && seeds.is_empty() {
            return;
        }
        let beat = Beat {
            leaving: self.stopping.is_some(),
            version: self.version(),
            hosts_hash: self.peers.hash(),
        };
        for name in peers {
            self.call_peer(&name, Request::Beat(beat.clone()), Purpose::Beat);
        }
        for seed in seeds {
            let call = self.send(seed, 0, None, Request::Beat(beat.clone()));
            self.calls.insert(call, (None, Purpose::Seed));
        }
    }

    /// Hands on what the parts have left, until nothing moves.
    fn settle(&mut self, now: Millis) {
        self.deliver_reports(now);
        self.schedule(now);
        self.deliver_stops(now);
        self.deliver_reports(now);
        self.send_outboxes(now);
        self.keeper.send_holds(now);
        let busy = !self.jobs.is_empty() || self.keeper.runs() > 0;
        if busy {
            self.next_tick = self.next_tick.min(now + TICK_MS);
        }
        self.out.append(&mut self.jobs.out);
        self.out.append(&mut self.keeper.out);
    }

    fn deliver_reports(&mut self, now: Millis) {
        for report in self.keeper.take_reports() {
            self.out.push(Action::Note(Note::RunEnded {
                key: report.end.key.clone(),
                target: report.end.target.clone(),
                end: report.end.end,
                by: report.by,
                took_ms: report.took_ms,
            }));
            if report.owner == self.own.name {
                self.jobs.run_ended(now, &report.end);
            } else if let Some(peer) = self.peers.all.get_mut(&report.owner) {
                let current = peer.their_session == report.session && !peer.lapsed;
                if report.wanted && current {
                    peer.ends.push(report.end);
                }
            }
        }
    }

    fn deliver_stops(&mut self, now: Millis) {
        for (peer, key) in std::mem::take(&mut self.jobs.stops) {
            match peer {
                None => {
                    let own = self.own.name.clone();
                    self.keeper.stop(now, &own, &[key], false, "job ended");
                }
                Some(name) => {
                    if let Some(peer) = self.peers.all.get_mut(&name) {
                        peer.stops.push((key, false));
                    }
                }
            }
        }
    }

    fn send_outboxes(&mut self, now: Millis) {
        let peers = self.peers.all.iter();
        let busy = peers.filter(|(_, peer)| !peer.ends.is_empty() || !peer.stops.is_empty());
        let names: Vec<Name> = busy.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.send_ends(now, &name);
            self.send_stops(now, &name);
        }
    }

    fn send_ends(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.all.get_mut(name).expect("the peer is known");
        if peer.lapsed {
            // Its runs are given up there as well.
            peer.ends.clear();
            return;
        }
        if peer.ends.is_empty() || peer.telling.is_some() || peer.retry_at > now {
            return;
        }
        let ends = std::mem::take(&mut peer.ends);
        let call = self.call_peer(name, Request::Ended(ends.clone()), Purpose::Ended);
        let peer = self.peers.all.get_mut(name).expect("the peer is known");
        peer.telling = call.map(|call| (call, ends));
    }

    fn send_stops(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.all.get_mut(name).expect("the peer is known");
        if peer.stops.is_empty() || peer.stopping.is_some() || peer.retry_at > now {
            return;
        }
        // One request carries stops of one sort.
        let report = peer.stops[0].1;
        let (now_sent, later): (Vec<_>, Vec<_>) = std::mem::take(&mut peer.stops)
            .into_iter()
            .partition(|(_, other)| *other == report);
        peer.stops = later;
        let keys = now_sent.iter().map(|(key, _)| key.clone()).collect();
        let call = self.call_peer(name, Request::Stop { keys, report }, Purpose::Stop);
        let peer = self.peers.all.get_mut(name).expect("the peer is known");
        peer.stopping = call.map(|call| (call, now_sent));
    }

    // Placement.

    /// Finds room for what waits, here and at peers, the most urgent first.
    fn schedule(&mut self, now: Millis) {
        if self.jobs.none_waits() {
            return self.serve_wants(now, None);
        }
        let own = self.own.name.clone();
        let starts_here = self.starts_here(now);
        let mut left: Vec<WaitingTask> = Vec::new();
        let mut batches: BTreeMap<Name, Vec<TaskOrder>> = BTreeMap::new();
        for task in self.jobs.waiting(now, MAX_LOOKED_AT) {
            self.serve_wants(now, Some(&task));
            let here = starts_here && self.keeper.may_fit(now, &task.room);
            let there = task.may_ask && self.peers.may_fit(now, &task.room);
            if !here && !there {
                left.push(task);
                continue;
            }
            let order = self.jobs.order(&task.job, task.index);
            if here && self.keeper.place(now, &own, 0, &order) {
                self.jobs.started(now, &task.job, task.index);
                continue;
            }
            let peer = there.then(|| self.peers.with_room(now, &order));
            if let Some(peer) = peer.flatten() {
                self.jobs.asked(now, &task.job, task.index, &peer);
                batches.entry(peer).or_default().push(order);
            } else {
                left.push(task);
            }
        }
        self.serve_wants(now, None);
        for (peer, orders) in batches {
            self.send_place(now, &peer, orders);
        }
        self.tell_want(now, &left);
    }

    /// Offers room to peers whose wants are more urgent than a task here.
    fn serve_wants(&mut self, now: Millis, next: Option<&WaitingTask>) {
        let wanted = self.peers.all.values().any(|peer| peer.want.is_some());
        if self.stopping.is_some() || !wanted {
            return;
        }
        loop {
            let wants = self.peers.all.iter().filter_map(|(name, peer)| {
                let (want, heard, until) = peer.want.as_ref()?;
                let open = *until > now && peer.takes_tasks(now, &self.times) && !peer.lapsed;
                let urge = Urge {
                    rank: want.urge.rank,
                    slack_ms: want.urge.slack_ms - now.saturating_sub(*heard) as i64,
                };
                open.then_some((urge, name, want))
            });
            let first =
                wants.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
            let Some((urge, name, want)) = first else {
                return;
            };
            if next.is_some_and(|task| task.urge <= urge) {
                return;
            }
            let (name, want) = (name.clone(), want.clone());
            let Some(free) = self.keeper.offer(now, &name, &want) else {
                return;
            };
            self.call_peer(&name, Request::Offer(free), Purpose::Offer);
            // The next offer to it waits until it says again what it wants.
            if let Some(peer) = self.peers.all.get_mut(&name) {
                if let Some((want, _, _)) = &mut peer.want {
                    want.count = want.count.saturating_sub(1);
                    if want.count == 0 {
                        peer.want = None;
                    }
                }
            }
        }
    }

    fn tell_want(&mut self, now: Millis, left: &[WaitingTask]) {
        let Some(first) = left.first() else {
            return;
        };
        let pool = self.jobs.pool(&first.job).clone();
        let same_pool = left
            .iter()
            .filter(|task| *self.jobs.pool(&task.job) == pool);
        let same_pool: Vec<WaitingTask> = same_pool.cloned().collect();
        let Some(want) = jobs::want(&same_pool, &pool) else {
            return;
        };
        let told = self.want.as_ref().is_some_and(|(told, at)| {
            let more_urgent = want.urge.rank < told.urge.rank || want.count > told.count;
            at + WANT_PAUSE_MS > now && !more_urgent
        });
        if told {
            return;
        }
        self.want = Some((want.clone(), now));
        let names: Vec<Name> = self.peers.all.keys().cloned().collect();
        for name in names {
            let alive = self.peers.all[&name].takes_tasks(now, &self.times);
            if alive {
                self.call_peer(&name, Request::Want(Some(want.clone())), Purpose::Want);
            }
        }
    }

    // The end.

    fn stop(&mut self, now: Millis) {
        if self.stopping.is_some() {
            return;
        }
        self.stopping = Some(now);
        for peer in self.peers.all.values_mut() {
            peer.next_beat = now;
        }
        self.next_tick = now;
    }

    fn stop_if_done(&mut self, now: Millis) {
        let Some(since) = self.stopping else {
            return;
        };
        let grace = self.settings.bounds.grace_period_ms;
        let stays = since + (grace as f64 * STAYS_SHARE) as Millis;
        let idle = self.jobs.is_empty() && self.keeper.runs() == 0;
        let last = since + grace.saturating_sub(LAST_WORD_MS);
        if now >= last && !self.jobs.is_empty() {
            self.jobs.end_all(now);
        }
        if !self.stopped && ((now >= stays && idle) || now >= last) {
            self.stopped = true;
            self.out.append(&mut self.jobs.out);
            self.out.push(Action::Stopped);
        }
    }
}
