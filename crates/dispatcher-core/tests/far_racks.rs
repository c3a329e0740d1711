//! The choice of a target for tasks whose data lies in one rack.

mod support;

use gannetridge_dispatcher_core::spec::StepSpec;
use gannetridge_dispatcher_core::Settings;
use support::{case, settings, step, target, Rig};

/// Starts one task whose data lies in rack r1, on a host with a wholly free target there and a
/// fuller one in rack r2; returns the target that it was started on.
fn chosen_target(far_slowdown: f64) -> String {
    let mut far = target("far", 16);
    far.labels = vec!["a".into(), "r2".into()];
    let host = Settings {
        far_slowdown,
        ..settings()
    };
    let mut rig = Rig::holding_targets_with(host, &[target("near", 64), far]);
    let task = StepSpec {
        rack: Some("r1".into()),
        ..step(1, 7_000, 300)
    };
    rig.submit(1, "0000000000000001", vec![task], 3_000);
    rig.starts().pop().expect("a start").1
}

case!(the_cost_of_a_far_rack_follows_the_setting, {
    assert_eq!(chosen_target(2.0), "near");
    assert_eq!(chosen_target(1.5), "near");
    // Where distance hardly matters, the fuller target is filled first.
    assert_eq!(chosen_target(1.05), "far");
});
