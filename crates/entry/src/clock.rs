//! The process's clock.

use std::time::{SystemTime, UNIX_EPOCH};

use gannetridge_clock::ClockError;
use gannetridge_entry_wire::Time;

/// Wall-clock time that never goes back: set once when the process starts, and
/// moved on by a clock that counts the host's suspension.
#[derive(Clone)]
pub struct Clock {
    base: Time,
    since_start: gannetridge_clock::Clock,
}

impl Clock {
    /// Starts a clock at the system's time.
    ///
    /// # Errors
    ///
    /// Fails if the system has no clock that counts suspension.
    pub fn start() -> Result<Self, ClockError> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(0, |d| d.as_micros() as u64);
        Ok(Self {
            base: Time(micros),
            since_start: gannetridge_clock::Clock::start()?,
        })
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.base
            .plus_micros(self.since_start.now().as_micros() as u64)
    }

    /// Returns how long it is until `time`, nothing if it has passed.
    #[must_use]
    pub fn until(&self, time: Time) -> std::time::Duration {
        std::time::Duration::from_micros(time.micros_since(self.now()))
    }
}
