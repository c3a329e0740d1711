//! What a host asks of its peers, and their replies.
//!
//! Owns the calls that are on their way. Every reply proves that the peer lives and
//! brings its clock and its free resources; what else it says depends on the request. One
//! that was on its way while this host stood still may be old: it proves nothing of the
//! peer's present.

use std::collections::HashMap;
use std::net::SocketAddr;

use gannetridge_wire::Name;

use crate::action::Action;
use crate::decision::{ConfigurationSource, Decision};
use crate::event::{CallId, SendFailure};
use crate::message::{
    AttemptId, EchoedClock, Envelope, HolderLoad, Reply, ReplyBody, Request, TaskOrder,
};
use crate::peers::StopRequest;
use crate::Millis;

use super::Dispatcher;

/// How long a peer's reply is awaited, in ms.
const PEER_WAIT_MS: Millis = 300;
/// Before a request that had no reply is sent again, in ms.
pub(super) const PEER_RETRY_MS: Millis = 100;
/// Marks the numbers of calls to peers: calls to targets have theirs without it.
const PEER_CALLS: u64 = 1 << 63;

/// The session of calls to a seed, whose host isn't known yet: below all others.
pub(super) const SEED_SESSION: u64 = 0;

/// What a call to a peer is for.
pub(super) enum Purpose {
    Heartbeat,
    Place(Vec<AttemptId>),
    HandOver(Vec<AttemptId>),
    Room,
    Demand,
    Reservation,
    Stop,
    Ended,
    Crashes,
    Configuration,
    StoreUpdates {
        /// When it was sent.
        asked: Millis,
    },
}

/// Whom a call went to.
enum Callee {
    /// A seed, whose host isn't known yet.
    Seed,
    Peer {
        name: Name,
        purpose: Purpose,
    },
}

/// A call that is on its way.
struct OpenCall {
    callee: Callee,
    sent: Millis,
    /// Whether this host stood still since: the reply may be old.
    before_pause: bool,
}

/// The calls to peers that are on their way.
#[derive(Default)]
pub(super) struct PeerCalls {
    open: HashMap<CallId, OpenCall>,
    last: u64,
    /// Whether a peer is being asked for its configuration.
    fetching_configuration: bool,
}

impl PeerCalls {
    fn begin(&mut self, sent: Millis, callee: Callee) -> CallId {
        self.last += 1;
        let call = CallId(PEER_CALLS | self.last);
        let open = OpenCall {
            callee,
            sent,
            before_pause: false,
        };
        self.open.insert(call, open);
        call
    }

    /// Doubts the replies to all calls that are on their way, since this host stood still.
    pub(super) fn doubt(&mut self) {
        for open in self.open.values_mut() {
            open.before_pause = true;
        }
    }
}

impl Dispatcher {
    /// Calls a peer; returns none if it isn't known.
    pub(super) fn call_peer(
        &mut self,
        now: Millis,
        name: &Name,
        request: Request,
        purpose: Purpose,
    ) -> Option<CallId> {
        let peer = self.peers.get_mut(name)?;
        peer.record_request(now);
        let (address, session) = (peer.info.address, peer.session);
        let echoed_clock = peer.echoed_clock;
        let callee = Callee::Peer {
            name: name.clone(),
            purpose,
        };
        let call = self.calls.begin(now, callee);
        self.send(now, call, address, session, echoed_clock, request);
        Some(call)
    }

    pub(super) fn call_seed(&mut self, now: Millis, seed: SocketAddr, request: Request) {
        let call = self.calls.begin(now, Callee::Seed);
        self.send(now, call, seed, SEED_SESSION, None, request);
    }

    fn send(
        &mut self,
        now: Millis,
        call: CallId,
        address: SocketAddr,
        session: u64,
        echoed_clock: Option<EchoedClock>,
        request: Request,
    ) {
        let envelope = Envelope {
            from: self.own.clone(),
            session,
            echoed_clock,
            clock: now,
            request,
        };
        self.actions.push(Action::Call {
            call,
            address,
            envelope: Box::new(envelope),
            wait_ms: PEER_WAIT_MS + self.own_delay.extra_wait_ms(),
        });
    }

