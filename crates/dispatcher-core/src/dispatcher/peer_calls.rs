//! Calls to peers and their replies.
//!
//! Owns the calls in flight. Every reply proves that the peer is alive and carries its clock and
//! its free resources; the rest depends on the request. A reply to a call that was in flight while
//! this process was stalled may be outdated and proves nothing about the peer's current state.

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

/// The timeout for a peer's reply, in ms, without the delay that this host adds itself.
const PEER_TIMEOUT_MS: Millis = 300;
/// The delay before a request without a reply is sent again, in ms.
pub(super) const PEER_RETRY_MS: Millis = 100;
/// Set in the ids of calls to peers, which keeps them apart from those of calls to targets.
const PEER_CALL_BIT: u64 = 1 << 63;

/// The session of calls to a seed, whose host isn't known yet; lower than any other.
pub(super) const SEED_SESSION: u64 = 0;

/// The purpose of a call to a peer, with what its reply needs.
pub(super) enum Purpose {
    Heartbeat,
    Place(Vec<AttemptId>),
    HandOver(Vec<AttemptId>),
    FreeCapacity,
    Demand,
    Reservation,
    Stop,
    Ended,
    Crashes,
    Configuration,
    StoreUpdates {
        /// When the request was sent.
        requested_at: Millis,
    },
}

/// The receiver of a call.
enum Callee {
    /// A seed, whose host isn't known yet.
    Seed,
    Peer {
        name: Name,
        purpose: Purpose,
    },
}

/// A call in flight.
struct PendingCall {
    callee: Callee,
    sent: Millis,
    /// True if the process was stalled since the call was made: the reply may be outdated.
    sent_before_stall: bool,
}

/// The calls to peers in flight.
#[derive(Default)]
pub(super) struct PeerCalls {
    open: HashMap<CallId, PendingCall>,
    last_number: u64,
    /// True while a request for a peer's configuration is in flight.
    fetching_configuration: bool,
}

impl PeerCalls {
    fn open_call(&mut self, sent: Millis, callee: Callee) -> CallId {
        self.last_number += 1;
        let call = CallId(PEER_CALL_BIT | self.last_number);
        let open = PendingCall {
            callee,
            sent,
            sent_before_stall: false,
        };
        self.open.insert(call, open);
        call
    }

    /// Marks all calls in flight after the process was stalled: their replies may be outdated.
    pub(super) fn mark_stalled(&mut self) {
        for open in self.open.values_mut() {
            open.sent_before_stall = true;
        }
    }
}

impl Dispatcher {
    /// Calls a peer; returns `None` if it isn't known.
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
        let call = self.calls.open_call(now, callee);
        self.send(now, call, address, session, echoed_clock, request);
        Some(call)
    }

    pub(super) fn call_seed(&mut self, now: Millis, seed: SocketAddr, request: Request) {
        let call = self.calls.open_call(now, Callee::Seed);
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
            wait_ms: PEER_TIMEOUT_MS + self.local_delay.extra_wait_ms(),
        });
    }

    /// Sends tasks to a peer to be started; `request` selects the kind of request.
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

    pub(super) fn handle_peer_reply(
        &mut self,
        now: Millis,
        call: CallId,
        mut reply: Result<Reply, SendFailure>,
    ) {
        let Some(open) = self.calls.open.remove(&call) else {
            return;
        };
        let load = reply.as_mut().ok().and_then(extract_load);
        let PendingCall {
            callee,
            sent,
            sent_before_stall,
        } = open;
        let was_sent = !matches!(reply, Err(SendFailure::Refused | SendFailure::NotSent));
        if was_sent && !sent_before_stall {
            self.local_delay.observe(now, now.saturating_sub(sent));
            self.targets
                .set_added_wait(self.local_delay.extra_wait_ms());
        }
        match callee {
            Callee::Seed => self.handle_seed_reply(now, reply),
            Callee::Peer { name, purpose } if sent_before_stall => {
                self.process_stale_reply(now, call, &name, purpose, reply);
            }
            Callee::Peer { name, purpose } => {
                self.process_reply_metadata(now, &name, &purpose, &reply, load);
                self.process_reply_body(now, call, &name, purpose, reply);
            }
        }
    }

    fn handle_seed_reply(&mut self, now: Millis, reply: Result<Reply, SendFailure>) {
        if let Some(ReplyBody::Heartbeat(heartbeat)) = body(reply) {
            for host in &heartbeat.hosts {
                self.peers.learn(now, host);
            }
        }
    }

    /// Handles the part that all replies have in common, or the failure of a call.
    fn process_reply_metadata(
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
        let clock_received_at = self
            .peers
            .get(name)
            .map_or(0, |peer| peer.clock_received_at());
        if self.peers.handle_reply(now, name, reply) {
            self.lose_session(now, name, clock_received_at);
        }
        if let Some(load) = load {
            self.record_peer_load(now, name, load);
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

    /// Handles a reply that may date from before a stall of this process. Its result is still
    /// valid, but it proves neither that the peer is alive nor what its clock and free resources
    /// are. Prevents tasks from being sent to a peer that has stopped meanwhile, or at which this
    /// host's owner lease has expired.
    fn process_stale_reply(
        &mut self,
        now: Millis,
        call: CallId,
        name: &Name,
        purpose: Purpose,
        reply: Result<Reply, SendFailure>,
    ) {
        if !matches!(purpose, Purpose::Heartbeat) {
            self.process_reply_body(now, call, name, purpose, reply);
        }
    }

    /// Handles the part of a reply that depends on the request.
    fn process_reply_body(
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
                    self.record_leased_labels(name, &heartbeat.leased);
                    self.fetch_configuration(now, name);
                }
            }
            Purpose::Demand | Purpose::Crashes => {}
            Purpose::Place(ids) => self.handle_place_reply(now, name, &ids, reply),
            Purpose::HandOver(ids) => self.handle_hand_over_reply(now, name, &ids, reply),
            Purpose::FreeCapacity => self.handle_free_capacity_reply(now, name, reply),
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
            Purpose::StoreUpdates { requested_at } => {
                self.handle_store_updates_reply(now, name, requested_at, reply)
            }
        }
    }

    fn reservation_declined(&mut self, now: Millis, name: &Name) {
        self.targets.cancel_reservations(name);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_demand(now, None);
        }
    }

    fn handle_place_reply(
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

    /// Requests that a peer stops attempts that it may have started. The peer reports the end of
    /// each; attempts that it doesn't know are reported as lost at once.
    pub(super) fn stop_and_report(&mut self, name: &Name, ids: &[AttemptId]) {
        if let Some(peer) = self.peers.get_mut(name) {
            let stops = ids.iter().cloned();
            peer.stops
                .extend(stops.map(|id| StopRequest { id, report: true }));
        }
    }

    /// Requests a peer's configuration if it is newer than this host's.
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

/// Removes the load of the peer's targets from a reply and returns it, if the reply has one.
fn extract_load(reply: &mut Reply) -> Option<HolderLoad> {
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

/// Returns true if a peer has carried out a request.
fn is_acknowledged(reply: &Result<Reply, SendFailure>) -> bool {
    let reply = reply.as_ref();
    reply.is_ok_and(|reply| !matches!(reply.body, ReplyBody::Stale))
}
