//! What a peer's targets have free and have to do, as last heard, less what was handed over
//! since.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::message::{PoolLoad, TaskOrder, WaitingWork};
use crate::rules::hall_load::expected_wait_ms;
use crate::rules::holder_choice::Availability;
use crate::rules::target_choice::suits;
use crate::spec::Resources;
use crate::target_list::TargetEntry;
use crate::Millis;

use super::peer::Peer;

/// A target of a peer with room.
#[derive(Clone, Debug)]
pub struct KnownFreeTarget {
    /// The target, as the platform lists it.
    pub entry: TargetEntry,
    /// What is free there.
    pub free: Resources,
}

/// What a peer's targets have free and have to do.
#[derive(Debug, Default)]
pub(super) struct BelievedLoad {
    heard: Millis,
    room: Vec<KnownFreeTarget>,
    pools: Vec<PoolLoad>,
    /// The labels of the targets that it holds.
    labels: HashSet<Name>,
}

/// Where a peer could take a task, as far as is believed.
#[derive(Clone, Copy, Debug)]
pub struct BelievedPlaces {
    /// On targets near its data.
    pub near: Availability,
    /// On other targets.
    pub far: Availability,
    /// The age of that belief, in ms.
    pub age_ms: Millis,
}

impl Peer {
    /// Takes what it told of its targets.
    pub fn set_load(&mut self, now: Millis, room: Vec<KnownFreeTarget>, pools: Vec<PoolLoad>) {
        self.load.heard = now;
        self.load.room = room;
        self.load.pools = pools;
    }

    /// Takes the labels of the targets that it holds.
    pub fn set_held_labels(&mut self, labels: HashSet<Name>) {
        self.load.labels = labels;
    }

    /// Forgets what is believed of its targets.
    pub(super) fn forget_load(&mut self) {
        self.load.room.clear();
        self.load.pools.clear();
    }

    /// Returns what its targets have to do, with the age of the news in ms.
    pub(super) fn loads(&self, now: Millis) -> impl Iterator<Item = (&PoolLoad, Millis)> {
        let age_ms = now.saturating_sub(self.load.heard);
        self.load.pools.iter().map(move |load| (load, age_ms))
    }

    /// Returns whether a target of it is believed to have room for an order.
    pub(super) fn has_free_capacity(&self, order: &TaskOrder) -> bool {
        self.load.room.iter().any(|room| room.fits(order))
    }

    /// Returns whether it is believed to have a target for an order on which nothing runs.
    pub(super) fn has_idle_target(&self, order: &TaskOrder) -> bool {
        let mut room = self.load.room.iter();
        room.any(|room| room.free == room.entry.capacity && room.fits(order))
    }

    /// Returns whether it is believed to take a task with such needs, now or to wait.
    pub(super) fn may_accept(&self, needed: &Resources) -> bool {
        let mut room = self.load.room.iter();
        let mut pools = self.load.pools.iter();
        room.any(|room| room.free.fits(needed)) || pools.any(|pool| needed.cpu <= pool.queue_cpu)
    }

    /// Returns where it could take a task, whose queue has this urgency.
    pub(super) fn places(&self, now: Millis, order: &TaskOrder, urgency: u8) -> BelievedPlaces {
        let mut places = BelievedPlaces {
            near: Availability::None,
            far: Availability::None,
            age_ms: now.saturating_sub(self.load.heard),
        };
        let (mut near_cpu, mut far_cpu) = (0, 0);
        let room = self.load.room.iter();
        for room in room.filter(|room| room.fits(order)) {
            if is_near(&room.entry.labels, order) {
                near_cpu += room.free.cpu;
            } else {
                far_cpu += room.free.cpu;
            }
        }
        places.near = free_or_none(near_cpu);
        places.far = free_or_none(far_cpu);
        let Some(wait) = self.expected_wait(order, urgency) else {
            return places;
        };
        let holds_near = match &order.rack {
            Some(rack) => self.load.labels.contains(rack),
            None => true,
        };
        if places.near == Availability::None && holds_near {
            places.near = wait;
        }
        if places.far == Availability::None && order.rack.is_some() {
            places.far = wait;
        }
        places
    }

    /// Returns how a task is expected to wait there, if it may.
    fn expected_wait(&self, order: &TaskOrder, urgency: u8) -> Option<Availability> {
        let mut pools = self.load.pools.iter();
        let pool = pools.find(|load| load.pool == order.pool)?;
        if order.resources.cpu > pool.queue_cpu {
            return None;
        }
        let capacity_cpu = u64::from(pool.capacity_cpu);
        let core_ms = order.core_ms();
        let expected_ms = expected_wait_ms(&pool.waiting, capacity_cpu, urgency, core_ms)?;
        Some(Availability::Wait {
            spare_cpu: pool.queue_cpu,
            expected_ms,
        })
    }

    /// Takes a task that is handed to it off what is believed of its targets.
    pub(super) fn deduct_handed(&mut self, order: &TaskOrder, urgency: u8) {
        let room = self.load.room.iter_mut();
        let fitting = room.filter(|room| room.fits(order));
        let best = fitting.min_by_key(|room| {
            let far = !is_near(&room.entry.labels, order);
            (far, room.free.cpu)
        });
        if let Some(room) = best {
            room.free = room.free.minus(&order.resources);
            return;
        }
        let mut pools = self.load.pools.iter_mut();
        let Some(pool) = pools.find(|load| load.pool == order.pool) else {
            return;
        };
        pool.queue_cpu = pool.queue_cpu.saturating_sub(order.resources.cpu);
        pool.add_waiting(&WaitingWork {
            urgency,
            tasks: 1,
            core_ms: order.core_ms(),
        });
    }
}

impl KnownFreeTarget {
    fn fits(&self, order: &TaskOrder) -> bool {
        self.free.fits(&order.resources) && suits(&self.entry, order)
    }
}

fn free_or_none(spare_cpu: u32) -> Availability {
    if spare_cpu > 0 {
        Availability::Free { spare_cpu }
    } else {
        Availability::None
    }
}

/// Returns whether a target with these labels is near a task's data.
fn is_near(labels: &[Name], order: &TaskOrder) -> bool {
    let rack = order.rack.as_ref();
    rack.is_none_or(|rack| labels.contains(rack))
}
