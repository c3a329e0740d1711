//! The configuration in force at a host.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gannetridge_entry_config::hall::HallState;
use gannetridge_entry_config::{Account, Document, DocumentKey, Kind, Template};
use gannetridge_entry_wire::peer::{ConfigDoc, ConfigSnapshot};
use gannetridge_wire::Name;

/// Prefix of the keys of configuration rows.
pub const CONFIG_PREFIX: &str = "config/";
/// Key of the row that holds the configuration's version.
pub const CONFIG_HEAD: &str = "config/head";

/// The documents in force, read and checked.
#[derive(Debug, Default)]
pub struct ConfigStore {
    snapshot: ConfigSnapshot,
    documents: BTreeMap<DocumentKey, Document>,
    accounts: BTreeMap<Name, Arc<Account>>,
}

impl ConfigStore {
    /// Returns the version in force; 0 before any.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// Returns what is in force, to pass it on.
    #[must_use]
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Returns the documents, to check references.
    #[must_use]
    pub fn documents(&self) -> &BTreeMap<DocumentKey, Document> {
        &self.documents
    }

    /// Puts a snapshot in force if it is newer, and tells whether it was.
    pub fn apply(&mut self, snapshot: ConfigSnapshot, version_check: bool) -> bool {
        if version_check && snapshot.version <= self.snapshot.version {
            return false;
        }
        self.documents.clear();
        self.accounts.clear();
        for doc in &snapshot.docs {
            self.read(doc);
        }
        self.snapshot = snapshot;
        true
    }

    fn read(&mut self, doc: &ConfigDoc) {
        let Ok(key) = doc.key.parse::<DocumentKey>() else {
            return;
        };
        // Documents are checked before they are accepted. One that a newer
        // release wrote and this one can't read is left out.
        let Ok(document) = Document::read(key.kind, &doc.key, &doc.text) else {
            return;
        };
        if let Document::Account(account) = &document {
            self.accounts
                .insert(key.name.clone(), Arc::new(account.clone()));
        }
        self.documents.insert(key, document);
    }

    /// Returns an account.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// Returns a template.
    #[must_use]
    pub fn template(&self, name: &Name) -> Option<&Template> {
        let key = DocumentKey {
            kind: Kind::Template,
            name: name.clone(),
        };
        match self.documents.get(&key)? {
            Document::Template(template) => Some(template),
            _ => None,
        }
    }

    /// Returns the halls that are being emptied.
    #[must_use]
    pub fn draining(&self) -> BTreeSet<Name> {
        let draining = |(key, document): (&DocumentKey, &Document)| match document {
            Document::Hall(hall) if hall.state == HallState::Draining => Some(key.name.clone()),
            _ => None,
        };
        self.documents.iter().filter_map(draining).collect()
    }
}
