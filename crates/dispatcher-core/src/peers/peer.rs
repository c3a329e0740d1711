//! Known state of one other host: its liveness and load, the leases between the two hosts,
//! and the messages that wait to be sent to it.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::message::{
    AttemptEnd, AttemptId, EchoedClock, FreeResources, Heartbeat, HeartbeatReply, HostInfo, Reply,
    TaskOrder,
};
use crate::rules::heartbeat_intervals::HeartbeatIntervals;
use crate::rules::liveness::PeerContact;
use crate::targets::OwnerSession;
use crate::Millis;

use super::demand::ReceivedDemand;
use super::load::KnownLoad;
use super::outbox::Outbox;
use super::owner_lease::OwnerLease;
use super::schedule::HeartbeatSchedule;

/// An attempt that a peer has to stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// The task and the attempt's number.
    pub id: AttemptId,
    /// Whether the peer has to report the attempt's end.
    pub report: bool,
}

/// The known state of one other host; times in ms of this host's clock.
#[derive(Debug)]
pub struct Peer {
    /// Identity and address of its latest known incarnation.
    pub info: HostInfo,
    /// Heartbeat intervals and the liveness timeouts that follow from them.
    pub intervals: HeartbeatIntervals,
    /// When this host learnt of the incarnation.
    pub(super) learnt_at: Millis,
    /// Since when the hash in its heartbeats has differed from this host's, or since the full
    /// list of hosts was last sent to it.
    pub(super) differs_since: Option<Millis>,
    /// What was received from it, and when.
    pub contact: PeerContact,
    /// Its clock as last received, to be echoed.
    pub echoed_clock: Option<EchoedClock>,
    /// Whether it was alive at the last check.
    pub was_alive: bool,
    /// Version of its configuration.
    pub version: u64,
    /// This host's session with it, from 1; attempts of earlier sessions are given up.
    pub session: u64,
    /// The lease under which its attempts run here.
    pub owner_lease: OwnerLease,
    /// Ends of its attempts, to be reported to it.
    pub ends: Outbox<AttemptEnd>,
    /// Attempts of this host that it has to stop.
    pub stops: Outbox<StopRequest>,
    /// Neither ends nor stops are sent before this time.
    pub retry_at: Millis,
    /// When its free resources were last received.
    pub free_received_at: Millis,
    /// Its free resources as last received, less those of tasks handed over since.
    free: Vec<FreeResources>,
    /// Whether it shuts down gracefully.
    leaving: bool,
    /// The targets whose leases it holds.
    leased: HashSet<Name>,
    pub(super) demand: Option<ReceivedDemand>,
    pub(super) load: KnownLoad,
    /// When this host last reported its own free capacity to it, other than in a reply.
    pub own_load_sent_at: Millis,
    /// Delay of the first heartbeat to a new incarnation, in ms.
    first_delay_ms: Millis,
    schedule: HeartbeatSchedule,
}

impl Peer {
    /// Creates the state of a host of which only the identity is known; the first heartbeat to
    /// it is delayed by `first_delay_ms`.
    pub(super) fn new(
        now: Millis,
        first_delay_ms: Millis,
        info: HostInfo,
        intervals: HeartbeatIntervals,
    ) -> Self {
        Self {
            info,
            intervals,
            learnt_at: now,
            differs_since: None,
            contact: PeerContact {
                last_contact: now,
                ..PeerContact::default()
            },
            echoed_clock: None,
            was_alive: false,
            version: 0,
            session: 1,
            owner_lease: OwnerLease::expired(),
            ends: Outbox::default(),
            stops: Outbox::default(),
            retry_at: 0,
            free_received_at: 0,
            free: Vec::new(),
            leaving: false,
            leased: HashSet::new(),
            demand: None,
            load: KnownLoad::default(),
            own_load_sent_at: 0,
            first_delay_ms,
            schedule: HeartbeatSchedule::due_at(now + first_delay_ms),
        }
    }

    /// Returns whether it is alive, as far as known.
    #[must_use]
    pub fn is_alive(&self, now: Millis) -> bool {
        self.contact.is_alive(now, &self.intervals)
    }

    /// Returns whether tasks may be handed over to it: it is alive and not stopping.
    #[must_use]
    pub fn accepts_tasks(&self, now: Millis) -> bool {
        self.contact.is_alive(now, &self.intervals) && !self.leaving
    }

    /// Returns whether its clock was received recently enough to hand a task over to it now.
    pub(super) fn has_fresh_clock(&self, now: Millis) -> bool {
        self.contact.has_fresh_clock(now, &self.intervals)
    }

    /// Returns whether it may hold targets: it is not dead and not stopping.
    pub(super) fn may_hold_targets(&self, now: Millis) -> bool {
        !self.leaving && self.contact.retains_targets(now, &self.intervals)
    }

    /// Returns whether it reported that it holds a target's lease.
    pub(super) fn has_leased(&self, target: &Name) -> bool {
        self.leased.contains(target)
    }

    /// Returns its latest known session with this host.
    #[must_use]
    pub fn owner_session(&self) -> OwnerSession {
        OwnerSession {
            incarnation: self.info.incarnation,
            number: self.owner_lease.session,
        }
    }

    /// Records that a request was sent to it.
    pub fn record_request(&mut self, now: Millis) {
        self.contact.unanswered_since.get_or_insert(now);
    }

