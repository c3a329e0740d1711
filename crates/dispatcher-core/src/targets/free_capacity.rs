//! What this host's targets have free, and what they are expected to free: what holders tell
//! each other where tasks wait at holders. See [`crate::rules::backlog`].

use std::cmp::Reverse;

use gannetridge_wire::Name;

use crate::message::{TargetRoom, TaskOrder};
use crate::rules::backlog::HANDED_MS;
use crate::rules::long_tasks::TaskSize;
use crate::rules::target_choice;
use crate::target_list::TargetEntry;
use crate::Millis;

use super::attempt::Attempt;
use super::target::Target;
use super::TargetLeases;

/// The most targets with room that a message tells of, the freest: a peer hands over what fits,
/// and hears again with the reply.
const MAX_TARGETS_PER_MESSAGE: usize = 8;

/// What this host's usable targets of one pool have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolCapacity {
    /// The pool.
    pub pool: Name,
    /// Thousandths of a core that they have.
    pub capacity_cpu: u32,
    /// Thousandths of a core in use.
    pub used_cpu: u32,
    /// Thousandths of a core that are free, or are expected to be before a task that comes now
    /// may no longer begin, as far as ordinary tasks fit into them.
    pub soon_free_cpu: u32,
}

/// What this host's usable targets of one pool have, and what runs there.
#[derive(Clone, Debug, Default)]
pub struct RunningSizes {
    /// Thousandths of a core that they have.
    pub capacity_cpu: u32,
    /// What runs there.
    pub sizes: Vec<TaskSize>,
}

impl TargetLeases {
    /// Returns a target of the list.
    #[must_use]
    pub fn entry(&self, id: &Name) -> Option<&TargetEntry> {
        self.targets.get(id).map(|target| &target.entry)
    }

    /// Returns the usable targets with free resources, the freest first.
    #[must_use]
    pub fn free_by_target(&self, now: Millis) -> Vec<TargetRoom> {
        let usable = self.usable_targets(now);
        let targets = usable.map(|target| TargetRoom {
            target: target.entry.id.clone(),
            free: target.free(),
        });
        let mut targets: Vec<TargetRoom> = targets.filter(|entry| entry.free.cpu > 0).collect();
        targets.sort_by_key(|entry| Reverse(entry.free.cpu));
        targets.truncate(MAX_TARGETS_PER_MESSAGE);
        targets
    }

    /// Returns what the usable targets have, by pool.
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

    /// Returns the thousandths of a core of an ordinary attempt on the usable targets, 0 if none
    /// runs.
    fn mean_attempt_cpu(&self, now: Millis) -> u32 {
        let usable = self.usable_targets(now);
        let attempts = usable.flat_map(|target| target.attempts.values());
        let (sum, count) = attempts.fold((0, 0), |(sum, count), attempt| {
            (sum + u64::from(attempt.resources.cpu), count + 1)
        });
        (sum / u64::max(count, 1)) as u32
    }

    /// Returns what the usable targets of a pool have, and what runs there.
    #[must_use]
    pub fn running_sizes(&self, now: Millis, pool: &Name) -> RunningSizes {
        let mut running = RunningSizes::default();
        let usable = self.usable_targets(now);
        for target in usable.filter(|target| target.entry.pool == *pool) {
            running.capacity_cpu += target.entry.capacity.cpu;
            let sizes = target.attempts.values().map(Attempt::size);
            running.sizes.extend(sizes);
        }
        running
    }

    /// Returns whether a usable target could run a task, now or once it has the resources;
    /// with `near` only those near its data.
    #[must_use]
    pub fn could_run_here(&self, now: Millis, order: &TaskOrder, near: bool) -> bool {
        let mut usable = self.usable_targets(now);
        usable.any(|target| {
            let far = target_choice::is_far(&target.entry, order);
            target.could_run(order) && !(near && far)
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
        let soon_cpu = free + target.expected_to_free(now, HANDED_MS);
        self.capacity_cpu += target.entry.capacity.cpu;
        self.used_cpu += target.entry.capacity.cpu.saturating_sub(free);
        self.soon_free_cpu += whole_tasks_cpu(soon_cpu, mean_attempt_cpu);
    }
}

/// Returns how much of a target's room whole ordinary tasks take: what is left beside them on
/// each target starts nothing, however much it is on all together.
fn whole_tasks_cpu(free_cpu: u32, mean_attempt_cpu: u32) -> u32 {
    match free_cpu.checked_div(mean_attempt_cpu) {
        Some(tasks) => tasks * mean_attempt_cpu,
        None => free_cpu,
    }
}
