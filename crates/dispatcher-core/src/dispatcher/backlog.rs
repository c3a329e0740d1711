//! The holder's side of tasks that wait here: one order for this host's callers and those of
//! peers, what is kept and what is given back, and what peers are told of room.
//!
//! Relies on [`crate::backlog`] for the tasks of peers and on [`crate::jobs`] for those of this
//! host's callers; how long and how many may wait stands in [`crate::rules::backlog`].

use std::cmp::Ordering;
use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::backlog::Handed;
use crate::jobs::WaitingTask;
use crate::message::{
    AttemptEnd, AttemptId, AttemptOutcome, HandedTask, PoolLoad, Priority, ReplyBody, TaskOrder,
};
use crate::rules::backlog::{accepts_task, near_target_wait_ms};
use crate::rules::hall_load::expected_wait_ms;
use crate::rules::long_tasks::TaskSize;
use crate::rules::shares::Origin;
use crate::rules::target_choice::FailedSearches;
use crate::rules::waiting_order::{GroupedTasks, WaitingEntry};
use crate::settings::WaitingOrder;
use crate::spec::Resources;
use crate::targets::{Owner, OwnerSession, Reach};
use crate::Millis;

use super::placement::MAX_SCHEDULED;
use super::Dispatcher;

/// One pass over the tasks that wait here.
#[derive(Default)]
pub(super) struct BacklogPass {
    /// Tasks of this host's callers for which nothing was found.
    pub(super) left: Vec<WaitingTask>,
    /// Tasks to be handed over.
    pub(super) batches: BTreeMap<Name, Vec<(WaitingTask, TaskOrder)>>,
    /// Whether tasks may be started on this host's targets.
    starts_here: bool,
    /// What this host's targets have to do when the pass begins.
    own_loads: Vec<PoolLoad>,
    not_here: FailedSearches,
    not_at_peers: FailedSearches,
}

impl BacklogPass {
    /// Returns whether a task that needs so much may find a target here.
    pub(super) fn may_start_here(
        &mut self,
        needed: &Resources,
        ask: impl FnOnce(&Resources) -> bool,
    ) -> bool {
        self.starts_here && self.not_here.may_find(needed, ask)
    }

    /// Returns how long a task that waits here is expected to wait, in ms, if this host has
    /// targets for it.
    pub(super) fn own_wait(&self, order: &TaskOrder, urgency: u8) -> Option<Millis> {
        let mut loads = self.own_loads.iter();
        let load = loads.find(|load| load.pool == order.pool)?;
        expected_wait_ms(&load.waiting, u64::from(load.capacity_cpu), urgency, 0)
    }

    /// Returns whether a peer may take a task that needs so much.
    pub(super) fn may_hand_over(
        &mut self,
        needed: &Resources,
        ask: impl FnOnce(&Resources) -> bool,
    ) -> bool {
        self.not_at_peers.may_find(needed, ask)
    }
}

/// A task that waits here.
enum WaitingHere {
    /// Of a caller of this host.
    Own(WaitingTask),
    /// Of a peer.
    Handed(Priority, Handed),
}

impl WaitingHere {
    fn priority(&self) -> &Priority {
        match self {
            Self::Own(task) => &task.priority,
            Self::Handed(priority, _) => priority,
        }
    }

    /// Returns for whom it runs.
    fn origin<'a>(&'a self, own_hall: &'a Name) -> Origin<'a> {
        match self {
            Self::Own(task) => task.origin(own_hall),
            Self::Handed(_, handed) => handed.origin(),
        }
    }

    /// Returns what decides its place.
    fn as_waiting<'a>(&'a self, own_hall: &'a Name) -> WaitingEntry<'a> {
        let priority = self.priority();
        WaitingEntry {
            origin: self.origin(own_hall),
            class: priority.class,
            slack_ms: priority.slack_ms,
        }
    }
}

impl Dispatcher {
    /// Starts what waits here, the first in priority first, whosever it is, and hands over
    /// what finds a target sooner elsewhere.
    pub(super) fn schedule_with_backlog(&mut self, now: Millis) {
        let waiting = self.waiting_here(now);
        let mut pass = BacklogPass {
            starts_here: self.starts_here(now),
            ..BacklogPass::default()
        };
        if waiting
            .iter()
            .any(|next| matches!(next, WaitingHere::Own(_)))
        {
            pass.own_loads = self.pool_loads(now);
        }
        match self.settings.scheduling.order {
            WaitingOrder::Class => self.place_by_class(now, &mut pass, waiting),
            WaitingOrder::Shares => self.place_by_shares(now, &mut pass, &waiting),
        }
        self.send_batches(now, std::mem::take(&mut pass.batches));
        self.advertise(now, &pass.left);
        if pass.left.is_empty() && self.backlog.is_empty() {
            self.tell_room(now);
        }
    }

