//! Free capacity of this host's targets, now and in the near future. Holders report it to each
//! other where tasks queue at holders; see [`crate::rules::backlog`].

use std::cmp::Reverse;

use gannetridge_wire::Name;

use crate::message::{TargetFreeCapacity, TaskOrder};
use crate::rules::backlog::MAX_HOLDER_WAIT_MS;
use crate::rules::long_tasks::TaskSize;
use crate::rules::target_choice;
use crate::target_list::TargetEntry;
use crate::Millis;

use super::attempt::Attempt;
use super::target::Target;
use super::TargetLeases;

/// The most targets that one message reports, those with the most free capacity. A peer hands over
/// what fits there, and the reply updates the peer.
const MAX_TARGETS_PER_MESSAGE: usize = 8;

/// The capacity and use of this host's usable targets in one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolCapacity {
    /// The pool that all the targets belong to.
    pub pool: Name,
    /// Total capacity, in thousandths of a core.
    pub capacity_cpu: u32,
    /// Capacity in use, in thousandths of a core.
    pub used_cpu: u32,
    /// Thousandths of a core that are free or expected to be freed within [`HANDED_MS`]. Of each
    /// target only as much counts as whole tasks of average size would use.
    pub soon_free_cpu: u32,
}

/// The capacity of this host's usable targets in one pool, and the sizes of the tasks that run
/// there.
#[derive(Clone, Debug, Default)]
pub struct RunningSizes {
    /// Total capacity, in thousandths of a core.
    pub capacity_cpu: u32,
    /// The sizes of the running tasks.
    pub sizes: Vec<TaskSize>,
}

impl TargetLeases {
    /// Returns the entry of a target in the list.
    #[must_use]
    pub fn entry(&self, id: &Name) -> Option<&TargetEntry> {
        self.targets.get(id).map(|target| &target.entry)
    }

    /// Returns the usable targets with free capacity, those with the most first, at most
    /// [`MAX_TARGETS_PER_MESSAGE`].
    #[must_use]
    pub fn free_by_target(&self, now: Millis) -> Vec<TargetFreeCapacity> {
        let usable = self.usable_targets(now);
        let targets = usable.map(|target| TargetFreeCapacity {
            target: target.entry.id.clone(),
            free: target.free(),
        });
        let mut targets: Vec<TargetFreeCapacity> =
            targets.filter(|entry| entry.free.cpu > 0).collect();
        targets.sort_by_key(|entry| Reverse(entry.free.cpu));
        targets.truncate(MAX_TARGETS_PER_MESSAGE);
        targets
    }

    /// Returns the capacity and use of the usable targets, by pool.
    #[must_use]
    pub fn pool_capacities(&self, now: Millis) -> Vec<PoolCapacity> {
        let mut pools: Vec<PoolCapacity> = Vec::new();
        let mean_attempt_cpu = self.mean_attempt_cpu(now);
        for target in self.usable_targets(now) {
            let known = pools.iter_mut().find(|pool| pool.pool == target.entry.pool);
            let pool = match known {
                Some(pool) => pool,
                None => {
                    pools.push(PoolCapacity::empty(&target.entry.pool));
                    pools.last_mut().expect("just added")
                }
            };
            pool.add(now, target, mean_attempt_cpu);
        }
        pools
    }

    /// Returns the average size of an attempt on the usable targets, in thousandths of a core; 0 if
    /// there is none.
    fn mean_attempt_cpu(&self, now: Millis) -> u32 {
        let usable = self.usable_targets(now);
        let attempts = usable.flat_map(|target| target.attempts.values());
        let (sum, count) = attempts.fold((0, 0), |(sum, count), attempt| {
            (sum + u64::from(attempt.resources.cpu), count + 1)
        });
        (sum / u64::max(count, 1)) as u32
    }

    /// Returns the capacity of the usable targets of a pool, and the sizes of their tasks.
    #[must_use]
    pub fn running_sizes(&self, now: Millis, pool: &Name) -> RunningSizes {
        let mut running = RunningSizes::default();
        let usable = self.usable_targets(now);
        for target in usable.filter(|target| target.entry.pool == *pool) {
            let capacity_cpu = target.entry.capacity.cpu;
            running.capacity_cpu = running.capacity_cpu.saturating_add(capacity_cpu);
            let sizes = target.attempts.values().map(Attempt::size);
            running.sizes.extend(sizes);
        }
        running
    }

    /// Returns true if a usable target could run the task, now or once its resources are free. With
    /// `near`, only targets near the task's data count.
    #[must_use]
    pub fn could_run_here(&self, now: Millis, order: &TaskOrder, near: bool) -> bool {
        let mut usable = self.usable_targets(now);
        usable.any(|target| {
            let is_far = target_choice::is_far(&target.entry, order);
            target.suits(order) && target.could_run(order) && !(near && is_far)
        })
    }
}

impl PoolCapacity {
    fn empty(pool: &Name) -> Self {
        Self {
            pool: pool.clone(),
            capacity_cpu: 0,
            used_cpu: 0,
            soon_free_cpu: 0,
        }
    }

    fn add(&mut self, now: Millis, target: &Target, mean_attempt_cpu: u32) {
        let free = target.free().cpu;
        let soon_cpu = free.saturating_add(target.expected_to_free(now, MAX_HOLDER_WAIT_MS));
        let soon_free_cpu = whole_tasks_cpu(soon_cpu, mean_attempt_cpu);
        let capacity_cpu = target.entry.capacity.cpu;
        let used_cpu = capacity_cpu.saturating_sub(free);
        self.capacity_cpu = self.capacity_cpu.saturating_add(capacity_cpu);
        self.used_cpu = self.used_cpu.saturating_add(used_cpu);
        self.soon_free_cpu = self.soon_free_cpu.saturating_add(soon_free_cpu);
    }
}

/// Returns how much of a target's free capacity whole tasks of average size use. The rest can start
/// no task, however large it is over all targets.
fn whole_tasks_cpu(free_cpu: u32, mean_attempt_cpu: u32) -> u32 {
    match free_cpu.checked_div(mean_attempt_cpu) {
        Some(tasks) => tasks * mean_attempt_cpu,
        None => free_cpu,
    }
}
