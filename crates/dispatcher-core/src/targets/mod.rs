//! The targets, and the leases on them that this host holds.
//!
//! [`TargetLeases`] knows all targets of the platform's list, acquires and holds the leases of the
//! targets assigned to this host, starts and stops attempts on them and collects their ends. Its
//! decisions follow [`crate::rules`]: target choice and health, assignment, contention, leases. It
//! relies on the dispatcher to send the ends in [`TargetLeases::take_reports`] to their owners and
//! to carry out the actions in [`TargetLeases::take_actions`].

mod attempt;
mod capacity;
mod claims;
mod ends;
mod free_capacity;
mod incarnations;
mod learned_times;
mod lease;
mod list;
mod renewals;
mod replies;
mod starts;
mod stops;
mod target;
mod unsent_starts;
mod usable;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use gannetridge_wire::Name;

use crate::action::{Action, TargetCall};
use crate::decision::{Decision, StateSource, TargetState};
use crate::event::CallId;
use crate::message::AttemptId;
use crate::rules::congestion::StartReplyTimes;
use crate::rules::draining::HallSet;
use crate::rules::leases::Times;
use crate::settings::{Safeguards, Settings};
use crate::Millis;

pub use attempt::{EndReport, Owner, OwnerSession};
use claims::Assignment;
pub use free_capacity::PoolCapacity;
use learned_times::LearnedTimes;
use lease::TokenGenerator;
use list::StoreState;
pub use starts::Reach;
use target::Target;
pub use usable::Runnable;

/// How long a reply from a target is awaited, in ms, in addition to its long poll.
const REPLY_TIMEOUT_MS: Millis = 100;
/// Time between calls to a target that doesn't answer, in ms.
const SILENT_RETRY_INTERVAL_MS: Millis = 100;

/// Attempts expected to end within this time count as freeing their resources soon, in ms.
pub const FREED_SOON_MS: Millis = 100;

/// A call in flight to a target.
#[derive(Clone, Debug)]
struct PendingCall {
    /// The fencing token that the call carries.
    token: u64,
    /// The target's last known clock when the call was sent.
    clock: Option<Millis>,
    /// True if this host was stalled after sending: the reply may be old.
    sent_before_stall: bool,
    target: Name,
    purpose: Purpose,
}

/// The purpose of a call to a target.
#[derive(Clone, Debug)]
enum Purpose {
    Renewal {
        /// When the call was sent.
        requested: Millis,
    },
    Start(AttemptId),
    Stop(AttemptId),
}

/// Counts of targets and attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets in the list.
    pub known: usize,
    /// Targets whose leases this host holds or acquires.
    pub leased: usize,
    /// Attempts on targets that this host holds, or that it released while its attempts may still
    /// run.
    pub attempts: usize,
    /// Thousandths of a core that these attempts are expected to free within [`FREED_SOON_MS`].
    pub cpu_freed_soon: u32,
}

/// The known targets and the leases on them that this host holds.
pub struct TargetLeases {
    times: Times,
    safeguards: Safeguards,
    /// How many times as long tasks take in racks without their data.
    far_slowdown: f64,
    targets: BTreeMap<Name, Target>,
    /// The targets whose leases this host holds or acquires.
    leased: BTreeSet<Name>,
    /// The leased targets and the released ones on which attempts of this host may still run.
    /// Periodic work covers only these: visiting all known targets would cost too much.
    active: BTreeSet<Name>,
    /// The targets that the list doesn't show.
    unlisted: BTreeSet<Name>,
    /// The pools that the configuration names; `None` before there is a configuration.
    pools: Option<HashSet<Name>>,
    /// The halls that get no new tasks.
    draining: HallSet,
    /// Added to the timeouts of replies, in ms; see [`crate::rules::congestion`].
    added_wait_ms: Millis,
    start_replies: StartReplyTimes,
    /// The running times of kinds of tasks, if they are learned.
    learned_times: Option<LearnedTimes>,
    assignment: Assignment,
    tokens: TokenGenerator,
    /// The tasks with an attempt on any target.
    tasks: HashSet<Name>,
    /// Attempts that were stopped before their start was requested, and until when they are
    /// remembered.
    stopped_early: HashMap<AttemptId, Millis>,
    store: StoreState,
    calls: HashMap<CallId, PendingCall>,
    last_call: u64,
    reports: Vec<EndReport>,
    actions: Vec<Action>,
}

