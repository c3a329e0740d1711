//! An in-memory stand-in for the platform's transactional table.

use std::collections::BTreeMap;

use gannetridge_entry_wire::platform::{Row, TableOp, TableResult};
use gannetridge_wire::Name;

/// Versioned rows, by key.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// The version and value of each row.
    rows: BTreeMap<Name, (u64, Name)>,
    /// The number of commits carried out; conflicts don't count.
    pub commits: u64,
    /// The number of `Get` and `Scan` operations.
    pub reads: u64,
}

impl Table {
    /// Executes an operation.
    pub fn apply(&mut self, op: &TableOp) -> TableResult {
        match op {
            TableOp::Get { key } => {
                self.reads += 1;
                let rows = self.row(key).into_iter().collect();
                TableResult::Rows { rows }
            }
            TableOp::Scan { prefix } => {
                self.reads += 1;
                let keys = self.rows.keys().filter(|key| key.starts_with(&**prefix));
                let rows = keys.filter_map(|key| self.row(key)).collect();
                TableResult::Rows { rows }
            }
            TableOp::Commit { checks, writes } => {
                let version = |key: &Name| self.rows.get(key).map_or(0, |(v, _)| *v);
                if checks
                    .iter()
                    .any(|check| version(&check.key) != check.version)
                {
                    let rows = checks
                        .iter()
                        .filter_map(|check| self.row(&check.key))
                        .collect();
                    return TableResult::Conflict { rows };
                }
                self.commits += 1;
                for write in writes {
                    let row = self.rows.entry(write.key.clone()).or_insert((0, "".into()));
                    row.0 += 1;
                    row.1 = write.value.clone();
                }
                TableResult::Committed
            }
        }
    }

    /// Returns a row's value, if the row exists.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<Name> {
        self.rows.get(key).map(|(_, value)| value.clone())
    }

    fn row(&self, key: &Name) -> Option<Row> {
        let (version, value) = self.rows.get(key)?;
        Some(Row {
            key: key.clone(),
            version: *version,
            value: value.clone(),
        })
    }
}
