//! One target, as this host knows it.

use gannetridge_wire::Name;

use crate::health::Health;

/// A runner on a worker.
#[derive(Clone, Debug)]
pub struct Target {
    /// Its name.
    pub name: Name,
    /// Its address, `ip:port`.
    pub address: Name,
    /// Its hall.
    pub hall: Name,
    /// Tasks that it runs at once.
    pub slots: u32,
    /// Slots that this host may fill.
    pub share: u32,
    /// Slots of the share in use by this host's tasks.
    pub in_use: u32,
    /// Slots of the share lent to peers.
    pub lent: u32,
    /// Slots left alone for a moment, since the target was full.
    pub blocked: u32,
    /// Tasks of others that the platform last reported.
    pub others: u32,
    /// How far the target is trusted.
    pub health: Health,
    /// True while the hall is being emptied.
    pub draining: bool,
    /// True while the platform's list names the target.
    pub listed: bool,
    /// Orders targets that are otherwise alike, differently on each host.
    pub(super) tie_break: u16,
}

impl Target {
    /// Tells whether the target may get new work at all.
    #[must_use]
    pub fn usable(&self) -> bool {
        self.listed && !self.draining && self.health.usable()
    }

    /// Returns how many more tasks this host may start on its own share.
    #[must_use]
    pub fn free(&self) -> u32 {
        if !self.usable() {
            return 0;
        }
        let limit = self.health.limit().min(self.share);
        limit.saturating_sub(self.in_use + self.lent + self.blocked)
    }

    /// Returns the rank among targets with free slots: slow ones last, then
    /// those with the most free slots first.
    pub(super) fn rank(&self) -> u64 {
        let slowness = u64::from(self.health.slowness());
        let used = 1_000 - u64::from(self.free() * 1_000 / self.share.max(1));
        (slowness * 1_001 + used) * (u64::from(u16::MAX) + 1) + u64::from(self.tie_break)
    }
}
