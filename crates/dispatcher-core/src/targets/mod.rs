//! The targets, and the leases on them that this host holds.
//!
//! [`TargetLeases`] knows all targets of the platform's list, acquires and holds
//! the leases of those that are assigned to this host, starts and stops attempts
//! there and learns of their ends. What it decides by stands in [`crate::rules`]:
//! target choice and health, assignment, contention, leases. It relies on the
//! dispatcher to tell owners of the ends in [`TargetLeases::take_reports`] and to
//! carry out [`TargetLeases::take_actions`].

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
use crate::decision::{BeliefSource, Decision, TargetBelief};
use crate::event::CallId;
use crate::message::AttemptId;
use crate::rules::congestion::StartReplies;
use crate::rules::draining::Halls;
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

/// How long a reply from a target is awaited, its own waiting aside, in ms.
const REPLY_TIMEOUT_MS: Millis = 100;
/// Between calls to a target that doesn't answer, in ms.
const SILENT_RETRY_INTERVAL_MS: Millis = 100;

/// What ends within this is about to, in ms: a task that comes now may as well wait for it.
pub const FREED_SOON_MS: Millis = 100;

/// A call that is on its way to a target.
#[derive(Clone, Debug)]
struct Sent {
    /// The fencing token that it carries.
    token: u64,
    /// The target's clock as last heard before.
    clock: Option<Millis>,
    /// Whether this host stood still since: the reply may be old.
    sent_before_suspension: bool,
    target: Name,
    purpose: Purpose,
}

/// What a call to a target is for.
#[derive(Clone, Debug)]
enum Purpose {
    Renewal {
        /// When it was sent.
        requested: Millis,
    },
    Start(AttemptId),
    Stop(AttemptId),
}

/// How many targets there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TargetCounts {
    /// Targets in the list.
    pub known: usize,
    /// Targets whose leases this host holds or acquires.
    pub leased: usize,
    /// Attempts on them.
    pub attempts: usize,
    /// Thousandths of a core that these are expected to free within [`FREED_SOON_MS`].
    pub cpu_freed_soon: u32,
}

/// The targets, and the leases on them that this host holds.
pub struct TargetLeases {
    times: Times,
    safeguards: Safeguards,
    /// How many times as long tasks take in racks without their data.
    far_slowdown: f64,
    targets: BTreeMap<Name, Target>,
    /// The targets whose leases this host holds or acquires.
    leased: BTreeSet<Name>,
    /// These, and those given up on which attempts of this host may still run: all that
    /// anything may be due for. Looking at all known targets at each tick would cost too much.
    active: BTreeSet<Name>,
    /// The targets that the list doesn't show.
    unlisted: BTreeSet<Name>,
    /// The pools that the configuration names, once there is one.
    pools: Option<HashSet<Name>>,
    /// The halls that get no new tasks.
    draining: Halls,
    /// What is added to the time for which replies are waited for; see
    /// [`crate::rules::congestion`].
    added_wait_ms: Millis,
    start_replies: StartReplies,
    /// The running times of kinds of tasks, where they are learned.
    learned_times: Option<LearnedTimes>,
    assignment: Assignment,
    tokens: TokenGenerator,
    /// The tasks with an attempt on any target.
    tasks: HashSet<Name>,
    /// Attempts that were stopped before they came, and until when that is known.
    stopped_early: HashMap<AttemptId, Millis>,
    store: StoreState,
    calls: HashMap<CallId, Sent>,
    last_call: u64,
    reports: Vec<EndReport>,
    actions: Vec<Action>,
}

impl TargetLeases {
    /// Creates a host's part without targets.
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
            draining: Halls::default(),
            added_wait_ms: 0,
            start_replies: StartReplies::default(),
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

    /// Does what is due.
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

    /// Takes the ends of attempts that owners are to hear of.
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

    /// Returns how many targets there are, and attempts on them.
    #[must_use]
    pub fn counts(&self, now: Millis) -> TargetCounts {
        let targets = self.active_targets();
        let freed = targets.map(|(_, target)| target.expected_to_free(now, FREED_SOON_MS));
        TargetCounts {
            known: self.targets.len(),
            leased: self.leased.len(),
            attempts: self.attempts(),
            cpu_freed_soon: freed.sum(),
        }
    }

    /// Returns how many attempts run on targets.
    #[must_use]
    pub fn attempts(&self) -> usize {
        let targets = self.active_targets();
        targets.map(|(_, target)| target.attempts.len()).sum()
    }

    /// Returns whether any attempt runs on a target, or has an end that no one took yet.
    /// Asked after each event: looking at all targets instead would cost too much.
    #[must_use]
    pub fn has_attempts(&self) -> bool {
        !self.tasks.is_empty()
    }

    /// Returns whether this host holds the lease of any target.
    #[must_use]
    pub fn holds_any_lease(&self) -> bool {
        self.leased_targets().any(|target| target.lease.is_held())
    }

    /// Returns the targets whose leases this host holds or acquires.
    #[must_use]
    pub fn leased(&self) -> Vec<Name> {
        self.leased.iter().cloned().collect()
    }

    /// Waits longer for replies by so many ms.
    pub fn set_added_wait(&mut self, added_ms: Millis) {
        self.added_wait_ms = added_ms;
    }

    /// Returns the targets for which anything may be due.
    fn active_targets(&self) -> impl Iterator<Item = (&Name, &Target)> {
        self.active.iter().map(|id| (id, &self.targets[id]))
    }

    /// Changes the targets for which anything may be due.
    fn for_each_active(&mut self, mut change: impl FnMut(&mut Target)) {
        for id in &self.active {
            let target = self.targets.get_mut(id);
            change(target.expect("active targets are known"));
        }
    }

    /// Drops targets from the active ones that were given up and on which nothing runs.
    fn remove_inactive(&mut self) {
        let targets = &self.targets;
        self.active.retain(|id| {
            let target = &targets[id];
            !target.lease.is_free() || !target.is_idle() || target.is_reserved()
        });
    }

    /// Returns the targets whose leases this host holds or acquires.
    fn leased_targets(&self) -> impl Iterator<Item = &Target> {
        self.leased.iter().map(|id| &self.targets[id])
    }

    /// Calls a target; `id` is a known target.
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
        let sent = Sent {
            token,
            clock: target.last_clock(),
            sent_before_suspension: false,
            target: id.clone(),
            purpose,
        };
        self.calls.insert(call, sent);
        call
    }

    fn record_target(&mut self, target: &Name, state: TargetBelief, by: BeliefSource) {
        self.actions.push(Action::Record(Decision::Target {
            target: target.clone(),
            state,
            by,
        }));
    }
}
