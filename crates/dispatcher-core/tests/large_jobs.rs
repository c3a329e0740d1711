//! Jobs of many tasks: their cost, and what their starts take.

mod support;

use gannetridge_dispatcher_core::event::ListedOutcome;

use support::{case, ended, step, target, Rig};

// Guards against a cost that grows with the product of tasks and names of earlier steps: this one
// would take about a minute.
case!(tasks_after_a_step_that_is_named_often_are_started, {
    let mut rig = Rig::holding_targets(&[target("t", 16)]);
    let mut second = step(1_900, 16_000, 50);
    second.after = vec![0; 100_000];
    rig.submit(
        1,
        "0000000000000001",
        vec![step(1, 16_000, 50), second],
        60_000,
    );
    rig.advance(10);
    rig.idle_targets_answer();
    let (call, _, first) = rig.starts().remove(0);
    rig.listing(call, std::slice::from_ref(&first), &[]);
    rig.advance(300);
    let (call, _) = rig.renewals().remove(0);
    rig.listing(call, &[], &[ended(1, &first, ListedOutcome::Done)]);
    rig.advance(10);
    assert_eq!(rig.starts().len(), 1);
});

// Guards against tasks that take nothing of a target, and start all at once.
case!(unconfirmed_starts_at_one_target_are_limited, {
    let mut rig = Rig::holding_targets(&[target("t", 16)]);
    rig.submit(1, "0000000000000001", vec![step(500, 0, 50)], 60_000);
    rig.advance(10);
    rig.idle_targets_answer();
    rig.advance(50);
    assert_eq!(rig.starts().len(), 32);
});
