//! Signals, recorded as flags that the task that owns the dispatcher checks: SIGTERM and
//! SIGINT shut the host down gracefully, SIGHUP reloads the settings file.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use anyhow::Context;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// The signals that were received and not yet handled.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Registers the signal handlers.
    ///
    /// # Errors
    ///
    /// Fails if a handler can't be registered.
    pub fn listen() -> anyhow::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())
                .context("can't register a handler for the stop signals")?;
        }
        signal_hook::flag::register(SIGHUP, signals.reload.clone())
            .context("can't register a handler for SIGHUP")?;
        Ok(signals)
    }

    /// Returns true if a stop signal was received since the last call.
    #[must_use]
    pub fn take_stop(&self) -> bool {
        self.stop.swap(false, Ordering::Relaxed)
    }

    /// Returns true if a reload signal was received since the last call.
    #[must_use]
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
