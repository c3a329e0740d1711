//! How long to wait between reads of the platform's tables, and how much comes at a time.

use std::time::Duration;

use gannetridge_dispatcher_core::Millis;

use crate::platform_client::Table;

/// The targets' table, whose rows change all the time, is read this often in the time
/// in which a leaving target has to be known. Half of the calls of reads
/// without a pause.
const READS_PER_DRAIN: Millis = 4;
/// The longest pause between reads of the targets' table, in ms: rarer reads would
/// save little. Chosen, not measured.
const LONGEST_PAUSE_MS: Millis = 750;
/// Between two reads of the targets' table so much comes that it takes the host's link for no
/// longer than this, in ms: whatever comes meanwhile waits behind it. On links of 2 Mbit/s an
/// answer after 750 ms, of 28 KB with 126 targets, took the link for 113 ms, longer than a
/// target's reply is awaited, and targets counted as silent. The figure was chosen.
const LONGEST_ANSWER_MS: f64 = 20.0;
/// The shortest pause between reads of the targets' table, in ms: rows change singly, so that
/// shorter ones only cost calls. Chosen, not measured.
const SHORTEST_PAUSE_MS: f64 = 150.0;

/// Returns how long to wait between reads of a table.
#[must_use]
pub fn pause_between_reads(table: Table, drain_ms: Millis) -> Duration {
    match table {
        Table::Configuration | Table::Hosts => Duration::ZERO,
        Table::Targets => Duration::from_millis((drain_ms / READS_PER_DRAIN).min(LONGEST_PAUSE_MS)),
    }
}

/// Returns how long to wait until the next read of a table, if the last one brought
/// `bytes` that had come up in the time `took` on a link of `bytes_per_s`.
#[must_use]
pub fn pause_after(longest: Duration, bytes: u64, took: Duration, bytes_per_s: u64) -> Duration {
    let came_per_ms = bytes as f64 / took.as_millis().max(1) as f64;
    let link_per_ms = bytes_per_s as f64 / 1_000.0;
    let pause_ms = LONGEST_ANSWER_MS * link_per_ms / came_per_ms.max(f64::MIN_POSITIVE);
    let pause_ms = pause_ms.max(SHORTEST_PAUSE_MS);
    longest.min(Duration::from_secs_f64(pause_ms.min(1e6) / 1_000.0))
}
