//! Messages between hosts: delays, losses, copies, cuts.

use gannetridge_entry_core::{Event, SendFailure};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::TableFailure;
use gannetridge_wire::Name;
use rand::Rng;

use crate::hosts::{Asker, CallKind, CallOf, Pulse, RunOf};
use crate::world::{Ev, World, CONNECT_TIMEOUT_US};

impl World {
    pub(crate) fn delay(&mut self, base: u64) -> u64 {
        let jitter = self.rng.random_range(0..=base / 10);
        let extra = match self.network.extra_us {
            0 => 0,
            most => self.rng.random_range(0..=most),
        };
        base + jitter + extra
    }

    pub(crate) fn hall_reach(&self, a: usize, b: usize) -> bool {
        let cut = &self.network.cut_halls;
        a == b || !(cut.contains(&a) || cut.contains(&b))
    }

    pub(crate) fn host_reach(&self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self.hall_reach(self.hosts[a].hall, self.hosts[b].hall)
            && !self.network.cut_pairs.contains(&pair)
    }

    pub(crate) fn base_delay(&self, hall: usize, other: usize) -> u64 {
        if hall == other {
            self.scenario.delays.near
        } else {
            self.scenario.delays.far
        }
    }

    pub(crate) fn dropped(&mut self) -> bool {
        let drop = self.network.drop;
        drop > 0.0 && self.rng.random_bool(drop)
    }

    /// Plans the failure of a call that doesn't get through.
    pub(crate) fn fail_call(&mut self, call: CallOf, kind: CallKind, wait_us: u64) {
        // A connection that is there already takes the bytes; a new one isn't
        // set up.
        let connected = self.rng.random_bool(0.5);
        let (us, failure) = if connected {
            (wait_us, SendFailure::Unknown)
        } else {
            (CONNECT_TIMEOUT_US, SendFailure::NotSent)
        };
        self.plan_failure(call, kind, us, failure);
    }

    pub(crate) fn plan_failure(
        &mut self,
        call: CallOf,
        kind: CallKind,
        us: u64,
        failure: SendFailure,
    ) {
        match kind {
            CallKind::Peer => self.at(us, Ev::PeerReply(call, Box::new(Err(failure)))),
            CallKind::Task => self.at(us, Ev::TaskReply(call, Err(failure))),
            CallKind::Table => {
                let failure = match failure {
                    SendFailure::NotSent => TableFailure::NotDone,
                    SendFailure::Unknown => TableFailure::Unclear,
                };
                self.at(us, Ev::TableReply(call, Err(failure)));
            }
        }
    }

    pub(crate) fn call_peer(
        &mut self,
        call: CallOf,
        address: &Name,
        request: PeerRequest,
        wait_ms: u64,
    ) {
        let wait_us = wait_ms * 1_000;
        self.hosts[call.run.host]
            .open
            .insert(call.call, CallKind::Peer);
        let to = self.by_address.get(address).copied();
        let Some(to) = to.filter(|to| self.host_reach(call.run.host, *to)) else {
            return self.fail_call(call, CallKind::Peer, wait_us);
        };
        let base = self.base_delay(self.hosts[call.run.host].hall, self.hosts[to].hall);
        if self.hosts[to].pulse == Pulse::Dead {
            let failure = SendFailure::NotSent;
            return self.plan_failure(call, CallKind::Peer, 2 * base, failure);
        }
        self.plan_failure(call, CallKind::Peer, wait_us, SendFailure::Unknown);
        if self.dropped() {
            return;
        }
        let delay = self.delay(base);
        let duplicate = self.network.duplicate;
        if duplicate > 0.0 && self.rng.random_bool(duplicate) {
            let later = delay + self.rng.random_range(0..3_000_000);
            let copy = Ev::PeerRequest {
                to: self.hosts[to].run_of(to),
                from: None,
                request: Box::new(request.clone()),
            };
            self.at(later, copy);
        }
        let from = Some(call);
        let request = Box::new(request);
        let to = self.hosts[to].run_of(to);
        self.at(delay, Ev::PeerRequest { to, from, request });
    }

    pub(crate) fn on_peer_request(
        &mut self,
        to: RunOf,
        from: Option<CallOf>,
        request: PeerRequest,
    ) {
        // A connection leads to one run only.
        if !self.is_run(to) {
            if let Some(call) = from {
                let failure = SendFailure::Unknown;
                self.plan_failure(call, CallKind::Peer, self.scenario.delays.near, failure);
            }
            return;
        }
        let token = self.hosts[to.host].token(Asker::Peer(from));
        self.deliver(to, Event::Peer { token, request });
    }

    pub(crate) fn reply_to_peer(
        &mut self,
        run: RunOf,
        token: gannetridge_entry_core::Token,
        reply: PeerReply,
    ) {
        let asker = self.hosts[run.host].askers.remove(&token);
        let Some(Asker::Peer(Some(call))) = asker else {
            return;
        };
        if self.dropped() || !self.host_reach(run.host, call.run.host) {
            return;
        }
        let base = self.base_delay(self.hosts[run.host].hall, self.hosts[call.run.host].hall);
        let delay = self.delay(base);
        self.at(delay, Ev::PeerReply(call, Box::new(Ok(reply))));
    }
}
