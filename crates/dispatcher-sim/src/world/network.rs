//! Calls between hosts and to targets, and what is lost of them.

use gannetridge_dispatcher_core::event::ProcessStartTime;
use gannetridge_dispatcher_core::message::Envelope;
use gannetridge_dispatcher_core::{
    CallId, Event, Millis, RequestId, SendFailure, StartOrder, TargetCall, TargetReply,
};
use gannetridge_wire::Name;
use rand::Rng;

use crate::target::{Attempt, RenewalOutcome};

use super::parts::{Happening, LongPoll, Pending};
use super::{World, HIT, STEP_MS};

impl World {
    pub(super) fn trip(&mut self) -> Millis {
        self.rng.random_range(0..=2)
    }

    pub(super) fn is_lossy(&mut self) -> bool {
        self.lossy_peers > 0 && self.rng.random_bool(HIT)
    }

    pub(super) fn expect(&mut self, host: usize, call: CallId) -> Pending {
        let life = self.hosts[host].life;
        self.calls.insert((host, life, call));
        Pending { host, life, call }
    }

    pub(super) fn call_peer(
        &mut self,
        host: usize,
        call: CallId,
        to: usize,
        envelope: Box<Envelope>,
        wait_ms: Millis,
    ) {
        let pending = self.expect(host, call);
        let missed = |why| Happening::Missed {
            pending,
            peer: true,
            why,
        };
        if !self.peers_cut(host, to) && !self.hosts[to].is_up {
            self.at(self.now + 1, missed(SendFailure::Refused));
            return;
        }
        self.at(self.now + wait_ms, missed(SendFailure::Unknown));
        if !self.peers_cut(host, to) && !self.is_lossy() {
            let at = self.now + self.trip();
            self.at(
                at,
                Happening::Call {
                    pending,
                    to,
                    envelope,
                },
            );
        }
    }

