//! Aggregates the load of each hall, and estimates the wait in it.
//!
//! **Rule.** A hall's load is the sum of the latest reports of its hosts. Hosts that are considered
//! silent or that have stopped don't count: a hall that is cut off knows its own hosts alone. A
//! task is expected to wait until the work that waits before it and its own are done, with all
//! targets at work.
//!
//! **Inputs.** [`PoolLoad`]s as hosts report them with their replies, with their age in ms.
//! **Reason.** It costs no extra message. **Trade-off.** Halls may assume different loads of a
//! hall, by the age of their updates. The free capacity includes fragments that no single target
//! has in one piece.

use crate::message::{add_waiting, PoolLoad, WaitingWork};
use crate::{Millis, Urgency};

/// The total load of the targets in one hall.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallLoad {
    /// Thousandths of a core of the targets.
    pub capacity_cpu: u64,
    /// Thousandths of a core in use.
    pub used_cpu: u64,
    /// The waiting work, the most urgent first.
    pub waiting: Vec<WaitingWork>,
    /// The age of the oldest report included, in ms.
    pub age_ms: Millis,
}

impl HallLoad {
    /// Adds the report of one of the hall's hosts.
    pub fn add(&mut self, load: &PoolLoad, age_ms: Millis) {
        self.capacity_cpu += u64::from(load.capacity_cpu);
        self.used_cpu += u64::from(load.used_cpu);
        self.age_ms = self.age_ms.max(age_ms);
        for work in &load.waiting {
            add_waiting(&mut self.waiting, work);
        }
    }
}

/// Returns how long a task of `core_ms` is expected to wait behind `waiting`, in ms, with all
/// targets at work; none where there are no targets.
#[must_use]
pub fn expected_wait_ms(
    waiting: &[WaitingWork],
    capacity_cpu: u64,
    urgency: Urgency,
    core_ms: u64,
) -> Option<Millis> {
    /// Thousandths of a core in one core.
    const CORE: u64 = 1_000;
    let before = waiting.iter().filter(|work| work.urgency <= urgency);
    let work_ms: u64 = before.map(|work| work.core_ms).sum::<u64>() + core_ms;
    work_ms.saturating_mul(CORE).checked_div(capacity_cpu)
}
