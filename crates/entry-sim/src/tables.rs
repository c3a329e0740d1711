//! Hosts' operations on the platform's table and reads of its list of targets.

use gannetridge_entry_core::Event;
use gannetridge_entry_wire::platform::{ListedTarget, TableFailure, TableOp};
use rand::Rng;

use crate::hosts::{CallKind, OutgoingCall, ProcessId, ProcessState};
use crate::platform::TableOutcome;
use crate::runners::SimRunner;
use crate::world::{SimEvent, World, TABLE_TIMEOUT_US};

impl World {
    pub(crate) fn choose_table_outcome(
        &mut self,
        process: ProcessId,
        op: &TableOp,
    ) -> TableOutcome {
        let hall = self.hosts[process.host].hall;
        let cut = self.network.cut_platform.contains(&process.host)
            || self.network.cut_halls.contains(&hall);
        if self.platform.unavailable || cut {
            return match self.rng.random_range(0..10) {
                0..5 => TableOutcome::Failed(TableFailure::NotDone),
                5..8 => TableOutcome::Failed(TableFailure::Unclear),
                // The operation was under way already: it takes effect later, unanswered.
                _ => TableOutcome::AnswerLost {
                    delay_us: self.rng.random_range(10_000..8_000_000),
                },
            };
        }
        let write = matches!(op, TableOp::Commit { .. });
        if write
            && self.platform.answer_loss_probability > 0.0
            && self.rng.random_bool(self.platform.answer_loss_probability)
        {
            return TableOutcome::AnswerLost { delay_us: 5_000 };
        }
        TableOutcome::Answered
    }

    pub(crate) fn call_table(&mut self, call: OutgoingCall, op: TableOp) {
        self.hosts[call.process.host]
            .open_calls
            .insert(call.call, CallKind::Table);
        let write = matches!(op, TableOp::Commit { .. });
        let base = if write {
            self.scenario.delays.table_write_us
        } else {
            self.scenario.delays.table_read_us
        };
        let slow = match self.platform.max_extra_us {
            0 => 0,
            most => self.rng.random_range(0..=most),
        };
        let delay = self.sample_delay(base) + slow;
        self.schedule(
            TABLE_TIMEOUT_US,
            SimEvent::TableReply(call, Err(TableFailure::Unclear)),
        );
        match self.choose_table_outcome(call.process, &op) {
            TableOutcome::Answered => {
                self.schedule(delay / 2, SimEvent::ApplyTable(Some(call), op))
            }
            TableOutcome::AnswerLost { delay_us } => {
                self.schedule(delay_us, SimEvent::ApplyTable(None, op))
            }
            TableOutcome::Failed(failure) => {
                let us = if failure == TableFailure::NotDone {
                    delay
                } else {
                    TABLE_TIMEOUT_US
                };
                self.schedule(us, SimEvent::TableReply(call, Err(failure)));
            }
        }
    }

    pub(crate) fn apply_table(&mut self, from: Option<OutgoingCall>, op: &TableOp) {
        let result = self.platform.apply(op);
        if let Some(call) = from {
            let delay = self.sample_delay(self.scenario.delays.table_read_us / 2);
            self.schedule(delay, SimEvent::TableReply(call, Ok(result)));
        }
    }

    pub(crate) fn refresh_list(&mut self) {
        let listed = |r: &SimRunner| ListedTarget {
            name: r.name.clone(),
            address: r.name.clone(),
            hall: self.halls[r.hall].clone(),
            slots: r.tasks.slots(),
            busy: r.tasks.busy(),
            leaving: r.leaving_since.is_some(),
        };
        let targets = self.runners.iter().map(listed).collect();
        self.platform.list.refresh(targets);
    }

    pub(crate) fn read_list(&mut self, process: ProcessId, after: u64) {
        let hall = self.hosts[process.host].hall;
        let cut = self.network.cut_platform.contains(&process.host)
            || self.network.cut_halls.contains(&hall);
        if self.platform.unavailable || cut {
            return;
        }
        let list = self.platform.list.read(after);
        let delay = self.sample_delay(self.scenario.delays.table_read_us);
        self.schedule(
            delay,
            SimEvent::Deliver(process, Box::new(Event::Listed(list))),
        );
    }

    pub(crate) fn serving_hosts(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let serving = hosts.filter(|(_, h)| h.state != ProcessState::Stopped && !h.stopping);
        serving.map(|(index, _)| index).collect()
    }
}
