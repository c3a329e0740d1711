//! The local state of one target.

use gannetridge_wire::Name;

use crate::health::Health;

/// A target's static data, slot counts and health.
#[derive(Clone, Debug)]
pub struct Target {
    /// Unique among all targets.
    pub name: Name,
    /// Where the target is reached, `ip:port`.
    pub address: Name,
    /// The hall that the target is in.
    pub hall: Name,
    /// Number of tasks that the target runs at a time.
    pub slots: u32,
    /// Slots that this host may use.
    pub share: u32,
    /// Slots of the share in use by this host's own tasks.
    pub in_use: u32,
    /// Slots of the share that are lent to peers.
    pub lent: u32,
    /// Slots temporarily unused, since the target refused a task as full.
    pub blocked: u32,
    /// Tasks of other hosts, by the platform's last list.
    pub other_tasks: u32,
    /// Limits the tasks that the target gets after failures.
    pub health: Health,
    /// True while the target's hall is being drained.
    pub draining: bool,
    /// True while the platform's list names the target.
    pub listed: bool,
    /// Orders targets of equal rank differently on each host, to spread their load.
    pub(super) tie_break: u16,
}

impl Target {
    /// Returns true if the target may get new tasks.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.listed && !self.draining && self.health.is_usable()
    }

    /// Returns how many more tasks this host may start within its own share.
    #[must_use]
    pub fn free_slots(&self) -> u32 {
        if !self.is_usable() {
            return 0;
        }
        let limit = self.health.task_limit().min(self.share);
        limit.saturating_sub(self.in_use + self.lent + self.blocked)
    }

    /// Returns the sort key among targets with free slots: by slowness, then by the
    /// largest free part of the share, then by `tie_break`.
    pub(super) fn rank(&self) -> u64 {
        let slowness = u64::from(self.health.slowness_rank());
        let used = 1_000 - u64::from(self.free_slots() * 1_000 / self.share.max(1));
        (slowness * 1_001 + used) * (u64::from(u16::MAX) + 1) + u64::from(self.tie_break)
    }
}
