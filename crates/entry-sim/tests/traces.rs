//! Recorded traces with their stated outcomes: planned events with a seed,
//! replayed, and what came of the jobs.

use gannetridge_entry_sim::chaos::scenario;
use gannetridge_entry_sim::scenario::Planned;
use gannetridge_entry_sim::world::World;

/// Declares tests, each a name and the events of its trace.
macro_rules! traces {
    ($($name:ident: $planned:expr;)+) => {
        $(#[test]
        fn $name() {
            insta::assert_snapshot!(stringify!($name), outcome($planned));
        })+
    };
}

fn outcome(planned: Vec<Planned>) -> String {
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
    owner_killed: vec![Planned::KillHost { at_ms: 10_000, back_ms: 18_000 }];
    platform_out: vec![Planned::Outage { from_ms: 8_000, to_ms: 25_000 }];
    hall_cut: vec![Planned::CutHall { from_ms: 10_000, to_ms: 20_000 }];
    hall_emptied: vec![Planned::Drain { at_ms: 10_000 }];
    rolling_restart: vec![Planned::RollingRestart { from_ms: 8_000, every_ms: 3_000 }];
}
