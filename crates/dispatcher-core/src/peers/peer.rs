//! One other host.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::event::CallId;
use crate::heartbeat_intervals::HeartbeatIntervals;
use crate::message::{
    AttemptEnd, AttemptId, Demand, EchoedClock, FreeResources, HostInfo, TaskOrder,
};
use crate::Millis;

/// A host that hears less than half of the others may be the one that is cut
/// off: it leaves their targets to them for so long after it last heard them.
const ISOLATED_MS: Millis = 8_000;

/// What is known of one other host.
#[derive(Debug)]
pub struct Peer {
    /// Its life as last heard.
    pub info: HostInfo,
    /// Its clock as last heard.
    pub echoed_clock: Option<EchoedClock>,
    /// When its clock was last heard.
    pub clock_heard_at: Millis,
    /// When it last acknowledged something.
    pub acked: Option<Millis>,
    /// Since when runs of this host may be there, if they may.
    pub used_since: Option<Millis>,
    /// When it was last heard, or first heard of.
    pub heard: Millis,
    /// Whether nothing listened there at the last try.
    pub refused: bool,
    /// Whether it was taken to live at the last look.
    pub lived: bool,
    /// Whether it stops in order.
    pub leaving: bool,
    /// The version of its configuration.
    pub version: u64,
    /// The targets that it looks after.
    pub leased: HashSet<Name>,
    /// What it was last heard to have free, less what was asked since.
    pub free: Vec<FreeResources>,
    /// When that was heard.
    pub free_at: Millis,
    /// Our session with it: runs of lower ones are given up.
    pub session: u64,
    /// Its session with us.
    pub their_session: u64,
    /// Until when its runs here are vouched for.
    pub lease_until: Millis,
    /// Whether its runs here were ended since the vouch lapsed.
    pub lease_expired: bool,
    /// When the next heartbeat is due.
    pub next_heartbeat: Millis,
    /// When the last one was sent.
    pub last_heartbeat: Millis,
    /// When one was last sent to hear its clock, for tasks that wait for it.
    pub clock_asked: Option<Millis>,
    /// The tasks that it wants room for, and until when that holds.
    pub demand: Option<(Demand, Millis, Millis)>,
    /// Ends to tell it.
    pub ends: Vec<AttemptEnd>,
    /// The ends on their way.
    pub telling: Option<(CallId, Vec<AttemptEnd>)>,
    /// Runs to be ended there, and whether their ends matter.
    pub stops: Vec<(AttemptId, bool)>,
    /// The stops on their way.
    pub stopping: Option<(CallId, Vec<(AttemptId, bool)>)>,
    /// Nothing of these is sent again before.
    pub retry_at: Millis,
}

impl Peer {
    pub(super) fn new(now: Millis, info: HostInfo) -> Self {
        Self {
            info,
            echoed_clock: None,
            clock_heard_at: 0,
            acked: None,
            used_since: None,
            heard: now,
            refused: false,
            lived: false,
            leaving: false,
            version: 0,
            leased: HashSet::new(),
            free: Vec::new(),
            free_at: 0,
            session: 1,
            their_session: 0,
            lease_until: 0,
            lease_expired: true,
            next_heartbeat: now,
            last_heartbeat: 0,
            clock_asked: None,
            demand: None,
            ends: Vec::new(),
            telling: None,
            stops: Vec::new(),
            stopping: None,
            retry_at: 0,
        }
    }

    /// Tells whether it is taken to live: where runs of this host may be there,
    /// its word is to be fresh enough to vouch for them.
    #[must_use]
    pub fn is_alive(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let Some(acked) = self.acked.filter(|_| !self.refused) else {
            return false;
        };
        let fresh = acked + intervals.owner_lease > now;
        let used = self
            .used_since
            .is_some_and(|at| at + intervals.owner_lease <= now);
        fresh || (!used && acked + intervals.alive > now)
    }

    /// Tells whether its clock was heard so lately that a task handed to it now
    /// is vouched for until the next heartbeats arrive there.
    #[must_use]
    pub fn has_fresh_clock(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        self.echoed_clock.is_some() && self.clock_heard_at + intervals.owner_lease / 2 > now
    }

    /// Tells whether its targets are left to it: a host that is slow to answer
    /// keeps them, though no tasks are handed to it.
    #[must_use]
    pub fn may_hold_targets(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        let heard = self.acked.is_some() && self.heard + intervals.dead > now;
        heard && !self.refused
    }

    /// Takes note of a newer life of its process, whose sessions begin anew.
    pub(super) fn begin_life(&mut self, incarnation: u64) {
        self.info.incarnation = incarnation;
        self.their_session = 0;
        self.demand = None;
    }

    /// Takes its clock in, as it was when it sent what just came.
    pub fn hear_clock(&mut self, now: Millis, incarnation: u64, clock: Millis) {
        let older = self.echoed_clock.is_some_and(|echoed_clock| {
            echoed_clock.incarnation == incarnation && echoed_clock.clock > clock
        });
        if !older {
            self.echoed_clock = Some(EchoedClock { incarnation, clock });
            self.clock_heard_at = now;
        }
    }

    /// Takes note that runs of this host may be there from now on.
    pub fn begin_use(&mut self, now: Millis, intervals: &HeartbeatIntervals) {
        self.used_since.get_or_insert(now);
        self.next_heartbeat = self
            .next_heartbeat
            .min(self.clock_heard_at + intervals.heartbeat);
    }

    /// Puts the next heartbeat off, since it just answered something else. Now
    /// and then one is due all the same: it tells more.
    pub fn postpone_heartbeat(&mut self, now: Millis, intervals: &HeartbeatIntervals) {
        let latest = self.last_heartbeat + intervals.idle.max(2 * intervals.heartbeat);
        let next = self.next_heartbeat.max(now + intervals.heartbeat);
        self.next_heartbeat = next.min(latest.max(self.next_heartbeat));
    }

    /// Tells whether it was heard of late and isn't known to be gone.
    pub(super) fn was_there(&self, now: Millis) -> bool {
        self.acked.is_some() && !self.refused && self.heard + ISOLATED_MS > now
    }

    /// Tells whether tasks may be handed to it.
    #[must_use]
    pub fn takes_tasks(&self, now: Millis, intervals: &HeartbeatIntervals) -> bool {
        self.is_alive(now, intervals) && !self.leaving
    }

    /// Tells whether it is believed to have room for an order.
    pub(super) fn has_resources(&self, order: &TaskOrder) -> bool {
        let mut free = self.free.iter();
        free.any(|f| f.pool == order.pool && f.resources.fits(&order.resources))
    }

    /// Takes room off what it is believed to have free, if an order fits.
    pub(super) fn reserve(&mut self, order: &TaskOrder) {
        let fitting = self.free.iter_mut();
        let fitting =
            fitting.filter(|f| f.pool == order.pool && f.resources.fits(&order.resources));
        if let Some(free) = fitting.min_by_key(|free| free.resources.cpu) {
            free.resources = free.resources.less(&order.resources);
        }
    }

    pub(super) fn total_free(&self) -> u32 {
        self.free.iter().map(|free| free.resources.cpu).sum()
    }
}
