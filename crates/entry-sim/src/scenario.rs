//! What a run is made of.

use gannetridge_entry_core::{Safeguards, Tuning};

/// How callers' clocks may be ahead or behind, in µs. Chosen, not measured.
pub const CALLER_OFFSET_US: i64 = 250_000;
/// How hosts' and runners' clocks may be ahead or behind, in µs. Chosen, not measured.
pub const CLOCK_OFFSET_US: i64 = 120_000;

/// The machines.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Data halls.
    pub halls: usize,
    /// Entry hosts of each hall.
    pub hosts: usize,
    /// Runners of each hall.
    pub runners: usize,
    /// Slots of each runner.
    pub slots: u32,
}

/// One-way delays, in µs.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Between a caller and an entry host.
    pub caller: u64,
    /// Within a hall.
    pub near: u64,
    /// Between halls.
    pub far: u64,
    /// Of a read of the table.
    pub table_read: u64,
    /// Of a synced write of the table.
    pub table_write: u64,
}

/// An account and its load.
#[derive(Clone, Debug)]
pub struct AccountLoad {
    /// The account's name.
    pub name: &'static str,
    /// `urgent`, `normal` or `background`.
    pub urgency: &'static str,
    /// Slots that it may use at a time.
    pub quota_slots: u32,
    /// Whether its tasks may be repeated.
    pub repeatable: bool,
    /// Jobs a second.
    pub jobs_per_s: f64,
    /// How many tasks a job has, as (tasks, weight).
    pub job_sizes: Vec<(u32, f64)>,
    /// Shortest task, in ms.
    pub shortest_ms: u64,
    /// Longest task, in ms.
    pub longest_ms: u64,
    /// How long an answer is wanted, in ms.
    pub deadline_ms: u64,
}

impl AccountLoad {
    /// Returns the mean number of tasks of a job.
    #[must_use]
    pub fn mean_tasks(&self) -> f64 {
        let weights: f64 = self.job_sizes.iter().map(|(_, w)| w).sum();
        let sum: f64 = self.job_sizes.iter().map(|(n, w)| f64::from(*n) * w).sum();
        sum / weights
    }

    /// Returns the mean time of a task, in ms.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        (self.shortest_ms + self.longest_ms) as f64 / 2.0
    }
}

/// How callers behave when they get no answer.
#[derive(Clone, Copy, Debug)]
pub struct CallerManners {
    /// Least and greatest time after which a caller thinks that a request is
    /// lost, in ms.
    pub patience_ms: (u64, u64),
    /// Chance that a caller sends a request again while the first runs.
    pub double: f64,
    /// Chance that a caller sends a request again long after its answer.
    pub late: f64,
    /// Chance that a caller uses an id again with other contents.
    pub clash: f64,
    /// Chance that a caller comes back after a refusal.
    pub come_back: f64,
}

/// Times of a planned event, in ms.
#[derive(Clone, Copy, Debug)]
pub enum Planned {
    /// The first hall is being emptied.
    Drain {
        /// Begin.
        at_ms: u64,
    },
    /// The first hall is cut off.
    CutHall {
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// The platform is out.
    Outage {
        /// Begin.
        from_ms: u64,
        /// End.
        to_ms: u64,
    },
    /// One host dies and is started again later.
    KillHost {
        /// When it dies.
        at_ms: u64,
        /// When it is back.
        back_ms: u64,
    },
    /// All hosts are stopped in order, one after the other.
    RollingRestart {
        /// When the first stops.
        from_ms: u64,
        /// Time from one to the next.
        every_ms: u64,
    },
    /// Every n-th runner is listed as leaving, and refuses nothing itself.
    LeavingByList {
        /// One in how many.
        every: usize,
        /// Begin.
        at_ms: u64,
    },
}

/// A whole run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// The seed of everything random.
    pub seed: u64,
    /// The machines.
    pub sizes: Sizes,
    /// Delays.
    pub delays: Delays,
    /// The accounts; none for a run without load.
    pub accounts: Vec<AccountLoad>,
    /// The callers.
    pub manners: CallerManners,
    /// How long jobs come, in ms.
    pub load_ms: u64,
    /// How long the run goes on after the last job, in ms.
    pub tail_ms: u64,
    /// Jobs before this time don't count in measurements, in ms.
    pub warm_up_ms: u64,
    /// Planned events.
    pub planned: Vec<Planned>,
    /// Mean time between random faults, in ms; 0 for none.
    pub fault_every_ms: u64,
    /// Mean time between operators' changes, in ms; 0 for none.
    pub change_every_ms: u64,
    /// The hosts' times and limits.
    pub tuning: Tuning,
    /// The hosts' mechanisms.
    pub safeguards: Safeguards,
}

/// The delays of the first user.
#[must_use]
pub fn delays_of_today() -> Delays {
    Delays {
        caller: 3_000,
        near: 100,
        far: 500,
        table_read: 800,
        table_write: 4_000,
    }
}