impl TargetLeases {
    /// Creates the state of a host without targets.
    #[must_use]
    pub fn new(settings: &Settings, times: Times) -> Self {
        Self {
            times,
            safeguards: settings.safeguards,
            far_slowdown: settings.far_slowdown,
            targets: BTreeMap::new(),
            leased: BTreeSet::new(),
            active: BTreeSet::new(),
            unlisted: BTreeSet::new(),
            pools: None,
            draining: HallSet::default(),
            added_wait_ms: 0,
            start_replies: StartReplyTimes::default(),
            learned_times: LearnedTimes::from_settings(settings),
            assignment: Assignment::new(settings.name.clone()),
            tokens: TokenGenerator::new(settings.epoch_ms, &settings.name),
            tasks: HashSet::new(),
            stopped_early: HashMap::new(),
            store: StoreState::default(),
            calls: HashMap::new(),
            last_call: 0,
            reports: Vec::new(),
            actions: Vec::new(),
        }
    }

    /// Performs the work that is due.
    pub fn tick(&mut self, now: Millis) {
        self.stopped_early.retain(|_, until| *until > now);
        self.remove_inactive();
        self.for_each_active(|target| target.expire_reservation(now));
        self.remove_unlisted(now);
        self.end_expired(now);
        self.forecast(now);
        self.stop_stalled_or_overrunning(now);
        self.send_stops(now);
    }

    /// Takes the ends of attempts that are to be reported to their owners.
    pub fn take_reports(&mut self) -> Vec<EndReport> {
        for report in &self.reports {
            self.tasks.remove(&report.end.id.task);
        }
        std::mem::take(&mut self.reports)
    }

    /// Takes the actions that are to be carried out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Counts the targets and the attempts on them.
    #[must_use]
    pub fn counts(&self, now: Millis) -> TargetCounts {
        let targets = self.active_targets();
        let freed = targets.map(|(_, target)| target.expected_to_free(now, FREED_SOON_MS));
        TargetCounts {
            known: self.targets.len(),
            leased: self.leased.len(),
            attempts: self.attempts(),
            cpu_freed_soon: freed.fold(0, u32::saturating_add),
        }
    }

    /// Returns the number of attempts on targets.
    #[must_use]
    pub fn attempts(&self) -> usize {
        let targets = self.active_targets();
        targets.map(|(_, target)| target.attempts.len()).sum()
    }

    /// Returns true if any attempt runs, or has ended without being taken by
    /// [`Self::take_reports`]. Called after each event, so that it doesn't visit the targets.
    #[must_use]
    pub fn has_attempts(&self) -> bool {
        !self.tasks.is_empty()
    }

    #[must_use]
    pub fn holds_any_lease(&self) -> bool {
        self.leased_targets().any(|target| target.lease.is_held())
    }

    #[must_use]
    pub fn leased(&self) -> Vec<Name> {
        self.leased.iter().cloned().collect()
    }

    /// Sets the time that is added to the timeouts of replies, in ms.
    pub fn set_added_wait(&mut self, added_ms: Millis) {
        self.added_wait_ms = added_ms;
    }

    fn active_targets(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.active.iter().map(|id| (id, &self.targets[id]))
    }

    fn for_each_active(&mut self, mut change: impl FnMut(&mut Target)) {
        for id in &self.active {
            let target = self.targets.get_mut(id);
            change(target.expect("active targets are known"));
        }
    }

    /// Removes released targets on which nothing runs from the active ones.
    fn remove_inactive(&mut self) {
        let targets = &self.targets;
        self.active.retain(|id| {
            let target = &targets[id];
            !target.lease.is_free() || !target.is_idle() || target.is_reserved()
        });
    }

    fn leased_targets(&self) -> impl Iterator<Item = &Target> {
        self.leased.iter().map(|id| &self.targets[id])
    }

    /// Calls a target.
    ///
    /// # Panics
    ///
    /// Panics if the target isn't known.
    fn call(&mut self, id: &Name, purpose: Purpose, order: TargetCall, wait_ms: Millis) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let wait_ms = wait_ms + self.added_wait_ms;
        let target = &self.targets[id];
        let token = target.lease.token;
        self.actions.push(Action::Target {
            call,
            id: id.clone(),
            address: target.entry.address.clone(),
            token,
            order,
            wait_ms,
        });
        let pending = PendingCall {
            token,
            clock: target.last_clock(),
            sent_before_stall: false,
            target: id.clone(),
            purpose,
        };
        self.calls.insert(call, pending);
        call
    }

    fn record_target(&mut self, target: &Name, state: TargetState, by: StateSource) {
        self.actions.push(Action::Record(Decision::Target {
            target: target.clone(),
            state,
            by,
        }));
    }
}
