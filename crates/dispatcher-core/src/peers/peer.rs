//! One other host.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::event::CallId;
use crate::message::{Echo, FreeRoom, HostInfo, RunEnd, RunKey, TaskOrder, Want};
use crate::pace::Pace;
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
    pub echo: Option<Echo>,
    /// When its clock was last heard.
    pub echoed: Millis,
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
    pub kept: HashSet<Name>,
    /// What it was last heard to have free, less what was asked since.
    pub free: Vec<FreeRoom>,
    /// When that was heard.
    pub free_at: Millis,
    /// Our session with it: runs of lower ones are given up.
    pub session: u64,
    /// Its session with us.
    pub their_session: u64,
    /// Until when its runs here are vouched for.
    pub vouched_until: Millis,
    /// Whether its runs here were ended since the vouch lapsed.
    pub lapsed: bool,
    /// When the next heartbeat is due.
    pub next_beat: Millis,
    /// When the last one was sent.
    pub last_beat: Millis,
    /// When one was last sent to hear its clock, for tasks that wait for it.
    pub clock_asked: Option<Millis>,
    /// The tasks that it wants room for, and until when that holds.
    pub want: Option<(Want, Millis, Millis)>,
    /// Ends to tell it.
    pub ends: Vec<RunEnd>,
    /// The ends on their way.
    pub telling: Option<(CallId, Vec<RunEnd>)>,
    /// Runs to be ended there, and whether their ends matter.
    pub stops: Vec<(RunKey, bool)>,
    /// The stops on their way.
    pub stopping: Option<(CallId, Vec<(RunKey, bool)>)>,
    /// Nothing of these is sent again before.
    pub retry_at: Millis,
}

impl Peer {
    pub(super) fn new(now: Millis, info: HostInfo) -> Self {
        Self {
            info,
            echo: None,
            echoed: 0,
            acked: None,
            used_since: None,
            heard: now,
            refused: false,
            lived: false,
            leaving: false,
            version: 0,
            kept: HashSet::new(),
            free: Vec::new(),
            free_at: 0,
            session: 1,
            their_session: 0,
            vouched_until: 0,
            lapsed: true,
            next_beat: now,
            last_beat: 0,
            clock_asked: None,
            want: None,
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
    pub fn is_alive(&self, now: Millis, pace: &Pace) -> bool {
        let Some(acked) = self.acked.filter(|_| !self.refused) else {
            return false;
        };
        let fresh = acked + pace.vouch > now;
        let used = self.used_since.is_some_and(|at| at + pace.vouch <= now);
        fresh || (!used && acked + pace.alive > now)
    }

    /// Tells whether its clock was heard so lately that a task handed to it now
    /// is vouched for until the next heartbeats arrive there.
    #[must_use]
    pub fn has_fresh_echo(&self, now: Millis, pace: &Pace) -> bool {
        self.echo.is_some() && self.echoed + pace.vouch / 2 > now
    }

    /// Tells whether its targets are left to it: a host that is slow to answer
    /// keeps them, though no tasks are handed to it.
    #[must_use]
    pub fn holds_targets(&self, now: Millis, pace: &Pace) -> bool {
        let heard = self.acked.is_some() && self.heard + pace.dead > now;
        heard && !self.refused
    }

    /// Takes note of a newer life of its process, whose sessions begin anew.
    pub(super) fn begin_life(&mut self, incarnation: u64) {
        self.info.incarnation = incarnation;
        self.their_session = 0;
        self.want = None;
    }

    /// Takes its clock in, as it was when it sent what just came.
    pub fn hear_clock(&mut self, now: Millis, incarnation: u64, clock: Millis) {
        let older = self
            .echo
            .is_some_and(|echo| echo.incarnation == incarnation && echo.clock > clock);
        if !older {
            self.echo = Some(Echo { incarnation, clock });
            self.echoed = now;
        }
    }

    /// Takes note that runs of this host may be there from now on.
    pub fn begin_use(&mut self, now: Millis, pace: &Pace) {
        self.used_since.get_or_insert(now);
        self.next_beat = self.next_beat.min(self.echoed + pace.beat);
    }

    /// Puts the next heartbeat off, since it just answered something else. Now
    /// and then one is due all the same: it tells more.
    pub fn put_beat_off(&mut self, now: Millis, pace: &Pace) {
        let latest = self.last_beat + pace.idle.max(2 * pace.beat);
        let next = self.next_beat.max(now + pace.beat);
        self.next_beat = next.min(latest.max(self.next_beat));
    }

    /// Tells whether it was heard of late and isn't known to be gone.
    pub(super) fn was_there(&self, now: Millis) -> bool {
        self.acked.is_some() && !self.refused && self.heard + ISOLATED_MS > now
    }

    /// Tells whether tasks may be handed to it.
    #[must_use]
    pub fn takes_tasks(&self, now: Millis, pace: &Pace) -> bool {
        self.is_alive(now, pace) && !self.leaving
    }

    /// Tells whether it is believed to have room for an order.
    pub(super) fn has_room(&self, order: &TaskOrder) -> bool {
        let mut free = self.free.iter();
        free.any(|f| f.pool == order.pool && f.room.fits(&order.room))
    }

    /// Takes room off what it is believed to have free, if an order fits.
    pub(super) fn reserve(&mut self, order: &TaskOrder) {
        let fitting = self.free.iter_mut();
        let fitting = fitting.filter(|f| f.pool == order.pool && f.room.fits(&order.room));
        if let Some(free) = fitting.min_by_key(|free| free.room.cpu) {
            free.room = free.room.less(&order.room);
        }
    }

    pub(super) fn total_free(&self) -> u32 {
        self.free.iter().map(|free| free.room.cpu).sum()
    }
}
