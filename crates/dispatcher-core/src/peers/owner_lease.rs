//! Owner leases: see [`crate::rules::leases`].

use crate::Millis;

/// The lease under which a peer's attempts run on targets that this host holds.
///
/// The peer renews it by echoing this host's clock.
#[derive(Clone, Copy, Debug)]
pub struct OwnerLease {
    /// The peer's latest session; attempts of earlier ones are stopped.
    pub session: u64,
    /// When it expires, by the newest echo of this host's clock.
    until: Millis,
    /// Set when the expiry has been handled; the attempts under it are stopped then.
    expired: bool,
}

impl OwnerLease {
    /// Creates an expired lease, for a peer that has sent nothing yet.
    pub(super) fn expired() -> Self {
        Self {
            session: 0,
            until: 0,
            expired: true,
        }
    }

    /// Extends the lease to `until`; an earlier time doesn't shorten it.
    pub fn renew(&mut self, now: Millis, until: Millis) {
        self.until = self.until.max(until);
        self.expired &= until <= now;
    }

    /// Returns whether the lease hasn't expired, as of the last [`Self::expire_if_due`].
    #[must_use]
    pub fn is_valid(&self) -> bool {
        !self.expired
    }

    /// Marks the lease as expired if its time has passed; returns whether it expired just now.
    pub fn expire_if_due(&mut self, now: Millis) -> bool {
        let expires = !self.expired && self.until <= now;
        self.expired |= expires;
        expires
    }
}
