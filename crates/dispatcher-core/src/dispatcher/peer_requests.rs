//! Requests of peers.
//!
//! Every request proves that its sender is alive, and renews its owner lease by the echo of this
//! host's clock. A request of an earlier incarnation or session is rejected as stale.

use gannetridge_wire::Name;

use crate::action::Action;
use crate::decision::StopReason;
use crate::event::RequestId;
use crate::message::{
    AttemptEnd, AttemptId, AttemptOutcome, Envelope, FreeResources, Heartbeat, HeartbeatReply,
    Reply, ReplyBody, Request, TaskOrder,
};
use crate::settings::WaitingAt;
use crate::targets::{Owner, OwnerSession, Reach};
use crate::Millis;

use super::peer_calls::SEED_SESSION;
use super::placement::{DEFAULT_URGENCY, MAX_SCHEDULED};
use super::Dispatcher;

impl Dispatcher {
    pub(super) fn handle_peer_request(
        &mut self,
        now: Millis,
        request_id: RequestId,
        envelope: Envelope,
    ) {
        let name = envelope.from.name.clone();
        self.peers.learn(now, &envelope.from);
        if self.peers.get(&name).is_none() {
            // A request under this host's own name isn't answered.
            return;
        }
        let body = if self.record_request_metadata(now, &name, &envelope) {
            let session = OwnerSession::of(&envelope);
            self.execute_request(now, &name, session, envelope.request)
        } else {
            ReplyBody::Stale
        };
        self.reply(now, request_id, body);
    }

