//! Computes the pauses between reads of the platform's tables, which also bound how much one
//! read returns.

use std::time::Duration;

use gannetridge_dispatcher_core::Millis;

use crate::platform_client::Table;

/// How often the table of targets is read within the time in which a leaving target has to be
/// noticed. Its rows change all the time, so that without a pause each read would follow the
/// last one at once.
const READS_PER_DRAIN: Millis = 4;
/// The longest pause between reads of the table of targets.
const MAX_PAUSE_MS: Millis = 750;
/// The longest time that one answer of the store should occupy the host's link. Replies of
/// targets queue behind it; on a slow link they would time out, and their targets would count
/// as silent. At 2 Mbit/s the changes of 750 ms among 126 targets, 28 KB, take 113 ms.
const MAX_LINK_TIME_MS: f64 = 20.0;
/// The shortest pause between reads of the table of targets on a slow link; shorter ones only
/// add calls.
const MIN_PAUSE_MS: f64 = 150.0;

/// Returns the longest pause between reads of a table.
#[must_use]
pub fn pause_between_reads(table: Table, drain_ms: Millis) -> Duration {
    match table {
        Table::Configuration | Table::Hosts => Duration::ZERO,
        Table::Targets => Duration::from_millis((drain_ms / READS_PER_DRAIN).min(MAX_PAUSE_MS)),
    }
}

/// Returns how long to wait until the next read of a table so that its answer doesn't occupy
/// the link for too long, up to `max_pause`. The last read returned `bytes` of changes that
/// had accumulated over `interval`; the link carries `link_bytes_per_s`.
#[must_use]
pub fn pause_after_read(
    max_pause: Duration,
    bytes: u64,
    interval: Duration,
    link_bytes_per_s: u64,
) -> Duration {
    let changed_bytes_per_ms = bytes as f64 / interval.as_millis().max(1) as f64;
    let link_bytes_per_ms = link_bytes_per_s as f64 / 1_000.0;
    let pause_ms =
        MAX_LINK_TIME_MS * link_bytes_per_ms / changed_bytes_per_ms.max(f64::MIN_POSITIVE);
    let pause_ms = pause_ms.max(MIN_PAUSE_MS);
    max_pause.min(Duration::from_secs_f64(pause_ms.min(1e6) / 1_000.0))
}
