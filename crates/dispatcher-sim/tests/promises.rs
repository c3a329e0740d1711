//! The short form of the randomised runs.

use gannetridge_dispatcher_core::Safeguards;
use gannetridge_dispatcher_sim::checks::Rule;
use gannetridge_dispatcher_sim::{run, Scenario};

/// Seeds that once broke a promise.
const FOUND: [u64; 5] = [3, 11, 25, 26, 5_193];

/// Seeds that once broke a promise among hosts that tell each other what the store holds:
/// jobs of hosts that had just started weren't answered in time.
const FOUND_AMONG_MANY: [u64; 3] = [104, 107, 110];

fn assert_kept(seeds: impl IntoIterator<Item = u64>) {
    for seed in seeds {
        let outcome = run(&Scenario::new(seed));
        let first = outcome.violations.first();
        assert_eq!(
            first,
            None,
            "seed {seed}, {} in all",
            outcome.violations.len()
        );
    }
}

#[test]
fn promises_are_kept_with_seeds_that_once_broke_them() {
    assert_kept(FOUND);
}

#[test]
fn promises_are_kept_with_the_first_seeds() {
    assert_kept(1..=24);
}

#[test]
fn promises_are_kept_among_many_hosts_with_seeds_that_once_broke_them() {
    for seed in FOUND_AMONG_MANY {
        let wide = Scenario {
            hosts_per_hall: 8,
            targets_per_hall: 12,
            jobs_per_s: 120.0,
            load_ms: 20_000,
            ..Scenario::new(seed)
        };
        let outcome = run(&wide);
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Halls are drained and taken back at any moment, one, two or all of them.
#[test]
fn promises_are_kept_while_halls_are_drained() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_drains(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn promises_are_kept_among_many_hosts_while_halls_are_drained() {
    for seed in 1..=6 {
        let outcome = run(&wide_with_drains(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Seeds that once broke a promise while targets start again under their id: ends were
/// acknowledged unheard, attempts taken for over that ran, more started than a target has, or jobs
/// failed by ends that weren't heard.
const FOUND_WITH_RESTARTS: [u64; 18] = [
    3, 29, 47, 48, 58, 114, 130, 131, 159, 185, 192, 201, 221, 252, 870, 1_314, 1_927, 2_418,
];

#[test]
fn promises_are_kept_with_restarts_and_seeds_that_once_broke_them() {
    for seed in FOUND_WITH_RESTARTS {
        let outcome = run(&Scenario::with_restarts(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Targets crash and start again under their id, half of them at once, while attempts run
/// there, calls are lost or carried out late, and their holders are cut off.
#[test]
fn promises_are_kept_while_targets_start_again_under_their_id() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_restarts(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// Tasks crash each target that starts them, beside faults of every kind.
#[test]
fn promises_are_kept_while_tasks_crash_their_targets() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_crashing_tasks(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn crashes_that_nobody_counts_are_found() {
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
    assert!(found, "nobody missed them");
}

#[test]
fn a_life_that_is_taken_for_the_one_before_is_found() {
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
    assert!(found, "nobody missed it");
}

/// Tasks wait at the holders of targets, which die, freeze, are cut off, lose targets and drain.
#[test]
fn promises_are_kept_while_tasks_wait_at_holders() {
    for seed in 1..=24 {
        let outcome = run(&Scenario::with_queueing_at_holders(seed));
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn promises_are_kept_while_tasks_wait_at_holders_of_targets_that_start_again() {
    // With seed 20 a job that waited while room was known wasn't answered before its deadline.
    for seed in (1..=12).chain([20]) {
        let outcome = run(&Scenario {
            restart_gap_ms: 800,
            ..Scenario::with_queueing_at_holders(seed)
        });
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

/// An owner that tries a task elsewhere before its holder said that it wasn't begun.
#[test]
fn lost_attempts_that_are_not_waited_for_are_found_where_tasks_wait_at_holders() {
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
    assert!(found, "nobody missed it");
}

fn wide_with_drains(seed: u64) -> Scenario {
    Scenario {
        hosts_per_hall: 8,
        targets_per_hall: 12,
        jobs_per_s: 120.0,
        load_ms: 20_000,
        ..Scenario::with_drains(seed)
    }
}

/// Each way in which news of draining halls may go missing, and the rule that is then broken.
const DRAINING_MUTANTS: [(&str, Remove, Rule); 5] = [
    (
        "heeded",
        |s| s.draining_halls_are_skipped = false,
        Rule::Draining,
    ),
    ("read", |s| s.draining_is_read = false, Rule::Draining),
    (
        "followed",
        |s| s.draining_is_followed = false,
        Rule::Draining,
    ),
    (
        "told",
        |s| s.draining_is_learned_from_peers = false,
        Rule::Draining,
    ),
    ("ends", |s| s.draining_ends = false, Rule::ServiceAfterDrain),
];

#[test]
fn missing_news_of_draining_halls_are_found() {
    for (name, remove, rule) in DRAINING_MUTANTS {
        let mut safeguards = Safeguards::default();
        remove(&mut safeguards);
        let breaks = |scenario: Scenario| {
            let outcome = run(&Scenario {
                safeguards,
                ..scenario
            });
            outcome.violations.iter().any(|v| v.rule == rule)
        };
        let found = (1..=20)
            .any(|seed| breaks(Scenario::with_drains(seed)) || breaks(wide_with_drains(seed)));
        assert!(found, "nobody missed: {name}");
    }
}

/// So many hosts that idle pairs of them hear of each other more rarely than
/// owner leases last.
#[test]
fn promises_are_kept_among_many_hosts() {
    for seed in 1..=3 {
        let wide = Scenario {
            hosts_per_hall: 8,
            targets_per_hall: 12,
            jobs_per_s: 120.0,
            load_ms: 12_000,
            ..Scenario::new(seed)
        };
        let outcome = run(&wide);
        assert_eq!(outcome.violations.first(), None, "seed {seed}");
    }
}

#[test]
fn without_faults_all_jobs_are_completed() {
    let calm = Scenario {
        fault_gap_ms: 0,
        jobs_per_s: 15.0,
        ..Scenario::new(1)
    };
    let outcome = run(&calm);
    let completed = outcome.answers.get("completed").copied().unwrap_or(0);
    // One in ten callers leaves, and one task in 500 fails.
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

type Remove = fn(&mut Safeguards);

/// Each mechanism, how it is taken out, and the promise that is then broken.
const MUTANTS: [(&str, Remove, Rule); 7] = [
    (
        "owner leases",
        |s| s.owner_leases_expire = false,
        Rule::NoConcurrentRuns,
    ),
    ("settling", |s| s.new_holders_settle = false, Rule::Capacity),
    (
        "lost runs",
        |s| s.lost_attempts_are_waited_for = false,
        Rule::NoConcurrentRuns,
    ),
    (
        "doubt",
        |s| s.unanswered_starts_count_as_running = false,
        Rule::NoConcurrentRuns,
    ),
    (
        "leaving",
        |s| s.leaving_targets_are_skipped = false,
        Rule::Leaving,
    ),
    (
        "begun",
        |s| s.started_jobs_are_not_refused = false,
        Rule::RefusedJobsNotStarted,
    ),
    (
        "silence",
        |s| s.silent_attempts_are_waited_for = false,
        Rule::NoConcurrentRuns,
    ),
];

#[test]
fn a_missing_mechanism_is_found() {
    for (name, remove, rule) in MUTANTS {
        let mut safeguards = Safeguards::default();
        remove(&mut safeguards);
        let found = (1..=40).any(|seed| {
            let outcome = run(&Scenario {
                safeguards,
                ..Scenario::new(seed)
            });
            outcome.violations.iter().any(|v| v.rule == rule)
        });
        assert!(found, "nobody missed: {name}");
    }
}
