//! Randomised runs: the rules of `checks` hold under faults, and a disabled safety mechanism is
//! detected.

use gannetridge_dispatcher_core::Safeguards;
use gannetridge_dispatcher_sim::checks::Rule;
use gannetridge_dispatcher_sim::{run, Scenario};

/// Seeds of earlier violations.
const REGRESSION_SEEDS: [u64; 5] = [3, 11, 25, 26, 5_193];

/// Seeds of earlier violations where hosts share their reads of the store: jobs of hosts that had
/// just started weren't answered in time.
const REGRESSION_SEEDS_WITH_SHARED_READS: [u64; 3] = [104, 107, 110];

fn assert_no_violations(seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        let outcome = run(&Scenario::new(seed));
        let first = outcome.violations.first();
        assert_eq!(
            first,
            None,
            "seed {seed}, {} violations",
            outcome.violations.len()
        );
    }
}

#[test]
fn rules_hold_for_regression_seeds() {
    assert_no_violations(REGRESSION_SEEDS);
}

#[test]
fn rules_hold_for_the_first_seeds() {
    assert_no_violations(1..=24);
}

#[test]
fn rules_hold_with_shared_reads_for_regression_seeds() {
    for seed in REGRESSION_SEEDS_WITH_SHARED_READS {
        let many_hosts = Scenario {
            hosts_per_hall: 8,
            targets_per_hall: 12,
            jobs_per_s: 120.0,
            load_ms: 20_000,
            ..Scenario::new(seed)
        };
        let outcome = run(&many_hosts);
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Drains of one, two or all halls begin and end at any moment.
#[test]
fn rules_hold_while_halls_are_drained() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_drains(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn rules_hold_among_many_hosts_while_halls_are_drained() {
    for seed in 1..=6 {
        let outcome = run(&many_hosts_with_drains(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Seeds of earlier violations with restarting targets: ends acknowledged that were never listed,
/// running attempts assumed to have ended, exceeded capacity, or unjustified failures of jobs.
const REGRESSION_SEEDS_WITH_RESTARTS: [u64; 18] = [
    3, 29, 47, 48, 58, 114, 130, 131, 159, 185, 192, 201, 221, 252, 870, 1_314, 1_927, 2_418,
];

#[test]
fn rules_hold_with_restarting_targets_for_regression_seeds() {
    for seed in REGRESSION_SEEDS_WITH_RESTARTS {
        let outcome = run(&Scenario::with_restarts(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Targets restart under their id while attempts run there, calls are lost or late, and holders
/// are cut off.
#[test]
fn rules_hold_while_targets_restart_under_their_id() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_restarts(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Some tasks crash each target that starts them, in addition to all other faults.
#[test]
fn rules_hold_while_tasks_crash_their_targets() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_crashing_tasks(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn uncounted_crashes_are_detected() {
    let safeguards = Safeguards {
        crashes_are_counted: false,
        ..Safeguards::default()
    };
    let found = (1..=80).any(|seed| {
        let outcome = run(&Scenario {
            safeguards,
            ..Scenario::with_crashing_tasks(seed)
        });
        let mut violations = outcome.violations.iter();
        violations.any(|v| v.rule == Rule::CrashingTasksNotRestarted)
    });
    assert!(found, "no seed detects it");
}

#[test]
fn confused_incarnations_of_a_target_are_detected() {
    let safeguards = Safeguards {
        incarnations_are_distinguished: false,
        ..Safeguards::default()
    };
    let found = (1..=20).any(|seed| {
        let outcome = run(&Scenario {
            safeguards,
            ..Scenario::with_restarts(seed)
        });
        outcome
            .violations
            .iter()
            .any(|v| v.rule == Rule::AcknowledgedEndsListed)
    });
    assert!(found, "no seed detects it");
}

/// Tasks queue at holders, which are killed, suspended, cut off, lose targets or drain.
#[test]
fn rules_hold_while_tasks_queue_at_holders() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_queueing_at_holders(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn rules_hold_while_tasks_queue_at_holders_and_targets_restart() {
    // Seed 20: a job that waited despite known free capacity wasn't answered before its deadline.
    for seed in (1..=12).chain([20]) {
        let outcome = run(&Scenario {
            restart_gap_ms: 800,
            ..Scenario::with_queueing_at_holders(seed)
        });
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// An owner starts a task elsewhere before its holder has reported that it wasn't started.
#[test]
fn retries_before_a_lost_attempt_ends_are_detected_where_tasks_queue_at_holders() {
    let safeguards = Safeguards {
        lost_attempts_are_waited_for: false,
        ..Safeguards::default()
    };
    let found = (1..=40).any(|seed| {
        let outcome = run(&Scenario {
            safeguards,
            ..Scenario::with_queueing_at_holders(seed)
        });
        outcome
            .violations
            .iter()
            .any(|v| v.rule == Rule::NoConcurrentRuns)
    });
    assert!(found, "no seed detects it");
}

fn many_hosts_with_drains(seed: u64) -> Scenario {
    Scenario {
        hosts_per_hall: 8,
        targets_per_hall: 12,
        jobs_per_s: 120.0,
        load_ms: 20_000,
        ..Scenario::with_drains(seed)
    }
}

/// Each way in which updates on draining halls may be lost, and the rule that this breaks.
const DISABLED_DRAINING_MECHANISMS: [(&str, Disable, Rule); 5] = [
    (
        "ignored where known",
        |s| s.draining_halls_are_skipped = false,
        Rule::Draining,
    ),
    (
        "missing from full reads",
        |s| s.draining_is_read = false,
        Rule::Draining,
    ),
    (
        "missing from changes",
        |s| s.draining_is_followed = false,
        Rule::Draining,
    ),
    (
        "missing from shared reads",
        |s| s.draining_is_learned_from_peers = false,
        Rule::Draining,
    ),
    (
        "end of drain",
        |s| s.draining_ends = false,
        Rule::ServiceAfterDrain,
    ),
];

#[test]
fn lost_updates_on_draining_halls_are_detected() {
    for (name, disable, rule) in DISABLED_DRAINING_MECHANISMS {
        let mut safeguards = Safeguards::default();
        disable(&mut safeguards);
        let breaks_rule = |scenario: Scenario| {
            let outcome = run(&Scenario {
                safeguards,
                ..scenario
            });
            outcome.violations.iter().any(|v| v.rule == rule)
        };
        let found = (1..=20).any(|seed| {
            breaks_rule(Scenario::with_drains(seed)) || breaks_rule(many_hosts_with_drains(seed))
        });
        assert!(found, "no seed detects: {name}");
    }
}

/// With this many hosts, idle pairs exchange messages less often than owner leases last.
#[test]
fn rules_hold_among_many_hosts() {
    for seed in 1..=3 {
        let many_hosts = Scenario {
            hosts_per_hall: 8,
            targets_per_hall: 12,
            jobs_per_s: 120.0,
            load_ms: 12_000,
            ..Scenario::new(seed)
        };
        let outcome = run(&many_hosts);
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn without_faults_all_jobs_are_completed() {
    let without_faults = Scenario {
        fault_gap_ms: 0,
        jobs_per_s: 15.0,
        ..Scenario::new(1)
    };
    let outcome = run(&without_faults);
    let completed = outcome.answers.get("completed").copied().unwrap_or(0);
    // One in ten callers leaves, and one attempt in 500 fails.
    assert!(outcome.violations.is_empty());
    assert!(
        completed * 100 >= outcome.jobs * 88,
        "{completed} of {}: {:?}",
        outcome.jobs,
        outcome.answers
    );
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let (first, second) = (run(&Scenario::new(7)), run(&Scenario::new(7)));
    assert_eq!(first.events, second.events);
    assert_eq!(first.answers, second.answers);
}

type Disable = fn(&mut Safeguards);

/// Each safety mechanism, how to disable it, and the rule that this breaks.
const DISABLED_MECHANISMS: [(&str, Disable, Rule); 7] = [
    (
        "owner leases",
        |s| s.owner_leases_expire = false,
        Rule::NoConcurrentRuns,
    ),
    (
        "settling of new holders",
        |s| s.new_holders_settle = false,
        Rule::Capacity,
    ),
    (
        "wait for lost attempts",
        |s| s.lost_attempts_are_waited_for = false,
        Rule::NoConcurrentRuns,
    ),
    (
        "unconfirmed starts",
        |s| s.unanswered_starts_count_as_running = false,
        Rule::NoConcurrentRuns,
    ),
    (
        "leaving targets",
        |s| s.leaving_targets_are_skipped = false,
        Rule::Leaving,
    ),
    (
        "no refusal of started jobs",
        |s| s.started_jobs_are_not_refused = false,
        Rule::RefusedJobsNotStarted,
    ),
    (
        "wait for silent attempts",
        |s| s.silent_attempts_are_waited_for = false,
        Rule::NoConcurrentRuns,
    ),
];

#[test]
fn a_disabled_mechanism_is_detected() {
    for (name, disable, rule) in DISABLED_MECHANISMS {
        let mut safeguards = Safeguards::default();
        disable(&mut safeguards);
        let found = (1..=40).any(|seed| {
            let outcome = run(&Scenario {
                safeguards,
                ..Scenario::new(seed)
            });
            outcome.violations.iter().any(|v| v.rule == rule)
        });
        assert!(found, "no seed detects: {name}");
    }
}
