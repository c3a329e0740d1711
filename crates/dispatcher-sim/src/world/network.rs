//! Calls between hosts and to targets, with their delays, losses and failures.

use gannetridge_dispatcher_core::event::ProcessStartTime;
use gannetridge_dispatcher_core::message::Envelope;
use gannetridge_dispatcher_core::{
    CallId, Event, Millis, RequestId, SendFailure, StartOrder, TargetCall, TargetReply,
};
use gannetridge_wire::Name;
use rand::Rng;

use crate::target::{Attempt, RenewalOutcome};

use super::model::{LongPoll, Pending, SimEvent};
use super::{World, ADVANCE_INTERVAL_MS, CALL_FAULT_PROBABILITY};

impl World {
    /// Returns the random one-way delay of a message.
    pub(super) fn random_latency_ms(&mut self) -> Millis {
        self.rng.random_range(0..=2)
    }

    pub(super) fn loses_peer_message(&mut self) -> bool {
        self.lossy_peers > 0 && self.rng.random_bool(CALL_FAULT_PROBABILITY)
    }

    /// Registers a call that waits for a reply.
    pub(super) fn register_call(&mut self, host: usize, call: CallId) -> Pending {
        let instance = self.hosts[host].instance;
        self.open_calls.insert((host, instance, call));
        Pending {
            host,
            instance,
            call,
        }
    }

    pub(super) fn call_peer(
        &mut self,
        host: usize,
        call: CallId,
        to: usize,
        envelope: Box<Envelope>,
        wait_ms: Millis,
    ) {
        let pending = self.register_call(host, call);
        let failed = |failure| SimEvent::CallFailed {
            pending,
            is_peer_call: true,
            failure,
        };
        if !self.are_peers_cut(host, to) && !self.hosts[to].is_up {
            self.schedule(self.now + 1, failed(SendFailure::Refused));
            return;
        }
        self.schedule(self.now + wait_ms, failed(SendFailure::Unknown));
        if !self.are_peers_cut(host, to) && !self.loses_peer_message() {
            let at = self.now + self.random_latency_ms();
            self.schedule(
                at,
                SimEvent::PeerCall {
                    pending,
                    to,
                    envelope,
                },
            );
        }
    }

