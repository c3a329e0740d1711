//! Known load of a peer's targets: free capacity and queued work as last received, less the
//! tasks handed over since.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::message::{PoolLoad, TaskOrder, WaitingWork};
use crate::rules::hall_load::expected_wait_ms;
use crate::rules::holder_choice::Availability;
use crate::rules::target_choice::suits;
use crate::spec::Resources;
use crate::target_list::TargetEntry;
use crate::{Millis, Urgency};

use super::peer::Peer;

/// A peer's target with free capacity.
#[derive(Clone, Debug)]
pub struct KnownFreeTarget {
    /// The target's entry in the platform's list.
    pub entry: TargetEntry,
    /// Its free resources as last received, less those of tasks handed over since.
    pub free: Resources,
}

/// The known load of a peer's targets.
#[derive(Debug, Default)]
pub(super) struct KnownLoad {
    received_at: Millis,
    free_targets: Vec<KnownFreeTarget>,
    pools: Vec<PoolLoad>,
    /// Labels of the targets whose leases it holds.
    labels: HashSet<Name>,
}

/// Where a peer could start or queue a task, as far as known.
#[derive(Clone, Copy, Debug)]
pub struct KnownPlaces {
    /// On targets near the task's data.
    pub near: Availability,
    /// On all other targets.
    pub far: Availability,
    /// Age of the load on which this is based, in ms.
    pub age_ms: Millis,
}

impl Peer {
    /// Replaces the load of its targets.
    pub fn set_load(
        &mut self,
        now: Millis,
        free_targets: Vec<KnownFreeTarget>,
        pools: Vec<PoolLoad>,
    ) {
        self.load.received_at = now;
        self.load.free_targets = free_targets;
        self.load.pools = pools;
    }

    /// Replaces the labels of the targets whose leases it holds.
    pub fn set_held_labels(&mut self, labels: HashSet<Name>) {
        self.load.labels = labels;
    }

    /// Removes the load of its targets.
    pub(super) fn clear_load(&mut self) {
        self.load.free_targets.clear();
        self.load.pools.clear();
    }

    /// Returns the loads of its pools, each with its age in ms.
    pub(super) fn loads(&self, now: Millis) -> impl Iterator<Item = (&PoolLoad, Millis)> {
        let age_ms = now.saturating_sub(self.load.received_at);
        self.load.pools.iter().map(move |load| (load, age_ms))
    }

    /// Returns whether one of its targets has, as far as known, free capacity for an order.
    pub(super) fn has_free_target(&self, order: &TaskOrder) -> bool {
        let mut targets = self.load.free_targets.iter();
        targets.any(|target| target.fits(order))
    }

    /// Returns whether one of its targets is, as far as known, idle and suits an order.
    pub(super) fn has_idle_target(&self, order: &TaskOrder) -> bool {
        let mut targets = self.load.free_targets.iter();
        targets.any(|target| target.free == target.entry.capacity && target.fits(order))
    }

    /// Returns whether it would, as far as known, start or queue a task with these needs.
    pub(super) fn may_accept(&self, needed: &Resources) -> bool {
        let mut targets = self.load.free_targets.iter();
        let mut pools = self.load.pools.iter();
        targets.any(|target| target.free.fits(needed))
            || pools.any(|pool| needed.cpu <= pool.queue_cpu)
    }

    /// Returns where it could start or queue a task whose queue has this urgency.
    pub(super) fn places(&self, now: Millis, order: &TaskOrder, urgency: Urgency) -> KnownPlaces {
        let mut places = KnownPlaces {
            near: Availability::None,
            far: Availability::None,
            age_ms: now.saturating_sub(self.load.received_at),
        };
        let (mut near_cpu, mut far_cpu) = (0_u32, 0_u32);
        let targets = self.load.free_targets.iter();
        for target in targets.filter(|target| target.fits(order)) {
            if is_near(&target.entry.labels, order) {
                near_cpu = near_cpu.saturating_add(target.free.cpu);
            } else {
                far_cpu = far_cpu.saturating_add(target.free.cpu);
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

    /// Returns the expected wait of a task in its pool's queue there; `None` if the task can't
    /// be queued.
    fn expected_wait(&self, order: &TaskOrder, urgency: Urgency) -> Option<Availability> {
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

    /// Deducts a task that is handed over to it from the known load: from the target on which it is
    /// expected to start, otherwise from the queue of its pool.
    pub(super) fn deduct_handed_over(&mut self, order: &TaskOrder, urgency: Urgency) {
        let targets = self.load.free_targets.iter_mut();
        let fitting = targets.filter(|target| target.fits(order));
        let best = fitting.min_by_key(|target| {
            let far = !is_near(&target.entry.labels, order);
            (far, target.free.cpu)
        });
        if let Some(target) = best {
            target.free = target.free.saturating_sub(&order.resources);
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

/// Returns whether a target with these labels is in the rack of a task's data, if it has any.
fn is_near(labels: &[Name], order: &TaskOrder) -> bool {
    let rack = order.rack.as_ref();
    rack.is_none_or(|rack| labels.contains(rack))
}
