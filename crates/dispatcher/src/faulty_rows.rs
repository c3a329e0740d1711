//! Reports rows of the platform's tables that can't be decoded: each is logged once with its key
//! and the reason, and counted for the metrics in each answer of the store that holds it.
//!
//! [`FaultyRowLog`] owns the keys that were logged, for one table. What a faulty row means to the
//! dispatcher is left to the caller.

use std::collections::{BTreeMap, HashMap, HashSet};

use gannetridge_dispatcher_core::decision::EntryFault;
use gannetridge_wire::Name;
use tracing::warn;

use crate::mailbox::{Message, Sender};
use crate::platform_client::{FaultyRow, Row, Rows, Table};
use crate::store_task::DispatcherStopped;

/// The most keys in one log line.
const MAX_KEYS_PER_LINE: usize = 16;
/// The most rows of a table that are remembered as logged. Further ones are only counted.
const MAX_LOGGED_ROWS: usize = 4_096;

/// The faulty rows of a table that were logged.
#[derive(Debug)]
pub struct FaultyRowLog {
    table: Table,
    /// The reason last logged for each key.
    logged: HashMap<Name, EntryFault>,
}

impl FaultyRowLog {
    /// Creates a log in which no row of the table was logged.
    #[must_use]
    pub fn new(table: Table) -> Self {
        Self {
            table,
            logged: HashMap::new(),
        }
    }

    /// Logs the faulty rows of an answer that weren't logged before, and counts all of them.
    ///
    /// # Errors
    ///
    /// Fails if the task that owns the dispatcher has ended.
    pub fn report(&mut self, tx: &Sender, rows: &Rows) -> Result<(), DispatcherStopped> {
        self.forget_valid(rows);
        let mut by_fault: BTreeMap<EntryFault, Vec<FaultyRow>> = BTreeMap::new();
        for row in rows.faults() {
            by_fault.entry(row.fault).or_default().push(row);
        }
        for (fault, rows) in by_fault {
            self.log_new(fault, &rows);
            let count = rows.len() as u64;
            let counted = Message::FaultyRows { fault, count };
            tx.send(counted).map_err(|_| DispatcherStopped)?;
        }
        Ok(())
    }

    /// Forgets rows that are valid or were removed: if they become faulty, they are logged again.
    fn forget_valid(&mut self, rows: &Rows) {
        if self.logged.is_empty() {
            return;
        }
        for row in &rows.rows {
            if let Some(key) = row.valid_key() {
                self.logged.remove(key);
            }
            if matches!(row, Row::Configuration(_)) {
                // The table's only row that can be faulty, and the queues in it.
                let faulty: HashSet<Name> = rows.faults().map(|row| row.key).collect();
                self.logged.retain(|key, _| faulty.contains(key));
            }
        }
    }

    fn log_new(&mut self, fault: EntryFault, rows: &[FaultyRow]) {
        let keys = rows.iter().map(|row| &row.key);
        let new: Vec<&str> = keys
            .filter(|key| self.remember(key, fault))
            .map(|key| &**key)
            .collect();
        let (table, reason) = (self.table, fault.as_str());
        for keys in new.chunks(MAX_KEYS_PER_LINE) {
            let count = keys.len();
            warn!(event = "faulty-rows", ?table, reason, count, ?keys);
        }
    }

    /// Remembers a row as logged; returns false if it was logged for this reason before, or if too
    /// many rows are remembered.
    fn remember(&mut self, key: &Name, fault: EntryFault) -> bool {
        let is_full = self.logged.len() >= MAX_LOGGED_ROWS;
        if is_full && !self.logged.contains_key(key) {
            return false;
        }
        self.logged.insert(key.clone(), fault) != Some(fault)
    }
}
