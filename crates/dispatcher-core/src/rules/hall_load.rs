//! What is known of each hall's load and room.
//!
//! **Rule.** A hall's load is the sum of what its hosts were last heard to have. Hosts that are
//! taken to be silent or gone don't count: a hall that is cut off knows its own hosts alone. A
//! task is expected to wait until as much work is done as waits before it, its own among it,
//! with all targets at work.
//!
//! **Inputs.** [`PoolLoad`]s as hosts tell them with their replies, with their age in ms.
//! **Reason.** No message is sent for it. **Gives up.** Halls may differ in what they take a
//! hall's load to be, by the age of their news. Free room counts that no single target may
//! have in one piece.

use crate::message::{add_waiting, PoolLoad, WaitingWork};
use crate::Millis;

/// The load of the targets in one hall.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallLoad {
    /// Thousandths of a core that the targets have.
    pub capacity_cpu: u64,
    /// Thousandths of a core in use.
    pub used_cpu: u64,
    /// What waits, the most urgent first.
    pub waiting: Vec<WaitingWork>,
    /// The age of the oldest news, in ms.
    pub age_ms: Millis,
}

impl HallLoad {
    /// Adds what one of its hosts told.
    pub fn add(&mut self, load: &PoolLoad, age_ms: Millis) {
        self.capacity_cpu += u64::from(load.capacity_cpu);
        self.used_cpu += u64::from(load.used_cpu);
        self.age_ms = self.age_ms.max(age_ms);
        for work in &load.waiting {
            add_waiting(&mut self.waiting, work);
        }
    }
}

/// Returns how long a task that takes `core_ms` is expected to wait where all targets are at
/// work and `waiting` waits, in ms; none where there are no targets.
#[must_use]
pub fn expected_wait_ms(
    waiting: &[WaitingWork],
    capacity_cpu: u64,
    urgency: u8,
    core_ms: u64,
) -> Option<Millis> {
    /// Thousandths of a core in one.
    const CORE: u64 = 1_000;
    let before = waiting.iter().filter(|work| work.urgency <= urgency);
    let work_ms: u64 = before.map(|work| work.core_ms).sum::<u64>() + core_ms;
    work_ms.saturating_mul(CORE).checked_div(capacity_cpu)
}
