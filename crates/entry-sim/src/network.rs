//! The network: delay, loss, duplication and partitions, and the messages between hosts.

use gannetridge_entry_core::{Event, SendFailure};
use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::TableFailure;
use gannetridge_wire::Name;
use rand::Rng;

use crate::hosts::{CallKind, OutgoingCall, ProcessId, ProcessState, Requester};
use crate::world::{SimEvent, World, CONNECT_TIMEOUT_US};

impl World {
    pub(crate) fn sample_delay(&mut self, base: u64) -> u64 {
        let jitter = self.rng.random_range(0..=base / 10);
        let extra = match self.network.max_extra_delay_us {
            0 => 0,
            most => self.rng.random_range(0..=most),
        };
        base + jitter + extra
    }

    pub(crate) fn halls_connected(&self, a: usize, b: usize) -> bool {
        let cut = &self.network.cut_halls;
        a == b || !(cut.contains(&a) || cut.contains(&b))
    }

    pub(crate) fn hosts_connected(&self, a: usize, b: usize) -> bool {
        let pair = (a.min(b), a.max(b));
        self.halls_connected(self.hosts[a].hall, self.hosts[b].hall)
            && !self.network.cut_pairs.contains(&pair)
    }

    pub(crate) fn base_delay(&self, hall: usize, other: usize) -> u64 {
        if hall == other {
            self.scenario.delays.within_hall_us
        } else {
            self.scenario.delays.between_halls_us
        }
    }

    pub(crate) fn sample_drop(&mut self) -> bool {
        let drop = self.network.drop_probability;
        drop > 0.0 && self.rng.random_bool(drop)
    }

    /// Schedules the failure of a call whose receiver can't be reached.
    pub(crate) fn fail_call(&mut self, call: OutgoingCall, kind: CallKind, wait_us: u64) {
        // On an existing connection the request is written and times out; a new
        // connection fails before anything is sent.
        let connected = self.rng.random_bool(0.5);
        let (us, failure) = if connected {
            (wait_us, SendFailure::Unknown)
        } else {
            (CONNECT_TIMEOUT_US, SendFailure::NotSent)
        };
        self.schedule_failure(call, kind, us, failure);
    }

    pub(crate) fn schedule_failure(
        &mut self,
        call: OutgoingCall,
        kind: CallKind,
        us: u64,
        failure: SendFailure,
    ) {
        match kind {
            CallKind::Peer => self.schedule(us, SimEvent::PeerReply(call, Box::new(Err(failure)))),
            CallKind::Task => self.schedule(us, SimEvent::TaskReply(call, Err(failure))),
            CallKind::Table => {
                let failure = match failure {
                    SendFailure::NotSent => TableFailure::NotDone,
                    SendFailure::Unknown => TableFailure::Unclear,
                };
                self.schedule(us, SimEvent::TableReply(call, Err(failure)));
            }
        }
    }

    pub(crate) fn call_peer(
        &mut self,
        call: OutgoingCall,
        address: &Name,
        request: PeerRequest,
        wait_ms: u64,
    ) {
        let wait_us = wait_ms * 1_000;
        self.hosts[call.process.host]
            .open_calls
            .insert(call.call, CallKind::Peer);
        let to = self.host_by_address.get(address).copied();
        let Some(to) = to.filter(|to| self.hosts_connected(call.process.host, *to)) else {
            return self.fail_call(call, CallKind::Peer, wait_us);
        };
        let base = self.base_delay(self.hosts[call.process.host].hall, self.hosts[to].hall);
        if self.hosts[to].state == ProcessState::Stopped {
            let failure = SendFailure::NotSent;
            return self.schedule_failure(call, CallKind::Peer, 2 * base, failure);
        }
        self.schedule_failure(call, CallKind::Peer, wait_us, SendFailure::Unknown);
        if self.sample_drop() {
            return;
        }
        let delay = self.sample_delay(base);
        let duplicate = self.network.duplicate_probability;
        if duplicate > 0.0 && self.rng.random_bool(duplicate) {
            let later = delay + self.rng.random_range(0..3_000_000);
            let copy = SimEvent::PeerRequest {
                to: self.hosts[to].process_id(to),
                from: None,
                request: Box::new(request.clone()),
            };
            self.schedule(later, copy);
        }
        let from = Some(call);
        let request = Box::new(request);
        let to = self.hosts[to].process_id(to);
        self.schedule(delay, SimEvent::PeerRequest { to, from, request });
    }

    pub(crate) fn on_peer_request(
        &mut self,
        to: ProcessId,
        from: Option<OutgoingCall>,
        request: PeerRequest,
    ) {
        // A connection ends with the process that accepted it.
        if !self.is_current(to) {
            if let Some(call) = from {
                let failure = SendFailure::Unknown;
                self.schedule_failure(
                    call,
                    CallKind::Peer,
                    self.scenario.delays.within_hall_us,
                    failure,
                );
            }
            return;
        }
        let token = self.hosts[to.host].register_request(Requester::Peer(from));
        self.deliver(to, Event::Peer { token, request });
    }

    pub(crate) fn reply_to_peer(
        &mut self,
        process: ProcessId,
        token: gannetridge_entry_core::RequestToken,
        reply: PeerReply,
    ) {
        let requester = self.hosts[process.host].requesters.remove(&token);
        let Some(Requester::Peer(Some(call))) = requester else {
            return;
        };
        if self.sample_drop() || !self.hosts_connected(process.host, call.process.host) {
            return;
        }
        let base = self.base_delay(
            self.hosts[process.host].hall,
            self.hosts[call.process.host].hall,
        );
        let delay = self.sample_delay(base);
        self.schedule(delay, SimEvent::PeerReply(call, Box::new(Ok(reply))));
    }
}
