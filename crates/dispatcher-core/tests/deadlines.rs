//! Deadlines that callers set.

mod support;

use gannetridge_dispatcher_core::Millis;

use support::{case, step, target, Rig};

// Guards against a sum of times that overflows.
case!(a_deadline_beyond_any_time_counts_as_a_day, {
    let mut rig = Rig::holding_targets(&[target("t", 16)]);
    let steps = vec![step(100, 16_000, 50)];
    rig.submit(1, "0000000000000001", steps, Millis::MAX);
    assert_eq!(rig.answer_to(1), None);
    rig.advance(1_000);
    assert_eq!(rig.answer_to(1), None);
});
