//! The parameters of a seeded run, and its result.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::settings::{RunningTimes, WaitingAt, WaitingOrder};
use gannetridge_dispatcher_core::{Bounds, Millis, Safeguards, Scheduling};

use crate::checks::Violation;
use crate::world::World;

/// The parameters of a run.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The seed of all random choices.
    pub seed: u64,
    /// How long jobs are submitted and faults are injected.
    pub load_ms: Millis,
    /// The number of halls.
    pub halls: usize,
    /// The number of hosts in each hall.
    pub hosts_per_hall: usize,
    /// The number of targets in each hall.
    pub targets_per_hall: usize,
    /// The mean number of jobs submitted in a second.
    pub jobs_per_s: f64,
    /// The mean interval between faults; 0 for no faults.
    pub fault_gap_ms: Millis,
    /// The mean interval between drains of halls; 0 for no drains.
    pub drain_gap_ms: Millis,
    /// The mean interval between crashes of targets that restart under their id; 0 for none.
    pub restart_gap_ms: Millis,
    /// In one of this many jobs the first task crashes each target that starts it; 0 for none.
    pub one_crashing_job_in: u64,
    /// Targets reject attempts that exceed their capacity.
    pub targets_enforce_capacity: bool,
    /// Hosts' decisions, calls to targets and faults are printed.
    pub verbose: bool,
    /// The time bounds that hosts and targets are configured with.
    pub bounds: Bounds,
    /// The scheduling settings of all hosts.
    pub scheduling: Scheduling,
    /// The safety mechanisms that are enabled in hosts.
    pub safeguards: Safeguards,
}

impl Scenario {
    /// Returns a small deployment with faults of every kind, but no drains, restarts or crashing
    /// tasks.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            seed,
            load_ms: 40_000,
            halls: 3,
            hosts_per_hall: 2,
            targets_per_hall: 4,
            jobs_per_s: 30.0,
            fault_gap_ms: 1_500,
            drain_gap_ms: 0,
            restart_gap_ms: 0,
            one_crashing_job_in: 0,
            targets_enforce_capacity: seed % 2 == 0,
            verbose: false,
            scheduling: Scheduling::default(),
            safeguards: Safeguards::default(),
            bounds: Bounds {
                retransmit_ms: 1_300,
                max_target_lease_ms: 1_000,
                stop_grace_ms: 50,
                grace_period_ms: 6_000,
                drain_ms: 2_000,
            },
        }
    }
}

impl Scenario {
    /// Returns the scenario of [`Self::new`] where targets also crash and restart under their id.
    #[must_use]
    pub fn with_restarts(seed: u64) -> Self {
        Self {
            restart_gap_ms: 800,
            ..Self::new(seed)
        }
    }

    /// Returns the scenario of [`Self::with_drains`] where tasks queue at holders, ordered by
    /// shares and by learned running times.
    #[must_use]
    pub fn with_queueing_at_holders(seed: u64) -> Self {
        Self {
            scheduling: Scheduling {
                waiting_at: WaitingAt::Holder,
                order: WaitingOrder::Shares,
                running_times: RunningTimes::Learned,
            },
            ..Self::with_drains(seed)
        }
    }

    /// Returns the scenario of [`Self::new`] where some tasks also crash each target that starts
    /// them.
    #[must_use]
    pub fn with_crashing_tasks(seed: u64) -> Self {
        Self {
            one_crashing_job_in: 100,
            ..Self::new(seed)
        }
    }

    /// Returns the scenario of [`Self::new`] where halls are also drained and put back into
    /// service.
    #[must_use]
    pub fn with_drains(seed: u64) -> Self {
        Self {
            drain_gap_ms: 4_000,
            ..Self::new(seed)
        }
    }
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// The number of events that hosts handled.
    pub events: u64,
    /// The number of attempts that targets started.
    pub starts: u64,
    /// The number of jobs submitted, without probes.
    pub jobs: u64,
    /// The number of answers to jobs and probes, by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// The number of faults, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// The rules that were broken.
    pub violations: Vec<Violation>,
}

/// Runs a scenario to its end.
#[must_use]
pub fn run(scenario: &Scenario) -> Outcome {
    World::new(scenario).run()
}