    /// Hands tasks to a peer; `request` makes the request of them.
    pub(super) fn send_place(
        &mut self,
        now: Millis,
        name: &Name,
        orders: Vec<TaskOrder>,
        request: fn(Vec<TaskOrder>) -> Request,
    ) {
        let ids: Vec<AttemptId> = orders.iter().map(|order| order.id.clone()).collect();
        if let (Some(first), Some(peer)) = (ids.first(), self.peers.get_mut(name)) {
            peer.start_use(now);
            let age_ms = now.saturating_sub(peer.free_received_at);
            self.record(Decision::TasksHandedOver {
                peer: name.clone(),
                first: first.clone(),
                tasks: ids.len(),
                age_ms,
            });
        }
        self.call_peer(now, name, request(orders), Purpose::Place(ids));
    }

    pub(super) fn peer_replied(
        &mut self,
        now: Millis,
        call: CallId,
        mut reply: Result<Reply, SendFailure>,
    ) {
        let Some(open) = self.calls.open.remove(&call) else {
            return;
        };
        let load = reply.as_mut().ok().and_then(take_load);
        let OpenCall {
            callee,
            sent,
            before_pause,
        } = open;
        let was_sent = !matches!(reply, Err(SendFailure::Refused | SendFailure::NotSent));
        if was_sent && !before_pause {
            self.own_delay.observe(now, now.saturating_sub(sent));
            self.targets.set_added_wait(self.own_delay.extra_wait_ms());
        }
        match callee {
            Callee::Seed => self.seed_replied(now, reply),
            Callee::Peer { name, purpose } if before_pause => {
                self.use_old_reply(now, call, &name, purpose, reply);
            }
            Callee::Peer { name, purpose } => {
                self.hear_reply(now, &name, &purpose, &reply, load);
                self.use_reply(now, call, &name, purpose, reply);
            }
        }
    }

    fn seed_replied(&mut self, now: Millis, reply: Result<Reply, SendFailure>) {
        if let Some(ReplyBody::Heartbeat(heartbeat)) = body(reply) {
            for host in &heartbeat.hosts {
                self.peers.learn(now, host);
            }
        }
    }

    /// Handles what any reply tells of its sender, or that there is none.
    fn hear_reply(
        &mut self,
        now: Millis,
        name: &Name,
        purpose: &Purpose,
        reply: &Result<Reply, SendFailure>,
        load: Option<HolderLoad>,
    ) {
        let reply = match reply {
            Ok(reply) => reply,
            Err(SendFailure::Refused) => {
                if let Some(peer) = self.peers.get_mut(name) {
                    peer.contact.refused = true;
                }
                return;
            }
            Err(SendFailure::NotSent | SendFailure::Unknown) => return,
        };
        let clock_heard = self
            .peers
            .get(name)
            .map_or(0, |peer| peer.clock_received_at());
        if self.peers.handle_reply(now, name, reply) {
            self.lose_session(now, name, clock_heard);
        }
        if let Some(load) = load {
            self.load_heard(now, name, load);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            if !matches!(reply.body, ReplyBody::Stale) {
                peer.contact.acknowledged = Some(now);
            }
            if !matches!(purpose, Purpose::Heartbeat) {
                peer.postpone_heartbeat(now);
            }
        }
    }

    /// Handles a reply that may be from before this host stood still. What became of the
    /// request still holds; that the peer lives, what its clock shows and what it has free
    /// may not. Guards against tasks that are handed to a peer that has gone meanwhile, or has
    /// given this host's lease up.
    fn use_old_reply(
        &mut self,
        now: Millis,
        call: CallId,
        name: &Name,
        purpose: Purpose,
        reply: Result<Reply, SendFailure>,
    ) {
        if !matches!(purpose, Purpose::Heartbeat) {
            self.use_reply(now, call, name, purpose, reply);
        }
    }

