//! What hosts tell each other of their targets where tasks wait at holders: with each reply, and
//! where there is room while a peer's tasks find none.
//!
//! Relies on [`crate::targets`] for what this host's targets have, and on [`crate::peers`] to
//! keep what was heard.

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
use crate::Millis;

use super::peer_calls::{body, Purpose};
use super::placement::MAX_SCHEDULED;
use super::Dispatcher;

impl Dispatcher {
    /// Returns what this host's targets have to do, by pool.
    pub(super) fn pool_loads(&self, now: Millis) -> Vec<PoolLoad> {
        let rooms = self.targets.pool_capacities(now).into_iter();
        rooms.map(|room| self.pool_load(now, room)).collect()
    }

    /// Returns what the targets of one pool have to do, with what waits for them.
    fn pool_load(&self, now: Millis, room: PoolCapacity) -> PoolLoad {
        let mut load = PoolLoad {
            queue_cpu: room.soon_free_cpu,
            pool: room.pool,
            capacity_cpu: room.capacity_cpu,
            used_cpu: room.used_cpu,
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

    /// Returns the load of each hall's targets, as far as this host knows it.
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

    /// Returns what this host's targets have free and have to do; nothing while it stops.
    fn holder_load(&self, now: Millis) -> HolderLoad {
        if self.stopping.is_some() {
            return HolderLoad::default();
        }
        HolderLoad {
            free_capacity: self.targets.free_by_target(now),
            pools: self.pool_loads(now),
        }
    }

    /// Adds to a reply what this host's targets have to do.
    pub(super) fn with_load(&self, now: Millis, body: ReplyBody) -> ReplyBody {
        ReplyBody::WithLoad {
            load: self.holder_load(now),
            body: Box::new(body),
        }
    }

    /// Tells the peer with the first demand that there is room here and nothing waits.
    pub(super) fn tell_room(&mut self, now: Millis) {
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
            peer.load_sent_at = now;
        }
        let request = Request::FreeCapacity(self.holder_load(now));
        self.call_peer(now, &name, request, Purpose::Room);
    }

    /// Returns the peer whose demand goes first, of those that weren't told of room just now,
    /// and the least that any of its tasks needs.
    fn first_demand(&self, now: Millis) -> Option<(Name, Resources)> {
        let demanding = self.peers.iter();
        let demanding =
            demanding.filter(|(_, peer)| peer.load_sent_at + FREE_CAPACITY_INTERVAL_MS <= now);
        let open = demanding.filter_map(|(name, peer)| Some((name, peer.open_demand(now)?)));
        let first = open.min_by(|(_, a), (_, b)| {
            let order = a.priority.partial_cmp(&b.priority);
            order.unwrap_or(Ordering::Equal)
        });
        first.map(|(name, open)| (name.clone(), open.demand.smallest))
    }

    /// Handles a peer's reply to news of room here: one with nothing that waits isn't told again.
    pub(super) fn room_replied(
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

    /// Takes what a peer told of its targets.
    pub(super) fn load_heard(&mut self, now: Millis, name: &Name, load: HolderLoad) {
        let room = load.free_capacity.into_iter();
        let room = room.filter_map(|room| self.known_room(room)).collect();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_load(now, room, load.pools);
        }
    }

    /// Returns a peer's target with what is free there; none if this host hasn't heard of it.
    fn known_room(&self, room: TargetFreeCapacity) -> Option<KnownFreeTarget> {
        let entry = self.targets.entry(&room.target)?.clone();
        Some(KnownFreeTarget {
            entry,
            free: room.free,
        })
    }

    /// Takes which targets a peer holds: near which data its tasks can run.
    pub(super) fn labels_heard(&mut self, name: &Name, leased: &[Name]) {
        let entries = leased.iter().filter_map(|id| self.targets.entry(id));
        let labels = entries.flat_map(|entry| entry.labels.iter().cloned());
        let labels: HashSet<Name> = labels.collect();
        if let Some(peer) = self.peers.get_mut(name) {
            peer.set_held_labels(labels);
        }
    }

    /// Takes in that a peer has room: what waits here is looked at after this event.
    pub(super) fn room_received(
        &mut self,
        now: Millis,
        name: &Name,
        load: HolderLoad,
    ) -> ReplyBody {
        self.load_heard(now, name, load);
        ReplyBody::Interested(!self.jobs.has_no_waiting_tasks())
    }
}

/// Counts a task among those that wait.
fn add_waiting(load: &mut PoolLoad, urgency: u8, needed: &Resources, estimate_ms: Millis) {
    load.queue_cpu = load.queue_cpu.saturating_sub(needed.cpu);
    load.add_waiting(&WaitingWork {
        urgency,
        tasks: 1,
        core_ms: needed.core_ms(estimate_ms),
    });
}
