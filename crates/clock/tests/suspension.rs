//! A host that is suspended: its steady clock stands still, the time since its start jumps.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use gannetridge_clock::Clock;

const STEP: Duration = Duration::from_millis(40);
const GAP: Duration = Duration::from_secs(3);

/// The system's clocks, as a test sets them.
#[derive(Clone, Default)]
struct System(Arc<Mutex<(Duration, Duration)>>);

impl System {
    /// Starts a clock on a host that was suspended before already.
    fn clock() -> (Self, Clock) {
        let system = Self::default();
        system.suspend();
        let (since_boot, steady) = (system.clone(), system.clone());
        let clock = Clock::with_sources(
            move || since_boot.0.lock().unwrap().0,
            move || steady.0.lock().unwrap().1,
        );
        (system, clock)
    }

    fn run(&self) {
        let mut clocks = self.0.lock().unwrap();
        clocks.0 += STEP;
        clocks.1 += STEP;
    }

    fn suspend(&self) {
        self.0.lock().unwrap().0 += GAP;
    }
}

#[test]
fn the_time_begins_with_the_process() {
    let (_, clock) = System::clock();
    assert_eq!(clock.now(), Duration::ZERO);
    assert_eq!(clock.suspended_time(), Duration::ZERO);
}

#[test]
fn the_time_goes_on_while_the_host_is_suspended() {
    let (system, clock) = System::clock();
    system.run();
    system.suspend();
    assert_eq!(clock.now(), STEP + GAP);
    assert_eq!(clock.suspended_time(), GAP);
}

#[test]
fn a_process_that_merely_runs_was_not_suspended() {
    let (system, clock) = System::clock();
    system.run();
    assert_eq!(clock.now(), STEP);
    assert_eq!(clock.suspended_time(), Duration::ZERO);
}

#[test]
fn clones_show_the_same_time() {
    let (system, clock) = System::clock();
    let clone = clock.clone();
    system.suspend();
    assert_eq!(clone.now(), clock.now());
}

#[test]
fn the_systems_clocks_can_be_read() {
    let clock = Clock::start().expect("the system has them");
    let before = clock.now();
    assert!(clock.now() >= before);
}
