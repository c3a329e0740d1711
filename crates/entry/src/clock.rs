//! Wall-clock time of the process.

use std::time::{SystemTime, UNIX_EPOCH};

use gannetridge_clock::ClockError;
use gannetridge_entry_wire::Time;

/// Wall-clock time that never goes back. It is read from the system once, at the start,
/// and then advanced by a monotonic clock that includes time in suspension.
#[derive(Clone)]
pub struct Clock {
    base: Time,
    since_start: gannetridge_clock::Clock,
}

impl Clock {
    /// Starts a clock at the system's current time.
    ///
    /// # Errors
    ///
    /// Returns an error if the system has no monotonic clock that includes suspension.
    pub fn start() -> Result<Self, ClockError> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let micros = since_epoch.map_or(0, |d| d.as_micros() as u64);
        Ok(Self {
            base: Time(micros),
            since_start: gannetridge_clock::Clock::start()?,
        })
    }

    /// Returns the current time.
    #[must_use]
    pub fn now(&self) -> Time {
        self.base
            .plus_micros(self.since_start.now().as_micros() as u64)
    }

    /// Returns the time left until `time`, or zero if it has passed.
    #[must_use]
    pub fn duration_until(&self, time: Time) -> std::time::Duration {
        std::time::Duration::from_micros(time.micros_since(self.now()))
    }
}
