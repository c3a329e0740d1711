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
    /// The keys of the documents that can't be decoded; the snapshot is without them.
    pub(super) faulty: Vec<Name>,
}

impl ConfigRows {
    /// Returns the snapshot with the documents in force for those that can't be decoded.
    pub(super) fn completed(&self, in_force: &ConfigSnapshot) -> ConfigSnapshot {
        let mut snapshot = self.snapshot.clone();
        let kept = in_force.docs.iter();
        let kept = kept.filter(|doc| self.faulty.contains(&doc.key));
        snapshot.docs.extend(kept.cloned());
        snapshot
    }
}

/// Decodes the rows; returns `None` if that of the version can't be decoded.
pub(super) fn read_rows(rows: &[Row]) -> Option<ConfigRows> {
    let mut read = ConfigRows {
        snapshot: ConfigSnapshot::default(),
        head_row: 0,
        doc_rows: Vec::new(),
        faulty: Vec::new(),
    };
    for row in rows {
        if &*row.key == CONFIG_HEAD {
            let head: Head = serde_json::from_str(&row.value).ok()?;
            read.snapshot.version = head.version;
            read.head_row = row.version;
        } else {
            let key: Name = row
                .key
                .strip_prefix(CONFIG_PREFIX)
                .unwrap_or(&row.key)
                .into();
            read.doc_rows.push((key.clone(), row.version));
            match serde_json::from_str::<ConfigDoc>(&row.value) {
                Ok(doc) if doc.key == key => read.snapshot.docs.push(doc),
                Ok(_) | Err(_) => read.faulty.push(key),
            }
        }
    }
    Some(read)
}

/// Returns the key of a document's row.
pub(super) fn row_key(key: &DocumentKey) -> Name {
    format!("{CONFIG_PREFIX}{key}").into()
}
