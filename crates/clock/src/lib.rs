//! The time of a process, the time in which its host was suspended included.
//!
//! A host may be suspended for seconds. Its steady clock (`std::time::Instant`) stands still
//! meanwhile, those of other hosts and of targets go on: a host that reckoned leases by its
//! steady clock would go on holding them after others took them for over. The time since the
//! host's start (`CLOCK_BOOTTIME`) goes on.
//!
//! [`Clock`] is what a process reckons leases, deadlines and ages by; tests give it sources
//! of their own. Timers of the runtime follow the steady clock and may fire late after a
//! suspension: whoever they wake asks the clock.

use std::sync::Arc;
use std::time::Duration;

use nix::errno::Errno;
use nix::time::{clock_gettime, ClockId};
use thiserror::Error;

/// The system has no clock that goes on while the host is suspended.
#[derive(Clone, Copy, Debug, Error)]
#[error("no clock that counts suspension: {0}")]
pub struct ClockError(#[from] Errno);

/// Reads one clock of the system.
type Source = Arc<dyn Fn() -> Duration + Send + Sync>;

/// The time of a process since the clock was started. Clones show the same time.
#[derive(Clone)]
pub struct Clock {
    since_boot: Source,
    steady: Source,
    started: Duration,
    /// How far the time since boot was ahead of the steady clock at the start.
    ahead: Duration,
}

impl Clock {
    /// Starts a clock.
    ///
    /// # Errors
    ///
    /// Fails if the system has no clock that counts suspension.
    pub fn start() -> Result<Self, ClockError> {
        clock_gettime(ClockId::CLOCK_BOOTTIME)?;
        clock_gettime(ClockId::CLOCK_MONOTONIC)?;
        let read = |id| move || read_again(id);
        let clock = Self::with_sources(
            read(ClockId::CLOCK_BOOTTIME),
            read(ClockId::CLOCK_MONOTONIC),
        );
        Ok(clock)
    }

    /// Starts a clock that reads the time since boot and the steady clock from sources of the
    /// caller's own.
    pub fn with_sources(
        since_boot: impl Fn() -> Duration + Send + Sync + 'static,
        steady: impl Fn() -> Duration + Send + Sync + 'static,
    ) -> Self {
        let mut clock = Self {
            started: since_boot(),
            since_boot: Arc::new(since_boot),
            steady: Arc::new(steady),
            ahead: Duration::ZERO,
        };
        clock.ahead = clock.ahead_now();
        clock
    }

    /// Returns the time since the clock was started, suspension included.
    #[must_use]
    pub fn now(&self) -> Duration {
        (self.since_boot)().saturating_sub(self.started)
    }

    /// Returns how long the host was suspended since the clock was started.
    #[must_use]
    pub fn suspended_time(&self) -> Duration {
        self.ahead_now().saturating_sub(self.ahead)
    }

    /// Returns how far the time since boot is ahead of the steady clock. The steady clock is
    /// read last: a process that doesn't run for a moment between the two isn't taken for a
    /// suspended host.
    fn ahead_now(&self) -> Duration {
        let since_boot = (self.since_boot)();
        since_boot.saturating_sub((self.steady)())
    }
}

/// Reads a clock that could be read before.
fn read_again(id: ClockId) -> Duration {
    clock_gettime(id)
        .expect("a clock that could be read once can be read again")
        .into()
}
