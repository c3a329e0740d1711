//! Admission control: estimates whether a whole job can end before its deadline.

use gannetridge_entry_wire::Time;

/// Fraction of the time left that a job's estimate may use.
const TIME_MARGIN: f64 = 0.95;

/// The slots available to a job and the work ahead of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number of slots that the job may use.
    pub slots: f64,
    /// Work queued ahead of the job, in ms of one slot.
    pub ahead_ms: f64,
}

/// The resources that a job needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JobDemand {
    /// Run time of all tasks together, in ms of one slot.
    pub work_ms: f64,
    /// Run time of the longest task, in ms.
    pub longest_ms: f64,
}

/// The decision on a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AdmissionDecision {
    /// The job can end in time.
    Accept,
    /// The job can't end in time.
    Refuse {
        /// How long after the usable time the job would end, in ms; at most 5 s.
        late_ms: u64,
    },
}

/// Decides whether a job can end before its deadline.
#[must_use]
pub fn check_admission(
    load: Load,
    demand: JobDemand,
    now: Time,
    deadline: Time,
) -> AdmissionDecision {
    let left_ms = deadline.micros_since(now) as f64 / 1_000.0 * TIME_MARGIN;
    let own_ms = demand.longest_ms.max(demand.work_ms / load.slots.max(1e-9));
    let end_ms = load.ahead_ms / load.slots.max(1e-9) + own_ms;
    if end_ms <= left_ms {
        return AdmissionDecision::Accept;
    }
    // Without slots the estimate is unbounded; this keeps the caller's retry short.
    const MAX_LATE_MS: f64 = 5_000.0;
    let late_ms = (end_ms - left_ms).min(MAX_LATE_MS);
    AdmissionDecision::Refuse {
        late_ms: late_ms as u64,
    }
}

/// Moving average of the tasks' run times relative to the expected ones.
#[derive(Clone, Copy, Debug)]
pub struct RunTimeRatio {
    ratio: f32,
}

impl Default for RunTimeRatio {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl RunTimeRatio {
    /// Weight of the latest task in the moving average.
    const LATEST_WEIGHT: f32 = 0.01;
    /// Lower bound of the average.
    const MIN: f32 = 0.05;

    /// Adds a task's run time over the expected one.
    pub fn add(&mut self, ratio: f32) {
        let moved = self.ratio + (ratio - self.ratio) * Self::LATEST_WEIGHT;
        self.ratio = moved.max(Self::MIN);
    }

    /// Returns the average run time over the expected one.
    #[must_use]
    pub fn ratio(self) -> f32 {
        self.ratio
    }
}
