//! One other host, as this host knows it: what was heard of it, the leases between the
//! two, and what is to be sent to it.

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

use super::demand::HeardDemand;
use super::load::BelievedLoad;
use super::outbox::Outbox;
use super::owner_lease::OwnerLease;
use super::schedule::Schedule;

/// An attempt that a peer is to stop.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopRequest {
    /// The attempt.
    pub id: AttemptId,
    /// Whether this host wants to be told of its end.
    pub report: bool,
}

/// What is known of one other host; times in ms of this host's clock.
#[derive(Debug)]
pub struct Peer {
    /// Its latest incarnation.
    pub info: HostInfo,
    /// How often the two send each other heartbeats, and what follows from it.
    pub intervals: HeartbeatIntervals,
    /// When this incarnation was heard of.
    pub(super) learnt: Millis,
    /// Since when its heartbeats show that it knows other hosts than this one.
    pub(super) differs_since: Option<Millis>,
    /// What was heard of it, and when.
    pub contact: PeerContact,
    /// Its clock as last heard, to be sent back.
    pub echoed_clock: Option<EchoedClock>,
    /// Whether it was taken to live when last looked at.
    pub was_alive: bool,
    /// The version of its configuration.
    pub version: u64,
    /// This host's session with it: attempts of earlier ones are given up.
    pub session: u64,
    /// The lease of its attempts here.
    pub owner_lease: OwnerLease,
    /// Ends of its attempts, to be told.
    pub ends: Outbox<AttemptEnd>,
    /// Attempts to be stopped there.
    pub stops: Outbox<StopRequest>,
    /// Neither ends nor stops are sent again before this time.
    pub retry_at: Millis,
    /// When its free resources were heard.
    pub free_received_at: Millis,
    /// Its free resources as last heard, less what was handed over since.
    free: Vec<FreeResources>,
    /// Whether it stops in order.
    leaving: bool,
    /// The targets whose leases it holds.
    leased: HashSet<Name>,
    pub(super) demand: Option<HeardDemand>,
    pub(super) load: BelievedLoad,
    /// When it was last told of room here.
    pub load_sent_at: Millis,
    /// How long the first heartbeat to an incarnation of it waits, in ms.
    first_wait: Millis,
    schedule: Schedule,
}

impl Peer {
    /// Knows nothing of a host but its identity; the first heartbeat to it waits for
    /// `first_wait` ms.
    pub(super) fn new(
        now: Millis,
        first_wait: Millis,
        info: HostInfo,
        intervals: HeartbeatIntervals,
    ) -> Self {
        Self {
            info,
            intervals,
            learnt: now,
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
            load: BelievedLoad::default(),
            load_sent_at: 0,
            first_wait,
            schedule: Schedule::due_at(now + first_wait),
        }
    }

    /// Returns whether it is taken to live.
    #[must_use]
    pub fn is_alive(&self, now: Millis) -> bool {
        self.contact.is_alive(now, &self.intervals)
    }

    /// Returns whether tasks may be handed to it.
    #[must_use]
    pub fn accepts_tasks(&self, now: Millis) -> bool {
        self.contact.is_alive(now, &self.intervals) && !self.leaving
    }

    /// Returns whether a task may be handed to it now, as far as its clock goes.
    pub(super) fn has_fresh_clock(&self, now: Millis) -> bool {
        self.contact.has_fresh_clock(now, &self.intervals)
    }

    /// Returns whether it may hold targets: it lives, or is slow, and stays.
    pub(super) fn stays(&self, now: Millis) -> bool {
        !self.leaving && self.contact.retains_targets(now, &self.intervals)
    }

    /// Returns whether it said that it holds a target's lease.
    pub(super) fn has_leased(&self, target: &Name) -> bool {
        self.leased.contains(target)
    }

    /// Returns its newest session with this host.
    #[must_use]
    pub fn owner_session(&self) -> OwnerSession {
        OwnerSession {
            incarnation: self.info.incarnation,
            number: self.owner_lease.session,
        }
    }

    /// Records that it was asked something.
    pub fn record_request(&mut self, now: Millis) {
        self.contact.unanswered_since.get_or_insert(now);
    }

    /// Has the first heartbeat sent to a newer incarnation in time.
    pub(super) fn greet(&mut self, now: Millis) {
        self.schedule.make_due(now + self.first_wait);
    }

