//! The holder's side of tasks that wait at holders: orders this host's own tasks and those of peers
//! together, starts them, and queues or returns tasks of peers.
//!
//! Relies on [`crate::backlog`] for the tasks of peers, on [`crate::jobs`] for this host's own
//! tasks, and on [`crate::rules::backlog`] for limits on waiting.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::backlog::BacklogTask;
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
use crate::{Millis, Urgency};

use super::placement::MAX_SCHEDULED;
use super::Dispatcher;

/// The state of one scheduling pass over the tasks that wait at this host.
#[derive(Default)]
pub(super) struct BacklogPass {
    /// Own tasks for which no target or holder was found.
    pub(super) unplaced: Vec<WaitingTask>,
    /// Own tasks to hand over, by peer.
    pub(super) batches: BTreeMap<Name, Vec<(WaitingTask, TaskOrder)>>,
    /// True if tasks may be started on this host's targets.
    starts_here: bool,
    /// The load of this host's targets at the start of the pass; empty if no own task waits.
    own_loads: Vec<PoolLoad>,
    not_found_here: FailedSearches,
    not_found_at_peers: FailedSearches,
}

impl BacklogPass {
    /// Returns true if a task with these needs may find a target at this host. Queries `ask` only
    /// if the outcome isn't known from an earlier task of the pass.
    pub(super) fn may_start_here(
        &mut self,
        needed: &Resources,
        ask: impl FnOnce(&Resources) -> bool,
    ) -> bool {
        self.starts_here && self.not_found_here.may_find(needed, ask)
    }

    /// Returns the expected wait of a task that waits at this host, in ms; `None` if this host has
    /// no usable capacity in its pool.
    pub(super) fn own_wait_ms(&self, order: &TaskOrder, urgency: Urgency) -> Option<Millis> {
        let mut loads = self.own_loads.iter();
        let load = loads.find(|load| load.pool == order.pool)?;
        expected_wait_ms(&load.waiting, u64::from(load.capacity_cpu), urgency, 0)
    }

    /// Returns true if a peer may accept a task with these needs; see [`Self::may_start_here`].
    pub(super) fn may_hand_over(
        &mut self,
        needed: &Resources,
        ask: impl FnOnce(&Resources) -> bool,
    ) -> bool {
        self.not_found_at_peers.may_find(needed, ask)
    }
}

/// A task that waits at this host.
enum WaitingHere {
    /// A task of a job that this host owns.
    Own(WaitingTask),
    /// A task that a peer handed over, with its current priority.
    Peer(Priority, BacklogTask),
}

impl WaitingHere {
    fn priority(&self) -> &Priority {
        match self {
            Self::Own(task) => &task.priority,
            Self::Peer(priority, _) => priority,
        }
    }

    /// Returns the urgency, queue and hall that the task is accounted to.
    fn origin<'a>(&'a self, own_hall: &'a Name) -> Origin<'a> {
        match self {
            Self::Own(task) => task.origin(own_hall),
            Self::Peer(_, handed) => handed.origin(),
        }
    }

