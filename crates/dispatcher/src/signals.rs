//! Signals, as flags that the task that owns the dispatcher looks at: SIGTERM and SIGINT
//! stop the host in order, SIGHUP has the settings file read again.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

use anyhow::Context;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};

/// The signals that came.
#[derive(Clone, Debug, Default)]
pub struct Signals {
    stop: Arc<AtomicBool>,
    reload: Arc<AtomicBool>,
}

impl Signals {
    /// Listens for signals from here on.
    ///
    /// # Errors
    ///
    /// Fails if the operating system takes no handler.
    pub fn listen() -> anyhow::Result<Self> {
        let signals = Self::default();
        for signal in [SIGTERM, SIGINT] {
            signal_hook::flag::register(signal, signals.stop.clone())
                .context("can't listen for the signal to stop")?;
        }
        signal_hook::flag::register(SIGHUP, signals.reload.clone())
            .context("can't listen for the signal to reload")?;
        Ok(signals)
    }

    /// Tells once whether the process was asked to stop.
    #[must_use]
    pub fn take_stop(&self) -> bool {
        self.stop.swap(false, Ordering::Relaxed)
    }

    /// Tells once whether the settings file is said to have changed.
    #[must_use]
    pub fn take_reload(&self) -> bool {
        self.reload.swap(false, Ordering::Relaxed)
    }
}
