//! Times that follow from a deployment's bounds.

use gannetridge_dispatcher_core::rules::leases::longest_on_true_clock;
use gannetridge_dispatcher_core::{Bounds, BoundsError};

fn bounds(retransmit_ms: u64, max_target_lease_ms: u64, stop_grace_ms: u64) -> Bounds {
    Bounds {
        retransmit_ms,
        max_target_lease_ms,
        stop_grace_ms,
        grace_period_ms: 6_000,
        drain_ms: 2_000,
    }
}

/// Declares tests, each a name and the bounds of a deployment.
macro_rules! times_hold {
    ($($name:ident: $bounds:expr;)+) => {
        $(#[test]
        fn $name() {
            let bounds = $bounds;
            let times = bounds.times().unwrap();
            // An attempt whose owner is gone is over before its caller comes again.
            let over = times.owner_lease + longest_on_true_clock(times.target_lease) + bounds.stop_grace_ms;
            assert!(over < bounds.retransmit_ms, "{times:?}");
            assert_eq!(over, times.lost_attempts_over);
            assert!(times.target_lease <= bounds.max_target_lease_ms);
            // Neither a lost heartbeat nor a late renewal ends an attempt.
            assert!(3 * times.heartbeat < times.owner_lease, "{times:?}");
            assert!(2 * times.long_poll < times.target_lease, "{times:?}");
        })+
    };
}

times_hold! {
    the_users_bounds: bounds(1_300, 1_000, 50);
    short_leases: bounds(1_300, 200, 50);
    callers_in_a_hurry: bounds(600, 1_000, 20);
    patient_callers: bounds(10_000, 2_000, 500);
}

#[test]
fn callers_that_come_too_soon_are_refused_at_the_start() {
    let refused = bounds(300, 1_000, 50).times();
    assert!(matches!(refused, Err(BoundsError::TooTight { .. })));
}
