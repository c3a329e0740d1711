//! Plans the load and the events of a scenario.

use rand::Rng;

use crate::faults::FaultEvent;
use crate::hosts::shift;
use crate::scenario::{Planned, CALLER_OFFSET_US};
use crate::world::{Ev, World};

impl World {
    pub(crate) fn plan_load(&mut self) {
        for account in 0..self.scenario.accounts.len() {
            if self.scenario.accounts[account].jobs_per_s > 0.0 {
                // Hosts that start together need some seconds to settle.
                self.at_ms(self.scenario.warm_up_ms / 2, Ev::Arrive(account));
            }
        }
        for planned in self.scenario.planned.clone() {
            self.plan(planned);
        }
        if self.scenario.fault_every_ms > 0 {
            self.at(5_000_000, Ev::RandomFault);
        }
        if self.scenario.change_every_ms > 0 {
            self.at(5_000_000, Ev::OperatorRace);
        }
    }

    pub(crate) fn plan(&mut self, planned: Planned) {
        let mut fault = |ms, fault| self.at_ms(ms, Ev::Fault(fault));
        match planned {
            Planned::Drain { at_ms } => fault(at_ms, FaultEvent::DrainHall(0)),
            Planned::CutHall { from_ms, to_ms } => {
                fault(from_ms, FaultEvent::CutHall(0));
                fault(to_ms, FaultEvent::HealHall(0));
            }
            Planned::Outage { from_ms, to_ms } => {
                fault(from_ms, FaultEvent::PlatformOut);
                fault(to_ms, FaultEvent::PlatformBack);
            }
            Planned::KillHost { at_ms, back_ms } => {
                let back_us = (back_ms - at_ms) * 1_000;
                fault(at_ms, FaultEvent::KillHost(0, back_us));
            }
            Planned::RollingRestart { from_ms, every_ms } => {
                for host in 0..self.hosts.len() {
                    let ms = from_ms + every_ms * host as u64;
                    self.at_ms(ms, Ev::Fault(FaultEvent::StopHost(host)));
                }
            }
            Planned::LeavingByList { every, at_ms } => {
                for runner in (0..self.runners.len()).step_by(every) {
                    self.at_ms(at_ms, Ev::Fault(FaultEvent::LeaveByList(runner)));
                }
            }
        }
    }

    /// Returns a caller's clock.
    pub(crate) fn caller_clock(&mut self) -> u64 {
        let offset = self
            .load_rng
            .random_range(-CALLER_OFFSET_US..=CALLER_OFFSET_US);
        shift(self.now, offset).as_millis()
    }
}
