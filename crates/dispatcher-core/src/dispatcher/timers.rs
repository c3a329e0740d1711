//! What is due from time to time, and what is handed on after each event.
//!
//! After each event the parts leave things for each other: ends of attempts for their
//! owners, attempts to be stopped, waiting tasks. They are handed on until nothing is
//! left, then sent.

use gannetridge_wire::Name;

use crate::decision::{Decision, StopReason};
use crate::jobs::{AttemptLocation, AttemptToStop, TickContext};
use crate::message::{AttemptEnd, AttemptId, Heartbeat, HostInfo, Request, TaskOrder};
use crate::peers::StopRequest;
use crate::rules::giving_up::is_host_starting;
use crate::rules::leases::Times;
use crate::rules::liveness::knows_peers;
use crate::targets::EndReport;
use crate::Millis;

use super::peer_calls::Purpose;
use super::placement::has_room;
use super::Dispatcher;

/// Between ticks while jobs or attempts are under way, in ms: how finely deadlines and leases are
/// seen.
const TICK_MS: Millis = 10;
/// Between ticks while nothing is under way, in ms.
const IDLE_TICK_MS: Millis = 50;
/// Between looks at which targets are this host's, in ms.
const ASSIGNMENT_MS: Millis = 50;
/// After its start a host waits this long for news of others before it acquires
/// targets, in ms: what a shorter wait gains after all hosts were lost it loses where they are
/// stopped in turn.
const SETTLE_MS: Millis = 250;

/// When what is due; times in ms of this host's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timers {
    /// When the first event came.
    pub(super) started: Option<Millis>,
    /// Whether this host has held any target.
    held_targets: bool,
    /// When the last event came.
    last_event: Millis,
    pub(super) next_tick: Millis,
    next_assignment: Millis,
    /// Crashes aren't told of before this time.
    pub(super) next_crash_news: Millis,
}

impl Timers {
    /// Returns how long the process stood still before this event, if it did: no event came for
    /// longer than half of an owner lease, though timers come far more often. Others may take
    /// this host's targets after a whole one.
    pub(super) fn stood_still(&mut self, now: Millis, times: &Times) -> Option<Millis> {
        let before = std::mem::replace(&mut self.last_event, now);
        let gap_ms = now.saturating_sub(before);
        let began = self.started.is_some();
        self.started.get_or_insert(now);
        (began && gap_ms > times.owner_lease / 2).then_some(gap_ms)
    }

    /// Makes all timers due.
    pub(super) fn hurry(&mut self, now: Millis) {
        self.next_tick = now;
        self.next_assignment = now;
    }
}

impl Dispatcher {
    pub(super) fn tick(&mut self, now: Millis) {
        self.timers.next_tick = now + IDLE_TICK_MS;
        self.tick_jobs(now);
        self.assign(now);
        self.end_where_all_drain(now);
        self.targets.tick(now);
        self.send_heartbeats(now);
        self.ask_for_store_news(now);
        self.tell_crashes(now);
        self.peers.remove_silent(now);
        self.stop_if_done(now);
    }

    /// Does what is due for jobs.
    fn tick_jobs(&mut self, now: Millis) {
        let starting = self.is_starting(now);
        let (targets, peers) = (&self.targets, &self.peers);
        let surroundings = TickContext {
            starting,
            order: self.settings.scheduling.order,
            has_free_capacity: |order: &TaskOrder| has_room(targets, peers, now, order),
        };
        self.jobs.tick(now, &surroundings);
    }

    /// Returns whether this host has just started and hadn't held any target by the last
    /// tick: jobs that waited for the first ones are placed before any is given up.
    fn is_starting(&mut self, now: Millis) -> bool {
        let age_ms = now.saturating_sub(self.timers.started.unwrap_or(now));
        let starting = is_host_starting(age_ms, self.timers.held_targets);
        self.timers.held_targets = self.timers.held_targets || self.targets.holds_any_lease();
        starting
    }

    fn assign(&mut self, now: Millis) {
        if now < self.timers.next_assignment {
            return;
        }
        self.timers.next_assignment = now + ASSIGNMENT_MS;
        let started = self.timers.started.unwrap_or(now);
        let knows_others = knows_peers(now, started, self.peers.awaits_first_reply());
        let may_acquire = started + SETTLE_MS <= now && knows_others;
        let hosts = self.assigning_hosts(now);
        let peers = &self.peers;
        let claimed = |id: &Name| peers.is_leased_elsewhere(now, id);
        self.targets.assign(now, &hosts, claimed, may_acquire);
        self.give_back_hopeless(now);
    }

    /// Returns the hosts that share the targets: those that stay or may be there, or this one
    /// alone where no other does.
    fn assigning_hosts(&self, now: Millis) -> Vec<HostInfo> {
        let sharing = self
            .peers
            .hosts_sharing_targets(now, self.stopping.is_none());
        if sharing.is_empty() {
            return vec![self.own.clone()];
        }
        sharing
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        Heartbeat {
            leaving: self.stopping.is_some(),
            version: self.version(),
            hosts_hash: self.peers.hosts_hash(),
        }
    }

