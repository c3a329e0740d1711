//! The targets that this host looks after.

mod due;
mod listing;
mod placing;
mod replies;
mod sharing;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use gannetridge_wire::Name;

use crate::action::{Action, StartOrder, TargetCall};
use crate::decision::Decision;
use crate::event::{CallId, SendFailure, TargetChange, TargetEntry, TargetReply};
use crate::message::{AttemptId, AttemptOutcome, Demand, FreeResources, HostInfo, TaskOrder};
use crate::settings::{Safeguards, Settings, Times};
use crate::spec::Resources;
use crate::target_state::{LeaseStage, Report, Target};
use crate::{assignment, Millis};

/// How long a target may wait for an end before it answers a hold, where an end is awaited that other news may show.
const PRESSING_WAIT_MS: Millis = 20;
/// How long a reply from a target is awaited, its own waiting aside.
const REPLY_WAIT_MS: Millis = 100;
/// How long the reply to a start is awaited: whether it began is in doubt
/// after that, and it is stopped.
const START_WAIT_MS: Millis = 150;
/// Between calls to a target that doesn't answer.
const RETRY_MS: Millis = 100;
/// Between looks at a target on which nothing runs.
const IDLE_LOOK_MS: Millis = 3_000;
/// A keeper of this long takes a target back when another host took it.
const SETTLED_MS: Millis = 3_000;
/// How long a target is left to the host that took it; doubles each time.
const BACKOFF_MS: Millis = 2_000;
/// The longest that a target is left to another host.
const LONGEST_BACKOFF_MS: Millis = 16_000;
/// Losses of a target are forgotten when it was kept for this long.
const BACKOFF_RESET_MS: Millis = 10_000;
/// How often a higher token is tried at once where one was too low.
const TOKENS_TRIED: u32 = 4;
/// By how much a token that was too low is raised at first; doubles.
const TOKEN_RAISE_MS: Millis = 250;
/// Between tries at a target that doesn't answer and isn't kept.
const TAKE_RETRY_MS: Millis = 500;
/// Entries that are missing when the store is back are gone after this.
const BACK_AFTER_MS: Millis = 2_000;
/// How long a host that should leave a target to another waits for it to be
/// empty before it starts nothing more there.
const RELEASE_PATIENCE_MS: Millis = 1_000;
/// How long an offer's room is kept free at most.
const RESERVATION_MS: Millis = 30;
/// How long a run that was ended before it came is remembered.
const REMEMBER_MS: Millis = 3_000;

/// Tokens rise with the time in steps of this.
const TOKEN_UNIT_MS: u64 = 4;
/// The part of a token that tells hosts apart; tokens stay below 2^53.
const UNIQUE: u64 = 1 << 13;

/// A call that is on its way to a target.
#[derive(Clone, Debug)]
struct Sent {
    /// The token that it carries.
    token: u64,
    purpose: Purpose,
}

/// What a call to a target was for.
#[derive(Clone, Debug)]
enum Purpose {
    Renew { target: Name, asked: Millis },
    Start { target: Name, key: AttemptId },
    Stop { target: Name, key: AttemptId },
}

/// Looks after targets.
pub struct TargetLeases {
    name: Name,
    times: Times,
    safeguards: Safeguards,
    epoch_ms: u64,
    unique: u64,
    targets: BTreeMap<Name, Target>,
    /// The targets that this host looks after or is taking.
    leased: BTreeSet<Name>,
    /// The targets that this host should look after, the hosts that they
    /// were shared with, and whether targets have come since.
    assigned: HashSet<Name>,
    assigned_among: Vec<HostInfo>,
    assignment_stale: bool,
    /// The tasks in the books of any target.
    tasks: HashSet<Name>,
    calls: HashMap<CallId, Sent>,
    /// Targets that another host should have, and since when.
    misassigned: HashMap<Name, Millis>,
    last_token: u64,
    last_call: u64,
    /// Runs that were ended before they came, and until when that is known.
    ended_early: HashMap<AttemptId, Millis>,
    store_back: Option<Millis>,
    store_reachable: bool,
    reports: Vec<Report>,
    /// What to do.
    pub out: Vec<Action>,
}

