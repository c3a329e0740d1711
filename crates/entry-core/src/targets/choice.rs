//! Chooses a target of this host's share for a task.
//!
//! With `shares`, `shares-lending` and `least-in-flight`, the first of the free
//! targets in their order (`Target::rank`): slow ones last, then those with the most
//! free slots first. The other placements are there to compare with.

use gannetridge_wire::Name;
use rand::Rng;
use rand_pcg::Pcg32;

use super::{Target, TargetIndex, Targets};
use crate::settings::Placement;

/// Targets that are drawn at random before all are tried in turn; chosen, not
/// measured.
const SAMPLE_TRIES: usize = 16;

impl Targets {
    /// Chooses a target of this host's share for one task.
    ///
    /// `allowed` tells whether the task may run in a hall.
    pub fn choose(
        &mut self,
        rng: &mut Pcg32,
        allowed: impl Fn(&Name) -> bool,
    ) -> Option<TargetIndex> {
        let can_take = |t: &Target| t.free() > 0 && allowed(&t.hall);
        match self.placement {
            Placement::SharesLending | Placement::Shares | Placement::LeastInFlight => {
                let mut ready = self.ready.iter().map(|(_, index)| *index);
                ready.find(|index| can_take(self.get(*index)))
            }
            Placement::RoundRobin => {
                let found = (0..self.all.len())
                    .map(|step| (self.cursor + step) % self.all.len())
                    .find(|i| can_take(&self.all[*i]))?;
                self.cursor = found + 1;
                Some(TargetIndex(found as u32))
            }
            Placement::Random => self.sample(rng, can_take),
            Placement::PowerOfTwo => {
                let a = self.sample(rng, can_take)?;
                let b = self.sample(rng, can_take)?;
                let load = |index| {
                    let t: &Target = self.get(index);
                    t.in_use + t.others
                };
                Some(if load(b) < load(a) { b } else { a })
            }
        }
    }

    fn sample(&self, rng: &mut Pcg32, can_take: impl Fn(&Target) -> bool) -> Option<TargetIndex> {
        for _ in 0..SAMPLE_TRIES {
            let i = rng.random_range(0..self.all.len().max(1));
            if self.all.get(i).is_some_and(&can_take) {
                return Some(TargetIndex(i as u32));
            }
        }
        let found = self.all.iter().position(can_take)?;
        Some(TargetIndex(found as u32))
    }
}
