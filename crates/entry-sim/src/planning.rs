//! Schedules a scenario's load, planned events, faults and operators' changes.

use rand::Rng;

use crate::faults::FaultEvent;
use crate::hosts::add_offset;
use crate::scenario::{PlannedEvent, CALLER_OFFSET_US};
use crate::world::{SimEvent, World};

impl World {
    pub(crate) fn schedule_load(&mut self) {
        for account in 0..self.scenario.accounts.len() {
            if self.scenario.accounts[account].jobs_per_s > 0.0 {
                // Gives hosts that start together time to settle.
                self.schedule_at_ms(self.scenario.warm_up_ms / 2, SimEvent::JobArrival(account));
            }
        }
        for planned in self.scenario.planned.clone() {
            self.schedule_planned(planned);
        }
        if self.scenario.fault_every_ms > 0 {
            self.schedule(5_000_000, SimEvent::RandomFault);
        }
        if self.scenario.change_every_ms > 0 {
            self.schedule(5_000_000, SimEvent::ConcurrentChanges);
        }
    }

    pub(crate) fn schedule_planned(&mut self, planned: PlannedEvent) {
        let mut fault = |ms, fault| self.schedule_at_ms(ms, SimEvent::Fault(fault));
        match planned {
            PlannedEvent::Drain { at_ms } => fault(at_ms, FaultEvent::DrainHall(0)),
            PlannedEvent::CutHall { from_ms, to_ms } => {
                fault(from_ms, FaultEvent::CutHall(0));
                fault(to_ms, FaultEvent::HealHall(0));
            }
            PlannedEvent::Outage { from_ms, to_ms } => {
                fault(from_ms, FaultEvent::PlatformOutage);
                fault(to_ms, FaultEvent::PlatformRecovery);
            }
            PlannedEvent::KillHost { at_ms, back_ms } => {
                let back_us = (back_ms - at_ms) * 1_000;
                fault(at_ms, FaultEvent::KillHost(0, back_us));
            }
            PlannedEvent::RollingRestart { from_ms, every_ms } => {
                for host in 0..self.hosts.len() {
                    let ms = from_ms + every_ms * host as u64;
                    self.schedule_at_ms(ms, SimEvent::Fault(FaultEvent::StopHost(host)));
                }
            }
            PlannedEvent::LeavingByList { every, at_ms } => {
                for runner in (0..self.runners.len()).step_by(every) {
                    self.schedule_at_ms(at_ms, SimEvent::Fault(FaultEvent::LeaveByList(runner)));
                }
            }
        }
    }

    /// Returns the time on the clock of a random caller, in ms.
    pub(crate) fn sample_caller_clock_ms(&mut self) -> u64 {
        let offset = self
            .load_rng
            .random_range(-CALLER_OFFSET_US..=CALLER_OFFSET_US);
        add_offset(self.now, offset).as_millis()
    }
}
