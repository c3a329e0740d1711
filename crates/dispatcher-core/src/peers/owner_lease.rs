//! The lease under which a peer's attempts run on targets of this host.
//!
//! The peer's echo of this host's clock renews it; see [`crate::rules::leases`].

use crate::Millis;

/// The lease under which a peer's attempts run on targets of this host.
#[derive(Clone, Copy, Debug)]
pub struct OwnerLease {
    /// The peer's session; attempts of earlier ones are stopped.
    pub session: u64,
    /// Until when it is valid, by the newest echo of this host's clock.
    until: Millis,
    /// Whether it has expired, and the attempts under it are being stopped.
    expired: bool,
}

impl OwnerLease {
    /// Creates a lease that has expired: the peer has sent nothing yet.
    pub(super) fn expired() -> Self {
        Self {
            session: 0,
            until: 0,
            expired: true,
        }
    }

    /// Renews it.
    pub fn renew(&mut self, now: Millis, until: Millis) {
        self.until = self.until.max(until);
        self.expired &= until <= now;
    }

    /// Returns whether it is valid.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        !self.expired
    }

    /// Lets it expire when its time is over; returns whether it did so now.
    pub fn expire_if_due(&mut self, now: Millis) -> bool {
        let expires = !self.expired && self.until <= now;
        self.expired |= expires;
        expires
    }
}
