//! How much room long tasks may hold while shorter, more urgent work arrives.
//!
//! **Rule.** A task is long for a more urgent queue if it is estimated to run for longer than
//! the slack of that queue's jobs: one that waits for its end is late. Room for the more urgent
//! work is then kept free of it: as much as that work took on average lately, and
//! `SAFETY_DEVIATIONS` standard deviations of independent arrivals. What is kept is nested: for
//! each urgency, the less urgent tasks that are long for it may hold the room less what is kept
//! for it and all that is more urgent. Never more than `MAX_RESERVED_SHARE` of the room is kept, and one
//! long task may always run. What arrived is forgotten by half in `HALF_LIFE_MS`, so that the
//! room is given back when nobody needs it.
//!
//! **Inputs.** Arrivals: urgency, thousandths of a core, estimate and slack in ms; running
//! attempts. **Reason.** Urgency alone decides when a target becomes free, and a long task
//! frees none for its whole time: a burst of them that finds room takes it from all who come
//! after it. The slack tells how long callers can wait. The deviation is the reserve of
//! square-root staffing, the nesting that of trunk reservation.
//! **Gives up.** Room that is kept stands idle while less urgent long tasks wait.

use std::collections::BTreeMap;

use crate::Millis;

/// Room that is kept beyond the average, in standard deviations: with more of it the long tasks
/// lose more than the short ones gain.
const SAFETY_DEVIATIONS: f64 = 0.5;
/// The most of the room that is kept free of long tasks: they may always hold the rest.
const MAX_RESERVED_SHARE: f64 = 0.5;
/// Fewer tasks at a time than this don't count.
const MIN_AVERAGE_TASKS: f64 = 0.1;
/// What arrived counts half after this time, in ms: it spans the gaps between jobs of a queue,
/// and is soon over when they end.
const HALF_LIFE_MS: f64 = 1_500.0;

/// A task, as far as it matters here.
#[derive(Clone, Copy, Debug)]
pub struct TaskSize {
    /// Its queue's urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Thousandths of a core that it takes.
    pub cpu: u32,
    /// Its estimated running time, in ms.
    pub estimate_ms: Millis,
}

/// What arrived lately of one urgency; sums that decay.
#[derive(Clone, Copy, Debug, Default)]
struct RecentArrivals {
    /// Thousandths of a core times ms.
    work: f64,
    /// The same, times the thousandths of a core of each task.
    work_by_cpu: f64,
    /// The same as `work`, times the slack in ms of each task.
    work_by_slack: f64,
}

impl RecentArrivals {
    fn decay(&mut self, kept: f64) {
        self.work *= kept;
        self.work_by_cpu *= kept;
        self.work_by_slack *= kept;
    }

    /// Returns the slack of an ordinary task, in ms.
    fn slack_ms(&self) -> f64 {
        self.work_by_slack / self.work
    }

    /// Returns whether a task is long for this urgency's work, of which there is some.
    fn is_long(&self, estimate_ms: Millis) -> bool {
        let some = self.average_cpu() > MIN_AVERAGE_TASKS * self.task_cpu();
        some && estimate_ms as f64 > self.slack_ms()
    }

    /// Returns the thousandths of a core of an ordinary task.
    fn task_cpu(&self) -> f64 {
        self.work_by_cpu / self.work
    }

    /// Returns the thousandths of a core that its work takes on average.
    fn average_cpu(&self) -> f64 {
        self.work * std::f64::consts::LN_2 / HALF_LIFE_MS
    }

    /// Returns the cpu_variance of the thousandths of a core that its work takes at a time, if
    /// tasks arrive independently.
    fn cpu_variance(&self) -> f64 {
        self.average_cpu() * self.task_cpu()
    }
}

/// What arrived lately at one host, for all pools together.
#[derive(Clone, Debug, Default)]
pub struct LongTaskLimit {
    arrived: BTreeMap<u8, RecentArrivals>,
    decayed: Millis,
}

impl LongTaskLimit {
    /// Records that a task arrived whose job can wait for `slack_ms` and be on time.
    pub fn record_arrival(&mut self, now: Millis, task: &TaskSize, slack_ms: Millis) {
        self.decay(now);
        let cpu = f64::from(task.cpu);
        let work = cpu * task.estimate_ms as f64;
        let sums = self.arrived.entry(task.urgency).or_default();
        sums.work += work;
        sums.work_by_cpu += work * cpu;
        sums.work_by_slack += work * slack_ms as f64;
    }

    /// Returns whether a task may start on targets that have `capacity_cpu` thousandths of a
    /// core, while `running` run there.
    pub fn may_start(
        &mut self,
        now: Millis,
        task: &TaskSize,
        capacity_cpu: u32,
        running: impl Iterator<Item = TaskSize> + Clone,
    ) -> bool {
        self.decay(now);
        let most_kept = MAX_RESERVED_SHARE * f64::from(capacity_cpu);
        let (mut average, mut cpu_variance) = (0.0, 0.0);
        for (urgency, arrived) in self.arrived.range(..task.urgency) {
            if !arrived.is_long(task.estimate_ms) {
                continue;
            }
            average += arrived.average_cpu();
            cpu_variance += arrived.cpu_variance();
            let kept = (average + SAFETY_DEVIATIONS * cpu_variance.sqrt()).min(most_kept);
            let is_long =
                |other: &TaskSize| other.urgency > *urgency && arrived.is_long(other.estimate_ms);
            let held: u32 = running.clone().filter(is_long).map(|other| other.cpu).sum();
            if held > 0 && f64::from(held + task.cpu) > f64::from(capacity_cpu) - kept {
                return false;
            }
        }
        true
    }

    /// Lets what arrived decay, and forgets what is less than a thousandth of a core for 1 ms.
    fn decay(&mut self, now: Millis) {
        let passed = now.saturating_sub(self.decayed) as f64;
        let kept = (-passed / HALF_LIFE_MS).exp2();
        for arrived in self.arrived.values_mut() {
            arrived.decay(kept);
        }
        self.arrived.retain(|_, arrived| arrived.work >= 1.0);
        self.decayed = self.decayed.max(now);
    }
}
