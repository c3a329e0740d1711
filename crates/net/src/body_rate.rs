//! How fast long bodies are read.

use std::time::Duration;

/// How fast long bodies are read: what comes slower than the link could bring it leaves
/// room on the link for short messages, since the sender waits once the receiver's window
/// is full.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyRate {
    /// Bytes a second.
    pub bytes_per_s: u64,
}

/// The first bytes of a body, that are read as they come: most replies are shorter.
const FREE_BYTES: usize = 32 * 1024;

impl BodyRate {
    /// Returns how long to wait after a part of a body, given what came before it.
    pub(crate) fn pause_after(self, before: usize, part: usize) -> Option<Duration> {
        let counted = (before + part).saturating_sub(before.max(FREE_BYTES));
        let micros = counted as u64 * 1_000_000 / self.bytes_per_s.max(1);
        (micros > 0).then(|| Duration::from_micros(micros))
    }
}
