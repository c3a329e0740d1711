//! Limits the capacity that long tasks may hold while shorter, more urgent work arrives.
//!
//! **Rule.** A task is long for a more urgent queue if its estimate exceeds the slack of that
//! queue's jobs: a job that waits for its end is late. While such urgent work arrives, capacity is
//! reserved for it: its recent average load, plus `SAFETY_DEVIATIONS` standard deviations of
//! independent arrivals. The reservations are nested: for each urgency, the less urgent tasks that
//! are long for it may hold the capacity less what is reserved for it and for all that is more
//! urgent. At most `MAX_RESERVED_SHARE` of the capacity is reserved, and one long task may always
//! run. Past arrivals decay by half in `HALF_LIFE_MS`, so that the reservation ends when nobody
//! needs it.
//!
//! **Inputs.** Arrivals: urgency, thousandths of a core, estimate and slack in ms; running
//! attempts. **Reason.** Urgency alone only decides who gets a target that becomes free, and a long
//! task frees none for its whole time: a burst of them would take the capacity from all later
//! arrivals. The slack shows how long callers can wait. The deviation is the reserve of square-root
//! staffing, the nesting that of trunk reservation. **Trade-off.** Reserved capacity stays idle
//! while less urgent long tasks wait.

use std::collections::BTreeMap;

use crate::{Millis, Urgency};

/// Capacity reserved beyond the average, in standard deviations: with more, the long tasks lose
/// more than the short ones gain.
const SAFETY_DEVIATIONS: f64 = 0.5;
/// The largest share of the capacity that is reserved.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Urgent work that averages fewer tasks at a time gets no reservation.
const MIN_AVERAGE_TASKS: f64 = 0.1;
/// Arrivals count half after this time, in ms: it spans the gaps between jobs of a queue.
const HALF_LIFE_MS: f64 = 1_500.0;

/// The properties of a task that the limit depends on.
#[derive(Clone, Copy, Debug)]
pub struct TaskSize {
    /// The urgency of its queue; 0 is the most urgent.
    pub urgency: Urgency,
    /// Thousandths of a core that it needs.
    pub cpu: u32,
    /// Its estimated running time, in ms.
    pub estimate_ms: Millis,
}

/// Decaying sums of the recent arrivals of one urgency.
#[derive(Clone, Copy, Debug, Default)]
struct RecentArrivals {
    /// Thousandths of a core times ms.
    work: f64,
    /// `work` weighted by the thousandths of a core of each task.
    work_by_cpu: f64,
    /// `work` weighted by the slack of each task, in ms.
    work_by_slack: f64,
}

impl RecentArrivals {
    fn decay(&mut self, factor: f64) {
        self.work *= factor;
        self.work_by_cpu *= factor;
        self.work_by_slack *= factor;
    }

    /// Returns the mean slack of a task, in ms.
    fn slack_ms(&self) -> f64 {
        self.work_by_slack / self.work
    }

    /// Returns whether a task is long for the work of this urgency, if enough of that arrived.
    fn is_long(&self, estimate_ms: Millis) -> bool {
        let is_relevant = self.average_cpu() > MIN_AVERAGE_TASKS * self.task_cpu();
        is_relevant && estimate_ms as f64 > self.slack_ms()
    }

    /// Returns the mean thousandths of a core of a task.
    fn task_cpu(&self) -> f64 {
        self.work_by_cpu / self.work
    }

    /// Returns the thousandths of a core that the work uses on average.
    fn average_cpu(&self) -> f64 {
        self.work * std::f64::consts::LN_2 / HALF_LIFE_MS
    }

    /// Returns the variance of the thousandths of a core that the work uses at a time, for
    /// independent arrivals.
    fn cpu_variance(&self) -> f64 {
        self.average_cpu() * self.task_cpu()
    }
}

/// Limits long tasks by the recent arrivals at one host, in all pools together.
#[derive(Clone, Debug, Default)]
pub struct LongTaskLimit {
    arrived: BTreeMap<Urgency, RecentArrivals>,
    decayed: Millis,
}

impl LongTaskLimit {
    /// Records the arrival of a task whose job can wait for `slack_ms` and be on time.
    pub fn record_arrival(&mut self, now: Millis, task: &TaskSize, slack_ms: Millis) {
        self.decay(now);
        let cpu = f64::from(task.cpu);
        let work = cpu * task.estimate_ms as f64;
        let sums = self.arrived.entry(task.urgency).or_default();
        sums.work += work;
        sums.work_by_cpu += work * cpu;
        sums.work_by_slack += work * slack_ms as f64;
    }

    /// Returns whether a task may start on targets that have `capacity_cpu` thousandths of a core
    /// in total, while `running` run there.
    pub fn may_start(
        &mut self,
        now: Millis,
        task: &TaskSize,
        capacity_cpu: u32,
        running: impl Iterator<Item = TaskSize> + Clone,
    ) -> bool {
        self.decay(now);
        let max_reserved = MAX_RESERVED_SHARE * f64::from(capacity_cpu);
        let (mut average_cpu, mut cpu_variance) = (0.0, 0.0);
        for (urgency, arrived) in self.arrived.range(..task.urgency) {
            if !arrived.is_long(task.estimate_ms) {
                continue;
            }
            average_cpu += arrived.average_cpu();
            cpu_variance += arrived.cpu_variance();
            let reserved =
                (average_cpu + SAFETY_DEVIATIONS * cpu_variance.sqrt()).min(max_reserved);
            let is_long =
                |other: &TaskSize| other.urgency > *urgency && arrived.is_long(other.estimate_ms);
            let long = running.clone().filter(is_long);
            let held = long.fold(0, |cpu: u32, other| cpu.saturating_add(other.cpu));
            let with_task = held.saturating_add(task.cpu);
            if held > 0 && f64::from(with_task) > f64::from(capacity_cpu) - reserved {
                return false;
            }
        }
        true
    }

    /// Decays the sums, and removes those below a thousandth of a core for 1 ms.
    fn decay(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.decayed) as f64;
        let factor = (-passed / HALF_LIFE_MS).exp2();
        for arrived in self.arrived.values_mut() {
            arrived.decay(factor);
        }
        self.arrived.retain(|_, arrived| arrived.work >= 1.0);
        self.decayed = self.decayed.max(now);
    }
}
