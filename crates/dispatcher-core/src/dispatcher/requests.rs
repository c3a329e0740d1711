//! What peers ask of a host.

use super::*;

impl Dispatcher {
    pub(super) fn peer_asks(&mut self, now: Millis, request_id: RequestId, envelope: Envelope) {
        let name = envelope.from.name.clone();
        self.peers.learn(now, &envelope.from);
        let Some(peer) = self.peers.all.get_mut(&name) else {
            return;
        };
        if envelope.from.incarnation < peer.info.incarnation {
            return self.reply(now, request_id, ReplyBody::Stale);
        }
        peer.heard = now;
        // Of another life than the last reply's only a reply tells: with it,
        // runs of the earlier life are given up.
        let life = envelope.from.incarnation;
        if peer
            .echoed_clock
            .is_some_and(|echoed_clock| echoed_clock.incarnation == life)
        {
            peer.hear_clock(now, life, envelope.clock);
        }
        if peer.their_session != envelope.session {
            let newer = envelope.session > peer.their_session;
            if newer {
                peer.their_session = envelope.session;
                self.targets
                    .stop_owner(now, &name, envelope.session, "owner's new session");
            } else {
                return self.reply(now, request_id, ReplyBody::Stale);
            }
        }
        let peer = self.peers.all.get_mut(&name).expect("just found");
        if let Some(echoed_clock) = envelope.echoed_clock {
            if echoed_clock.incarnation == self.own.incarnation && echoed_clock.clock <= now {
                let until = echoed_clock.clock + self.times.owner_lease;
                peer.lease_until = peer.lease_until.max(until);
                peer.lease_expired &= until <= now;
            }
        }
        let lease_valid = !peer.lease_expired;
        let session = envelope.session;
        let body = match envelope.request {
            Request::Heartbeat(heartbeat) => {
                let reply = self.heartbeat_received(now, &name, &heartbeat);
                self.fetch_queues(now, &name);
                reply
            }
            Request::Place(orders) if lease_valid => {
                self.asked_to_place(now, &name, session, &orders)
            }
            Request::Place(_) => ReplyBody::Stale,
            Request::Demand(demand) => {
                let peer = self.peers.all.get_mut(&name).expect("just found");
                peer.demand = demand.map(|demand| (demand, now, now + DEMAND_TTL_MS));
                ReplyBody::Acknowledged
            }
            Request::Reservation(free) => self.reservation(now, &name, free),
            Request::Stop { keys, report } => {
                let missing = self.targets.stop(now, &name, &keys, report, "asked");
                if report {
                    self.tell_lost(&name, &missing);
                }
                ReplyBody::Acknowledged
            }
            Request::Ended(ends) => {
                for end in &ends {
                    self.jobs.attempt_ended(now, end);
                }
                ReplyBody::Acknowledged
            }
            Request::Queues => ReplyBody::Queues(self.queues.clone()),
        };
        self.reply(now, request_id, body);
    }

    pub(super) fn reply(&mut self, now: Millis, request_id: RequestId, body: ReplyBody) {
        let reply = Reply {
            incarnation: self.own.incarnation,
            clock: now,
            free: self.spare(now),
            body,
        };
        let reply = Box::new(reply);
        self.out.push(Action::Reply { request_id, reply });
    }

    /// Returns the room that peers may fill.
    pub(super) fn spare(&self, now: Millis) -> Vec<FreeResources> {
        if self.stopping.is_some() {
            return Vec::new();
        }
        self.targets.free(now)
    }

    pub(super) fn heartbeat_received(
        &mut self,
        now: Millis,
        name: &Name,
        heartbeat: &Heartbeat,
    ) -> ReplyBody {
        let hosts = if heartbeat.hosts_hash == self.peers.hash() {
            Vec::new()
        } else {
            self.peers.hosts()
        };
        if let Some(peer) = self.peers.all.get_mut(name) {
            peer.leaving = heartbeat.leaving;
            peer.version = heartbeat.version;
            // One that never answered may have just started.
            if peer.acked.is_none() {
                peer.next_heartbeat = peer.next_heartbeat.min(now);
            }
        }
        ReplyBody::Heartbeat(HeartbeatReply {
            leaving: self.stopping.is_some(),
            version: self.version(),
            leased: self.targets.leased(),
            hosts,
        })
    }

    pub(super) fn asked_to_place(
        &mut self,
        now: Millis,
        name: &Name,
        session: u64,
        orders: &[TaskOrder],
    ) -> ReplyBody {
        let mut taken = Vec::new();
        for (index, order) in orders.iter().enumerate() {
            let open = self.stopping.is_none();
            if open && self.targets.place(now, name, session, order) {
                taken.push(index as u32);
            }
        }
        self.targets.end_reservations(name);
        ReplyBody::Placed(taken)
    }

    pub(super) fn tell_lost(&mut self, name: &Name, keys: &[AttemptId]) {
        if let Some(peer) = self.peers.all.get_mut(name) {
            let ends = keys.iter().map(|key| AttemptEnd {
                key: key.clone(),
                end: AttemptOutcome::Lost,
                target: "".into(),
            });
            peer.ends.extend(ends);
        }
    }

    /// A peer keeps room free for waiting tasks: those that fit are sent.
    pub(super) fn reservation(
        &mut self,
        now: Millis,
        name: &Name,
        free: FreeResources,
    ) -> ReplyBody {
        let mut resources = free.resources;
        let mut orders = Vec::new();
        for task in self.jobs.waiting(now, MAX_LOOKED_AT) {
            if resources.fits(&task.resources) && *self.jobs.pool(&task.job) == free.pool {
                resources = resources.less(&task.resources);
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
}
