//! Log output of the process.

use tracing_subscriber::EnvFilter;

use crate::settings::{LogFormat, LogSettings};

/// Installs the global log subscriber, which writes to standard error.
///
/// # Errors
///
/// Returns an error if `level` isn't a valid filter, or a subscriber is installed already.
pub fn init(settings: &LogSettings) -> anyhow::Result<()> {
    let filter: EnvFilter = settings.level.parse()?;
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr);
    let installed = match settings.format {
        LogFormat::Text => builder.try_init(),
        LogFormat::Json => builder.json().flatten_event(true).try_init(),
    };
    installed.map_err(|error| anyhow::anyhow!(error))
}
