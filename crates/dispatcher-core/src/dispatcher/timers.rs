//! Periodic work, and the work that follows each event.
//!
//! An event leaves work between the parts of a host: ends of attempts to report to their owners,
//! attempts to stop, waiting tasks to place. After each event this work is passed on, and the
//! resulting messages are sent.

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
use super::placement::has_free_target;
use super::Dispatcher;

/// The interval between ticks while jobs or attempts are in progress, in ms: the resolution of
/// deadlines and leases.
const TICK_MS: Millis = 10;
/// The interval between ticks while nothing is in progress, in ms.
const IDLE_TICK_MS: Millis = 50;
/// The interval between assignments of targets to hosts, in ms.
const ASSIGNMENT_INTERVAL_MS: Millis = 50;
/// How long a host waits after its start to learn of other hosts before it acquires targets, in ms.
/// A shorter wait would help after the loss of all hosts, but hurt where they are restarted in
/// turn.
const SETTLE_MS: Millis = 250;

/// The times of periodic work, in ms of this host's clock.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Timers {
    /// The time of the first event.
    pub(super) started: Option<Millis>,
    /// True if this host has held the lease of any target.
    held_targets: bool,
    /// The time of the last event.
    last_event: Millis,
    pub(super) next_tick: Millis,
    next_assignment: Millis,
    /// The earliest time of the next report of crashes.
    pub(super) next_crash_report: Millis,
}

impl Timers {
    /// Returns the time since the last event if the process was stalled: no event came for more
    /// than half of an owner lease, though ticks are far more frequent. After a whole owner lease
    /// other hosts may acquire this host's targets.
    pub(super) fn detect_stall(&mut self, now: Millis, times: &Times) -> Option<Millis> {
        let before = std::mem::replace(&mut self.last_event, now);
        let gap_ms = now.saturating_sub(before);
        let has_started = self.started.is_some();
        self.started.get_or_insert(now);
        (has_started && gap_ms > times.owner_lease_ms / 2).then_some(gap_ms)
    }

    /// Makes the next tick and the next assignment due.
    pub(super) fn make_all_due(&mut self, now: Millis) {
        self.next_tick = now;
        self.next_assignment = now;
    }
}

impl Dispatcher {
    pub(super) fn tick(&mut self, now: Millis) {
        self.timers.next_tick = now + IDLE_TICK_MS;
        self.tick_jobs(now);
        self.assign_targets(now);
        self.end_jobs_blocked_by_draining(now);
        self.targets.tick(now);
        self.send_heartbeats(now);
        self.request_store_updates(now);
        self.report_crashes(now);
        self.peers.remove_silent(now);
        self.finish_shutdown_if_due(now);
    }

    /// Runs the periodic work of jobs.
    fn tick_jobs(&mut self, now: Millis) {
        let host_is_starting = self.is_starting(now);
        let (targets, peers) = (&self.targets, &self.peers);
        let context = TickContext {
            host_is_starting,
            order: self.settings.scheduling.order,
            has_free_target: |order: &TaskOrder| has_free_target(targets, peers, now, order),
        };
        self.jobs.tick(now, &context);
    }

    /// Returns true if this host has just started and hadn't held any target by the last tick. Jobs
    /// that waited for the first targets are placed before any is given up.
    fn is_starting(&mut self, now: Millis) -> bool {
        let age_ms = now.saturating_sub(self.timers.started.unwrap_or(now));
        let starting = is_host_starting(age_ms, self.timers.held_targets);
        self.timers.held_targets = self.timers.held_targets || self.targets.holds_any_lease();
        starting
    }

    fn assign_targets(&mut self, now: Millis) {
        if now < self.timers.next_assignment {
            return;
        }
        self.timers.next_assignment = now + ASSIGNMENT_INTERVAL_MS;
        let started = self.timers.started.unwrap_or(now);
        let knows_others = knows_peers(now, started, self.peers.awaits_first_reply());
        let may_acquire = started + SETTLE_MS <= now && knows_others;
        let hosts = self.assigning_hosts(now);
        let peers = &self.peers;
        let claimed = |id: &Name| peers.is_leased_elsewhere(now, id);
        self.targets.assign(now, &hosts, claimed, may_acquire);
        self.return_unrunnable(now);
    }

    /// Returns the hosts to which targets are assigned: those that share them, or only this host if
    /// there are none.
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

    /// Passes pending work between the parts, places waiting tasks and collects the actions.
    pub(super) fn process_pending_work(&mut self, now: Millis) {
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

    /// Reports the ends of attempts to their owners.
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

    /// Reports the end of an attempt to a peer, if the peer still expects it.
    fn report_to_peer(&mut self, now: Millis, report: EndReport) {
        let counted = self.settings.safeguards.crashes_are_counted;
        let crashed = counted && report.end.outcome.is_crash();
        let Some(peer) = self.peers.get_mut(&report.owner.host) else {
            return;
        };
        let same_session = peer.owner_session() == report.owner.session;
        let is_expected = same_session && peer.owner_lease.is_valid();
        // A crash counts for the task even if its job has ended.
        if is_expected && (report.report_wanted || crashed) {
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
            // The peer has given up its attempts too.
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
        // A request has one `report` flag for all its stops.
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