    /// Returns the inputs of the waiting order.
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
    /// Starts waiting tasks of this host and of peers in one order, and hands own tasks over to
    /// holders that are expected to start them sooner.
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
        self.advertise(now, &pass.unplaced);
        if pass.unplaced.is_empty() && self.backlog.is_empty() {
            self.report_free_capacity(now);
        }
    }

    /// Returns the waiting tasks: this host's own by priority, then those of peers in order of
    /// arrival.
    fn waiting_here(&self, now: Millis) -> Vec<WaitingHere> {
        let own = self.jobs.waiting(now, MAX_SCHEDULED);
        let own = own.into_iter().map(WaitingHere::Own);
        let handed = self.backlog.iter();
        let handed = handed.map(|handed| WaitingHere::Peer(handed.priority(now), handed.clone()));
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

    /// Places tasks by urgency and shares. Each start changes the shares, so the next task is
    /// selected after it.
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
            WaitingHere::Peer(_, handed) => self.place_backlog_task(now, pass, handed),
        }
    }

    /// Counts a task that a peer handed over as an arrival for the reserve of urgent work.
    fn count_arrival(&mut self, now: Millis, size: &TaskSize, task: &HandedTask) {
        let slack_ms = Millis::try_from(task.priority.slack_ms).unwrap_or(0);
        self.long_tasks.record_arrival(now, size, slack_ms);
    }

    /// Returns true unless the task is long and would use the reserve kept for shorter and more
    /// urgent ones.
    pub(super) fn keeps_reserve_free(&mut self, now: Millis, size: &TaskSize, pool: &Name) -> bool {
        if self.settings.scheduling.order == WaitingOrder::Class {
            return true;
        }
        let running = self.targets.running_sizes(now, pool);
        let capacity_cpu = running.capacity_cpu;
        let sizes = running.sizes.iter().copied();
        self.long_tasks.may_start(now, size, capacity_cpu, sizes)
    }

    /// Counts a task started at this host for the shares of its queue and hall.
    pub(super) fn count_start(&mut self, now: Millis, origin: &Origin<'_>, order: &TaskOrder) {
        if self.settings.scheduling.order == WaitingOrder::Shares {
            self.shares.record_start(now, origin, order.core_ms());
        }
    }

    /// Starts a waiting task of a peer, if a target has enough free resources.
    fn place_backlog_task(&mut self, now: Millis, pass: &mut BacklogPass, handed: &BacklogTask) {
        let needed = handed.task.order.resources;
        let here = pass.may_start_here(&needed, |r| self.targets.may_fit(now, r));
        let size = handed.size();
        if here
            && self.keeps_reserve_free(now, &size, &handed.task.order.pool)
            && self.start_backlog_task(now, handed)
        {
            self.backlog.remove(&handed.task.order.id);
        }
    }

    /// Starts a task of a peer if a target has the resources: only near its data until the task has
    /// waited for [`near_target_wait_ms`]. Returns true if it was started.
    fn start_backlog_task(&mut self, now: Millis, handed: &BacklogTask) -> bool {
        let order = &handed.task.order;
        let waited_ms = now.saturating_sub(handed.received_at);
        let within_near_wait =
            waited_ms < near_target_wait_ms(order.estimate_ms, self.settings.far_slowdown);
        let reach = if within_near_wait
            && order.rack.is_some()
            && self.targets.could_run_here(now, order, true)
        {
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

    /// Starts the tasks of a peer for which a target is free, and queues those for which one is
    /// expected to be free in time.
    pub(super) fn accept_handed_over(
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
            let handed = BacklogTask {
                owner: Owner {
                    host: name.clone(),
                    session,
                },
                hall: hall.clone(),
                task,
                received_at: now,
            };
            if !self.may_accept(now, &handed) {
                continue;
            }
            self.count_arrival(now, &handed.size(), &handed.task);
            let keeps_reserve_free =
                self.keeps_reserve_free(now, &handed.size(), &handed.task.order.pool);
            if keeps_reserve_free && self.start_backlog_task(now, &handed) {
                started.push(position as u32);
            } else if self.enqueue(now, handed) {
                waiting.push(position as u32);
            }
        }
        ReplyBody::HandedOver { started, waiting }
    }

    /// Returns true if a task that a peer hands over may be started at this host, now or later.
    fn may_accept(&self, now: Millis, handed: &BacklogTask) -> bool {
        let order = &handed.task.order;
        let in_time = handed.task.latest_start >= now;
        let waits_already = self.backlog.has_task(&order.id.task);
        let open = self.stopping.is_none() && in_time && !waits_already;
        open && self.targets.may_start(order)
    }

    /// Queues a task if a target is expected to be free for it in time, in addition to the tasks
    /// that wait already. Returns true if it was queued.
    fn enqueue(&mut self, now: Millis, handed: BacklogTask) -> bool {
        let order = &handed.task.order;
        let loads = self.pool_loads(now);
        let pool = loads.iter().find(|load| load.pool == order.pool);
        let queue_cpu = pool.map_or(0, |load| load.queue_cpu);
        let accepted = accepts_task(order.resources.cpu, queue_cpu, self.backlog.len())
            && self.targets.could_run_here(now, order, false);
        if accepted {
            self.backlog.push(handed);
        }
        accepted
    }

    /// Removes a peer's waiting tasks whose attempts are in `ids` from the backlog, and their
    /// attempts from `ids`; returns the tasks.
    pub(super) fn withdraw(&mut self, owner: &Name, ids: &mut Vec<AttemptId>) -> Vec<BacklogTask> {
        let withdrawn = self.backlog.remove_for_owner(owner, ids);
        ids.retain(|id| withdrawn.iter().all(|handed| handed.task.order.id != *id));
        withdrawn
    }

    /// Returns tasks whose latest start has passed to their owners. Called before each event, so
    /// that no task is started late after the process was stalled.
    pub(super) fn expire_backlog(&mut self, now: Millis) {
        if !self.backlog.is_empty() {
            let expired = self.backlog.take_expired(now);
            self.return_unstarted(expired);
        }
    }

    /// Returns tasks that this host can't start any more to their owners: all of them during a
    /// shutdown, otherwise those that none of its usable targets could run.
    pub(super) fn return_unrunnable(&mut self, now: Millis) {
        if self.backlog.is_empty() {
            return;
        }
        let stopping = self.stopping.is_some();
        let targets = &self.targets;
        let unrunnable = self.backlog.take_matching(|handed| {
            stopping || !targets.could_run_here(now, &handed.task.order, false)
        });
        self.return_unstarted(unrunnable);
    }

    /// Reports to owners that tasks were not started at this host and never will be.
    pub(super) fn return_unstarted(&mut self, handed: Vec<BacklogTask>) {
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
