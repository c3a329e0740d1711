//! Chooses the target that a task is started on.
//!
//! **Rule.** Of the targets whose leases this host holds, those that are usable, suit the task and
//! have the resources free; of these the one with the lowest cost. The cost is in units of an
//! ordinary target's running time: a slow target costs its slowdown, multiplied by `remote-factor`
//! for a rack without the task's data; a wholly free target costs half a unit more than a full one,
//! so that large tasks find a target; and each failure in a row costs 0.3.
//!
//! **Inputs.** Thousandths of a core, slowdowns as ratios, failures in a row. Overdue running
//! attempts count as slowdown too, and a very slow target gets one task at a time; see
//! [`super::target_health`]. **Trade-off.** The weights of free resources and of failures are
//! fixed, not optimal for each load.

use crate::event::TargetEntry;
use crate::message::TaskOrder;
use crate::spec::Resources;

/// The lower bound of a target's slowdown.
const MIN_SLOWDOWN: f64 = 0.5;
/// The added cost of a wholly free target over a full one.
const FREE_WEIGHT: f64 = 0.5;
/// The added cost of each failure in a row.
const FAILURE_WEIGHT: f64 = 0.3;

/// The properties of a target that its cost depends on.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Thousandths of a core that stay free besides the task.
    pub left_cpu: u32,
    /// Thousandths of a core of the target.
    pub capacity_cpu: u32,
    /// The ratio of running time to estimate there.
    pub slowdown: f64,
    /// The number of failures in a row.
    pub failures: u32,
    /// The factor on the running time if the task's data lies in another rack, otherwise 1.
    pub far_slowdown: f64,
}

/// Returns the cost of a task on a target; the target with the lowest is chosen.
#[must_use]
pub fn cost(target: &Candidate) -> f64 {
    let capacity_cpu = target.capacity_cpu.max(1);
    (target.slowdown * target.far_slowdown).max(MIN_SLOWDOWN)
        + FREE_WEIGHT * f64::from(target.left_cpu) / f64::from(capacity_cpu)
        + FAILURE_WEIGHT * f64::from(target.failures)
}

/// Returns whether a task may run on a target, as soon as that has the resources.
#[must_use]
pub fn suits(entry: &TargetEntry, order: &TaskOrder) -> bool {
    let required = order.requirement.as_ref();
    entry.pool == order.pool
        && required.is_none_or(|label| entry.labels.contains(label))
        && !order.avoid.contains(&entry.id)
}

/// Returns whether a target with `most` as its largest capacity could ever run a task.
#[must_use]
pub fn could_run(entry: &TargetEntry, most: &Resources, order: &TaskOrder) -> bool {
    suits(entry, order) && most.fits(&order.resources)
}

/// Returns whether a task's data lies in another rack than the target.
#[must_use]
pub fn is_far(entry: &TargetEntry, order: &TaskOrder) -> bool {
    let rack = order.rack.as_ref();
    rack.is_some_and(|rack| !entry.labels.contains(rack))
}

/// Remembers needs for which a search in one pass found nothing. Resources only become fewer during
/// a pass, so larger needs aren't searched for again.
#[derive(Debug, Default)]
pub struct FailedSearches(Vec<Resources>);

impl FailedSearches {
    /// Returns whether `search` finds `needed`; searches only if no smaller need failed before.
    pub fn may_find(
        &mut self,
        needed: &Resources,
        search: impl FnOnce(&Resources) -> bool,
    ) -> bool {
        if self.0.iter().any(|failed| needed.fits(failed)) {
            return false;
        }
        let found = search(needed);
        if !found {
            self.0.push(*needed);
        }
        found
    }
}