    /// Returns the tasks that wait here: this host's callers' first, by priority.
    fn waiting_here(&self, now: Millis) -> Vec<WaitingHere> {
        let own = self.jobs.waiting(now, MAX_SCHEDULED);
        let own = own.into_iter().map(WaitingHere::Own);
        let handed = self.backlog.iter();
        let handed = handed.map(|handed| WaitingHere::Handed(handed.priority(now), handed.clone()));
        own.chain(handed).collect()
    }

    fn place_by_class(
        &mut self,
        now: Millis,
        pass: &mut BacklogPass,
        mut waiting: Vec<WaitingHere>,
    ) {
        waiting.sort_by(|a, b| {
            let order = a.priority().partial_cmp(b.priority());
            order.unwrap_or(Ordering::Equal)
        });
        for next in &waiting {
            self.place_next(now, pass, next);
        }
    }

    /// Places tasks by urgency and shares; who is due changes with each start.
    fn place_by_shares(&mut self, now: Millis, pass: &mut BacklogPass, waiting: &[WaitingHere]) {
        let own_hall = self.own.hall.clone();
        let mut line = GroupedTasks::new(waiting.iter().map(|next| next.as_waiting(&own_hall)));
        self.shares.advance(now, line.origins());
        while let Some(position) = line.take_first(&self.shares, |_| true) {
            self.place_next(now, pass, &waiting[position]);
        }
    }

    fn place_next(&mut self, now: Millis, pass: &mut BacklogPass, next: &WaitingHere) {
        match next {
            WaitingHere::Own(task) => self.place_own(now, pass, task.clone()),
            WaitingHere::Handed(_, handed) => self.place_handed(now, pass, handed),
        }
    }

    /// Counts a task that a peer handed over among those for which room may be kept free.
    fn count_arrival(&mut self, now: Millis, size: &TaskSize, task: &HandedTask) {
        let slack_ms = Millis::try_from(task.priority.slack_ms).unwrap_or(0);
        self.long_tasks.record_arrival(now, size, slack_ms);
    }

    /// Returns whether a task, if it is long, leaves the room that is kept for shorter and more
    /// urgent ones.
    pub(super) fn leaves_room(&mut self, now: Millis, size: &TaskSize, pool: &Name) -> bool {
        if self.settings.scheduling.order == WaitingOrder::Class {
            return true;
        }
        let running = self.targets.running_sizes(now, pool);
        let capacity_cpu = running.capacity_cpu;
        let sizes = running.sizes.iter().copied();
        self.long_tasks.may_start(now, size, capacity_cpu, sizes)
    }

    /// Counts a task that was started here for the shares of its queue and hall.
    pub(super) fn count_start(&mut self, now: Millis, origin: &Origin<'_>, order: &TaskOrder) {
        if self.settings.scheduling.order == WaitingOrder::Shares {
            self.shares.record_start(now, origin, order.core_ms());
        }
    }

    /// Starts a task of a peer that waits here, if a target has room.
    fn place_handed(&mut self, now: Millis, pass: &mut BacklogPass, handed: &Handed) {
        let needed = handed.task.order.resources;
        let here = pass.may_start_here(&needed, |r| self.targets.may_fit(now, r));
        let size = handed.size();
        if here
            && self.leaves_room(now, &size, &handed.task.order.pool)
            && self.start_handed(now, handed)
        {
            self.backlog.take(&handed.task.order.id);
        }
    }

    /// Starts a task of a peer, near its data as long as waiting for that is worth it.
    fn start_handed(&mut self, now: Millis, handed: &Handed) -> bool {
        let order = &handed.task.order;
        let waited_ms = now.saturating_sub(handed.came);
        let patient =
            waited_ms < near_target_wait_ms(order.estimate_ms, self.settings.far_slowdown);
        let reach =
            if patient && order.rack.is_some() && self.targets.could_run_here(now, order, true) {
                Reach::Near
            } else {
                Reach::Anywhere
            };
        let urgency = handed.task.priority.urgency;
        let started = self
            .targets
            .start(now, &handed.owner, order, reach, urgency);
        if started {
            self.count_start(now, &handed.origin(), order);
        }
        started
    }

