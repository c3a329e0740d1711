//! The targets that this host looks after.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

use gannetridge_wire::Name;

use crate::action::{Action, RunOrder, TargetCall};
use crate::event::{CallId, SendFailure, TargetChange, TargetEntry, TargetReply};
use crate::message::{End, FreeRoom, HostInfo, RunKey, TaskOrder, Want};
use crate::note::Note;
use crate::settings::{Safeguards, Settings, Times};
use crate::spec::Room;
use crate::target::{Report, Stage, Target};
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
const BARRED_MS: Millis = 2_000;
/// The longest that a target is left to another host.
const LONGEST_BARRED_MS: Millis = 16_000;
/// Losses of a target are forgotten when it was kept for this long.
const FORGIVEN_MS: Millis = 10_000;
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
const OFFER_MS: Millis = 30;
/// How long a run that was ended before it came is remembered.
const REMEMBER_MS: Millis = 3_000;

/// Tokens rise with the time in steps of this.
const FENCE_UNIT_MS: u64 = 4;
/// The part of a token that tells hosts apart; tokens stay below 2^53.
const UNIQUE: u64 = 1 << 13;

/// A call that is on its way to a target.
#[derive(Clone, Debug)]
struct Sent {
    /// The token that it carries.
    fence: u64,
    purpose: Purpose,
}

/// What a call to a target was for.
#[derive(Clone, Debug)]
enum Purpose {
    Hold { target: Name, asked: Millis },
    Start { target: Name, key: RunKey },
    Stop { target: Name, key: RunKey },
}

/// Looks after targets.
pub struct Keeper {
    name: Name,
    times: Times,
    safeguards: Safeguards,
    epoch_ms: u64,
    unique: u64,
    targets: BTreeMap<Name, Target>,
    /// The targets that this host looks after or is taking.
    ours: BTreeSet<Name>,
    /// The targets that this host should look after, the hosts that they
    /// were shared with, and whether targets have come since.
    shares: HashSet<Name>,
    shared_with: Vec<HostInfo>,
    unshared: bool,
    /// The tasks in the books of any target.
    tasks: HashSet<Name>,
    calls: HashMap<CallId, Sent>,
    /// Targets that another host should have, and since when.
    surplus: HashMap<Name, Millis>,
    last_fence: u64,
    last_call: u64,
    /// Runs that were ended before they came, and until when that is known.
    ended_early: HashMap<RunKey, Millis>,
    store_back: Option<Millis>,
    store_reachable: bool,
    reports: Vec<Report>,
    /// What to do.
    pub out: Vec<Action>,
}

