//! The configuration in force at a host: its documents, parsed and validated.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use gannetridge_entry_config::hall::HallState;
use gannetridge_entry_config::{Account, Document, DocumentKey, DocumentKind, Template};
use gannetridge_entry_wire::peer::{ConfigDoc, ConfigSnapshot};
use gannetridge_wire::Name;

/// Prefix of the keys of configuration rows.
pub const CONFIG_PREFIX: &str = "config/";
/// Key of the row that holds the configuration's version.
pub const CONFIG_HEAD: &str = "config/head";

/// The parsed documents of the configuration in force.
#[derive(Debug, Default)]
pub struct ConfigStore {
    snapshot: ConfigSnapshot,
    documents: BTreeMap<DocumentKey, Document>,
    accounts: BTreeMap<Name, Arc<Account>>,
}

impl ConfigStore {
    /// Returns the version in force; 0 if there is none yet.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.snapshot.version
    }

    /// Returns the configuration in force as peers exchange it.
    #[must_use]
    pub fn snapshot(&self) -> &ConfigSnapshot {
        &self.snapshot
    }

    /// Returns the documents by key, for the validation of references.
    #[must_use]
    pub fn documents(&self) -> &BTreeMap<DocumentKey, Document> {
        &self.documents
    }

    /// Applies a snapshot if it is newer than the one in force, or in any case without
    /// `version_check`. Returns true if it was applied.
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
        // Documents are validated before they are stored, so only one written by a
        // newer release can fail here. It is skipped.
        let Ok(document) = Document::read(key.kind, &doc.key, &doc.text) else {
            return;
        };
        if let Document::Account(account) = &document {
            self.accounts
                .insert(key.name.clone(), Arc::new(account.clone()));
        }
        self.documents.insert(key, document);
    }

    /// Returns the account of this name, if it is configured.
    #[must_use]
    pub fn account(&self, name: &str) -> Option<&Arc<Account>> {
        self.accounts.get(name)
    }

    /// Returns the template of this name, if it is configured.
    #[must_use]
    pub fn template(&self, name: &Name) -> Option<&Template> {
        let key = DocumentKey {
            kind: DocumentKind::Template,
            name: name.clone(),
        };
        match self.documents.get(&key)? {
            Document::Template(template) => Some(template),
            _ => None,
        }
    }

    /// Returns the halls that are being drained.
    #[must_use]
    pub fn draining(&self) -> BTreeSet<Name> {
        let draining = |(key, document): (&DocumentKey, &Document)| match document {
            Document::Hall(hall) if hall.state == HallState::Draining => Some(key.name.clone()),
            _ => None,
        };
        self.documents.iter().filter_map(draining).collect()
    }
}
