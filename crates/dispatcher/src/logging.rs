//! Sets up the log: JSON lines on the standard output, dropped rather than blocking when the
//! reader is slow.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::settings::LogSettings;

/// Keeps the log's writer thread running. Dropping it flushes the log, so it is dropped last.
pub struct Log {
    /// Counts the lines that were dropped because the reader was too slow.
    pub dropped: ErrorCounter,
    _guard: WorkerGuard,
}

/// Installs the process's log.
///
/// # Errors
///
/// Fails if the level isn't a valid filter, or if a log is installed already.
pub fn init(settings: &LogSettings) -> anyhow::Result<Log> {
    let filter: EnvFilter = settings.level.parse()?;
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(settings.waiting_lines)
        .finish(std::io::stdout());
    let dropped = writer.error_counter();
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(writer)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .try_init()
        .map_err(|error| anyhow::anyhow!(error))?;
    Ok(Log {
        dropped,
        _guard: guard,
    })
}
