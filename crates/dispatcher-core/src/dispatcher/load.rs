//! Load reports between hosts where tasks wait at holders: sent with each reply, and when this host
//! has free capacity while a peer's tasks wait.
//!
//! Relies on [`crate::targets`] for the load of this host's targets, and on [`crate::peers`] to
//! store what peers report.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashSet};

use gannetridge_wire::Name;

use crate::event::SendFailure;
use crate::message::{
    HolderLoad, PoolLoad, Reply, ReplyBody, Request, TargetFreeCapacity, WaitingWork,
};
use crate::peers::KnownFreeTarget;
use crate::rules::backlog::FREE_CAPACITY_INTERVAL_MS;
use crate::rules::hall_load::HallLoad;
use crate::spec::Resources;
use crate::targets::PoolCapacity;
use crate::{Millis, Urgency};

use super::peer_calls::{body, Purpose};
use super::placement::MAX_SCHEDULED;
use super::Dispatcher;

impl Dispatcher {
    /// Returns the load of this host's targets, by pool.
    pub(super) fn pool_loads(&self, now: Millis) -> Vec<PoolLoad> {
        let pools = self.targets.pool_capacities(now).into_iter();
        pools.map(|pool| self.pool_load(now, pool)).collect()
    }

    /// Returns the load of the targets of one pool, with the tasks that wait for them.
    fn pool_load(&self, now: Millis, pool: PoolCapacity) -> PoolLoad {
        let mut load = PoolLoad {
            queue_cpu: pool.soon_free_cpu,
            pool: pool.pool,
            capacity_cpu: pool.capacity_cpu,
            used_cpu: pool.used_cpu,
            waiting: Vec::new(),
        };
        for task in self.jobs.waiting(now, MAX_SCHEDULED) {
            if *self.jobs.pool(&task.job) == load.pool {
                let urgency = task.priority.urgency;
                add_waiting(&mut load, urgency, &task.resources, task.estimate_ms);
            }
        }
        for handed in self.backlog.iter() {
            let order = &handed.task.order;
            if order.pool == load.pool {
                let urgency = handed.task.priority.urgency;
                add_waiting(&mut load, urgency, &order.resources, order.estimate_ms);
            }
        }
        load
    }

    /// Returns the known load of the targets, by hall.
    #[must_use]
    pub fn hall_loads(&self, now: Millis) -> BTreeMap<Name, HallLoad> {
        let mut halls = BTreeMap::new();
        for load in self.pool_loads(now) {
            let hall: &mut HallLoad = halls.entry(self.own.hall.clone()).or_default();
            hall.add(&load, 0);
        }
        self.peers.add_hall_loads(now, &mut halls);
        halls
    }

    /// Returns the free capacity and the load of this host's targets; empty during a shutdown.
    fn holder_load(&self, now: Millis) -> HolderLoad {
        if self.stopping.is_some() {
            return HolderLoad::default();
        }
        HolderLoad {
            free_capacity: self.targets.free_by_target(now),
            pools: self.pool_loads(now),
        }
    }

    /// Adds the load of this host's targets to a reply.
    pub(super) fn with_load(&self, now: Millis, body: ReplyBody) -> ReplyBody {
        ReplyBody::WithLoad {
            load: self.holder_load(now),
            body: Box::new(body),
        }
    }

    /// Reports free capacity to the peer whose demand has the highest priority.
    pub(super) fn report_free_capacity(&mut self, now: Millis) {
        if self.stopping.is_some() {
            return;
        }
        let Some((name, demand)) = self.first_demand(now) else {
            return;
        };
        if !self.targets.may_fit(now, &demand) {
            return;
        }
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.own_load_sent_at = now;
        }
        let request = Request::FreeCapacity(self.holder_load(now));
        self.call_peer(now, &name, request, Purpose::FreeCapacity);
    }

    /// Returns the peer whose demand has the highest priority, of those without a recent report of
    /// free capacity, and the minimum resources of its tasks.
    fn first_demand(&self, now: Millis) -> Option<(Name, Resources)> {
        let demanding = self.peers.iter();
        let demanding =
            demanding.filter(|(_, peer)| peer.own_load_sent_at + FREE_CAPACITY_INTERVAL_MS <= now);
        let open = demanding.filter_map(|(name, peer)| Some((name, peer.open_demand(now)?)));
        let first = open.min_by(|(_, a), (_, b)| {
            let order = a.priority.partial_cmp(&b.priority);
            order.unwrap_or(Ordering::Equal)
        });
        first.map(|(name, open)| (name.clone(), open.demand.smallest))
    }

    /// Handles a peer's reply to a report of free capacity: clears its demand if it has no waiting
    /// tasks.
    pub(super) fn handle_free_capacity_reply(
        &mut self,
        now: Millis,
        name: &Name,
        reply: Result<Reply, SendFailure>,
    ) {
        if !matches!(body(reply), Some(ReplyBody::Interested(true))) {
            if let Some(peer) = self.peers.get_mut(name) {
                peer.set_demand(now, None);
            }
        }
    }

    /// Records the free capacity and the load that a peer reported.
    pub(super) fn record_peer_load(&mut self, now: Millis, name: &Name, load: HolderLoad) {
        let reported = load.free_capacity.into_iter();
        let known = reported
            .filter_map(|free_capacity| self.known_free_target(free_capacity))
            .collect();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_load(now, known, load.pools);
        }
    }

    /// Returns the free capacity of a peer's target with its entry; `None` if the target isn't
    /// known to this host.
    fn known_free_target(&self, free_capacity: TargetFreeCapacity) -> Option<KnownFreeTarget> {
        let entry = self.targets.entry(&free_capacity.target)?.clone();
        Some(KnownFreeTarget {
            entry,
            free: free_capacity.free,
        })
    }

    /// Records the labels of the targets that a peer holds: they show near which data it can run
    /// tasks.
    pub(super) fn record_leased_labels(&mut self, name: &Name, leased: &[Name]) {
        let entries = leased.iter().filter_map(|id| self.targets.entry(id));
        let labels = entries.flat_map(|entry| entry.labels.iter().cloned());
        let labels: HashSet<Name> = labels.collect();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_held_labels(labels);
        }
    }

    /// Handles a peer's report of free capacity. Waiting tasks are placed after this event.
    pub(super) fn handle_free_capacity_report(
        &mut self,
        now: Millis,
        name: &Name,
        load: HolderLoad,
    ) -> ReplyBody {
        self.record_peer_load(now, name, load);
        ReplyBody::Interested(!self.jobs.has_no_waiting_tasks())
    }
}

/// Adds a waiting task to the load of its pool.
fn add_waiting(load: &mut PoolLoad, urgency: Urgency, needed: &Resources, estimate_ms: Millis) {
    load.queue_cpu = load.queue_cpu.saturating_sub(needed.cpu);
    load.add_waiting(&WaitingWork {
        urgency,
        tasks: 1,
        core_ms: needed.core_ms(estimate_ms),
    });
}
