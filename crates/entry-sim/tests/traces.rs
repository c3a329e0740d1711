//! Snapshots of the outcome of runs with one seed and planned events.

use gannetridge_entry_sim::chaos::scenario;
use gannetridge_entry_sim::scenario::PlannedEvent;
use gannetridge_entry_sim::world::World;

/// Declares tests, each with a name, which also names its snapshot, and planned events.
macro_rules! traces {
    ($($name:ident: $planned:expr;)+) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(stringify!($name), outcome($planned));
        })+
    };
}

fn outcome(planned: Vec<PlannedEvent>) -> String {
    let mut scenario = scenario(11, 30_000, Default::default());
    scenario.fault_every_ms = 0;
    scenario.planned = planned;
    let (report, checks) = World::new(scenario).run();
    let total = report.total();
    format!(
        "jobs {} complete {} failed {} refused {}\ncauses {:?}\nreasons {:?}\nchanges {:?}\nbegun {}\nviolations {:?}",
        total.jobs,
        total.complete,
        total.failed,
        total.refused,
        report.causes,
        report.reasons,
        report.changes,
        report.tasks_started,
        checks.violations
    )
}

traces! {
    quiet: vec![];
    owner_killed: vec![PlannedEvent::KillHost { at_ms: 10_000, back_ms: 18_000 }];
    platform_out: vec![PlannedEvent::Outage { from_ms: 8_000, to_ms: 25_000 }];
    hall_cut: vec![PlannedEvent::CutHall { from_ms: 10_000, to_ms: 20_000 }];
    hall_drained: vec![PlannedEvent::Drain { at_ms: 10_000 }];
    rolling_restart: vec![PlannedEvent::RollingRestart { from_ms: 8_000, every_ms: 3_000 }];
}
