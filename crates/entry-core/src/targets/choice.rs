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
const MAX_RANDOM_DRAWS: usize = 16;

impl Targets {
    /// Selects a target with a free slot of this host's share, or `None` if there is none.
    ///
    /// `allowed` returns true for the halls in which the task may run.
    pub fn choose(
        &mut self,
        rng: &mut Pcg32,
        allowed: impl Fn(&Name) -> bool,
    ) -> Option<TargetIndex> {
        let is_eligible = |t: &Target| t.free_slots() > 0 && allowed(&t.hall);
        match self.placement {
            Placement::SharesLending | Placement::Shares | Placement::LeastInFlight => {
                let mut ranked = self.free_by_rank.iter().map(|(_, index)| *index);
                ranked.find(|index| is_eligible(self.get(*index)))
            }
            Placement::RoundRobin => {
                let found = (0..self.all.len())
                    .map(|step| (self.round_robin_next + step) % self.all.len())
                    .find(|i| is_eligible(&self.all[*i]))?;
                self.round_robin_next = found + 1;
                Some(TargetIndex(found as u32))
            }
            Placement::Random => self.sample(rng, is_eligible),
            Placement::PowerOfTwo => {
                let a = self.sample(rng, is_eligible)?;
                let b = self.sample(rng, is_eligible)?;
                let load = |index| {
                    let t: &Target = self.get(index);
                    t.in_use + t.other_tasks
                };
                Some(if load(b) < load(a) { b } else { a })
            }
        }
    }

    fn sample(
        &self,
        rng: &mut Pcg32,
        is_eligible: impl Fn(&Target) -> bool,
    ) -> Option<TargetIndex> {
        for _ in 0..MAX_RANDOM_DRAWS {
            let i = rng.random_range(0..self.all.len().max(1));
            if self.all.get(i).is_some_and(&is_eligible) {
                return Some(TargetIndex(i as u32));
            }
        }
        let found = self.all.iter().position(is_eligible)?;
        Some(TargetIndex(found as u32))
    }
}