    /// Handles what a reply says to its request.
    fn use_reply(
        &mut self,
        now: Millis,
        call: CallId,
        name: &Name,
        purpose: Purpose,
        reply: Result<Reply, SendFailure>,
    ) {
        match purpose {
            Purpose::Heartbeat => {
                if let Some(ReplyBody::Heartbeat(heartbeat)) = body(reply) {
                    self.peers.handle_heartbeat_reply(now, name, &heartbeat);
                    self.labels_heard(name, &heartbeat.leased);
                    self.fetch_configuration(now, name);
                }
            }
            Purpose::Demand | Purpose::Crashes => {}
            Purpose::Place(ids) => self.place_replied(now, name, &ids, reply),
            Purpose::HandOver(ids) => self.hand_over_replied(now, name, &ids, reply),
            Purpose::Room => self.room_replied(now, name, reply),
            Purpose::Reservation => {
                if !matches!(body(reply), Some(ReplyBody::Interested(true))) {
                    self.reservation_declined(now, name);
                }
            }
            Purpose::Stop => {
                let acknowledged = is_acknowledged(&reply);
                if let Some(peer) = self.peers.get_mut(name) {
                    if !peer.stops.handle_reply(call, acknowledged) {
                        peer.retry_at = now + PEER_RETRY_MS;
                    }
                }
            }
            Purpose::Ended => {
                let acknowledged = is_acknowledged(&reply);
                if let Some(peer) = self.peers.get_mut(name) {
                    if !peer.ends.handle_reply(call, acknowledged) {
                        peer.retry_at = now + PEER_RETRY_MS;
                    }
                }
            }
            Purpose::Configuration => {
                self.calls.fetching_configuration = false;
                if let Some(ReplyBody::Configuration(Some(configuration))) = body(reply) {
                    self.use_configuration(configuration, ConfigurationSource::Peer);
                }
            }
            Purpose::StoreUpdates { asked } => self.store_news_replied(now, name, asked, reply),
        }
    }

    fn reservation_declined(&mut self, now: Millis, name: &Name) {
        self.targets.cancel_reservations(name);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_demand(now, None);
        }
    }

    fn place_replied(
        &mut self,
        now: Millis,
        name: &Name,
        ids: &[AttemptId],
        reply: Result<Reply, SendFailure>,
    ) {
        if let Err(SendFailure::Unknown) = reply {
            return self.stop_and_report(name, ids);
        }
        let started = match body(reply) {
            Some(ReplyBody::Placed(started)) => started,
            _ => Vec::new(),
        };
        for (position, id) in ids.iter().enumerate() {
            let started = started.contains(&(position as u32));
            self.jobs.record_placement(now, id, name, started);
        }
    }

    /// Has tasks stopped that may run at a peer; it reports the end of each, at once of those
    /// that never came.
    pub(super) fn stop_and_report(&mut self, name: &Name, ids: &[AttemptId]) {
        if let Some(peer) = self.peers.get_mut(name) {
            let stops = ids.iter().cloned();
            peer.stops
                .extend(stops.map(|id| StopRequest { id, report: true }));
        }
    }

    /// Asks a peer for its configuration if that is newer than this host's.
    pub(super) fn fetch_configuration(&mut self, now: Millis, name: &Name) {
        let theirs = self.peers.get(name).map_or(0, |peer| peer.version);
        let newer = theirs > self.version();
        if newer && !self.calls.fetching_configuration && !self.awaits_configuration(now) {
            let call = self.call_peer(now, name, Request::Configuration, Purpose::Configuration);
            self.calls.fetching_configuration = call.is_some();
        }
    }
}

/// Returns the part of a reply that depends on the request.
pub(super) fn body(reply: Result<Reply, SendFailure>) -> Option<ReplyBody> {
    reply.ok().map(|reply| reply.body)
}

/// Takes out of a reply what the peer's targets have to do, if it tells.
fn take_load(reply: &mut Reply) -> Option<HolderLoad> {
    match std::mem::replace(&mut reply.body, ReplyBody::Acknowledged) {
        ReplyBody::WithLoad { load, body } => {
            reply.body = *body;
            Some(load)
        }
        body => {
            reply.body = body;
            None
        }
    }
}

/// Returns whether a peer has carried out what it was asked.
fn is_acknowledged(reply: &Result<Reply, SendFailure>) -> bool {
    let reply = reply.as_ref();
    reply.is_ok_and(|reply| !matches!(reply.body, ReplyBody::Stale))
}
