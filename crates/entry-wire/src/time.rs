//! Wall-clock time in messages.

use serde::{Deserialize, Serialize};

/// A wall-clock time in microseconds since the Unix epoch.
///
/// The clocks of hosts, targets and the platform may differ by up to the skew
/// bound in the settings.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(pub u64);

impl Time {
    /// The Unix epoch, earlier than any event.
    pub const ZERO: Self = Self(0);
    /// Later than any event.
    pub const MAX: Self = Self(u64::MAX);

    /// Converts from milliseconds since the Unix epoch.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Returns whole milliseconds since the Unix epoch.
    #[must_use]
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time `ms` milliseconds later.
    #[must_use]
    pub const fn plus_millis(self, ms: u64) -> Self {
        Self(self.0.saturating_add(ms.saturating_mul(1_000)))
    }

    /// Returns the time `us` microseconds later.
    #[must_use]
    pub const fn plus_micros(self, us: u64) -> Self {
        Self(self.0.saturating_add(us))
    }

    /// Returns the time `ms` milliseconds earlier, at least the Unix epoch.
    #[must_use]
    pub const fn minus_millis(self, ms: u64) -> Self {
        Self(self.0.saturating_sub(ms.saturating_mul(1_000)))
    }

    /// Returns the microseconds from `earlier` to `self`, or 0 if `earlier` is
    /// later.
    #[must_use]
    pub const fn micros_since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the milliseconds from `earlier` to `self`, or 0 if `earlier` is
    /// later.
    #[must_use]
    pub const fn millis_since(self, earlier: Self) -> u64 {
        self.micros_since(earlier) / 1_000
    }
}
