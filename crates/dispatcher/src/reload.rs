//! Reads the settings file again when it may have changed.

use std::path::{Path, PathBuf};

use gannetridge_dispatcher_core::Millis;
use tracing::{info, warn};

use crate::settings::Settings;

/// Between looks at the settings file, which may change without a signal, in ms.
/// Chosen, not measured.
const LOOK_MS: Millis = 2_000;

/// Reads the settings file again when it may have changed.
pub struct Reloader {
    path: PathBuf,
    current: Settings,
    next_look: Millis,
}

impl Reloader {
    /// Starts from settings that were read from `path`.
    #[must_use]
    pub fn new(path: &Path, current: Settings) -> Self {
        Self {
            path: path.to_owned(),
            current,
            next_look: 0,
        }
    }

    /// Reads the file if asked to, or if it is time; returns changed settings. A file
    /// with faults changes nothing.
    pub fn reload(&mut self, now: Millis, asked: bool) -> Option<&Settings> {
        if !asked && now < self.next_look {
            return None;
        }
        self.next_look = now + LOOK_MS;
        let read: Settings = match gannetridge_process::settings::read(&self.path) {
            Ok(read) => read,
            Err(error) => {
                warn!(event = "reload-failed", error = %format!("{error:#}"));
                return None;
            }
        };
        let changed = read != self.current;
        if asked || changed {
            info!(event = "reload", asked, changed);
        }
        if !changed {
            return None;
        }
        self.current = read;
        Some(&self.current)
    }
}
