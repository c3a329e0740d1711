//! A document of any kind, and how documents refer to each other.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use gannetridge_wire::Name;
use thiserror::Error;
use toml::Table;

use crate::check::{Fault, Faults};
use crate::{Account, Hall, Template};

/// The kinds of documents.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentKind {
    /// A kind of job.
    Template,
    /// A client account.
    Account,
    /// A data hall.
    Hall,
}

impl DocumentKind {
    /// Returns the word that stands in keys and paths.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Template => "template",
            Self::Account => "account",
            Self::Hall => "hall",
        }
    }
}

/// The key of a document: `template/x`, `account/x` or `hall/x`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct DocumentKey {
    /// The kind.
    pub kind: DocumentKind,
    /// The name.
    pub name: Name,
}

/// Why a text is no document key.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("a document is named template/NAME, account/NAME or hall/NAME, with letters, digits, `-` and `_` in NAME; got `{0}`")]
pub struct DocumentKeyError(String);

impl fmt::Display for DocumentKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.kind.as_str(), self.name)
    }
}

impl FromStr for DocumentKey {
    type Err = DocumentKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let error = || DocumentKeyError(text.to_owned());
        let (kind, name) = text.split_once('/').ok_or_else(error)?;
        let kind = match kind {
            "template" => DocumentKind::Template,
            "account" => DocumentKind::Account,
            "hall" => DocumentKind::Hall,
            _ => return Err(error()),
        };
        let allowed = |c: char| c.is_ascii_alphanumeric() || "-_".contains(c);
        if name.is_empty() || !name.chars().all(allowed) {
            return Err(error());
        }
        Ok(Self {
            kind,
            name: name.into(),
        })
    }
}

/// A checked document.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    /// A kind of job.
    Template(Template),
    /// A client account.
    Account(Account),
    /// A data hall.
    Hall(Hall),
}

impl Document {
    /// Reads a document and checks what can be seen from it alone.
    ///
    /// # Errors
    ///
    /// Fails with all faults found, each with `file` before it.
    pub fn read(kind: DocumentKind, file: &str, text: &str) -> Result<Self, Faults> {
        let table: Table = match text.parse() {
            Ok(table) => table,
            Err(error) => return Err(not_toml(file, &error)),
        };
        let mut faults = Vec::new();
        let document = match kind {
            DocumentKind::Template => Self::Template(Template::read(file, table, &mut faults)),
            DocumentKind::Account => Self::Account(Account::read(file, table, &mut faults)),
            DocumentKind::Hall => Self::Hall(Hall::read(file, table, &mut faults)),
        };
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(Faults(faults))
        }
    }

    /// Checks what the document says of others.
    ///
    /// # Errors
    ///
    /// Fails with all faults found, each with `file` before it.
    pub fn check_references(
        &self,
        file: &str,
        others: &BTreeMap<DocumentKey, Document>,
    ) -> Result<(), Faults> {
        let Self::Account(account) = self else {
            return Ok(());
        };
        let mut faults = Vec::new();
        for hall in &account.halls {
            if !others.contains_key(&DocumentKey {
                kind: DocumentKind::Hall,
                name: hall.clone(),
            }) {
                faults.push(fault(
                    file,
                    "halls",
                    hall,
                    names_of(others, DocumentKind::Hall),
                ));
            }
        }
        for (name, values) in &account.templates {
            check_template(file, name, values, others, &mut faults);
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }
}

fn not_toml(file: &str, error: &toml::de::Error) -> Faults {
    Faults(vec![Fault {
        file: file.to_owned(),
        key: String::new(),
        found: error.message().to_owned(),
        allowed: "TOML".to_owned(),
    }])
}

fn check_template(
    file: &str,
    name: &str,
    values: &BTreeMap<String, gannetridge_entry_wire::submission::ParameterValue>,
    others: &BTreeMap<DocumentKey, Document>,
    faults: &mut Vec<Fault>,
) {
    let key = DocumentKey {
        kind: DocumentKind::Template,
        name: name.into(),
    };
    let Some(Document::Template(template)) = others.get(&key) else {
        let allowed = names_of(others, DocumentKind::Template);
        faults.push(fault(file, &format!("templates.{name}"), name, allowed));
        return;
    };
    for (key, value) in values {
        let path = format!("templates.{name}.{key}");
        match template.parameters.get(key) {
            None => {
                let known: Vec<&str> = template.parameters.keys().map(String::as_str).collect();
                let allowed = format!("one of the keys {}", known.join(", "));
                faults.push(fault(file, &path, key, allowed));
            }
            Some(rule) if !rule.admits(value) => {
                faults.push(fault(
                    file,
                    &path,
                    &format!("{value:?}"),
                    rule.allowed_description(),
                ));
            }
            Some(_) => {}
        }
    }
}

fn fault(file: &str, key: &str, found: &str, allowed: String) -> Fault {
    Fault {
        file: file.to_owned(),
        key: key.to_owned(),
        found: found.to_owned(),
        allowed,
    }
}

fn names_of(others: &BTreeMap<DocumentKey, Document>, kind: DocumentKind) -> String {
    let names: Vec<&str> = others
        .keys()
        .filter(|key| key.kind == kind)
        .map(|key| &*key.name)
        .collect();
    if names.is_empty() {
        format!("a known {}, there is none yet", kind.as_str())
    } else {
        format!("one of {}", names.join(", "))
    }
}
