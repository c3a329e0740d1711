//! The process's clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use gannetridge_entry_wire::Time;

/// Wall-clock time that never goes back: set once when the process starts, and
/// moved on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    base: Time,
    started: Instant,
}

impl Clock {
    /// Starts a clock at the system's time.
    #[must_use]
    pub fn start() -> Self {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(0, |d| d.as_micros() as u64);
        Self {
            base: Time(micros),
            started: Instant::now(),
        }
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.base
            .plus_micros(self.started.elapsed().as_micros() as u64)
    }

    /// Returns how long it is until `time`, nothing if it has passed.
    #[must_use]
    pub fn until(&self, time: Time) -> std::time::Duration {
        std::time::Duration::from_micros(time.micros_since(self.now()))
    }
}
