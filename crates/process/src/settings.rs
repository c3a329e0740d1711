//! Reads a process's TOML settings file.

use std::path::Path;

use serde::de::DeserializeOwned;
use thiserror::Error;

/// Why a settings file can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}")]
    Read {
        /// The file.
        path: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is no TOML, has an unknown key or a wrong value.
    #[error("{path}: {message}")]
    Parse {
        /// The file.
        path: String,
        /// The position and what is wrong there.
        message: String,
    },
}

/// Reads settings; the type refuses unknown keys.
///
/// # Errors
///
/// Fails if the file can't be read or doesn't fit the type.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let shown = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: shown.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|error| SettingsError::Parse {
        path: shown,
        message: error.to_string(),
    })
}
