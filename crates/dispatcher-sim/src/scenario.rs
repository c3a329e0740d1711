//! One seeded run.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::settings::{RunningTimes, WaitingAt, WaitingOrder};
use gannetridge_dispatcher_core::{Bounds, Millis, Safeguards, Scheduling};

use crate::checks::Violation;
use crate::world::World;

/// What a run is made of.
#[derive(Clone, Copy, Debug)]
pub struct Scenario {
    /// The seed.
    pub seed: u64,
    /// How long callers come and faults strike.
    pub load_ms: Millis,
    /// Halls.
    pub halls: usize,
    /// Hosts in each hall.
    pub hosts_per_hall: usize,
    /// Targets in each hall.
    pub targets_per_hall: usize,
    /// Jobs a second.
    pub jobs_per_s: f64,
    /// The mean pause between faults, none if 0.
    pub fault_gap_ms: Millis,
    /// The mean pause between times at which the operator drains halls, none if 0.
    pub drain_gap_ms: Millis,
    /// The mean pause between targets that crash and start again under their id, none if 0.
    pub restart_gap_ms: Millis,
    /// The first task of one of so many jobs crashes each target that starts it, none if 0.
    pub one_crashing_job_in: u64,
    /// Whether targets reject what doesn't fit.
    pub targets_enforce_capacity: bool,
    /// Whether hosts' notes and faults are printed.
    pub verbose: bool,
    /// The deployment's bounds.
    pub bounds: Bounds,
    /// The ways that hosts use.
    pub scheduling: Scheduling,
    /// The mechanisms that hosts have.
    pub safeguards: Safeguards,
}

impl Scenario {
    /// A small deployment under faults of every kind.
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
    /// The same, where targets crash and start again under their id all the time.
    #[must_use]
    pub fn with_restarts(seed: u64) -> Self {
        Self {
            restart_gap_ms: 800,
            ..Self::new(seed)
        }
    }

    /// The same, where tasks wait at holders, in one order, by learned running times.
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

    /// The same, where tasks crash each target that starts them.
    #[must_use]
    pub fn with_crashing_tasks(seed: u64) -> Self {
        Self {
            one_crashing_job_in: 100,
            ..Self::new(seed)
        }
    }

    /// The same, where the operator drains halls and takes them back all the time.
    #[must_use]
    pub fn with_drains(seed: u64) -> Self {
        Self {
            drain_gap_ms: 4_000,
            ..Self::new(seed)
        }
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Events that hosts took in.
    pub events: u64,
    /// Starts that targets carried out.
    pub starts: u64,
    /// Jobs.
    pub jobs: u64,
    /// Final answers, by kind.
    pub answers: BTreeMap<&'static str, u64>,
    /// Faults, by kind.
    pub faults: BTreeMap<&'static str, u64>,
    /// Promises that were broken.
    pub violations: Vec<Violation>,
}

/// Runs a scenario to its end.
#[must_use]
pub fn run(scenario: &Scenario) -> Outcome {
    World::new(scenario).run()
}
