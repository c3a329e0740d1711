//! Targets whose reported capacities add up to more than a 32-bit number holds.

mod support;

use gannetridge_dispatcher_core::event::TargetEntry;
use gannetridge_dispatcher_core::settings::{Scheduling, WaitingAt, WaitingOrder};
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::Settings;
use support::{case, settings, step, target, Rig};

fn largest(id: &str) -> TargetEntry {
    TargetEntry {
        capacity: Resources {
            cpu: u32::MAX,
            memory_mb: u32::MAX,
            gpus: u32::MAX,
        },
        ..target(id, 1)
    }
}

/// Starts, ends and sums up tasks on three targets of the largest capacity.
fn check(settings: Settings) {
    let targets = [largest("a"), largest("b"), largest("c")];
    let mut rig = Rig::holding_targets_with(settings, &targets);
    let large = step(3, u32::MAX, 400);
    rig.submit(1, "0000000000000001", vec![large], 1_500);
    rig.submit(2, "0000000000000002", vec![step(4, u32::MAX, 400)], 1_500);
    rig.advance(300);
    assert_eq!(rig.starts().len(), 3);
    assert_eq!(rig.host.counts(rig.now).targets_leased, 3);
}

// Guards against sums that overflow: a host that ends, or takes its targets for full.
case!(sums_of_large_capacities_do_not_overflow, {
    check(settings());
});

case!(sums_at_holders_do_not_overflow, {
    check(Settings {
        scheduling: Scheduling {
            waiting_at: WaitingAt::Holder,
            order: WaitingOrder::Shares,
            ..Scheduling::default()
        },
        ..settings()
    });
});
