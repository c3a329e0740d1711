//! What peers ask of a host.
//!
//! Every request proves that its sender lives, and renews its owner lease by the echo
//! of this host's clock. One of an earlier incarnation or session is stale: nothing is
//! done for it.

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
use super::placement::{MAX_SCHEDULED, URGENCY_NOT_TOLD};
use super::Dispatcher;

impl Dispatcher {
    pub(super) fn peer_asks(&mut self, now: Millis, request_id: RequestId, envelope: Envelope) {
        let name = envelope.from.name.clone();
        self.peers.learn(now, &envelope.from);
        if self.peers.get(&name).is_none() {
            // This host's own name: nobody else may use it.
            return;
        }
        let body = if self.hear_request(now, &name, &envelope) {
            let session = OwnerSession::of(&envelope);
            self.carry_out(now, &name, session, envelope.request)
        } else {
            ReplyBody::Stale
        };
        self.reply(now, request_id, body);
    }

    /// Handles what any request tells of its sender; returns false if it is of an
    /// earlier incarnation or session.
    fn hear_request(&mut self, now: Millis, name: &Name, envelope: &Envelope) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let incarnation = envelope.from.incarnation;
        if incarnation < peer.info.incarnation {
            return false;
        }
        peer.contact.last_contact = now;
        // Of another incarnation than the last reply's only a reply tells: with it,
        // attempts of the earlier incarnation are given up.
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
            self.backlog.drop_owner(name, session);
            self.targets
                .stop_earlier_sessions(now, name, session, reason);
        }
        self.renew_owner_lease(now, name, envelope);
        true
    }

    /// Renews a peer's lease as far as its echo of this host's clock proves that it
    /// lives.
    fn renew_owner_lease(&mut self, now: Millis, name: &Name, envelope: &Envelope) {
        let own = self.own.incarnation;
        let echoed = envelope.echoed_clock;
        let echoed = echoed.filter(|echoed| echoed.incarnation == own && echoed.clock <= now);
        if let (Some(echoed), Some(peer)) = (echoed, self.peers.get_mut(name)) {
            let until = echoed.clock + self.times.owner_lease;
            peer.owner_lease.renew(now, until);
        }
    }

    fn carry_out(
        &mut self,
        now: Millis,
        name: &Name,
        session: OwnerSession,
        request: Request,
    ) -> ReplyBody {
        match request {
            Request::Heartbeat(heartbeat) => {
                let reply = self.heartbeat_received(now, name, session, &heartbeat);
                self.fetch_configuration(now, name);
                reply
            }
            Request::Place(orders) => {
                self.asked_to_place(now, name, session, &orders, Reach::Anywhere)
            }
            Request::PlaceAlone(orders) => {
                self.asked_to_place(now, name, session, &orders, Reach::Alone)
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
            Request::Reservation(free) => self.reservation_received(now, name, &free),
            Request::HandOver(tasks) => self.asked_to_take_over(now, name, session, tasks),
            Request::FreeCapacity(load) => self.room_received(now, name, load),
            Request::Stop { mut keys, report } => {
                let reason = StopReason::Requested;
                let withdrawn = self.withdraw(name, &mut keys);
                if report {
                    self.give_back(withdrawn);
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
                ReplyBody::StoreUpdates(self.tell_store_news(now, after))
            }
            Request::PlatformUpdates { after } => {
                ReplyBody::PlatformUpdates(self.tell_platform_news(now, after))
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

    /// Returns the free resources that peers may use.
    fn free_for_peers(&self, now: Millis) -> Vec<FreeResources> {
        if self.stopping.is_some() {
            return Vec::new();
        }
        self.targets.free_resources(now)
    }

    fn heartbeat_received(
        &mut self,
        now: Millis,
        name: &Name,
        session: OwnerSession,
        heartbeat: &Heartbeat,
    ) -> ReplyBody {
        let knows_nobody = session.number == SEED_SESSION;
        let hash = heartbeat.hosts_hash;
        let hosts = self.peers.hosts_to_send(now, name, hash, knows_nobody);
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

    /// Starts those of a peer's tasks for which there is a target, as `start` does.
    fn asked_to_place(
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
                    .start(now, &owner, order, reach, URGENCY_NOT_TOLD)
            {
                started.push(position as u32);
            }
        }
        self.targets.cancel_reservations(name);
        ReplyBody::Placed(started)
    }

    /// Reports to a peer that attempts never came, and never will.
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

    /// A peer has reserved resources for waiting tasks: those that fit are handed
    /// over, in a request of their own, so that none is lost with this reply.
    fn reservation_received(
        &mut self,
        now: Millis,
        name: &Name,
        free: &FreeResources,
    ) -> ReplyBody {
        let mut resources = free.resources;
        let mut orders = Vec::new();
        for task in self.jobs.waiting(now, MAX_SCHEDULED) {
            let same_pool = *self.jobs.pool(&task.job) == free.pool;
            // Others may run on the target where these resources are.
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
