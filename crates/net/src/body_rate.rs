//! Limits the rate at which long bodies are read.

use std::time::Duration;

/// The highest rate at which long bodies are read. A rate below the link's leaves capacity
/// for short messages: the sender pauses once the receive window is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyRate {
    /// In bytes per second; zero counts as one.
    pub bytes_per_s: u64,
}

/// The first bytes of a body, which are read without a limit: most replies are shorter.
const UNLIMITED_BYTES: usize = 32 * 1024;

impl BodyRate {
    /// Returns the pause after reading `part` bytes of a body of which `before` bytes were read
    /// earlier, if there is one.
    pub(crate) fn pause_after(self, before: usize, part: usize) -> Option<Duration> {
        let limited = (before + part).saturating_sub(before.max(UNLIMITED_BYTES));
        let micros = limited as u64 * 1_000_000 / self.bytes_per_s.max(1);
        (micros > 0).then(|| Duration::from_micros(micros))
    }
}
