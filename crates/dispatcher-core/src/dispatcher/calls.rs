//! What a host asks of its peers, and their replies.

use super::*;

impl Dispatcher {
    pub(super) fn call_peer(
        &mut self,
        now: Millis,
        name: &Name,
        request: Request,
        purpose: Purpose,
    ) -> Option<CallId> {
        let peer = self.peers.all.get(name)?;
        let address = peer.info.address;
        let (session, echoed_clock) = (peer.session, peer.echoed_clock);
        let call = self.send(now, address, session, echoed_clock, request);
        self.calls.insert(call, (Some(name.clone()), purpose));
        Some(call)
    }

    pub(super) fn send(
        &mut self,
        now: Millis,
        address: SocketAddr,
        session: u64,
        echoed_clock: Option<crate::message::EchoedClock>,
        request: Request,
    ) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let envelope = Envelope {
            from: self.own.clone(),
            session,
            echoed_clock,
            clock: now,
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

    pub(super) fn send_place(&mut self, now: Millis, name: &Name, orders: Vec<TaskOrder>) {
        let keys: Vec<AttemptId> = orders.iter().map(|order| order.key.clone()).collect();
        let intervals = self.peers.intervals();
        if let (Some(first), Some(peer)) = (keys.first(), self.peers.all.get_mut(name)) {
            peer.begin_use(now, &intervals);
            self.out.push(Action::Record(Decision::Asked {
                peer: name.clone(),
                first: first.clone(),
                tasks: keys.len(),
                age_ms: now.saturating_sub(peer.free_at),
            }));
        }
        self.call_peer(now, name, Request::Place(orders), Purpose::Place(keys));
    }

    pub(super) fn peer_replied(
        &mut self,
        now: Millis,
        call: CallId,
        reply: Result<Reply, SendFailure>,
    ) {
        let Some((name, purpose)) = self.calls.remove(&call) else {
            return;
        };
        let Some(name) = name else {
            return self.seed_replied(now, reply);
        };
        let intervals = self.peers.intervals();
        if let Ok(reply) = &reply {
            let heard = self
                .peers
                .all
                .get(&name)
                .map_or(0, |peer| peer.clock_heard_at);
            if self.peers.replied(now, &name, reply) {
                self.lose_session(now, &name, heard);
            }
            if let Some(peer) = self.peers.all.get_mut(&name) {
                if !matches!(reply.body, ReplyBody::Stale) {
                    peer.acked = Some(now);
                }
                if !matches!(purpose, Purpose::Heartbeat) {
                    peer.postpone_heartbeat(now, &intervals);
                }
            }
        } else if let (Err(SendFailure::Refused), Some(peer)) =
            (&reply, self.peers.all.get_mut(&name))
        {
            peer.refused = true;
        }
        self.purpose_replied(now, call, &name, purpose, reply);
    }

    pub(super) fn seed_replied(&mut self, now: Millis, reply: Result<Reply, SendFailure>) {
        if let Ok(Reply {
            body: ReplyBody::Heartbeat(heartbeat),
            ..
        }) = reply
        {
            for host in &heartbeat.hosts {
                self.peers.learn(now, host);
            }
        }
    }

    pub(super) fn purpose_replied(
        &mut self,
        now: Millis,
        call: CallId,
        name: &Name,
        purpose: Purpose,
        reply: Result<Reply, SendFailure>,
    ) {
        match purpose {
            Purpose::Heartbeat => {
                if let Ok(Reply {
                    body: ReplyBody::Heartbeat(heartbeat),
                    ..
                }) = &reply
                {
                    self.peers.heartbeat_replied(now, name, heartbeat);
                    self.fetch_queues(now, name);
                }
            }
            Purpose::Seed | Purpose::Demand => {}
            Purpose::Place(keys) => self.place_replied(now, name, &keys, reply),
            Purpose::Reservation => {
                let interested = matches!(
                    reply,
                    Ok(Reply {
                        body: ReplyBody::Interested(true),
                        ..
                    })
                );
                if !interested {
                    self.targets.end_reservations(name);
                    if let Some(peer) = self.peers.all.get_mut(name) {
                        peer.demand = None;
                    }
                }
            }
            Purpose::Stop => self.stop_replied(now, call, name, is_acknowledged(&reply)),
            Purpose::Ended => self.ended_replied(now, call, name, is_acknowledged(&reply)),
            Purpose::Queues => {
                self.fetching_queues = false;
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

    pub(super) fn place_replied(
        &mut self,
        now: Millis,
        name: &Name,
        keys: &[AttemptId],
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

    pub(super) fn stop_replied(
        &mut self,
        now: Millis,
        call: CallId,
        name: &Name,
        acknowledged: bool,
    ) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        if let Some((_, stops)) = peer.stopping.take_if(|(current, _)| *current == call) {
            if !acknowledged {
                peer.stops.extend(stops);
                peer.retry_at = now + RETRY_MS;
            }
        }
    }

    pub(super) fn ended_replied(
        &mut self,
        now: Millis,
        call: CallId,
        name: &Name,
        acknowledged: bool,
    ) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        if let Some((_, ends)) = peer.telling.take_if(|(current, _)| *current == call) {
            if !acknowledged {
                peer.ends.extend(ends);
                peer.retry_at = now + RETRY_MS;
            }
        }
    }

    pub(super) fn fetch_queues(&mut self, now: Millis, name: &Name) {
        let newer = self.peers.all.get(name).map_or(0, |peer| peer.version) > self.version();
        if newer && !self.fetching_queues {
            let call = self.call_peer(now, name, Request::Queues, Purpose::Queues);
            self.fetching_queues = call.is_some();
        }
    }
}

/// Tells whether a peer has taken note of what it was told.
fn is_acknowledged(reply: &Result<Reply, SendFailure>) -> bool {
    let reply = reply.as_ref();
    reply.is_ok_and(|reply| !matches!(reply.body, ReplyBody::Stale))
}
