//! Sets the log up: JSON lines on the standard output that never block.

use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::EnvFilter;

use crate::settings::LogSettings;

/// Keeps the log's writer going; dropped last, so that the last line is out.
pub struct Log {
    /// Counts the lines that were dropped, since their reader was too slow.
    pub dropped: ErrorCounter,
    _guard: WorkerGuard,
}

/// Writes log lines to the standard output from here on.
///
/// # Errors
///
/// Fails if the level is no filter, or a log was set up before.
pub fn start(settings: &LogSettings) -> anyhow::Result<Log> {
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
