//! Division of the targets' slots among the hall's hosts.
//!
//! The shares follow from the list of hosts alone, so hosts that agree on the list use
//! disjoint slots without exchanging messages.

use xxhash_rust::xxh3::xxh3_64;

use super::{Target, TargetIndex, Targets};
use crate::settings::Placement;

impl Targets {
    /// Recomputes this host's share of every target.
    pub(super) fn divide_slots(&mut self) {
        for i in 0..self.all.len() {
            let share = self.share_of(&self.all[i]);
            self.update(TargetIndex(i as u32), |t| t.share = share);
        }
    }

    fn share_of(&self, target: &Target) -> u32 {
        let divided = matches!(self.placement, Placement::Shares | Placement::SharesLending);
        if !divided {
            return target.slots;
        }
        let position = self.members.iter().position(|name| *name == self.own_name);
        let (Some(position), true) = (position, target.hall == self.hall) else {
            return 0;
        };
        let hosts = self.members.len() as u64;
        let slots = u64::from(target.slots);
        // The first host to get one of the remaining slots depends on the target's name,
        // so that the remainders are spread over all hosts.
        let first = xxh3_64(target.name.as_bytes()) % hosts;
        let offset = (position as u64 + hosts - first) % hosts;
        let extra = u64::from(offset < slots % hosts);
        (slots / hosts + extra) as u32
    }
}