impl TargetLeases {
    /// Creates a keeper without targets.
    #[must_use]
    pub fn new(settings: &Settings, times: Times) -> Self {
        Self {
            name: settings.name.clone(),
            times,
            safeguards: settings.safeguards,
            epoch_ms: settings.epoch_ms,
            unique: xxhash_rust::xxh3::xxh3_64(settings.name.as_bytes()) % UNIQUE,
            targets: BTreeMap::new(),
            leased: BTreeSet::new(),
            assigned: HashSet::new(),
            assigned_among: Vec::new(),
            assignment_stale: true,
            tasks: HashSet::new(),
            calls: HashMap::new(),
            misassigned: HashMap::new(),
            last_token: 0,
            last_call: 0,
            ended_early: HashMap::new(),
            store_back: None,
            store_reachable: true,
            reports: Vec::new(),
            out: Vec::new(),
        }
    }

    /// Takes the ends that owners are to be told.
    pub fn take_reports(&mut self) -> Vec<Report> {
        for report in &self.reports {
            self.tasks.remove(&report.end.key.task);
        }
        std::mem::take(&mut self.reports)
    }

    /// Returns how many targets are known and how many are kept.
    #[must_use]
    pub fn counts(&self) -> (usize, usize) {
        (self.targets.len(), self.leased.len())
    }

    /// Returns the targets that this host looks after or is taking.
    #[must_use]
    pub fn leased(&self) -> Vec<Name> {
        self.leased.iter().cloned().collect()
    }

    /// Returns how many runs are in the books.
    #[must_use]
    pub fn attempts(&self) -> usize {
        self.targets
            .values()
            .map(|target| target.attempts.len())
            .sum()
    }

    /// Returns the free room, a row for each open target with some.
    #[must_use]
    pub fn free(&self, now: Millis) -> Vec<FreeResources> {
        let open = self.leased_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| target.reservation.is_none());
        let resources = open.map(|target| FreeResources {
            pool: target.entry.pool.clone(),
            resources: target.free(),
        });
        resources.filter(|free| free.resources.cpu > 0).collect()
    }

    /// Tells whether there is such room on any target of this host.
    #[must_use]
    pub fn may_fit(&self, now: Millis, resources: &Resources) -> bool {
        let mut open = self.leased_targets();
        open.any(|target| target.free().fits(resources) && self.is_usable(now, target))
    }

    /// Tells whether any known target could ever run the order.
    #[must_use]
    pub fn could_run(&self, order: &TaskOrder) -> bool {
        let mut targets = self.targets.values();
        targets.any(|t| t.suits(order) && t.entry.capacity.fits(&order.resources))
    }

    /// Returns the targets that this host looks after or is taking.
    fn leased_targets(&self) -> impl Iterator<Item = &Target> {
        self.leased.iter().map(|id| &self.targets[id])
    }

    fn is_usable(&self, now: Millis, target: &Target) -> bool {
        let listed = target.unlisted_since.is_none() || !self.list_settled(now);
        let leaving = target.entry.leaving && self.safeguards.leaving_is_heeded;
        listed && !leaving && target.is_open(now) && !self.is_draining(now, target)
    }

    fn is_draining(&self, now: Millis, target: &Target) -> bool {
        let since = self.misassigned.get(&target.entry.id);
        since.is_some_and(|since| since + RELEASE_PATIENCE_MS <= now)
    }

    fn record_target(&mut self, target: &Name, state: &'static str, by: &'static str) {
        self.out.push(Action::Record(Decision::Target {
            target: target.clone(),
            state,
            by,
        }));
    }
}

/// Tells whether a target is to be called now.
///
/// A busy target is called as soon as nothing stands against it; only one
/// that doesn't answer, or is idle, has a time to wait for.
fn is_call_due(target: &Target, now: Millis) -> bool {
    let busy = !target.attempts.is_empty() || target.is_pressing();
    let due = target.next_renewal <= now;
    due || (busy && target.silent_since.is_none() && target.stage != LeaseStage::Acquiring)
}
