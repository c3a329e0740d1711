//! Which target a task is started on.
//!
//! **Rule.** Of the targets whose leases this host holds, those that are usable,
//! suit the task and have the resources free; of these the one that costs least.
//! Cost is in units of an ordinary target's running time: a slow target costs its
//! slowdown, a rack without the task's data as many times more as the deployment says
//! (`remote-factor`), a wholly free target half a unit more than a full one (the fullest
//! first, so that large tasks find room), and each failure in a row 0.3.
//!
//! **Inputs.** Thousandths of a core, slowdowns as ratios, failures in a row.
//! Attempts under way that are overdue count as slowdown too, and a very slow target gets one
//! task at a time; see [`super::target_health`]. **Gives up.** The best weights of free
//! resources and of failures.

use crate::event::TargetEntry;
use crate::message::TaskOrder;
use crate::spec::Resources;

/// No target counts as faster than this.
const MIN_SLOWDOWN: f64 = 0.5;
/// What a target that stays wholly free costs more than one that gets full.
const FREE_WEIGHT: f64 = 0.5;
/// What each failure in a row costs.
const FAILURE_WEIGHT: f64 = 0.3;

/// What the cost of a target depends on.
#[derive(Clone, Copy, Debug)]
pub struct Candidate {
    /// Thousandths of a core that stay free beside the task.
    pub left_cpu: u32,
    /// Thousandths of a core that the target has.
    pub capacity_cpu: u32,
    /// How many times its estimate an attempt takes there.
    pub slowdown: f64,
    /// Failures in a row.
    pub failures: u32,
    /// How many times as long the task takes there since its data lies in another rack, 1 if
    /// it doesn't.
    pub far_slowdown: f64,
}

/// Returns what a task costs on a target; the least is chosen.
#[must_use]
pub fn cost(target: &Candidate) -> f64 {
    let size = target.capacity_cpu.max(1);
    (target.slowdown * target.far_slowdown).max(MIN_SLOWDOWN)
        + FREE_WEIGHT * f64::from(target.left_cpu) / f64::from(size)
        + FAILURE_WEIGHT * f64::from(target.failures)
}

/// Returns whether a task may run on a target, now or once it has the resources.
#[must_use]
pub fn suits(entry: &TargetEntry, order: &TaskOrder) -> bool {
    let required = order.requirement.as_ref();
    entry.pool == order.pool
        && required.is_none_or(|label| entry.labels.contains(label))
        && !order.avoid.contains(&entry.id)
}

/// Returns whether a target could ever run a task that had `most` at its most.
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

/// Resources for which nothing was found in one pass. In its course resources
/// only become fewer, so that what needs as much isn't asked for again.
#[derive(Debug, Default)]
pub struct FailedSearches(Vec<Resources>);

impl FailedSearches {
    /// Returns whether `needed` may be found: asks only if no smaller need was
    /// refused.
    pub fn may_find(&mut self, needed: &Resources, ask: impl FnOnce(&Resources) -> bool) -> bool {
        if self.0.iter().any(|refused| needed.fits(refused)) {
            return false;
        }
        let found = ask(needed);
        if !found {
            self.0.push(*needed);
        }
        found
    }
}
