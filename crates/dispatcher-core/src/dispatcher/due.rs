//! What is due from time to time, and what is handed on after each event.

use super::*;

impl Dispatcher {
    pub(super) fn tick(&mut self, now: Millis) {
        self.next_tick = now + IDLE_TICK_MS;
        self.jobs.tick(now);
        self.assign(now);
        self.targets.tick(now);
        self.send_heartbeats(now);
        self.peers.forget(now);
        self.stop_if_done(now);
    }

    fn assign(&mut self, now: Millis) {
        if now < self.next_assignment {
            return;
        }
        self.next_assignment = now + ASSIGNMENT_MS;
        let may_take = self.started.is_some_and(|at| at + SETTLE_MS <= now);
        let staying = self.staying(now);
        let peers = &self.peers;
        self.targets.assign(
            now,
            &staying,
            |id| peers.is_leased_elsewhere(now, id),
            may_take,
        );
    }

    /// Returns the hosts that share the targets: those that stay, or this one
    /// alone where no other does.
    pub(super) fn staying(&self, now: Millis) -> Vec<HostInfo> {
        let staying = self.peers.staying(now, self.stopping.is_none());
        if staying.is_empty() {
            return vec![self.own.clone()];
        }
        staying
    }

    /// Tells whether new tasks may be started on this host's targets: not
    /// while it is stopping, unless no other host could.
    pub(super) fn starts_here(&self, now: Millis) -> bool {
        self.stopping.is_none() || self.peers.staying(now, false).is_empty()
    }

    pub(super) fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            leaving: self.stopping.is_some(),
            version: self.version(),
            hosts_hash: self.peers.hash(),
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Millis) {
        self.peers.set_used(now, &self.jobs.peers_with_attempts());
        let (peers, seeds) = (self.peers.heartbeats_due(now), self.peers.seeds_due(now));
        if peers.is_empty() && seeds.is_empty() {
            return;
        }
        let heartbeat = self.heartbeat();
        for name in peers {
            self.call_peer(
                now,
                &name,
                Request::Heartbeat(heartbeat.clone()),
                Purpose::Heartbeat,
            );
        }
        for seed in seeds {
            let call = self.send(now, seed, 0, None, Request::Heartbeat(heartbeat.clone()));
            self.calls.insert(call, (None, Purpose::Seed));
        }
    }

    /// Hands on what the parts have left, until nothing moves.
    pub(super) fn settle(&mut self, now: Millis) {
        self.deliver_reports(now);
        self.schedule(now);
        self.deliver_stops(now);
        self.deliver_reports(now);
        self.send_outboxes(now);
        self.targets.send_renewals(now);
        let busy = !self.jobs.is_empty() || self.targets.attempts() > 0;
        if busy {
            self.next_tick = self.next_tick.min(now + TICK_MS);
        }
        self.out.append(&mut self.jobs.out);
        self.out.append(&mut self.targets.out);
    }

    pub(super) fn deliver_reports(&mut self, now: Millis) {
        for report in self.targets.take_reports() {
            self.out.push(Action::Record(Decision::RunEnded {
                key: report.end.key.clone(),
                target: report.end.target.clone(),
                end: report.end.end,
                by: report.by,
                took_ms: report.took_ms,
            }));
            if report.owner == self.own.name {
                self.jobs.attempt_ended(now, &report.end);
            } else if let Some(peer) = self.peers.all.get_mut(&report.owner) {
                let current = peer.their_session == report.session && !peer.lease_expired;
                if report.wanted && current {
                    peer.ends.push(report.end);
                }
            }
        }
    }

    pub(super) fn deliver_stops(&mut self, now: Millis) {
        for (peer, key) in std::mem::take(&mut self.jobs.stops) {
            match peer {
                None => {
                    let own = self.own.name.clone();
                    self.targets.stop(now, &own, &[key], false, "job ended");
                }
                Some(name) => {
                    if let Some(peer) = self.peers.all.get_mut(&name) {
                        peer.stops.push((key, false));
                    }
                }
            }
        }
    }

    pub(super) fn send_outboxes(&mut self, now: Millis) {
        let peers = self.peers.all.iter();
        let busy = peers.filter(|(_, peer)| !peer.ends.is_empty() || !peer.stops.is_empty());
        let names: Vec<Name> = busy.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.send_ends(now, &name);
            self.send_stops(now, &name);
        }
    }

    pub(super) fn send_ends(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.all.get_mut(name).expect("the peer is known");
        if peer.lease_expired {
            // Its runs are given up there as well.
            peer.ends.clear();
            return;
        }
        if peer.ends.is_empty() || peer.telling.is_some() || peer.retry_at > now {
            return;
        }
        let ends = std::mem::take(&mut peer.ends);
        let call = self.call_peer(now, name, Request::Ended(ends.clone()), Purpose::Ended);
        let peer = self.peers.all.get_mut(name).expect("the peer is known");
        peer.telling = call.map(|call| (call, ends));
    }

    pub(super) fn send_stops(&mut self, now: Millis, name: &Name) {
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
        let call = self.call_peer(now, name, Request::Stop { keys, report }, Purpose::Stop);
        let peer = self.peers.all.get_mut(name).expect("the peer is known");
        peer.stopping = call.map(|call| (call, now_sent));
    }
}
