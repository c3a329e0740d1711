//! Selection of a target from this host's share of slots.
//!
//! With `shares`, `shares-lending` and `least-in-flight`, selects the first free target
//! by `Target::rank`: slow ones last, then the one with the largest free part of its
//! share. The other placements serve as a baseline for comparison.

use gannetridge_wire::Name;
use rand::Rng;
use rand_pcg::Pcg32;

use super::{Target, TargetIndex, Targets};
use crate::settings::Placement;

/// Random draws before all targets are searched in order.
const SAMPLE_TRIES: usize = 16;

impl Targets {
    /// Selects a target with a free slot of this host's share, or `None` if there is none.
    ///
    /// `allowed` returns true for the halls in which the task may run.
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