impl Keeper {
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
            ours: BTreeSet::new(),
            shares: HashSet::new(),
            shared_with: Vec::new(),
            unshared: true,
            tasks: HashSet::new(),
            calls: HashMap::new(),
            surplus: HashMap::new(),
            last_fence: 0,
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
        (self.targets.len(), self.ours.len())
    }

    /// Returns the targets that this host looks after or is taking.
    #[must_use]
    pub fn kept(&self) -> Vec<Name> {
        self.ours.iter().cloned().collect()
    }

    /// Returns how many runs are in the books.
    #[must_use]
    pub fn runs(&self) -> usize {
        self.targets.values().map(|target| target.runs.len()).sum()
    }

    /// Returns the free room, a row for each open target with some.
    #[must_use]
    pub fn free(&self, now: Millis) -> Vec<FreeRoom> {
        let open = self.our_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| target.offered.is_none());
        let rooms = open.map(|target| FreeRoom {
            pool: target.entry.pool.clone(),
            room: target.free(),
        });
        rooms.filter(|free| free.room.cpu > 0).collect()
    }

    /// Tells whether there is such room on any target of this host.
    #[must_use]
    pub fn may_fit(&self, now: Millis, room: &Room) -> bool {
        let mut open = self.our_targets();
        open.any(|target| target.free().fits(room) && self.is_usable(now, target))
    }

    /// Tells whether any known target could ever run the order.
    #[must_use]
    pub fn could_run(&self, order: &TaskOrder) -> bool {
        let mut targets = self.targets.values();
        targets.any(|t| t.suits(order) && t.entry.capacity.fits(&order.room))
    }

    /// Returns the targets that this host looks after or is taking.
    fn our_targets(&self) -> impl Iterator<Item = &Target> {
        self.ours.iter().map(|id| &self.targets[id])
    }

    fn is_usable(&self, now: Millis, target: &Target) -> bool {
        let listed = target.unlisted_since.is_none() || !self.list_settled(now);
        let leaving = target.entry.leaving && self.safeguards.leaving_is_heeded;
        listed && !leaving && target.is_open(now) && !self.is_draining(now, target)
    }

    /// Tells whether a target that isn't listed is gone.
    fn list_settled(&self, now: Millis) -> bool {
        let back = self.store_back.unwrap_or(0);
        self.store_reachable && back + BACK_AFTER_MS <= now
    }

    fn is_draining(&self, now: Millis, target: &Target) -> bool {
        let since = self.surplus.get(&target.entry.id);
        since.is_some_and(|since| since + RELEASE_PATIENCE_MS <= now)
    }

    /// Starts a task if there is room for it.
    pub fn place(&mut self, now: Millis, owner: &Name, session: u64, order: &TaskOrder) -> bool {
        let there = self.tasks.contains(&order.key.task);
        if there || self.ended_early.contains_key(&order.key) {
            return false;
        }
        let open = self.our_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| !target.is_offered_to_others(now, owner));
        let fitting = open.filter(|target| target.suits(order) && target.fits(order));
        let best = fitting.min_by(|a, b| a.cost(now, order).total_cmp(&b.cost(now, order)));
        let Some(id) = best.map(|target| target.entry.id.clone()) else {
            return false;
        };
        self.start(now, &id, owner, session, order);
        true
    }

    fn start(&mut self, now: Millis, id: &Name, owner: &Name, session: u64, order: &TaskOrder) {
        let target = self.targets.get_mut(id).expect("the target was found");
        let until = target.admit(now, &self.times, owner, session, order);
        self.tasks.insert(order.key.task.clone());
        self.out.push(Action::Note(Note::Started {
            key: order.key.clone(),
            target: id.clone(),
            owner: owner.clone(),
            left_cpu: target.free().cpu,
        }));
        let purpose = Purpose::Start {
            target: id.clone(),
            key: order.key.clone(),
        };
        let start = TargetCall::Start(RunOrder {
            key: order.key.clone(),
            specification: order.specification.clone(),
            until,
        });
        self.call(id, purpose, start, START_WAIT_MS);
    }

    fn call(&mut self, id: &Name, purpose: Purpose, order: TargetCall, wait_ms: Millis) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let target = &self.targets[id];
        let fence = target.fence;
        self.out.push(Action::Target {
            call,
            id: id.clone(),
            address: target.entry.address.clone(),
            fence,
            order,
            wait_ms,
        });
        self.calls.insert(call, Sent { fence, purpose });
        call
    }

    /// Has runs ended that their owner no longer wants.
    ///
    /// Returns those that aren't there; they never will be.
    pub fn stop(
        &mut self,
        now: Millis,
        owner: &Name,
        keys: &[RunKey],
        report: bool,
        reason: &'static str,
    ) -> Vec<RunKey> {
        let mut missing = Vec::new();
        let mut stopped = Vec::new();
        for key in keys {
            let mut targets = self.targets.iter_mut();
            let found = targets.find(|(_, target)| {
                let run = target.runs.get(key);
                run.is_some_and(|run| run.owner == *owner)
            });
            match found {
                Some((id, target)) => {
                    if target.stop(key, report) {
                        stopped.push((id.clone(), key.clone()));
                    }
                }
                None => {
                    self.ended_early.insert(key.clone(), now + REMEMBER_MS);
                    missing.push(key.clone());
                }
            }
        }
        self.note_stops(stopped, reason);
        self.send_stops(now);
        missing
    }

    /// Has all runs of an owner ended that belong to sessions below `session`.
    pub fn stop_owner(&mut self, now: Millis, owner: &Name, session: u64, reason: &'static str) {
        let mut stopped = Vec::new();
        for (id, target) in &mut self.targets {
            let runs = target.runs.iter();
            let theirs = runs.filter(|(_, run)| run.owner == *owner && run.session < session);
            let keys: Vec<RunKey> = theirs.map(|(key, _)| key.clone()).collect();
            for key in keys {
                if target.stop(&key, false) {
                    stopped.push((id.clone(), key));
                }
            }
        }
        self.note_stops(stopped, reason);
        self.send_stops(now);
    }

    fn note_stops(&mut self, stopped: Vec<(Name, RunKey)>, reason: &'static str) {
        for (target, key) in stopped {
            self.out.push(Action::Note(Note::Stopping {
                key,
                target,
                reason,
            }));
        }
    }

    fn send_stops(&mut self, now: Millis) {
        let mut stops = Vec::new();
        for (id, target) in &self.targets {
            let keys = target.stops_to_send();
            // A target that doesn't answer is asked by its hold alone.
            let hopeless = target.silent_since.is_some_and(|at| at + RETRY_MS < now);
            if target.stage != Stage::Elsewhere && !hopeless {
                stops.extend(keys.into_iter().map(|key| (id.clone(), key)));
            }
        }
        for (target, key) in stops {
            let purpose = Purpose::Stop {
                target: target.clone(),
                key: key.clone(),
            };
            let order = TargetCall::Stop(key.clone());
            let call = self.call(&target, purpose, order, REPLY_WAIT_MS);
            if let Some(target) = self.targets.get_mut(&target) {
                target.stop_sent(&key, call);
            }
        }
    }

    /// Offers room to a host that wants it; the room is kept free meanwhile.
    pub fn offer(&mut self, now: Millis, host: &Name, want: &Want) -> Option<FreeRoom> {
        let open = self.our_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| target.offered.is_none());
        let fitting = open.filter(|t| t.entry.pool == want.pool && t.free().fits(&want.least));
        let best = fitting.max_by_key(|target| target.free().cpu)?;
        let id = best.entry.id.clone();
        let free = FreeRoom {
            pool: best.entry.pool.clone(),
            room: best.free(),
        };
        let target = self.targets.get_mut(&id).expect("the target was found");
        target.offered = Some((host.clone(), now + OFFER_MS));
        Some(free)
    }

    /// Ends what is kept free for a host.
    pub fn end_offers(&mut self, host: &Name) {
        for target in self.targets.values_mut() {
            if target.offered.as_ref().is_some_and(|(to, _)| to == host) {
                target.offered = None;
            }
        }
    }

    /// Takes a change of the list of targets in.
    pub fn change(&mut self, now: Millis, changes: Vec<TargetChange>) {
        for change in changes {
            match change {
                TargetChange::There(entry) => self.listed(entry),
                TargetChange::Gone(id) => self.unlisted(now, &id),
            }
        }
    }

    /// Takes the whole list of targets in.
    pub fn read(&mut self, now: Millis, entries: Vec<TargetEntry>) {
        let there: Vec<Name> = entries.iter().map(|entry| entry.id.clone()).collect();
        for entry in entries {
            self.listed(entry);
        }
        let missing = self.targets.keys().filter(|id| !there.contains(id));
        let missing: Vec<Name> = missing.cloned().collect();
        for id in missing {
            self.unlisted(now, &id);
        }
    }

    fn listed(&mut self, entry: TargetEntry) {
        let id = entry.id.clone();
        match self.targets.get_mut(&id) {
            Some(target) => {
                if entry.leaving && !target.entry.leaving {
                    self.note_target(&id, "leaving", "list");
                }
                let target = self.targets.get_mut(&id).expect("just found");
                target.entry = entry;
                target.unlisted_since = None;
            }
            None => {
                self.targets.insert(id, Target::new(entry));
                self.unshared = true;
            }
        }
    }

    fn unlisted(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            if target.unlisted_since.is_none() {
                target.unlisted_since = Some(now);
                self.note_target(id, "not listed", "list");
            }
        }
    }

    fn note_target(&mut self, target: &Name, state: &'static str, by: &'static str) {
        self.out.push(Action::Note(Note::Target {
            target: target.clone(),
            state,
            by,
        }));
    }

    /// Takes note of whether the store answers.
    pub fn store_reachable(&mut self, now: Millis, reachable: bool) {
        if reachable && !self.store_reachable {
            self.store_back = Some(now);
        }
        self.store_reachable = reachable;
    }

    /// Takes and gives up targets, as the hosts that live now share them.
    ///
    /// `hosts` are those that may look after targets, `claimed` tells whether
    /// another living host looks after a target.
    pub fn assign(
        &mut self,
        now: Millis,
        hosts: &[HostInfo],
        claimed: impl Fn(&Name) -> bool,
        may_take: bool,
    ) {
        self.share_out(hosts);
        let mut take = Vec::new();
        let mut give_up = Vec::new();
        for (id, target) in &self.targets {
            let ours = self.shares.contains(id);
            if ours {
                self.surplus.remove(id);
                let free = target.stage == Stage::Elsewhere && target.runs.is_empty();
                if free && may_take && target.barred_until <= now && !claimed(id) {
                    take.push(id.clone());
                }
            } else if target.stage != Stage::Elsewhere {
                self.surplus.entry(id.clone()).or_insert(now);
                if target.runs.is_empty() {
                    give_up.push(id.clone());
                }
            }
        }
        for id in take {
            self.take(now, &id);
        }
        for id in give_up {
            self.give_up(&id, "another host's");
        }
    }

    /// Finds this host's share of the targets, if hosts or targets changed.
    fn share_out(&mut self, hosts: &[HostInfo]) {
        if !self.unshared && self.shared_with == hosts {
            return;
        }
        let targets = self.targets.iter();
        let ours = targets.filter(|(id, target)| {
            let keeper = assignment::keeper(id, &target.entry.hall, hosts);
            keeper.is_some_and(|host| host.name == self.name)
        });
        self.shares = ours.map(|(id, _)| id.clone()).collect();
        self.shared_with = hosts.to_vec();
        self.unshared = false;
    }

    fn take(&mut self, now: Millis, id: &Name) {
        let fence = self.next_fence(now);
        if let Some(target) = self.targets.get_mut(id) {
            target.take(now, fence);
            target.tokens_tried = 0;
            target.incumbent_since = None;
            self.ours.insert(id.clone());
            self.note_target(id, "taking", "assignment");
        }
    }

    fn give_up(&mut self, id: &Name, by: &'static str) {
        self.surplus.remove(id);
        self.ours.remove(id);
        if let Some(target) = self.targets.get_mut(id) {
            target.leave_to_others();
            self.note_target(id, "left to others", by);
        }
    }

    /// Returns a token above all earlier ones that no other host has.
    fn next_fence(&mut self, now: Millis) -> u64 {
        let by_time = (self.epoch_ms + now) / FENCE_UNIT_MS;
        let next = by_time.max(self.last_fence / UNIQUE + 1);
        self.last_fence = next * UNIQUE + self.unique;
        self.last_fence
    }

    /// Takes a target's reply in, or that there is none.
    pub fn replied(&mut self, now: Millis, call: CallId, reply: Result<TargetReply, SendFailure>) {
        let Some(Sent { fence, purpose }) = self.calls.remove(&call) else {
            return;
        };
        match purpose {
            Purpose::Hold { target, asked } => self.held(now, call, &target, asked, reply),
            Purpose::Start { target, key } => self.started(now, fence, &target, &key, reply),
            Purpose::Stop { target, key } => {
                self.stopped(now, call, fence, &target, &key, reply);
            }
        }
    }

    fn held(
        &mut self,
        now: Millis,
        call: CallId,
        id: &Name,
        asked: Millis,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if target.holding.is_none_or(|(current, _)| current != call) {
            return;
        }
        target.holding = None;
        let was_silent = target.silent_since.is_some();
        let stage = target.stage;
        match reply {
            Ok(TargetReply::Listing {
                clock,
                running,
                ended,
            }) => {
                target.read_clock(now, clock);
                let settles = self.safeguards.newcomers_settle;
                let reports = target.list(now, asked, &running, &ended, settles);
                let pressing = target.is_pressing();
                let idle = target.runs.is_empty() && !pressing;
                target.next_hold = now + if idle { IDLE_LOOK_MS } else { 0 };
                let kept = target.stage == Stage::Kept;
                if was_silent {
                    self.note_target(id, "answers", "hold");
                }
                if kept && stage != Stage::Kept {
                    self.note_target(id, "kept", "hold");
                }
                self.reports.extend(reports);
            }
            Ok(TargetReply::Fenced { .. }) => self.fenced(now, id, self.targets[id].fence),
            Ok(TargetReply::OtherLife) => self.life_over(now, id),
            Ok(_) => {
                // It answers, if not to the point: a look later shows more.
                target.next_hold = now + RETRY_MS;
            }
            Err(_) => self.missed(now, id, "hold"),
        }
    }

    fn missed(&mut self, now: Millis, id: &Name, by: &'static str) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        if !target.missed(now) {
            // One lost answer is not silence.
            target.next_hold = now;
            return;
        }
        let first = target.silent_since == Some(now);
        let retry = if target.stage == Stage::Taking {
            TAKE_RETRY_MS
        } else {
            RETRY_MS
        };
        target.next_hold = now + retry;
        if first {
            self.note_target(id, "silent", by);
        }
    }

    /// Another host has taken the target, if the call had the present token.
    fn fenced(&mut self, now: Millis, id: &Name, sent: u64) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if sent != target.fence || target.stage == Stage::Elsewhere {
            return;
        }
        let settled = target.stage == Stage::Kept && target.kept_since + SETTLED_MS <= now;
        // Clocks differ: a token by the time may be below the last keeper's.
        let too_low = target.stage == Stage::Taking && target.tokens_tried < TOKENS_TRIED;
        if (settled || too_low) && !self.surplus.contains_key(id) {
            self.take_again(now, id, too_low);
            return;
        }
        let target = self.targets.get_mut(id).expect("just found");
        let barred = (BARRED_MS << target.losses.min(4)).min(LONGEST_BARRED_MS);
        target.losses += 1;
        target.leave_to_others();
        target.barred_until = now + barred;
        self.ours.remove(id);
        self.surplus.remove(id);
        self.note_target(id, "left to others", "fenced");
    }

    fn take_again(&mut self, now: Millis, id: &Name, too_low: bool) {
        let tried = self.targets[id].tokens_tried;
        let raise = if too_low { TOKEN_RAISE_MS << tried } else { 0 };
        let fence = self.next_fence(now + raise);
        let target = self.targets.get_mut(id).expect("the target is kept");
        let held_long = target.stage == Stage::Kept && target.kept_since + FORGIVEN_MS <= now;
        if held_long {
            target.losses = 0;
        }
        // Who kept it for long has the better right, however often others
        // that don't see this host come.
        let since = target.kept_since;
        target.take(now, fence);
        target.tokens_tried = if too_low { tried + 1 } else { 0 };
        target.incumbent_since = (!too_low).then_some(since);
        self.note_target(id, "taking back", "fenced");
    }

    /// The target's process is another one by now.
    fn life_over(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            let reports = target.end_all(now, "other life");
            target.leave_to_others();
            target.barred_until = now + BARRED_MS;
            target.unlisted_since.get_or_insert(now);
            self.ours.remove(id);
            self.reports.extend(reports);
            self.note_target(id, "gone", "other life");
        }
    }

    fn started(
        &mut self,
        now: Millis,
        fence: u64,
        id: &Name,
        key: &RunKey,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        let report = match reply {
            Ok(TargetReply::Done { clock } | TargetReply::Listing { clock, .. }) => {
                target.read_clock(now, clock);
                target.start_taken(now, key);
                None
            }
            Ok(TargetReply::Late { clock }) => {
                target.read_clock(now, clock);
                target.end(now, key, End::Lost, "late")
            }
            Ok(TargetReply::Full { clock }) => {
                target.read_clock(now, clock);
                target.next_hold = now;
                target.failed(now);
                target.end(now, key, End::Lost, "full")
            }
            Ok(TargetReply::Outnumbered { .. }) => {
                target.end(now, key, End::Outnumbered, "outnumbered")
            }
            Ok(TargetReply::Refused { .. }) => {
                target.suspend(now);
                target.end(now, key, End::Lost, "refused")
            }
            Ok(TargetReply::Fenced { .. }) => {
                let report = target.end(now, key, End::Lost, "fenced");
                self.reports.extend(report);
                self.fenced(now, id, fence);
                return;
            }
            Ok(TargetReply::OtherLife) => {
                self.life_over(now, id);
                return;
            }
            Err(SendFailure::Refused | SendFailure::NotSent) => {
                let report = target.end(now, key, End::Lost, "not sent");
                self.reports.extend(report);
                self.missed(now, id, "start");
                return;
            }
            Err(SendFailure::Unknown) if !self.safeguards.starts_are_doubted => {
                target.end(now, key, End::Lost, "no reply")
            }
            Err(SendFailure::Unknown) => {
                target.doubt(key);
                self.missed(now, id, "start");
                self.send_stops(now);
                return;
            }
        };
        self.reports.extend(report);
    }

    fn stopped(
        &mut self,
        now: Millis,
        call: CallId,
        fence: u64,
        id: &Name,
        key: &RunKey,
        reply: Result<TargetReply, SendFailure>,
    ) {
        let Some(target) = self.targets.get_mut(id) else {
            return;
        };
        match reply {
            Ok(TargetReply::Done { clock } | TargetReply::Listing { clock, .. }) => {
                target.read_clock(now, clock);
                target.stop_replied(now, key, call, true);
                target.next_hold = target.next_hold.min(now);
            }
            Ok(TargetReply::Fenced { .. }) => {
                target.stop_replied(now, key, call, false);
                self.fenced(now, id, fence);
            }
            Ok(TargetReply::OtherLife) => self.life_over(now, id),
            Ok(_) => target.stop_replied(now, key, call, false),
            Err(_) => {
                target.stop_replied(now, key, call, false);
                self.missed(now, id, "stop");
            }
        }
    }

    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.ended_early.retain(|_, until| *until > now);
        for target in self.targets.values_mut() {
            target.offered.take_if(|(_, until)| *until <= now);
        }
        self.forget_unlisted(now);
        self.end_what_is_over(now);
        self.stop_overruns(now);
        self.send_stops(now);
    }

    /// A target that isn't listed is gone when nothing more can run there;
    /// with the store out, its silence in the list says nothing.
    fn forget_unlisted(&mut self, now: Millis) {
        let settled = self.list_settled(now);
        let gone = self.targets.iter().filter(|(_, target)| {
            let missing = target.unlisted_since.is_some();
            let empty = target.runs.is_empty() && target.holding.is_none();
            missing && settled && empty
        });
        let gone: Vec<Name> = gone.map(|(id, _)| id.clone()).collect();
        for id in gone {
            self.targets.remove(&id);
            self.ours.remove(&id);
            self.surplus.remove(&id);
            self.note_target(&id, "gone", "list");
        }
    }

    fn end_what_is_over(&mut self, now: Millis) {
        for target in self.targets.values_mut() {
            let waits = self.safeguards.silent_runs_are_waited_for;
            let over = target.is_over(now) || (!waits && target.silent_since.is_some());
            if !target.runs.is_empty() && over {
                let reports = target.end_all(now, "hold over");
                self.reports.extend(reports);
            }
        }
    }

    fn stop_overruns(&mut self, now: Millis) {
        let mut stopped = Vec::new();
        for (id, target) in &mut self.targets {
            let overruns = target.overruns(now);
            if !overruns.is_empty() {
                target.suspend(now);
            }
            for key in overruns {
                if target.stop(&key, true) {
                    stopped.push((id.clone(), key));
                }
            }
        }
        self.note_stops(stopped, "overrun");
    }

    /// Holds targets on and asks for news, where no such call is on its way.
    pub fn send_holds(&mut self, now: Millis) {
        let ours = self.ours.iter();
        let due = ours.filter(|id| {
            let target = &self.targets[*id];
            target.holding.is_none() && is_call_due(target, now)
        });
        let due: Vec<Name> = due.cloned().collect();
        for id in due {
            self.send_hold(now, &id);
        }
    }

    fn send_hold(&mut self, now: Millis, id: &Name) {
        let times = self.times;
        let target = self.targets.get_mut(id).expect("the target was found");
        // What a newcomer finds is nobody's: it isn't held on. Nor are runs of
        // its own as long as it doesn't know what others run beside them.
        let until = if target.stage == Stage::Kept && !target.runs.is_empty() {
            target.extend(now, &times)
        } else {
            None
        };
        let quick = target.silent_since.is_some()
            || target.stage == Stage::Taking
            || (target.runs.is_empty() && target.stage == Stage::Kept);
        let wait_ms = if quick {
            0
        } else if target.is_pressing() {
            PRESSING_WAIT_MS
        } else {
            times.hold_wait
        };
        let order = TargetCall::Hold {
            until,
            noted: target.noted,
            wait_ms,
        };
        let purpose = Purpose::Hold {
            target: id.clone(),
            asked: now,
        };
        let call = self.call(id, purpose, order, wait_ms + REPLY_WAIT_MS);
        let target = self.targets.get_mut(id).expect("the target was found");
        target.holding = Some((call, now));
    }
}

/// Tells whether a target is to be called now.
///
/// A busy target is called as soon as nothing stands against it; only one
/// that doesn't answer, or is idle, has a time to wait for.
fn is_call_due(target: &Target, now: Millis) -> bool {
    let busy = !target.runs.is_empty() || target.is_pressing();
    let due = target.next_hold <= now;
    due || (busy && target.silent_since.is_none() && target.stage != Stage::Taking)
}
