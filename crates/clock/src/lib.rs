//! A clock that counts the time in which the host was suspended.
//!
//! While a host is suspended, its monotonic clock (`std::time::Instant`) stops, but the clocks
//! of other hosts and of targets go on. A host that measured leases by its monotonic clock
//! would use them after other hosts consider them expired. The time since boot
//! (`CLOCK_BOOTTIME`) includes suspension.
//!
//! Processes measure leases, deadlines and ages by [`Clock`]; tests supply other time sources.
//! Timers of the runtime follow the monotonic clock and may fire late after a suspension, so
//! the code that they wake has to read this clock.

use std::sync::Arc;
use std::time::Duration;

use nix::errno::Errno;
use nix::time::{clock_gettime, ClockId};
use thiserror::Error;

/// The error that the system lacks a clock that counts suspension.
#[derive(Clone, Copy, Debug, Error)]
#[error("no clock that counts suspension: {0}")]
pub struct ClockError(#[from] Errno);

/// Reads a time source.
type Source = Arc<dyn Fn() -> Duration + Send + Sync>;

/// The time since the clock was started, suspension included. Clones show the same time.
#[derive(Clone)]
pub struct Clock {
    since_boot: Source,
    monotonic: Source,
    started: Duration,
    /// How far the time since boot was ahead of the monotonic clock at the start: the time
    /// for which the host was suspended before.
    initial_offset: Duration,
}

impl Clock {
    /// Starts a clock on the system's time sources.
    ///
    /// # Errors
    ///
    /// Fails if the system has no clock that counts suspension.
    pub fn start() -> Result<Self, ClockError> {
        clock_gettime(ClockId::CLOCK_BOOTTIME)?;
        clock_gettime(ClockId::CLOCK_MONOTONIC)?;
        let read = |id| move || read_checked_clock(id);
        let clock = Self::with_sources(
            read(ClockId::CLOCK_BOOTTIME),
            read(ClockId::CLOCK_MONOTONIC),
        );
        Ok(clock)
    }

    /// Starts a clock that reads the time since boot and the monotonic clock from the given
    /// sources.
    pub fn with_sources(
        since_boot: impl Fn() -> Duration + Send + Sync + 'static,
        monotonic: impl Fn() -> Duration + Send + Sync + 'static,
    ) -> Self {
        let mut clock = Self {
            started: since_boot(),
            since_boot: Arc::new(since_boot),
            monotonic: Arc::new(monotonic),
            initial_offset: Duration::ZERO,
        };
        clock.initial_offset = clock.offset();
        clock
    }

    /// Returns the time since the clock was started, suspension included.
    #[must_use]
    pub fn now(&self) -> Duration {
        (self.since_boot)().saturating_sub(self.started)
    }

    /// Returns the total time for which the host was suspended since the clock was started.
    #[must_use]
    pub fn suspended_time(&self) -> Duration {
        self.offset().saturating_sub(self.initial_offset)
    }

    /// Returns how far the time since boot is ahead of the monotonic clock. The monotonic clock
    /// is read last, so that a process that is paused between the two reads doesn't appear to
    /// have been suspended.
    fn offset(&self) -> Duration {
        let since_boot = (self.since_boot)();
        since_boot.saturating_sub((self.monotonic)())
    }
}

/// Reads a clock of the system that is known to exist.
fn read_checked_clock(id: ClockId) -> Duration {
    clock_gettime(id)
        .expect("a clock that could be read once can be read again")
        .into()
}