    /// Handles a newer incarnation, whose sessions begin anew.
    pub(super) fn begin_incarnation(&mut self, incarnation: u64) {
        self.info.incarnation = incarnation;
        self.owner_lease.session = 0;
        self.contact.unanswered_since = None;
        self.demand = None;
        self.forget_load();
    }

    /// Records its clock, as it was when it sent what just came.
    pub fn update_clock(&mut self, now: Millis, incarnation: u64, clock: Millis) {
        let older = self
            .echoed_clock
            .is_some_and(|known| known.incarnation == incarnation && known.clock > clock);
        if !older {
            self.echoed_clock = Some(EchoedClock { incarnation, clock });
            self.contact.clock = Some(now);
        }
    }

    /// Returns when its clock was last heard, 0 if it never was: no attempt can be
    /// there then.
    #[must_use]
    pub fn clock_received_at(&self) -> Millis {
        self.contact.clock.unwrap_or(0)
    }

    /// Handles what every reply says.
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
        // One that never answered may have just started.
        if self.contact.acknowledged.is_none() {
            self.schedule.no_later_than(now + self.first_wait);
        }
    }

    /// Handles its reply to a heartbeat.
    pub(super) fn handle_heartbeat_reply(&mut self, reply: &HeartbeatReply) {
        self.leaving = reply.leaving;
        self.version = reply.version;
        self.leased = reply.leased.iter().cloned().collect();
    }

    /// Records that attempts of this host may run there from now on.
    pub fn start_use(&mut self, now: Millis) {
        self.contact.in_use_since.get_or_insert(now);
        let latest = self.clock_received_at() + self.intervals.heartbeat;
        self.schedule.no_later_than(latest);
    }

    /// Records that no attempt of this host runs there.
    pub fn end_use(&mut self) {
        self.contact.in_use_since = None;
    }

    /// Gives all attempts there up: a new session begins.
    pub fn start_session(&mut self) {
        self.session += 1;
        self.stops.clear();
        self.free.clear();
        self.forget_load();
        self.end_use();
    }

    /// Has a heartbeat sent to it at once.
    pub fn schedule_heartbeat_now(&mut self, now: Millis) {
        self.schedule.make_due(now);
    }

    /// Returns whether a heartbeat is due, and plans the next one if it is.
    pub(super) fn take_due_heartbeat(&mut self, now: Millis, silent_ms: Millis) -> bool {
        let intervals = &self.intervals;
        let alive = self.contact.is_alive(now, intervals);
        let interval = match (alive, self.contact.in_use_since) {
            (true, Some(_)) => intervals.heartbeat,
            (true, None) => intervals.idle,
            (false, _) => silent_ms.max(intervals.idle),
        };
        self.schedule.take_due(now, interval)
    }

    /// Postpones the next heartbeat, since the peer just answered something else.
    /// Now and then one is due all the same: it tells more.
    pub fn postpone_heartbeat(&mut self, now: Millis) {
        self.schedule.postpone(now, &self.intervals);
    }

    /// Returns whether its clock is to be asked for: not if that was done within
    /// `pause_ms`. Records that it is.
    pub fn try_request_clock(&mut self, now: Millis, pause_ms: Millis) -> bool {
        self.schedule.try_request_clock(now, pause_ms)
    }

    /// Returns whether it is believed to have resources of any pool free.
    pub(super) fn may_fit(&self, resources: &crate::spec::Resources) -> bool {
        let mut free = self.free.iter();
        free.any(|free| free.resources.fits(resources))
    }

    /// Returns whether it is believed to have the resources for an order.
    pub(super) fn has_resources(&self, order: &TaskOrder) -> bool {
        self.free.iter().any(|free| fits(free, order))
    }

    /// Takes an order's resources off what it is believed to have free.
    pub(super) fn deduct(&mut self, order: &TaskOrder) {
        let fitting = self.free.iter_mut().filter(|free| fits(free, order));
        if let Some(free) = fitting.min_by_key(|free| free.resources.cpu) {
            free.resources = free.resources.minus(&order.resources);
        }
    }

    /// Returns its free processor time, in thousandths of a core.
    pub(super) fn free_cpu(&self) -> u32 {
        self.free.iter().map(|free| free.resources.cpu).sum()
    }
}

fn fits(free: &FreeResources, order: &TaskOrder) -> bool {
    free.pool == order.pool && free.resources.fits(&order.resources)
}
