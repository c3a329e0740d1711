//! Whether a whole job can be finished before its deadline.

use gannetridge_entry_wire::Time;

/// Part of the time left that a job's estimate may use. Chosen, not measured.
const MARGIN: f64 = 0.95;

/// What a job would have to share a host's slots with.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Slots that the job may use.
    pub slots: f64,
    /// Work that goes before it, in ms of one slot.
    pub ahead_ms: f64,
}

/// What a job needs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Need {
    /// All its tasks, in ms of one slot.
    pub work_ms: f64,
    /// Its longest task, in ms.
    pub longest_ms: f64,
}

/// The verdict on a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Verdict {
    /// It can be finished in time.
    Accept,
    /// It can't; after this many ms a job like it could.
    Refuse {
        /// How much too late it would end, in ms.
        late_ms: u64,
    },
}

/// Decides on a whole job.
#[must_use]
pub fn judge(load: Load, need: Need, now: Time, deadline: Time) -> Verdict {
    let left_ms = deadline.micros_since(now) as f64 / 1_000.0 * MARGIN;
    let own_ms = need.longest_ms.max(need.work_ms / load.slots.max(1e-9));
    let end_ms = load.ahead_ms / load.slots.max(1e-9) + own_ms;
    if end_ms <= left_ms {
        return Verdict::Accept;
    }
    // Without slots the estimate is endless; the caller asks again soon. Chosen, not
    // measured.
    const LONGEST_MS: f64 = 5_000.0;
    let late_ms = (end_ms - left_ms).min(LONGEST_MS);
    Verdict::Refuse {
        late_ms: late_ms as u64,
    }
}

/// Learns how long tasks run compared with what is expected of them.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    ratio: f32,
}

impl Default for Pace {
    fn default() -> Self {
        Self { ratio: 1.0 }
    }
}

impl Pace {
    /// Weight of the newest task in the moving average. Chosen, not measured.
    const NEWEST_WEIGHT: f32 = 0.01;
    /// The least ratio that is believed. Chosen, not measured.
    const LEAST: f32 = 0.05;

    /// Notes a task's time over the expected one.
    pub fn learn(&mut self, ratio: f32) {
        let moved = self.ratio + (ratio - self.ratio) * Self::NEWEST_WEIGHT;
        self.ratio = moved.max(Self::LEAST);
    }

    /// Returns the usual time of a task over the expected one.
    #[must_use]
    pub fn ratio(self) -> f32 {
        self.ratio
    }
}
