//! One target as its keeper sees it: its runs, its clock, its health.

mod ends;
mod stops;

use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::event::{CallId, ListedEnd, ListedOutcome, TargetEntry};
use crate::message::{AttemptEnd, AttemptId, AttemptOutcome, TaskOrder};
use crate::settings::Times;
use crate::spec::Resources;
use crate::Millis;

/// A target's clock may run this much slower than ours.
const SLOWEST_CLOCK: f64 = 0.98;
/// Failures in a row after which a target is left alone for a while.
const FAILURES_TO_SUSPEND: u32 = 2;
/// How long a target is left alone at first; doubles each time.
const FIRST_SUSPENSION_MS: Millis = 1_000;
/// The longest that a target is left alone.
const LONGEST_SUSPENSION_MS: Millis = 8_000;
/// Calls without reply on end after which a target is taken to be silent.
const MISSES_TO_SILENCE: u32 = 2;
/// The weight of the last run in the target's pace.
const SLOWDOWN_WEIGHT: f64 = 0.4;
/// A run that goes on for this many times its estimate shows a slow target.
const SLOW_FACTOR: f64 = 1.8;
/// Estimates of short tasks are off by this much besides.
const SLOW_MS: f64 = 30.0;
/// A target of this pace gets one task at a time.
const ONE_TASK_SLOWDOWN: f64 = 3.0;
/// A run is taken to stand still after this many times its estimate ...
const OVERRUN_FACTOR: f64 = 4.0;
/// ... and this long on top.
const OVERRUN_MS: Millis = 150;

/// How far a host has got with a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeaseStage {
    /// Another host looks after it.
    NotHeld,
    /// This host's token may not be known there yet.
    Acquiring,
    /// This host's token is known there, but runs go on that it doesn't know.
    Settling,
    /// This host looks after it.
    Held,
}

/// How far the end of a run that is not wanted has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StopStage {
    /// The run is wanted.
    Wanted,
    /// A stop is to be sent.
    ToSend,
    /// A stop is on its way.
    Sent(CallId),
    /// The target has taken the stop.
    Taken(Millis),
}

/// A run that the keeper has ordered.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The host that owns the job.
    pub owner: Name,
    /// The owner's session under which it was asked for.
    pub session: u64,
    /// What it takes.
    pub resources: Resources,
    /// When the start was sent.
    pub started: Millis,
    estimate_ms: Millis,
    spread: Option<Name>,
    /// When the target is known to have taken the start.
    taken: Option<Millis>,
    /// The latest begin, on our clock as it may look at the most.
    begins_before: Millis,
    stop: StopStage,
    /// Whether the owner still wants to know how it ends.
    report: bool,
}

/// When the target's clock was read, on our clock, and what it showed.
#[derive(Clone, Copy, Debug)]
struct ClockReading {
    received: Millis,
    clock: Millis,
}

/// One target as its keeper sees it.
#[derive(Debug)]
pub struct Target {
    /// What the platform's list says of it.
    pub entry: TargetEntry,
    /// How far this host has got with it.
    pub stage: LeaseStage,
    /// This host's token.
    pub token: u64,
    /// Since when it has been kept.
    pub held_since: Millis,
    /// Not to be taken before.
    pub backoff_until: Millis,
    /// How often a token was too low since it was to be taken.
    pub tokens_tried: u32,
    /// How often it was lost to another host.
    pub claims_lost: u32,
    /// When it went from the list, if it did.
    pub unlisted_since: Option<Millis>,
    /// The runs.
    pub attempts: BTreeMap<AttemptId, Attempt>,
    /// Ends up to this number have been taken note of.
    pub acknowledged: u64,
    /// The call that holds, and when it was sent.
    pub renewal: Option<(CallId, Millis)>,
    /// The next call that holds isn't sent before.
    pub next_renewal: Millis,
    /// Since when it hasn't answered, if it doesn't.
    pub silent_since: Option<Millis>,
    /// Calls without reply since the last one.
    misses: u32,
    /// Since when it was kept before another host took it, while it is taken
    /// back.
    pub incumbent_since: Option<Millis>,
    /// Its free room is kept for this host until then.
    pub reservation: Option<(Name, Millis)>,
    /// By then, on our clock, everything that runs there is over.
    ended_by: Millis,
    clock: Option<ClockReading>,
    failures: u32,
    suspensions: u32,
    suspended_until: Millis,
    slowdown: f64,
}

/// The end of a run, and whom to tell.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The owner of the job.
    pub owner: Name,
    /// The owner's session.
    pub session: u64,
    /// The end.
    pub end: AttemptEnd,
    /// What showed it.
    pub by: &'static str,
    /// Since its start was sent.
    pub took_ms: Millis,
    /// Whether the owner still wants to know.
    pub wanted: bool,
}

impl Target {
    /// Creates a target that another host looks after.
    #[must_use]
    pub fn new(entry: TargetEntry) -> Self {
        Self {
            entry,
            stage: LeaseStage::NotHeld,
            token: 0,
            held_since: 0,
            backoff_until: 0,
            tokens_tried: 0,
            claims_lost: 0,
            unlisted_since: None,
            attempts: BTreeMap::new(),
            acknowledged: 0,
            renewal: None,
            next_renewal: 0,
            silent_since: None,
            misses: 0,
            incumbent_since: None,
            reservation: None,
            ended_by: 0,
            clock: None,
            failures: 0,
            suspensions: 0,
            suspended_until: 0,
            slowdown: 1.0,
        }
    }