    pub(super) fn handle_peer_call(
        &mut self,
        pending: Pending,
        to: usize,
        envelope: Box<Envelope>,
    ) {
        self.request_ids += 1;
        let request_id = self.request_ids;
        let host_state = &mut self.hosts[to];
        let instance = host_state.instance;
        host_state.waiting_peers.insert(request_id, pending);
        let request_id = RequestId(request_id);
        self.deliver_event(
            to,
            instance,
            Event::Peer {
                request_id,
                envelope,
            },
        );
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one action")]
    pub(super) fn call_target(
        &mut self,
        host: usize,
        call: CallId,
        target: usize,
        id: Name,
        token: u64,
        order: TargetCall,
        wait_ms: Millis,
    ) {
        let pending = self.register_call(host, call);
        let failed = |failure| SimEvent::CallFailed {
            pending,
            is_peer_call: false,
            failure,
        };
        let is_cut = self.is_target_cut(host, target);
        if !is_cut && !self.targets[target].is_up {
            self.schedule(self.now + 1, failed(SendFailure::Refused));
            return;
        }
        if is_cut && self.rng.random() {
            self.schedule(self.now + wait_ms.min(150), failed(SendFailure::NotSent));
            return;
        }
        self.schedule(self.now + wait_ms, failed(SendFailure::Unknown));
        if is_cut {
            return;
        }
        let is_late = self.late_calls > 0 && self.rng.random_bool(CALL_FAULT_PROBABILITY);
        let lost =
            is_late || (self.lost_replies > 0 && self.rng.random_bool(CALL_FAULT_PROBABILITY));
        let after = if is_late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.random_latency_ms()
        };
        self.schedule(
            self.now + after,
            SimEvent::TargetCall {
                pending,
                target,
                id,
                process_start: self.targets[target].process_start,
                token,
                order,
                lost,
            },
        );
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one event")]
    pub(super) fn handle_target_call(
        &mut self,
        pending: Pending,
        index: usize,
        id: &Name,
        process_start: ProcessStartTime,
        token: u64,
        order: TargetCall,
        lost: bool,
    ) {
        self.advance_target(index);
        let target = &mut self.targets[index];
        // A connection doesn't outlive the process to which it was opened.
        if !target.is_up || (target.entry.id == *id && target.process_start != process_start) {
            return;
        }
        if target.entry.id != *id {
            self.send_target_reply(pending, lost, TargetReply::WrongIncarnation);
            return;
        }
        let now = self.now;
        if self.scenario.verbose {
            let clock = target.clock(now) as Millis;
            let from = pending.host;
            println!("{now:6} {id} at {clock} of its clock: host-{from} token {token} {order:?}");
        }
        let reply = match order {
            TargetCall::Start(order) => {
                let (reply, started) = self.start_attempt(index, token, &order);
                // A call whose reply is lost may be carried out late, when the bound no longer
                // applies.
                if started && !lost {
                    self.check_start_in_hall(pending.host, index);
                }
                reply
            }
            TargetCall::Stop(key) => {
                let (reply, ended) = target.stop(now, token, &key);
                if let Some(ended) = ended {
                    self.checks.record_end(id, &ended.id, ended.outcome);
                }
                reply
            }
            TargetCall::Renew {
                until,
                acknowledged,
                wait_ms,
            } => {
                let renewed = target.renew(now, token, until, acknowledged);
                if let RenewalOutcome::Applied {
                    unlisted_end: Some(key),
                } = &renewed
                {
                    self.checks.record_unlisted_end(now, id, key);
                }
                if renewed == RenewalOutcome::StaleToken {
                    let clock = target.clock(now) as Millis;
                    TargetReply::StaleToken { clock }
                } else if target.unacknowledged_ends.is_empty() && wait_ms > 0 {
                    if !lost {
                        self.long_polls.push(LongPoll {
                            pending,
                            target: index,
                            id: id.clone(),
                            process_start,
                            until: now + wait_ms,
                        });
                    }
                    return;
                } else {
                    target.listing(now)
                }
            }
        };
        self.send_target_reply(pending, lost, reply);
    }

    pub(super) fn send_target_reply(&mut self, pending: Pending, lost: bool, reply: TargetReply) {
        if !lost {
            let at = self.now + self.random_latency_ms();
            if self.scenario.verbose {
                println!("{at:6} host-{} receives {reply:?}", pending.host);
            }
            self.schedule(at, SimEvent::TargetReply { pending, reply });
        }
    }

    /// Has a target handle a start; returns the reply, and `true` if the attempt was started.
    pub(super) fn start_attempt(
        &mut self,
        index: usize,
        token: u64,
        order: &StartOrder,
    ) -> (TargetReply, bool) {
        let now = self.now;
        let job = order.id.task.split('.').next().unwrap_or_default();
        let (resources, estimate) = self.resources[job];
        let noise: f64 = self.rng.random_range(-1.0..1.0) + self.rng.random_range(-0.5..0.5);
        let work_ms = estimate as f64 * (noise * 0.5).exp();
        let attempt = Attempt {
            resources,
            work_ms,
            remaining_ms: work_ms,
            will_fail: self.rng.random_bool(0.002),
        };
        let target = &mut self.targets[index];
        let (reply, started) = target.start(now, token, order, attempt);
        if started {
            let id = target.entry.id.clone();
            let over_capacity = target.used_cpu() > target.entry.capacity.cpu;
            self.checks.record_start(now, &id, &order.id, over_capacity);
            self.check_leaving(&id);
            self.schedule_task_crash(index, &order.id);
        }
        (reply, started)
    }

    /// Checks that a target on which an attempt started hasn't been leaving for longer than the
    /// bound, unless the store was out since or calls may be late.
    pub(super) fn check_leaving(&mut self, id: &Name) {
        let Some(since) = self.leaving_since.get(id).copied() else {
            return;
        };
        let hosts_must_know =
            self.last_store_outage < since && self.store_outages == 0 && self.late_calls == 0;
        if hosts_must_know && self.now > since + self.scenario.bounds.drain_ms {
            self.checks.record_start_while_leaving(self.now, id);
        }
    }

    pub(super) fn advance_target(&mut self, index: usize) {
        let ends = self.targets[index].advance(self.now);
        let id = self.targets[index].entry.id.clone();
        for ended in ends {
            if self.scenario.verbose {
                println!(
                    "{:6} {id} ends {:?} {:?}",
                    self.now, ended.id, ended.outcome
                );
            }
            self.checks.record_end(&id, &ended.id, ended.outcome);
        }
    }

    pub(super) fn advance_targets(&mut self) {
        for index in 0..self.targets.len() {
            self.advance_target(index);
        }
        let long_polls = std::mem::take(&mut self.long_polls);
        for long_poll in long_polls {
            let target = &self.targets[long_poll.target];
            let same_incarnation = target.process_start == long_poll.process_start;
            let is_same_process =
                target.is_up && same_incarnation && target.entry.id == long_poll.id;
            if is_same_process
                && target.unacknowledged_ends.is_empty()
                && long_poll.until > self.now
            {
                self.long_polls.push(long_poll);
            } else if is_same_process
                && !self.is_target_cut(long_poll.pending.host, long_poll.target)
            {
                let reply = self.targets[long_poll.target].listing(self.now);
                self.send_target_reply(long_poll.pending, false, reply);
            }
        }
        self.schedule(self.now + ADVANCE_INTERVAL_MS, SimEvent::AdvanceTargets);
    }

    pub(super) fn are_peers_cut(&self, a: usize, b: usize) -> bool {
        let halls = self.are_halls_cut(self.hall_of_host(a), self.hall_of_host(b));
        halls
            || self.hosts_cut_from_peers.contains_key(&a)
            || self.hosts_cut_from_peers.contains_key(&b)
    }

    pub(super) fn is_target_cut(&self, host: usize, target: usize) -> bool {
        let halls = self.are_halls_cut(self.hall_of_host(host), self.hall_of_target(target));
        halls
            || self.hosts_cut_from_targets.contains_key(&host)
            || self.cut_off_targets.contains_key(&target)
    }

    pub(super) fn are_halls_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut_off_halls.contains_key(&a) || self.cut_off_halls.contains_key(&b))
    }
}