    pub(super) fn peer_called(&mut self, pending: Pending, to: usize, envelope: Box<Envelope>) {
        self.request_ids += 1;
        let request_id = self.request_ids;
        let there = &mut self.hosts[to];
        let life = there.life;
        there.peers.insert(request_id, pending);
        let request_id = RequestId(request_id);
        self.give(
            to,
            life,
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
        let pending = self.expect(host, call);
        let missed = |why| Happening::Missed {
            pending,
            peer: false,
            why,
        };
        let cut = self.target_cut(host, target);
        if !cut && !self.targets[target].is_up {
            self.at(self.now + 1, missed(SendFailure::Refused));
            return;
        }
        if cut && self.rng.random() {
            self.at(self.now + wait_ms.min(150), missed(SendFailure::NotSent));
            return;
        }
        self.at(self.now + wait_ms, missed(SendFailure::Unknown));
        if cut {
            return;
        }
        let late = self.late > 0 && self.rng.random_bool(HIT);
        let lost = late || (self.lost_answers > 0 && self.rng.random_bool(HIT));
        let after = if late {
            self.rng.random_range(2_000..12_000)
        } else {
            self.trip()
        };
        self.at(
            self.now + after,
            Happening::Target {
                pending,
                target,
                id,
                born: self.targets[target].born,
                token,
                order,
                lost,
            },
        );
    }

    #[expect(clippy::too_many_arguments, reason = "the fields of one happening")]
    pub(super) fn target_called(
        &mut self,
        pending: Pending,
        index: usize,
        id: &Name,
        born: ProcessStartTime,
        token: u64,
        order: TargetCall,
        lost: bool,
    ) {
        self.advance(index);
        let target = &mut self.targets[index];
        // A connection ends with the life of the process that it leads to.
        if !target.is_up || (target.entry.id == *id && target.born != born) {
            return;
        }
        if target.entry.id != *id {
            self.target_replies(pending, lost, TargetReply::WrongIncarnation);
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
                let (reply, begun) = self.start(index, token, &order);
                // An order that was lost may be carried out late: no host is bound then.
                if begun && !lost {
                    self.check_drained(pending.host, index);
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
                        self.renewals.push(LongPoll {
                            pending,
                            target: index,
                            id: id.clone(),
                            born,
                            until: now + wait_ms,
                        });
                    }
                    return;
                } else {
                    target.listing(now)
                }
            }
        };
        self.target_replies(pending, lost, reply);
    }

    pub(super) fn target_replies(&mut self, pending: Pending, lost: bool, reply: TargetReply) {
        if !lost {
            let at = self.now + self.trip();
            if self.scenario.verbose {
                println!("{at:6} host-{} hears {reply:?}", pending.host);
            }
            self.at(at, Happening::TargetReply { pending, reply });
        }
    }

    /// Starts a task; returns the reply, and whether it began.
    pub(super) fn start(
        &mut self,
        index: usize,
        token: u64,
        order: &StartOrder,
    ) -> (TargetReply, bool) {
        let now = self.now;
        let job = order.id.task.split('.').next().unwrap_or_default();
        let (resources, estimate) = self.resources[job];
        let spread: f64 = self.rng.random_range(-1.0..1.0) + self.rng.random_range(-0.5..0.5);
        let work_ms = estimate as f64 * (spread * 0.5).exp();
        let attempt = Attempt {
            resources,
            work_ms,
            remaining_ms: work_ms,
            will_fail: self.rng.random_bool(0.002),
        };
        let target = &mut self.targets[index];
        let (reply, begun) = target.start(now, token, order, attempt);
        if begun {
            let id = target.entry.id.clone();
            let over = target.used_cpu() > target.entry.capacity.cpu;
            self.checks.record_start(now, &id, &order.id, over);
            self.check_leaving(&id);
            self.plan_crash(index, &order.id);
        }
        (reply, begun)
    }

    /// A host in touch heard long ago that the target leaves.
    pub(super) fn check_leaving(&mut self, id: &Name) {
        let Some(since) = self.leaving_since.get(id).copied() else {
            return;
        };
        let calm = self.store_troubled < since && self.store_out == 0 && self.late == 0;
        if calm && self.now > since + self.scenario.bounds.drain_ms {
            self.checks.record_start_while_leaving(self.now, id);
        }
    }

    pub(super) fn advance(&mut self, index: usize) {
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

    pub(super) fn step(&mut self) {
        for index in 0..self.targets.len() {
            self.advance(index);
        }
        let renewals = std::mem::take(&mut self.renewals);
        for target_lease in renewals {
            let target = &self.targets[target_lease.target];
            let same_life = target.born == target_lease.born;
            let same = target.is_up && same_life && target.entry.id == target_lease.id;
            if same && target.unacknowledged_ends.is_empty() && target_lease.until > self.now {
                self.renewals.push(target_lease);
            } else if same && !self.target_cut(target_lease.pending.host, target_lease.target) {
                let reply = self.targets[target_lease.target].listing(self.now);
                self.target_replies(target_lease.pending, false, reply);
            }
        }
        self.at(self.now + STEP_MS, Happening::Step);
    }

    pub(super) fn peers_cut(&self, a: usize, b: usize) -> bool {
        let halls = self.halls_cut(self.hall_of_host(a), self.hall_of_host(b));
        halls || self.cut_peers.contains_key(&a) || self.cut_peers.contains_key(&b)
    }

    pub(super) fn target_cut(&self, host: usize, target: usize) -> bool {
        let halls = self.halls_cut(self.hall_of_host(host), self.hall_of_target(target));
        halls || self.cut_targets.contains_key(&host) || self.cut_target.contains_key(&target)
    }

    pub(super) fn halls_cut(&self, a: usize, b: usize) -> bool {
        a != b && (self.cut_halls.contains_key(&a) || self.cut_halls.contains_key(&b))
    }
}