    fn send_heartbeats(&mut self, now: Millis) {
        self.peers
            .set_peers_in_use(now, &self.jobs.peers_with_attempts());
        let (peers, seeds) = (self.peers.heartbeats_due(now), self.peers.seeds_due(now));
        if peers.is_empty() && seeds.is_empty() {
            return;
        }
        let heartbeat = self.heartbeat();
        for name in peers {
            let request = Request::Heartbeat(heartbeat.clone());
            self.call_peer(now, &name, request, Purpose::Heartbeat);
        }
        for seed in seeds {
            self.call_seed(now, seed, Request::Heartbeat(heartbeat.clone()));
        }
    }

    /// Hands on what the parts have left for each other, and starts what can be
    /// started.
    pub(super) fn hand_on(&mut self, now: Millis) {
        self.deliver_reports(now);
        self.schedule(now);
        self.deliver_stops(now);
        self.deliver_reports(now);
        self.send_outboxes(now);
        self.targets.send_renewals(now);
        let busy = !self.jobs.is_empty() || self.targets.has_attempts();
        if busy {
            self.timers.next_tick = self.timers.next_tick.min(now + TICK_MS);
        }
        self.actions.extend(self.jobs.take_actions());
        self.actions.extend(self.targets.take_actions());
    }

    /// Tells owners of the ends of their attempts.
    fn deliver_reports(&mut self, now: Millis) {
        for report in self.targets.take_reports() {
            self.record(Decision::AttemptEnded {
                id: report.end.id.clone(),
                target: report.end.target.clone(),
                outcome: report.end.outcome,
                by: report.by,
                took_ms: report.took_ms,
            });
            if report.owner.host == self.own.name {
                self.jobs.handle_attempt_end(now, &report.end);
            } else {
                self.report_to_peer(now, report);
            }
        }
    }

    /// Reports an end to a peer, if it still waits for it.
    fn report_to_peer(&mut self, now: Millis, report: EndReport) {
        let counted = self.settings.safeguards.crashes_are_counted;
        let crashed = counted && report.end.outcome.is_crash();
        let Some(peer) = self.peers.get_mut(&report.owner.host) else {
            return;
        };
        let same_session = peer.owner_session() == report.owner.session;
        let waits = same_session && peer.owner_lease.is_valid();
        // Crashes count for the task also where its job has ended.
        if waits && (report.report_wanted || crashed) {
            peer.ends.push(report.end);
        } else if crashed {
            self.jobs.count_crash(now, &report.end);
        }
    }

    fn deliver_stops(&mut self, now: Millis) {
        for AttemptToStop { location, id } in self.jobs.take_stops() {
            match location {
                AttemptLocation::Local => {
                    let own = self.own.name.clone();
                    let reason = StopReason::JobEnded;
                    self.targets.stop(now, &own, &[id], false, reason);
                }
                AttemptLocation::Peer(name) => {
                    if let Some(peer) = self.peers.get_mut(&name) {
                        peer.stops.push(StopRequest { id, report: false });
                    }
                }
            }
        }
    }

    fn send_outboxes(&mut self, now: Millis) {
        let peers = self.peers.iter();
        let waiting = peers.filter(|(_, peer)| peer.ends.has_waiting() || peer.stops.has_waiting());
        let names: Vec<Name> = waiting.map(|(name, _)| name.clone()).collect();
        for name in names {
            self.send_ends(now, &name);
            self.send_stops(now, &name);
        }
    }

    fn send_ends(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.get_mut(name).expect("the peer is known");
        if !peer.owner_lease.is_valid() {
            // It has given its attempts up as well.
            peer.ends.clear_waiting();
            return;
        }
        if !peer.ends.may_send() || peer.retry_at > now {
            return;
        }
        let ends: Vec<AttemptEnd> = peer.ends.take_matching(|_| true);
        let request = Request::Ended(ends.clone());
        if let Some(call) = self.call_peer(now, name, request, Purpose::Ended) {
            let peer = self.peers.get_mut(name).expect("the peer is known");
            peer.ends.record_sent(call, ends);
        }
    }

    fn send_stops(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.get_mut(name).expect("the peer is known");
        if !peer.stops.may_send() || peer.retry_at > now {
            return;
        }
        // One request carries stops that agree on whether their ends are reported.
        let report = peer.stops.first().is_some_and(|stop| stop.report);
        let stops = peer.stops.take_matching(|stop| stop.report == report);
        let keys: Vec<AttemptId> = stops.iter().map(|stop| stop.id.clone()).collect();
        let request = Request::Stop { keys, report };
        if let Some(call) = self.call_peer(now, name, request, Purpose::Stop) {
            let peer = self.peers.get_mut(name).expect("the peer is known");
            peer.stops.record_sent(call, stops);
        }
    }
}
