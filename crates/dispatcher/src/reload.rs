//! Reloads the settings file, on request and at intervals.

use std::path::{Path, PathBuf};

use gannetridge_dispatcher_core::Millis;
use tracing::{info, warn};

use crate::settings::Settings;

/// The settings file is checked at this interval, since it may change without a signal.
const CHECK_INTERVAL_MS: Millis = 2_000;

/// Reads the settings file again and reports changed settings.
pub struct Reloader {
    path: PathBuf,
    current: Settings,
    next_check_ms: Millis,
}

impl Reloader {
    /// Creates a reloader whose current settings were read from `path`.
    #[must_use]
    pub fn new(path: &Path, current: Settings) -> Self {
        Self {
            path: path.to_owned(),
            current,
            next_check_ms: 0,
        }
    }

    /// Reads the file if that was requested or a check is due. Returns the new settings if
    /// they have changed. An invalid file is logged and otherwise ignored.
    pub fn reload(&mut self, now: Millis, requested: bool) -> Option<&Settings> {
        if !requested && now < self.next_check_ms {
            return None;
        }
        self.next_check_ms = now + CHECK_INTERVAL_MS;
        let read: Settings = match gannetridge_process::settings::read(&self.path) {
            Ok(read) => read,
            Err(error) => {
                warn!(event = "reload-failed", error = %format!("{error:#}"));
                return None;
            }
        };
        let changed = read != self.current;
        if requested || changed {
            info!(event = "reload", asked = requested, changed);
        }
        if !changed {
            return None;
        }
        self.current = read;
        Some(&self.current)
    }
}