    /// Begins to look after it.
    pub fn take(&mut self, now: Millis, token: u64) {
        self.stage = LeaseStage::Acquiring;
        self.token = token;
        self.next_renewal = now;
        // A call that went out before tells nothing of what came since.
        self.renewal = None;
        self.reservation = None;
    }

    /// Gives it up; what ran there is reported as lost once it is over.
    pub fn leave_to_others(&mut self) {
        self.stage = LeaseStage::NotHeld;
        self.renewal = None;
        self.reservation = None;
        self.clock = None;
        self.silent_since = None;
    }

    /// Returns the free room.
    #[must_use]
    pub fn free(&self) -> Resources {
        let mut free = self.entry.capacity;
        for attempt in self.attempts.values() {
            free = free.less(&attempt.resources);
        }
        free
    }

    /// Tells whether new tasks may be started, as far as the target itself has
    /// shown; what the list says of it comes on top.
    #[must_use]
    pub fn is_open(&self, now: Millis) -> bool {
        self.stage == LeaseStage::Held
            && self.silent_since.is_none()
            && self.suspended_until <= now
            && self.clock.is_some()
            // One task shows whether it is well again.
            && ((self.failures < FAILURES_TO_SUSPEND && self.slowdown < ONE_TASK_SLOWDOWN)
                || self.attempts.is_empty())
    }

    /// Tells whether the free room is kept for another host than `owner`.
    #[must_use]
    pub fn is_reserved_for_others(&self, now: Millis, owner: &Name) -> bool {
        let reservation = self.reservation.as_ref();
        reservation.is_some_and(|(host, until)| host != owner && *until > now)
    }

    /// Tells whether an order may run here, now or once there is room.
    #[must_use]
    pub fn suits(&self, order: &TaskOrder) -> bool {
        self.entry.pool == order.pool
            && order
                .requirement
                .as_ref()
                .is_none_or(|label| self.entry.labels.contains(label))
            && !order.avoid.contains(&self.entry.id)
    }

    /// Tells whether an order fits now.
    #[must_use]
    pub fn fits(&self, order: &TaskOrder) -> bool {
        let spread = order.spread.as_ref().is_none_or(|(step, most)| {
            let there = self.attempts.values();
            let there = there.filter(|attempt| attempt.spread.as_ref() == Some(step));
            there.count() < *most as usize
        });
        spread && self.free().fits(&order.resources)
    }

    /// Returns how badly an order is placed here: slow targets last, and
    /// among like ones the fullest first, so that large tasks find room.
    #[must_use]
    pub fn cost(&self, now: Millis, order: &TaskOrder) -> f64 {
        let left = self.free().less(&order.resources).cpu;
        let size = self.entry.capacity.cpu.max(1);
        let far = order
            .rack
            .as_ref()
            .is_some_and(|rack| !self.entry.labels.contains(rack));
        let slowdown = self.slowdown.max(self.observed_slowdown(now));
        let slowdown = if far { slowdown * 1.5 } else { slowdown };
        slowdown.max(0.5) + 0.5 * f64::from(left) / f64::from(size) + 0.3 * f64::from(self.failures)
    }

    /// Returns the pace that runs under way show, 1 while none is overdue.
    fn observed_slowdown(&self, now: Millis) -> f64 {
        let paces = self.attempts.values().map(|attempt| {
            let since = now.saturating_sub(attempt.started) as f64 - SLOW_MS;
            since / attempt.estimate_ms.max(1) as f64
        });
        let slowest = paces.fold(1.0, f64::max);
        if slowest < SLOW_FACTOR {
            return 1.0;
        }
        slowest
    }

    /// Takes an order in; returns the latest begin on the target's clock.
    ///
    /// # Panics
    ///
    /// Panics if the target's clock isn't known; see [`Target::is_open`].
    pub fn admit(
        &mut self,
        now: Millis,
        times: &Times,
        owner: &Name,
        session: u64,
        order: &TaskOrder,
    ) -> Millis {
        let until = self
            .extend(now, times)
            .expect("open targets' clocks are known");
        self.attempts.insert(
            order.key.clone(),
            Attempt {
                owner: owner.clone(),
                session,
                resources: order.resources,
                started: now,
                estimate_ms: order.estimate_ms,
                spread: order.spread.as_ref().map(|(step, _)| step.clone()),
                taken: None,
                begins_before: now + times.target_lease_true,
                stop: StopStage::Wanted,
                report: true,
            },
        );
        until
    }

    /// Returns the end of a hold that begins now, on the target's clock.
    pub fn extend(&mut self, now: Millis, times: &Times) -> Option<Millis> {
        let reading = self.clock?;
        let since = now.saturating_sub(reading.received);
        let earliest = reading.clock + (since as f64 * SLOWEST_CLOCK) as Millis;
        self.ended_by = self.ended_by.max(now + times.over - times.owner_lease);
        Some(earliest + times.target_lease)
    }

    /// Takes note of what the target's clock showed.
    pub fn read_clock(&mut self, now: Millis, clock: Millis) {
        self.clock = Some(ClockReading {
            received: now,
            clock,
        });
        self.silent_since = None;
        self.misses = 0;
    }

    /// Takes note that a call had no reply; tells whether it is silent: after
    /// some misses on end.
    pub fn missed(&mut self, now: Millis) -> bool {
        self.misses += 1;
        let silent = self.misses >= MISSES_TO_SILENCE || self.stage != LeaseStage::Held;
        if silent {
            self.silent_since.get_or_insert(now);
        }
        silent
    }
}
