//! The description of a run: sizes, delays, load, behaviour of callers, and faults.

use gannetridge_entry_core::{Safeguards, Tuning};

/// Largest offset of a caller's clock from simulated time, in µs, either way.
pub const CALLER_OFFSET_US: i64 = 250_000;
/// Largest offset of a host's or runner's clock from simulated time, in µs, either way.
pub const CLOCK_OFFSET_US: i64 = 120_000;

/// The numbers of simulated halls, hosts, runners and slots.
#[derive(Clone, Debug)]
pub struct Sizes {
    /// Data halls in all.
    pub halls: usize,
    /// Entry hosts per hall.
    pub hosts: usize,
    /// Runners per hall.
    pub runners: usize,
    /// Slots per runner.
    pub slots: u32,
}

/// Delays without jitter, in µs; those of messages are one-way.
#[derive(Clone, Copy, Debug)]
pub struct Delays {
    /// Between a caller and an entry host.
    pub caller_us: u64,
    /// Within a hall.
    pub within_hall_us: u64,
    /// Between halls.
    pub between_halls_us: u64,
    /// Of a read of the table or the list of targets.
    pub table_read_us: u64,
    /// Of a write to the table.
    pub table_write_us: u64,
}

/// A client account and its load.
#[derive(Clone, Debug)]
pub struct AccountLoad {
    /// Unique among the accounts.
    pub name: &'static str,
    /// `urgent`, `normal` or `background`.
    pub urgency: &'static str,
    /// Slots that its tasks may use at the same time.
    pub quota_slots: u32,
    /// True if its tasks may run more than once.
    pub repeatable: bool,
    /// Mean arrival rate of a Poisson process; 0 for no jobs.
    pub jobs_per_s: f64,
    /// Distribution of a job's number of tasks, as (tasks, weight).
    pub job_sizes: Vec<(u32, f64)>,
    /// Shortest task, in ms.
    pub shortest_ms: u64,
    /// Longest task, in ms.
    pub longest_ms: u64,
    /// Time from a job's creation to its deadline, in ms.
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

    /// Returns the mean run time of a task, in ms.
    #[must_use]
    pub fn mean_ms(&self) -> f64 {
        (self.shortest_ms + self.longest_ms) as f64 / 2.0
    }
}

/// The behaviour of callers towards slow or refused requests, and their errors.
#[derive(Clone, Copy, Debug)]
pub struct CallerBehaviour {
    /// Shortest and longest time after which a caller gives up an attempt and makes the
    /// next one, in ms.
    pub timeout_range_ms: (u64, u64),
    /// Probability that a caller sends a job again within two seconds.
    pub duplicate_probability: f64,
    /// Probability that a caller sends a job again after 5 to 40 seconds.
    pub late_resend_probability: f64,
    /// Probability that a caller reuses a job's id for different contents.
    pub conflict_probability: f64,
    /// Probability that a caller retries after a refusal.
    pub retry_probability: f64,
}

/// A planned event. All times are in ms since the run's start.
#[derive(Clone, Copy, Debug)]
pub enum PlannedEvent {
    /// The first hall is drained.
    Drain {
        /// When the hall's document changes.
        at_ms: u64,
    },
    /// The first hall is cut off from the other halls and the platform.
    CutHall {
        /// Start of the partition.
        from_ms: u64,
        /// End of the partition.
        to_ms: u64,
    },
    /// The platform is unavailable.
    Outage {
        /// Start of the outage.
        from_ms: u64,
        /// End of the outage.
        to_ms: u64,
    },
    /// The first host is killed and restarted.
    KillHost {
        /// Time of the kill.
        at_ms: u64,
        /// Time of the restart.
        back_ms: u64,
    },
    /// All hosts shut down gracefully and restart, one after the other.
    RollingRestart {
        /// When the first host is asked to stop.
        from_ms: u64,
        /// Time from one host to the next, in ms.
        every_ms: u64,
    },
    /// Every n-th runner is listed as leaving, but still accepts tasks.
    LeavingByList {
        /// The step n.
        every: usize,
        /// When the runners start to leave.
        at_ms: u64,
    },
}

/// Everything that determines a run.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random numbers.
    pub seed: u64,
    /// Numbers of halls, hosts, runners and slots.
    pub sizes: Sizes,
    /// Delays of network and platform.
    pub delays: Delays,
    /// The accounts; empty for a run without load.
    pub accounts: Vec<AccountLoad>,
    /// Common to the callers of all accounts.
    pub caller_behaviour: CallerBehaviour,
    /// Time after which no job arrives, in ms since the run's start.
    pub load_ms: u64,
    /// Time from the end of the load to the end of the run, in ms.
    pub tail_ms: u64,
    /// Jobs that arrive before this time, in ms since the run's start, aren't measured.
    pub warm_up_ms: u64,
    /// Events besides random faults.
    pub planned: Vec<PlannedEvent>,
    /// Mean time between random faults, in ms; 0 for none.
    pub fault_every_ms: u64,
    /// Mean time between operators' changes, in ms; 0 for none.
    pub change_every_ms: u64,
    /// The hosts' times and limits.
    pub tuning: Tuning,
    /// The hosts' safeguards; all on except to test the checks.
    pub safeguards: Safeguards,
}

/// Returns the delays that all scenarios use.
#[must_use]
pub fn default_delays() -> Delays {
    Delays {
        caller_us: 3_000,
        within_hall_us: 100,
        between_halls_us: 500,
        table_read_us: 800,
        table_write_us: 4_000,
    }
}
