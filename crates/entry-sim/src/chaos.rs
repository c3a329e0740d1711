//! The randomised scenario: faults of all kinds at random times, also overlapping.

use gannetridge_entry_core::{Safeguards, Tuning};

use crate::checks::Checks;
use crate::report::Report;
use crate::scenario::{default_delays, AccountLoad, CallerBehaviour, Scenario, Sizes};
use crate::world::World;

/// Time after the last job and fault for all jobs and writes to finish, in ms.
const TAIL_MS: u64 = 60_000;

/// Returns the randomised scenario for a seed.
#[must_use]
pub fn scenario(seed: u64, load_ms: u64, safeguards: Safeguards) -> Scenario {
    let account = |name, repeatable, jobs_per_s| AccountLoad {
        name,
        urgency: "normal",
        quota_slots: 40,
        repeatable,
        jobs_per_s,
        job_sizes: vec![(1, 4.0), (4, 3.0), (12, 1.0)],
        shortest_ms: 50,
        longest_ms: 500,
        deadline_ms: 15_000,
    };
    Scenario {
        seed,
        sizes: Sizes {
            halls: 2,
            hosts: 3,
            runners: 3,
            slots: 4,
        },
        delays: default_delays(),
        accounts: vec![account("once", false, 4.0), account("again", true, 2.0)],
        caller_behaviour: CallerBehaviour {
            timeout_range_ms: (1_000, 6_000),
            duplicate_probability: 0.15,
            late_resend_probability: 0.15,
            conflict_probability: 0.05,
            retry_probability: 0.8,
        },
        load_ms,
        tail_ms: TAIL_MS,
        warm_up_ms: 0,
        planned: Vec::new(),
        fault_every_ms: 1_200,
        change_every_ms: 3_000,
        tuning: Tuning {
            outage_limit_ms: 30_000,
            accept_window_ms: 30_000,
            retention_ms: 120_000,
            ..Tuning::default()
        },
        safeguards,
    }
}

/// Runs the randomised scenario with a seed.
#[must_use]
pub fn run(seed: u64, load_ms: u64, safeguards: Safeguards) -> (Report, Checks) {
    World::new(scenario(seed, load_ms, safeguards)).run()
}

/// Runs the randomised scenario with a seed and catches panics, such as those of
/// violated invariants inside the core.
///
/// # Errors
///
/// Returns the panic's message if the run panics.
pub fn run_catching_panics(
    seed: u64,
    load_ms: u64,
    safeguards: Safeguards,
) -> Result<(Report, Checks), String> {
    let run = std::panic::AssertUnwindSafe(|| run(seed, load_ms, safeguards));
    std::panic::catch_unwind(run).map_err(|panic| {
        let text = panic.downcast_ref::<String>().cloned();
        let text = text.or_else(|| panic.downcast_ref::<&str>().map(|s| (*s).to_owned()));
        text.unwrap_or_else(|| "a panic without a message".to_owned())
    })
}
