//! Jobs complete during planned restarts, outages and drains when nothing else fails.

use gannetridge_entry_sim::chaos::scenario;
use gannetridge_entry_sim::checks::Violation;
use gannetridge_entry_sim::report::Report;
use gannetridge_entry_sim::scenario::{PlannedEvent, Scenario};
use gannetridge_entry_sim::world::World;

/// Declares tests, each with planned events and a check of the report for four seeds.
macro_rules! planned_event_runs {
    ($($(#[$doc:meta])* $name:ident: $planned:expr => $check:expr;)+) => {
        $($(#[$doc])* #[test]
        fn $name() {
            for seed in 1..=4 {
                let report = run(seed, $planned);
                let check: fn(&Report) = $check;
                check(&report);
            }
        })+
    };
}

fn without_random_faults(seed: u64, planned: Vec<PlannedEvent>) -> Scenario {
    let mut planned_run = scenario(seed, 40_000, Default::default());
    planned_run.warm_up_ms = 6_000;
    planned_run.fault_every_ms = 0;
    planned_run.change_every_ms = 0;
    planned_run.planned = planned;
    planned_run.caller_behaviour.duplicate_probability = 0.0;
    planned_run.caller_behaviour.late_resend_probability = 0.0;
    planned_run.caller_behaviour.conflict_probability = 0.0;
    planned_run.caller_behaviour.timeout_range_ms = (20_000, 20_001);
    for account in &mut planned_run.accounts {
        account.jobs_per_s = 1.0;
    }
    planned_run
}

fn run(seed: u64, planned: Vec<PlannedEvent>) -> Report {
    let (report, checks) = World::new(without_random_faults(seed, planned)).run();
    assert_eq!(checks.violations, [], "seed {seed}");
    report
}

/// Asserts that every measured job was answered with results.
fn assert_all_complete(report: &Report) {
    let total = report.total();
    let text = format!("{:?} {:?}", report.causes, report.reasons);
    assert!(total.jobs > 30);
    assert_eq!((total.failed, report.pending), (0, 0), "{text}");
}

planned_event_runs! {
    all_jobs_complete_without_events: vec![] => assert_all_complete;
    all_jobs_complete_during_a_rolling_restart:
        vec![PlannedEvent::RollingRestart { from_ms: 8_000, every_ms: 4_000 }] => assert_all_complete;
    /// Restarted hosts must take shards over from those that stop next although no row
    /// names them. Moments without an owner may refuse jobs as not run.
    no_job_fails_when_hosts_restart_during_an_outage:
        vec![
            PlannedEvent::Outage { from_ms: 8_000, to_ms: 36_000 },
            PlannedEvent::RollingRestart { from_ms: 10_000, every_ms: 4_000 },
        ] => |report| {
            let total = report.total();
            let text = format!("{:?} {:?}", report.causes, report.reasons);
            assert_eq!(total.failed, 0, "{text}");
            assert!(total.complete * 20 > total.jobs * 19, "{} of {}: {text}", total.complete, total.jobs);
        };
    all_jobs_complete_during_an_outage:
        vec![PlannedEvent::Outage { from_ms: 8_000, to_ms: 36_000 }] => assert_all_complete;
    all_jobs_complete_while_targets_leave:
        vec![PlannedEvent::LeavingByList { every: 3, at_ms: 10_000 }] => assert_all_complete;
    all_jobs_complete_while_a_hall_is_drained:
        vec![PlannedEvent::Drain { at_ms: 10_000 }] => assert_all_complete;
}

/// Shows that the check for leaving targets can fail. Random faults delay updates too
/// often for the randomised runs to show it.
#[test]
fn a_host_that_starts_tasks_on_leaving_targets_is_detected() {
    let planned = vec![PlannedEvent::LeavingByList {
        every: 3,
        at_ms: 10_000,
    }];
    let mut scenario = without_random_faults(1, planned);
    scenario.safeguards.exclude_leaving_targets = false;
    let (_, checks) = World::new(scenario).run();
    let found = |v: &Violation| matches!(v, Violation::StartOnLeaving(_));
    assert!(checks.violations.iter().any(found), "{:?}", checks.counts());
}