    /// Starts those of a peer's tasks for which there is a target, and keeps those for which
    /// there will be one in time.
    pub(super) fn asked_to_take_over(
        &mut self,
        now: Millis,
        name: &Name,
        session: OwnerSession,
        tasks: Vec<HandedTask>,
    ) -> ReplyBody {
        let Some(peer) = self.peers.get(name) else {
            return ReplyBody::Stale;
        };
        if !peer.owner_lease.is_valid() {
            return ReplyBody::Stale;
        }
        let hall = peer.info.hall.clone();
        let (mut started, mut waiting) = (Vec::new(), Vec::new());
        for (position, task) in tasks.into_iter().enumerate() {
            let handed = Handed {
                owner: Owner {
                    host: name.clone(),
                    session,
                },
                hall: hall.clone(),
                task,
                came: now,
            };
            if !self.may_take(now, &handed) {
                continue;
            }
            self.count_arrival(now, &handed.size(), &handed.task);
            let leaves_room = self.leaves_room(now, &handed.size(), &handed.task.order.pool);
            if leaves_room && self.start_handed(now, &handed) {
                started.push(position as u32);
            } else if self.keep(now, handed) {
                waiting.push(position as u32);
            }
        }
        ReplyBody::HandedOver { started, waiting }
    }

    /// Returns whether a task that a peer hands over may be started here, now or later.
    fn may_take(&self, now: Millis, handed: &Handed) -> bool {
        let order = &handed.task.order;
        let in_time = handed.task.latest_begin >= now;
        let waits_already = self.backlog.has_task(&order.id.task);
        let open = self.stopping.is_none() && in_time && !waits_already;
        open && self.targets.may_start(order)
    }

    /// Lets a task wait if a target is expected to have room for it in time, beside all that
    /// waits already.
    fn keep(&mut self, now: Millis, handed: Handed) -> bool {
        let order = &handed.task.order;
        let loads = self.pool_loads(now);
        let pool = loads.iter().find(|load| load.pool == order.pool);
        let queue_cpu = pool.map_or(0, |load| load.queue_cpu);
        let kept = accepts_task(order.resources.cpu, queue_cpu, self.backlog.len())
            && self.targets.could_run_here(now, order, false);
        if kept {
            self.backlog.push(handed);
        }
        kept
    }

    /// Takes those of a peer's tasks out of `ids` that wait here, and returns them: the peer
    /// no longer wants them, or wants to know of them.
    pub(super) fn withdraw(&mut self, owner: &Name, ids: &mut Vec<AttemptId>) -> Vec<Handed> {
        let withdrawn = self.backlog.withdraw(owner, ids);
        ids.retain(|id| withdrawn.iter().all(|handed| handed.task.order.id != *id));
        withdrawn
    }

    /// Gives back what may no longer begin here. Looked at before each event, so that nothing
    /// is started late after this host stood still.
    pub(super) fn expire_backlog(&mut self, now: Millis) {
        if !self.backlog.is_empty() {
            let expired = self.backlog.take_expired(now);
            self.give_back(expired);
        }
    }

    /// Gives back what this host can't start any more: all of it when it stops, else the tasks
    /// for which it holds no target that could run them.
    pub(super) fn give_back_hopeless(&mut self, now: Millis) {
        if self.backlog.is_empty() {
            return;
        }
        let stopping = self.stopping.is_some();
        let targets = &self.targets;
        let hopeless = self.backlog.take_where(|handed| {
            stopping || !targets.could_run_here(now, &handed.task.order, false)
        });
        self.give_back(hopeless);
    }

    /// Tells owners that tasks weren't begun here and never will be.
    pub(super) fn give_back(&mut self, handed: Vec<Handed>) {
        for handed in handed {
            let Some(peer) = self.peers.get_mut(&handed.owner.host) else {
                continue;
            };
            if peer.owner_session() == handed.owner.session && peer.owner_lease.is_valid() {
                peer.ends.push(AttemptEnd {
                    id: handed.task.order.id,
                    outcome: AttemptOutcome::NotStarted,
                    target: "".into(),
                });
            }
        }
    }
}
