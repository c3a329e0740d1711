//! Reports rows of the platform's tables that can't be decoded: one log line for each reason
//! in an answer of the store, and a count for the metrics.
//!
//! What such a row means to the dispatcher is left to the caller.

use std::collections::BTreeMap;

use gannetridge_dispatcher_core::decision::EntryFault;
use tracing::warn;

use crate::mailbox::{Message, Sender};
use crate::platform_client::{FaultyRow, Rows, Table};
use crate::store_task::DispatcherStopped;

/// The most keys in one log line, since thousands of rows may be faulty at once; a few are
/// enough to find their writer.
const MAX_LOGGED_KEYS: usize = 4;

/// Logs and counts the faulty rows of an answer.
///
/// # Errors
///
/// Fails if the task that owns the dispatcher has ended.
pub fn report(tx: &Sender, table: Table, rows: &Rows) -> Result<(), DispatcherStopped> {
    let mut by_fault: BTreeMap<EntryFault, Vec<FaultyRow>> = BTreeMap::new();
    for row in rows.faults() {
        by_fault.entry(row.fault).or_default().push(row);
    }
    for (fault, rows) in by_fault {
        log(table, fault, &rows);
        let count = rows.len() as u64;
        let counted = Message::FaultyRows { fault, count };
        tx.send(counted).map_err(|_| DispatcherStopped)?;
    }
    Ok(())
}

fn log(table: Table, fault: EntryFault, rows: &[FaultyRow]) {
    let keys = rows.iter().take(MAX_LOGGED_KEYS).map(|row| &*row.key);
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
