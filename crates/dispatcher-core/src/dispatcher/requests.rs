//! What peers ask of a host.

use super::*;

impl Dispatcher {
    pub(super) fn peer_asks(&mut self, now: Millis, token: Token, envelope: Envelope) {
        let name = envelope.from.name.clone();
        self.peers.learn(now, &envelope.from);
        let Some(peer) = self.peers.all.get_mut(&name) else {
            return;
        };
        if envelope.from.incarnation < peer.info.incarnation {
            return self.reply(now, token, ReplyBody::Stale);
        }
        peer.heard = now;
        // Of another life than the last reply's only a reply tells: with it,
        // runs of the earlier life are given up.
        let life = envelope.from.incarnation;
        if peer.echo.is_some_and(|echo| echo.incarnation == life) {
            peer.hear_clock(now, life, envelope.clock);
        }
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
            Request::Beat(beat) => {
                let reply = self.beaten(now, &name, &beat);
                self.fetch_queues(now, &name);
                reply
            }
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

    pub(super) fn reply(&mut self, now: Millis, token: Token, body: ReplyBody) {
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
    pub(super) fn spare(&self, now: Millis) -> Vec<FreeRoom> {
        if self.stopping.is_some() {
            return Vec::new();
        }
        self.keeper.free(now)
    }

    pub(super) fn beaten(&mut self, now: Millis, name: &Name, beat: &Beat) -> ReplyBody {
        let hosts = if beat.hosts_hash == self.peers.hash() {
            Vec::new()
        } else {
            self.peers.hosts()
        };
        if let Some(peer) = self.peers.all.get_mut(name) {
            peer.leaving = beat.leaving;
            peer.version = beat.version;
            // One that never answered may have just started.
            if peer.acked.is_none() {
                peer.next_beat = peer.next_beat.min(now);
            }
        }
        ReplyBody::Beat(BeatReply {
            leaving: self.stopping.is_some(),
            version: self.version(),
            kept: self.keeper.kept(),
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
            if open && self.keeper.place(now, name, session, order) {
                taken.push(index as u32);
            }
        }
        self.keeper.end_offers(name);
        ReplyBody::Placed(taken)
    }

    pub(super) fn tell_lost(&mut self, name: &Name, keys: &[RunKey]) {
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
    pub(super) fn offered(&mut self, now: Millis, name: &Name, free: FreeRoom) -> ReplyBody {
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
}
