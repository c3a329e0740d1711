//! Guards response times, wasted messages and fairness of the scheduling policy against
//! regressions, on fixed seeds and in simulated time. The bounds leave a margin for
//! different random numbers.

use gannetridge_entry_core::{Safeguards, Tuning};
use gannetridge_entry_sim::oracle;
use gannetridge_entry_sim::report::{AccountReport, Ratios, Report};
use gannetridge_entry_sim::scenario::{
    default_delays, AccountLoad, CallerBehaviour, Scenario, Sizes,
};
use gannetridge_entry_sim::world::{World, START_MS};
use gannetridge_entry_wire::Time;

const SEED: u64 = 1;
/// Time during which jobs arrive.
const LOAD_MS: u64 = 40_000;
/// Jobs that arrive earlier aren't measured.
const WARM_UP_MS: u64 = 10_000;
/// Three halls, each with 17 runners of 8 slots.
const SIZES: Sizes = Sizes {
    halls: 3,
    hosts: 3,
    runners: 17,
    slots: 8,
};
/// Slots of all runners.
const SLOTS: u32 = 408;

/// Returns an account with mostly small and some large jobs, which use the fraction `load`
/// of all slots.
fn mixed(name: &'static str, load: f64, deadline_ms: u64) -> AccountLoad {
    let mut account = AccountLoad {
        name,
        urgency: "normal",
        quota_slots: 1_000,
        repeatable: false,
        jobs_per_s: 0.0,
        job_sizes: vec![(1, 40.0), (4, 30.0), (16, 20.0), (64, 4.0), (256, 0.5)],
        shortest_ms: 50,
        longest_ms: 500,
        deadline_ms,
    };
    let tasks_per_s = f64::from(SLOTS) * load * 1_000.0 / account.mean_ms();
    account.jobs_per_s = tasks_per_s / account.mean_tasks();
    account
}

/// Returns a run without faults, whose callers neither repeat requests nor time out.
fn fault_free(seed: u64, accounts: Vec<AccountLoad>) -> World {
    World::new(Scenario {
        seed,
        sizes: SIZES,
        delays: default_delays(),
        accounts,
        caller_behaviour: CallerBehaviour {
            timeout_range_ms: (30_000, 30_001),
            duplicate_probability: 0.0,
            late_resend_probability: 0.0,
            conflict_probability: 0.0,
            retry_probability: 0.0,
        },
        load_ms: LOAD_MS,
        tail_ms: 32_000,
        warm_up_ms: WARM_UP_MS,
        planned: Vec::new(),
        fault_every_ms: 0,
        change_every_ms: 0,
        tuning: Tuning::default(),
        safeguards: Safeguards::default(),
    })
}

fn mixed_load_report(load: f64) -> Report {
    fault_free(SEED, vec![mixed("mixed", load, 10_000)]).run().0
}

/// Returns the ratios of an ideal first-come, first-served dispatcher on the same jobs as
/// [`mixed_load_report`].
fn oracle_ratios(load: f64) -> Ratios {
    let mut world = fault_free(SEED, vec![mixed("mixed", load, 10_000)]);
    world.run_until(Time::from_millis(START_MS + LOAD_MS));
    let delays = default_delays();
    oracle::run(
        &world.trace(),
        SLOTS,
        2 * (delays.caller_us + delays.within_hall_us),
    )
}

fn wasted_per_1000_starts(report: &Report) -> f64 {
    report.total_wasted() as f64 * 1_000.0 / report.tasks_started.max(1) as f64
}

#[test]
fn few_messages_are_wasted_at_80_percent_load() {
    let wasted = wasted_per_1000_starts(&mixed_load_report(0.8));
    assert!(wasted < 10.0, "{wasted}");
}

#[test]
fn p99_at_80_percent_load_is_below_first_come_first_served() {
    let p99 = mixed_load_report(0.8).total().ratios.quantile(0.99);
    let perfect = oracle_ratios(0.8).quantile(0.99);
    assert!(p99 < perfect, "{p99}, {perfect}");
}

#[test]
fn fewer_messages_are_wasted_at_50_percent_load() {
    let wasted = wasted_per_1000_starts(&mixed_load_report(0.5));
    assert!(wasted < 3.0, "{wasted}");
}

#[test]
fn few_answers_are_late_under_overload() {
    let (report, _) = fault_free(SEED, vec![mixed("mixed", 1.2, 2_000)]).run();
    let total = report.total();
    let (late, complete) = (total.late, total.complete);
    assert!(late * 200 < complete, "{late} of {complete}");
}

/// Returns the results of an account that shares the system with one that has a quota of
/// 20 slots (4.9 % of all) and a demand of `load`. Pools four seeds, as the p99 of a single
/// seed varies too much.
fn neighbour_report(load: f64) -> AccountReport {
    let mut pooled = AccountReport::default();
    for seed in 1..=4 {
        let mut neighbour = mixed("neighbour", 0.5, 5_000);
        neighbour.quota_slots = 300;
        let mut greedy = mixed("greedy", load, 5_000);
        greedy.quota_slots = 20;
        let (report, _) = fault_free(seed, vec![neighbour, greedy]).run();
        let neighbour = &report.accounts["neighbour"];
        pooled.jobs += neighbour.jobs;
        pooled.complete += neighbour.complete;
        pooled.ratios.0 += &neighbour.ratios.0;
    }
    pooled
}

/// A demand of ten times the quota must not slow another account noticeably more than a
/// demand of the quota itself.
#[test]
fn demand_beyond_the_quota_does_not_slow_other_accounts() {
    let (at_quota, ten_times) = (neighbour_report(0.049), neighbour_report(0.49));
    let (before, after) = (
        at_quota.ratios.quantile(0.99),
        ten_times.ratios.quantile(0.99),
    );
    assert!(after < before * 1.1, "{before} {after}");
    let (complete, jobs) = (ten_times.complete, ten_times.jobs);
    assert!(complete * 50 > jobs * 49, "{complete} of {jobs}");
}
