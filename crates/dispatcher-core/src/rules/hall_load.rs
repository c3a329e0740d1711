//! What is known of each hall's load and room.
//!
//! **Rule.** A hall's load is the sum of what its hosts were last heard to have, one pool at
//! a time. News of a host replace its earlier ones, and a host that is taken to be silent
//! or gone is taken out: a hall that is cut off decides by its own hosts alone, as soon as
//! it takes the others to be silent. A task is expected to wait until as much work is done
//! as waits before it, its own among it, with all targets at work.
//!
//! **Inputs.** [`PoolLoad`]s as hosts tell them with their replies, times in ms.
//! **Reason.** No message is sent for it, and news of one host cost the same however many
//! hosts there are. **Gives up.** Halls may differ in what they take a hall's load to be, by
//! the age of their news. Free room counts that no single target may have in one piece.

use crate::message::{PoolLoad, WaitingWork};
use crate::Millis;

/// What a host was last heard to have in one pool.
#[derive(Clone, Copy, Debug)]
pub struct HeardLoad<'a> {
    /// What it has.
    pub load: &'a PoolLoad,
    /// When it was heard.
    pub at: Millis,
}

/// The load of one pool's targets in one hall.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HallLoad {
    /// How many hosts it is made of.
    pub hosts: u64,
    /// Thousandths of a core that the targets have.
    pub capacity_cpu: u64,
    /// Thousandths of a core in use.
    pub used_cpu: u64,
    /// Thousandths of a core for which tasks may still be handed over to wait.
    pub queue_cpu: u64,
    /// What waits, the most urgent first.
    waiting: Vec<WaitingWork>,
    /// The sum of the times at which the hosts were heard.
    heard_at: Millis,
}

impl HallLoad {
    /// Replaces what was heard of a host by what is heard now; none before its first news
    /// and after its last.
    pub fn replace(&mut self, before: Option<HeardLoad>, now: Option<HeardLoad>) {
        if let Some(heard) = now {
            self.add(heard);
        }
        if let Some(heard) = before {
            self.take_off(heard);
        }
    }

    fn add(&mut self, heard: HeardLoad) {
        let HeardLoad { load, at } = heard;
        self.hosts += 1;
        self.heard_at += at;
        self.capacity_cpu += u64::from(load.capacity_cpu);
        self.used_cpu += u64::from(load.used_cpu);
        self.queue_cpu += u64::from(load.queue_cpu);
        for work in &load.waiting {
            let found = self
                .waiting
                .binary_search_by_key(&work.urgency, |w| w.urgency);
            match found {
                Ok(position) => {
                    self.waiting[position].tasks += work.tasks;
                    self.waiting[position].core_ms += work.core_ms;
                }
                Err(position) => self.waiting.insert(position, *work),
            }
        }
    }

    fn take_off(&mut self, heard: HeardLoad) {
        let HeardLoad { load, at } = heard;
        self.hosts -= 1;
        self.heard_at -= at;
        self.capacity_cpu -= u64::from(load.capacity_cpu);
        self.used_cpu -= u64::from(load.used_cpu);
        self.queue_cpu -= u64::from(load.queue_cpu);
        for work in &load.waiting {
            let mut waiting = self.waiting.iter_mut();
            if let Some(sum) = waiting.find(|sum| sum.urgency == work.urgency) {
                sum.tasks -= work.tasks;
                sum.core_ms -= work.core_ms;
            }
        }
        self.waiting.retain(|sum| sum.tasks > 0 || sum.core_ms > 0);
    }

    /// Returns the thousandths of a core that aren't in use.
    #[must_use]
    pub fn free_cpu(&self) -> u64 {
        self.capacity_cpu.saturating_sub(self.used_cpu)
    }

    /// Returns what waits, the most urgent first.
    #[must_use]
    pub fn waiting(&self) -> &[WaitingWork] {
        &self.waiting
    }

    /// Returns the mean age of its hosts' news in ms, none without hosts.
    #[must_use]
    pub fn age_ms(&self, now: Millis) -> Option<Millis> {
        let heard_at = self.heard_at.checked_div(self.hosts)?;
        Some(now.saturating_sub(heard_at))
    }

    /// Returns how long a task is expected to wait there; see [`expected_wait_ms`].
    #[must_use]
    pub fn wait_ms(&self, urgency: u8, core_ms: u64) -> Option<Millis> {
        expected_wait_ms(&self.waiting, self.capacity_cpu, urgency, core_ms)
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
