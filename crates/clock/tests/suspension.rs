//! Tests of the clock on a suspended host: the monotonic clock stops, the time since boot
//! goes on.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use gannetridge_clock::Clock;

const RUN_TIME: Duration = Duration::from_millis(40);
const SUSPENSION: Duration = Duration::from_secs(3);

/// The simulated system clocks: the time since boot and the monotonic clock.
#[derive(Clone, Default)]
struct SystemClocks(Arc<Mutex<(Duration, Duration)>>);

impl SystemClocks {
    /// Starts a clock on a host that was suspended before.
    fn start_clock() -> (Self, Clock) {
        let system = Self::default();
        system.suspend();
        let (since_boot, monotonic) = (system.clone(), system.clone());
        let clock = Clock::with_sources(
            move || since_boot.0.lock().unwrap().0,
            move || monotonic.0.lock().unwrap().1,
        );
        (system, clock)
    }

    fn run(&self) {
        let mut clocks = self.0.lock().unwrap();
        clocks.0 += RUN_TIME;
        clocks.1 += RUN_TIME;
    }

    fn suspend(&self) {
        self.0.lock().unwrap().0 += SUSPENSION;
    }
}

#[test]
fn the_time_starts_at_zero() {
    let (_, clock) = SystemClocks::start_clock();
    assert_eq!(clock.now(), Duration::ZERO);
    assert_eq!(clock.suspended_time(), Duration::ZERO);
}

#[test]
fn the_time_goes_on_while_the_host_is_suspended() {
    let (system, clock) = SystemClocks::start_clock();
    system.run();
    system.suspend();
    assert_eq!(clock.now(), RUN_TIME + SUSPENSION);
    assert_eq!(clock.suspended_time(), SUSPENSION);
}

#[test]
fn no_suspension_is_counted_while_the_host_runs() {
    let (system, clock) = SystemClocks::start_clock();
    system.run();
    assert_eq!(clock.now(), RUN_TIME);
    assert_eq!(clock.suspended_time(), Duration::ZERO);
}

#[test]
fn clones_show_the_same_time() {
    let (system, clock) = SystemClocks::start_clock();
    let clone = clock.clone();
    system.suspend();
    assert_eq!(clone.now(), clock.now());
}

#[test]
fn the_system_clocks_can_be_read() {
    let clock = Clock::start().expect("the system clocks");
    let before = clock.now();
    assert!(clock.now() >= before);
}
