//! Renews this host's lease on its hall's shards, takes over shards, and reads the rows
//! of other halls.

use std::collections::BTreeMap;

use gannetridge_entry_wire::hall::{hall_key, HallRow, HALL_PREFIX};
use gannetridge_entry_wire::platform::{Check, Row, TableFailure, TableOp, TableResult, Write};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use super::calls::CallPurpose;
use super::Host;
use crate::action::TelemetryEvent;
use crate::event::CallId;
use crate::ownership::OwnershipChanges;

/// Shortest time between reads of another hall's row, in ms.
const HALL_READ_INTERVAL_MS: u64 = 200;

/// The state of the reads of other halls' rows.
#[derive(Debug, Default)]
pub(super) struct HallReads {
    /// When each hall's row was last requested.
    pub(super) last_read: BTreeMap<Name, Time>,
    /// The number of polls so far, which selects the next hall.
    pub(super) polls: usize,
}

impl Host {
    pub(super) fn on_table_reply(
        &mut self,
        call: CallId,
        reply: Result<TableResult, TableFailure>,
    ) {
        let Some(purpose) = self.calls.pending.remove(&call) else {
            return;
        };
        match purpose {
            CallPurpose::ReadRow => self.on_row_read(reply),
            CallPurpose::WriteRow => self.on_row_written(reply),
            CallPurpose::ReadHalls => self.on_halls_read(reply),
            CallPurpose::ReadHead => self.on_head_read(reply),
            CallPurpose::ReadConfig => self.on_config_read(reply),
            CallPurpose::ChangeRead(change) => self.on_change_read(change, reply),
            CallPurpose::ChangeWrite(change) => self.on_change_written(change, reply),
            _ => {}
        }
    }

    /// Starts a renewal: reads the hall's row, then writes it.
    pub(super) fn read_row(&mut self) {
        if self.row_access_pending || self.stop.done {
            return;
        }
        self.row_access_pending = true;
        let key = hall_key(&self.settings.hall);
        self.call_table(CallPurpose::ReadRow, TableOp::Get { key });
    }

    fn on_row_read(&mut self, reply: Result<TableResult, TableFailure>) {
        self.row_access_pending = false;
        let Ok(TableResult::Rows { rows }) = reply else {
            return;
        };
        self.apply_rows(&rows);
        self.write_row();
    }

    /// Applies the hall's row, if it is readable; an absent row is an empty one.
    fn apply_rows(&mut self, rows: &[Row]) {
        let key = hall_key(&self.settings.hall);
        let (row, version) = match rows.iter().find(|row| row.key == key) {
            None => (HallRow::empty(), 0),
            Some(found) => match serde_json::from_str(&found.value) {
                Ok(row) => (row, found.version),
                // Written by a newer release; this host must not overwrite it.
                Err(_) => return,
            },
        };
        let changes = self.ownership.apply_row(row, version, self.now);
        self.apply_changes(changes);
    }

    /// Writes the row that this host wants, if it differs from the table's.
    fn write_row(&mut self) {
        let Some(row) = self.ownership.compose_row(self.now) else {
            return;
        };
        self.row_access_pending = true;
        let key = hall_key(&self.settings.hall);
        let checks = vec![Check {
            key: key.clone(),
            version: self.ownership.version(),
        }];
        let value = serde_json::to_string(&row).expect("serialising plain data can't fail");
        let writes = vec![Write {
            key,
            value: value.into(),
        }];
        self.call_table(CallPurpose::WriteRow, TableOp::Commit { checks, writes });
    }

    fn on_row_written(&mut self, reply: Result<TableResult, TableFailure>) {
        self.row_access_pending = false;
        match reply {
            Ok(TableResult::Committed) => {
                let changes = self.ownership.write_committed(self.now);
                self.apply_changes(changes);
            }
            Ok(TableResult::Conflict { rows }) => {
                self.apply_rows(&rows);
                self.write_row();
            }
            Ok(TableResult::Rows { .. }) => {}
            Err(failure) => self.ownership.write_failed(failure),
        }
    }

    /// Acts on changes of ownership after a new row was applied.
    fn apply_changes(&mut self, changes: OwnershipChanges) {
        let hall = self.settings.hall.clone();
        self.directory.set_row(&hall, self.ownership.row().clone());
        let moved = !changes.acquired.is_empty() || !changes.lost.is_empty();
        for shard in changes.acquired {
            let held = self.ownership.held_shards();
            let epoch = held
                .iter()
                .find(|(s, _)| *s == shard)
                .map_or(0, |(_, e)| e.0);
            self.handovers.new_holders.remove(&shard);
            self.record(TelemetryEvent::ShardAcquired { shard, epoch });
        }
        for shard in changes.lost {
            self.fail_jobs_of_lost_shard(shard);
            self.release_deferred(shard);
            self.record(TelemetryEvent::ShardReleased { shard });
        }
        if moved {
            self.send_hall_heartbeats();
        }
        self.divide_targets();
        self.start_next_handover();
    }

    /// Reads all halls' rows until some are known, and from then on one other hall's row in
    /// turn. More recent changes are learnt from heartbeats and from hosts that no longer
    /// hold a shard.
    pub(super) fn poll_halls(&mut self) {
        let own = &self.settings.hall;
        let others: Vec<Name> = self
            .directory
            .halls()
            .filter(|h| *h != own)
            .cloned()
            .collect();
        if others.is_empty() {
            let prefix = HALL_PREFIX.into();
            return self.call_table(CallPurpose::ReadHalls, TableOp::Scan { prefix });
        }
        self.hall_reads.polls += 1;
        let hall = others[self.hall_reads.polls % others.len()].clone();
        self.read_hall(&hall);
    }

    /// Reads one hall's row, unless it was read just before.
    pub(super) fn read_hall(&mut self, hall: &Name) {
        let read = self.hall_reads.last_read.get(hall);
        if read.is_some_and(|at| self.now < at.plus_millis(HALL_READ_INTERVAL_MS)) {
            return;
        }
        self.hall_reads.last_read.insert(hall.clone(), self.now);
        let key = hall_key(hall);
        self.call_table(CallPurpose::ReadHalls, TableOp::Get { key });
    }

    fn on_halls_read(&mut self, reply: Result<TableResult, TableFailure>) {
        let Ok(TableResult::Rows { rows }) = reply else {
            return;
        };
        for row in rows {
            let hall: Name = row.key[HALL_PREFIX.len()..].into();
            if let Ok(value) = serde_json::from_str(&row.value) {
                self.directory.set_row(&hall, value);
            }
        }
    }
}
