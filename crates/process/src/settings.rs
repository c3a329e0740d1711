//! Reads settings files.

use std::path::Path;

use serde::de::DeserializeOwned;
use thiserror::Error;

/// The reason why a settings file can't be used.
#[derive(Debug, Error)]
pub enum SettingsError {
    /// The file can't be read.
    #[error("can't read {path}")]
    Read {
        /// The file's path, as given.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The file isn't TOML, or a key or value doesn't fit the settings' type.
    #[error("{path}: {message}")]
    Parse {
        /// The file's path, as given.
        path: String,
        /// The parser's message, with the position of the error.
        message: String,
    },
}

/// Reads settings from a TOML file. Unknown keys are an error if `T` denies them.
///
/// # Errors
///
/// Fails if the file can't be read or doesn't fit `T`.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<T, SettingsError> {
    let path_text = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|source| SettingsError::Read {
        path: path_text.clone(),
        source,
    })?;
    toml::from_str(&text).map_err(|error| SettingsError::Parse {
        path: path_text,
        message: error.to_string(),
    })
}