    /// Schedules the first heartbeat to a newer incarnation.
    pub(super) fn schedule_first_heartbeat(&mut self, now: Millis) {
        self.schedule.set_next(now + self.first_delay_ms);
    }

    /// Resets the state that belongs to an incarnation; a new one counts its sessions anew.
    pub(super) fn start_incarnation(&mut self, incarnation: u64) {
        self.info.incarnation = incarnation;
        self.owner_lease.session = 0;
        self.contact.unanswered_since = None;
        self.demand = None;
        self.clear_load();
    }

    /// Records its clock from a message; an older reading of the same incarnation is ignored.
    pub fn update_clock(&mut self, now: Millis, incarnation: u64, clock: Millis) {
        let older = self
            .echoed_clock
            .is_some_and(|known| known.incarnation == incarnation && known.clock > clock);
        if !older {
            self.echoed_clock = Some(EchoedClock { incarnation, clock });
            self.contact.clock = Some(now);
        }
    }

    /// Returns when its clock was last received; 0 if never, in which case no attempt of this
    /// host can run there.
    #[must_use]
    pub fn clock_received_at(&self) -> Millis {
        self.contact.clock.unwrap_or(0)
    }

    /// Handles the fields that every reply has.
    pub(super) fn handle_reply(&mut self, now: Millis, reply: &Reply) {
        self.update_clock(now, reply.incarnation, reply.clock);
        self.contact.last_contact = now;
        self.contact.refused = false;
        self.contact.unanswered_since = None;
        self.free = reply.free.clone();
        self.free_received_at = now;
    }

    /// Handles its heartbeat.
    pub fn handle_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        self.leaving = heartbeat.leaving;
        self.version = heartbeat.version;
        // A peer that never replied may have just started.
        if self.contact.acknowledged.is_none() {
            self.schedule.require_by(now + self.first_delay_ms);
        }
    }

    /// Handles its reply to a heartbeat.
    pub(super) fn handle_heartbeat_reply(&mut self, reply: &HeartbeatReply) {
        self.leaving = reply.leaving;
        self.version = reply.version;
        self.leased = reply.leased.iter().cloned().collect();
    }

    /// Records that attempts of this host may run there from now on, and schedules heartbeats
    /// accordingly.
    pub fn start_use(&mut self, now: Millis) {
        self.contact.in_use_since.get_or_insert(now);
        let latest = self.clock_received_at() + self.intervals.heartbeat_ms;
        self.schedule.require_by(latest);
    }

    /// Records that no attempt of this host runs there.
    pub fn end_use(&mut self) {
        self.contact.in_use_since = None;
    }

    /// Starts a new session: this host's attempts there are given up.
    pub fn start_session(&mut self) {
        self.session += 1;
        self.stops.clear();
        self.free.clear();
        self.clear_load();
        self.end_use();
    }

    /// Makes a heartbeat due at once.
    pub fn schedule_heartbeat_now(&mut self, now: Millis) {
        self.schedule.set_next(now);
    }

    /// Returns whether a heartbeat is due, and schedules the next one if it is. `silent_ms` is
    /// the shortest interval to a peer that isn't alive.
    pub(super) fn take_due_heartbeat(&mut self, now: Millis, silent_ms: Millis) -> bool {
        let intervals = &self.intervals;
        let alive = self.contact.is_alive(now, intervals);
        let interval = match (alive, self.contact.in_use_since) {
            (true, Some(_)) => intervals.heartbeat_ms,
            (true, None) => intervals.idle_ms,
            (false, _) => silent_ms.max(intervals.idle_ms),
        };
        self.schedule.take_due(now, interval)
    }

    /// Postpones the next heartbeat because the peer just replied to another request.
    pub fn postpone_heartbeat(&mut self, now: Millis) {
        self.schedule.postpone(now, &self.intervals);
    }

    /// Returns whether its clock may be requested now, and records the request; false if it was
    /// requested within `pause_ms`.
    pub fn try_request_clock(&mut self, now: Millis, pause_ms: Millis) -> bool {
        self.schedule.try_request_clock(now, pause_ms)
    }

    /// Returns whether it has, as far as known, these resources free in any pool.
    pub(super) fn may_fit(&self, resources: &crate::spec::Resources) -> bool {
        let mut free = self.free.iter();
        free.any(|free| free.resources.fits(resources))
    }

    /// Returns whether it has, as far as known, free resources for an order.
    pub(super) fn has_free_resources(&self, order: &TaskOrder) -> bool {
        self.free.iter().any(|free| fits(free, order))
    }

    /// Deducts an order's resources from its known free resources.
    pub(super) fn deduct(&mut self, order: &TaskOrder) {
        let fitting = self.free.iter_mut().filter(|free| fits(free, order));
        if let Some(free) = fitting.min_by_key(|free| free.resources.cpu) {
            free.resources = free.resources.saturating_sub(&order.resources);
        }
    }

    /// Returns its known free processor capacity, in thousandths of a core.
    pub(super) fn free_cpu(&self) -> u32 {
        let cpu = self.free.iter().map(|free| free.resources.cpu);
        cpu.fold(0, u32::saturating_add)
    }
}

fn fits(free: &FreeResources, order: &TaskOrder) -> bool {
    free.pool == order.pool && free.resources.fits(&order.resources)
}
