//! The short form of the randomised runs.

use gannetridge_dispatch_lab::{run, Scenario};

/// Seeds that once found a broken promise; the commits tell which.
const FOUND: [u64; 0] = [];

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
