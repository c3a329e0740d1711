//! Lease and heartbeat times derived from a deployment's bounds.

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

/// Declares a test for each deployment's bounds.
macro_rules! times_are_safe {
    ($($name:ident: $bounds:expr;)+) => {
        $(#[test]
        fn $name() {
            let bounds = $bounds;
            let times = bounds.times().unwrap();
            // Attempts of a lost owner have ended before the caller sends the job again.
            let ended_after = times.owner_lease_ms
                + longest_on_true_clock(times.target_lease_ms)
                + bounds.stop_grace_ms;
            assert!(ended_after < bounds.retransmit_ms, "{times:?}");
            assert_eq!(ended_after, times.lost_attempts_over_ms);
            assert!(times.target_lease_ms <= bounds.max_target_lease_ms);
            // A lost heartbeat or a late renewal doesn't end an attempt.
            assert!(3 * times.heartbeat_ms < times.owner_lease_ms, "{times:?}");
            assert!(2 * times.long_poll_ms < times.target_lease_ms, "{times:?}");
        })+
    };
}

times_are_safe! {
    the_users_bounds: bounds(1_300, 1_000, 50);
    a_low_maximum_target_lease: bounds(1_300, 200, 50);
    a_short_retransmit_time: bounds(600, 1_000, 20);
    a_long_retransmit_time: bounds(10_000, 2_000, 500);
}

#[test]
fn a_retransmit_time_too_short_for_the_leases_is_rejected() {
    let times = bounds(300, 1_000, 50).times();
    assert!(matches!(times, Err(BoundsError::TooTight { .. })));
}
