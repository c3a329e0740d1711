//! The format of the configuration's rows in the table.

use gannetridge_entry_config::DocumentKey;
use gannetridge_entry_wire::peer::{ConfigDoc, ConfigSnapshot};
use gannetridge_entry_wire::platform::Row;
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::config_store::{CONFIG_HEAD, CONFIG_PREFIX};

/// The value of the head row, which holds the configuration's version.
#[derive(Serialize, Deserialize)]
pub(super) struct Head {
    pub(super) version: u64,
}

/// The configuration's rows as returned by one read.
pub(super) struct ConfigRows {
    pub(super) snapshot: ConfigSnapshot,
    /// The version of the head row itself.
    pub(super) head_row: u64,
    /// The key and version of each document's row.
    pub(super) doc_rows: Vec<(Name, u64)>,
}

/// Decodes the rows; returns `None` if one of them can't be decoded.
pub(super) fn read_rows(rows: &[Row]) -> Option<ConfigRows> {
    let mut read = ConfigRows {
        snapshot: ConfigSnapshot::default(),
        head_row: 0,
        doc_rows: Vec::new(),
    };
    for row in rows {
        if &*row.key == CONFIG_HEAD {
            let head: Head = serde_json::from_str(&row.value).ok()?;
            read.snapshot.version = head.version;
            read.head_row = row.version;
        } else {
            let doc: ConfigDoc = serde_json::from_str(&row.value).ok()?;
            read.doc_rows.push((doc.key.clone(), row.version));
            read.snapshot.docs.push(doc);
        }
    }
    Some(read)
}

/// Returns the key of a document's row.
pub(super) fn row_key(key: &DocumentKey) -> Name {
    format!("{CONFIG_PREFIX}{key}").into()
}
