//! Hosts' use of the platform, and what becomes of it.

use gannetridge_entry_core::Event;
use gannetridge_entry_wire::platform::{ListedTarget, TableFailure, TableOp};
use rand::Rng;

use crate::hosts::{CallKind, CallOf, Pulse, RunOf};
use crate::platform::Fate;
use crate::runners::SimRunner;
use crate::world::{Ev, World, TABLE_TIMEOUT_US};

impl World {
    pub(crate) fn table_fate(&mut self, run: RunOf, op: &TableOp) -> Fate {
        let hall = self.hosts[run.host].hall;
        let cut =
            self.network.cut_platform.contains(&run.host) || self.network.cut_halls.contains(&hall);
        if self.platform.out || cut {
            return match self.rng.random_range(0..10) {
                0..5 => Fate::Fails(TableFailure::NotDone),
                5..8 => Fate::Fails(TableFailure::Unclear),
                // The write was on its way and takes effect later.
                _ => Fate::AnswerLost {
                    delay_us: self.rng.random_range(10_000..8_000_000),
                },
            };
        }
        let write = matches!(op, TableOp::Commit { .. });
        if write && self.platform.lose > 0.0 && self.rng.random_bool(self.platform.lose) {
            return Fate::AnswerLost { delay_us: 5_000 };
        }
        Fate::Answered
    }

    pub(crate) fn use_table(&mut self, call: CallOf, op: TableOp) {
        self.hosts[call.run.host]
            .open
            .insert(call.call, CallKind::Table);
        let write = matches!(op, TableOp::Commit { .. });
        let base = if write {
            self.scenario.delays.table_write
        } else {
            self.scenario.delays.table_read
        };
        let slow = match self.platform.slow_us {
            0 => 0,
            most => self.rng.random_range(0..=most),
        };
        let delay = self.delay(base) + slow;
        self.at(
            TABLE_TIMEOUT_US,
            Ev::TableReply(call, Err(TableFailure::Unclear)),
        );
        match self.table_fate(call.run, &op) {
            Fate::Answered => self.at(delay / 2, Ev::ApplyTable(Some(call), op)),
            Fate::AnswerLost { delay_us } => self.at(delay_us, Ev::ApplyTable(None, op)),
            Fate::Fails(failure) => {
                let us = if failure == TableFailure::NotDone {
                    delay
                } else {
                    TABLE_TIMEOUT_US
                };
                self.at(us, Ev::TableReply(call, Err(failure)));
            }
        }
    }

    pub(crate) fn apply_table(&mut self, from: Option<CallOf>, op: &TableOp) {
        let result = self.platform.apply(op);
        if let Some(call) = from {
            let delay = self.delay(self.scenario.delays.table_read / 2);
            self.at(delay, Ev::TableReply(call, Ok(result)));
        }
    }

    pub(crate) fn refresh_list(&mut self) {
        let listed = |r: &SimRunner| ListedTarget {
            name: r.name.clone(),
            address: r.name.clone(),
            hall: self.halls[r.hall].clone(),
            slots: r.book.slots(),
            busy: r.book.busy(),
            leaving: r.leaving_since.is_some(),
        };
        let targets = self.runners.iter().map(listed).collect();
        self.platform.list.refresh(targets);
    }

    pub(crate) fn read_list(&mut self, run: RunOf, after: u64) {
        let hall = self.hosts[run.host].hall;
        let cut =
            self.network.cut_platform.contains(&run.host) || self.network.cut_halls.contains(&hall);
        if self.platform.out || cut {
            return;
        }
        let list = self.platform.list.read(after);
        let delay = self.delay(self.scenario.delays.table_read);
        self.at(delay, Ev::Deliver(run, Box::new(Event::Listed(list))));
    }

    pub(crate) fn live_hosts(&self) -> Vec<usize> {
        let hosts = self.hosts.iter().enumerate();
        let live = hosts.filter(|(_, h)| h.pulse != Pulse::Dead && !h.stopping);
        live.map(|(index, _)| index).collect()
    }
}
