//! Reports rows of the platform's tables that say nothing that can be used: one log line for
//! each answer of the store, and a count for each reason.
//!
//! Relies on the caller to pass on what such a row means to the dispatcher.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::decision::EntryFault;
use tracing::warn;

use crate::mailbox::{Message, Sender};
use crate::platform_client::{FaultyRow, Rows, Table};
use crate::store_task::Closed;

/// The most keys in one log line: half of a list of thousands may be unusable at once, and
/// a few are enough to find who writes them. Chosen, not measured.
const KEYS_LOGGED: usize = 4;

/// Logs and counts the faulty rows of an answer.
///
/// # Errors
///
/// Fails if the dispatcher's task has ended.
pub fn report(tx: &Sender, table: Table, rows: &Rows) -> Result<(), Closed> {
    let mut by_fault: BTreeMap<EntryFault, Vec<FaultyRow>> = BTreeMap::new();
    for row in rows.faults() {
        by_fault.entry(row.fault).or_default().push(row);
    }
    for (fault, rows) in by_fault {
        log(table, fault, &rows);
        let count = rows.len() as u64;
        let counted = Message::FaultyRows { fault, count };
        tx.send(counted).map_err(|_| Closed)?;
    }
    Ok(())
}

fn log(table: Table, fault: EntryFault, rows: &[FaultyRow]) {
    let keys = rows.iter().take(KEYS_LOGGED).map(|row| &*row.key);
    let keys: Vec<&str> = keys.collect();
    let reason = fault.as_str();
    warn!(
        event = "faulty-rows",
        ?table,
        reason,
        count = rows.len(),
        ?keys
    );
}