    /// Handles the part that all requests have in common; returns false if the request is of an
    /// earlier incarnation or session.
    fn record_request_metadata(&mut self, now: Millis, name: &Name, envelope: &Envelope) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let incarnation = envelope.from.incarnation;
        if incarnation < peer.info.incarnation {
            return false;
        }
        peer.contact.last_contact = now;
        // The clock of a new incarnation is taken only from a reply, since handling that also gives
        // up the attempts of the earlier incarnation.
        let known = peer.echoed_clock;
        if known.is_some_and(|known| known.incarnation == incarnation) {
            peer.update_clock(now, incarnation, envelope.clock);
        }
        if envelope.session < peer.owner_lease.session {
            return false;
        }
        if envelope.session > peer.owner_lease.session {
            peer.owner_lease.session = envelope.session;
            let session = OwnerSession::of(envelope);
            let reason = StopReason::NewSession;
            self.backlog.drop_earlier_sessions(name, session);
            self.targets
                .stop_earlier_sessions(now, name, session, reason);
        }
        self.renew_owner_lease(now, name, envelope);
        true
    }

    /// Renews a peer's owner lease as far as its echo of this host's clock proves that it was
    /// alive.
    fn renew_owner_lease(&mut self, now: Millis, name: &Name, envelope: &Envelope) {
        let own = self.own.incarnation;
        let echoed = envelope.echoed_clock;
        let echoed = echoed.filter(|echoed| echoed.incarnation == own && echoed.clock <= now);
        if let (Some(echoed), Some(peer)) = (echoed, self.peers.get_mut(name)) {
            let until = echoed.clock + self.times.owner_lease_ms;
            peer.owner_lease.renew(now, until);
        }
    }

    fn execute_request(
        &mut self,
        now: Millis,
        name: &Name,
        session: OwnerSession,
        request: Request,
    ) -> ReplyBody {
        match request {
            Request::Heartbeat(heartbeat) => {
                let reply = self.handle_heartbeat(now, name, session, &heartbeat);
                self.fetch_configuration(now, name);
                reply
            }
            Request::Place(orders) => {
                self.place_for_peer(now, name, session, &orders, Reach::Anywhere)
            }
            Request::PlaceAlone(orders) => {
                self.place_for_peer(now, name, session, &orders, Reach::Alone)
            }
            Request::Crashes(records) => {
                self.jobs.merge_crash_records(now, &records);
                ReplyBody::Acknowledged
            }
            Request::Demand(demand) => {
                if let Some(peer) = self.peers.get_mut(name) {
                    peer.set_demand(now, demand);
                }
                ReplyBody::Acknowledged
            }
            Request::Reservation(free) => self.handle_reservation(now, name, &free),
            Request::HandOver(tasks) => self.accept_handed_over(now, name, session, tasks),
            Request::FreeCapacity(load) => self.handle_free_capacity_report(now, name, load),
            Request::Stop { mut keys, report } => {
                let reason = StopReason::Requested;
                let withdrawn = self.withdraw(name, &mut keys);
                if report {
                    self.return_unstarted(withdrawn);
                }
                let missing = self.targets.stop(now, name, &keys, report, reason);
                if report {
                    self.report_lost(name, missing);
                }
                ReplyBody::Acknowledged
            }
            Request::Ended(ends) => {
                for end in &ends {
                    self.jobs.handle_attempt_end(now, end);
                }
                ReplyBody::Acknowledged
            }
            Request::Configuration => ReplyBody::Configuration(self.configuration.clone()),
            Request::StoreUpdates { after } => {
                ReplyBody::StoreUpdates(self.store_update(now, after))
            }
            Request::PlatformUpdates { after } => {
                ReplyBody::PlatformUpdates(self.platform_update(now, after))
            }
        }
    }

    fn reply(&mut self, now: Millis, request_id: RequestId, body: ReplyBody) {
        let (free, body) = match self.settings.scheduling.waiting_at {
            WaitingAt::Owner => (self.free_for_peers(now), body),
            WaitingAt::Holder => (Vec::new(), self.with_load(now, body)),
        };
        let reply = Box::new(Reply {
            incarnation: self.own.incarnation,
            clock: now,
            free,
            body,
        });
        self.actions.push(Action::Reply { request_id, reply });
    }

    /// Returns the free resources that peers may use; none during a shutdown.
    fn free_for_peers(&self, now: Millis) -> Vec<FreeResources> {
        if self.stopping.is_some() {
            return Vec::new();
        }
        self.targets.free_resources(now)
    }

    fn handle_heartbeat(
        &mut self,
        now: Millis,
        name: &Name,
        session: OwnerSession,
        heartbeat: &Heartbeat,
    ) -> ReplyBody {
        let is_seed_call = session.number == SEED_SESSION;
        let hash = heartbeat.hosts_hash;
        let hosts = self.peers.hosts_to_send(now, name, hash, is_seed_call);
        if let Some(peer) = self.peers.get_mut(name) {
            peer.handle_heartbeat(now, heartbeat);
        }
        ReplyBody::Heartbeat(HeartbeatReply {
            leaving: self.stopping.is_some(),
            version: self.version(),
            leased: self.targets.leased(),
            hosts,
        })
    }

    /// Starts the tasks of a peer for which a target is free within `reach`.
    fn place_for_peer(
        &mut self,
        now: Millis,
        name: &Name,
        session: OwnerSession,
        orders: &[TaskOrder],
        reach: Reach,
    ) -> ReplyBody {
        let peer = self.peers.get(name);
        if !peer.is_some_and(|peer| peer.owner_lease.is_valid()) {
            return ReplyBody::Stale;
        }
        let owner = Owner {
            host: name.clone(),
            session,
        };
        let open = self.stopping.is_none();
        let mut started = Vec::new();
        for (position, order) in orders.iter().enumerate() {
            if open
                && self
                    .targets
                    .start(now, &owner, order, reach, DEFAULT_URGENCY)
            {
                started.push(position as u32);
            }
        }
        self.targets.cancel_reservations(name);
        ReplyBody::Placed(started)
    }

    /// Reports to a peer that attempts are unknown here and never will run.
    fn report_lost(&mut self, name: &Name, ids: Vec<AttemptId>) {
        if let Some(peer) = self.peers.get_mut(name) {
            let ends = ids.into_iter().map(|id| AttemptEnd {
                id,
                outcome: AttemptOutcome::Lost,
                target: "".into(),
            });
            peer.ends.extend(ends);
        }
    }

    /// Handles a peer's reservation of resources: sends it the waiting tasks that fit, in a
    /// separate request, so that none is lost with this reply.
    fn handle_reservation(&mut self, now: Millis, name: &Name, free: &FreeResources) -> ReplyBody {
        let mut resources = free.resources;
        let mut orders = Vec::new();
        for task in self.jobs.waiting(now, MAX_SCHEDULED) {
            let same_pool = *self.jobs.pool(&task.job) == free.pool;
            // Other tasks may run on the target that has these resources.
            if !task.runs_alone && same_pool && resources.fits(&task.resources) {
                resources = resources.saturating_sub(&task.resources);
                orders.push(self.jobs.order(&task.job, task.index));
                self.jobs.record_handover(now, &task.job, task.index, name);
            }
        }
        let interested = !orders.is_empty();
        if interested {
            self.send_place(now, name, orders, Request::Place);
        }
        ReplyBody::Interested(interested)
    }
}
