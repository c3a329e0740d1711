//! Documents of any kind, their keys, and the references between them.

use std::collections::BTreeMap;
use std::fmt;
use std::str::FromStr;

use gannetridge_wire::Name;
use thiserror::Error;
use toml::Table;

use crate::check::{Fault, Faults};
use crate::{Account, Hall, Template};

/// The kind of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DocumentKind {
    /// A [`Template`], which describes a kind of job.
    Template,
    /// A client [`Account`].
    Account,
    /// A data [`Hall`].
    Hall,
}

impl DocumentKind {
    /// Returns the name used in document keys and paths.
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
    /// The part before the slash.
    pub kind: DocumentKind,
    /// The part after the slash. Parsing accepts ASCII letters, digits, `-`
    /// and `_`.
    pub name: Name,
}

/// The error for a text that isn't a valid document key; holds that text.
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

/// A document that is valid by itself; its references may be unresolved.
#[derive(Clone, Debug, PartialEq)]
pub enum Document {
    /// Describes a kind of job.
    Template(Template),
    /// Describes a client account.
    Account(Account),
    /// Describes a data hall.
    Hall(Hall),
}

impl Document {
    /// Parses a document and validates it without regard to other documents.
    ///
    /// # Errors
    ///
    /// Returns all faults found, each attributed to `file`.
    pub fn read(kind: DocumentKind, file: &str, text: &str) -> Result<Self, Faults> {
        let table: Table = match text.parse() {
            Ok(table) => table,
            Err(error) => return Err(syntax_faults(file, &error)),
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

    /// Checks that the halls, templates and parameters to which the document
    /// refers exist, and that its parameter values are allowed.
    ///
    /// # Errors
    ///
    /// Returns all faults found, each attributed to `file`.
    pub fn check_references(
        &self,
        file: &str,
        documents: &BTreeMap<DocumentKey, Document>,
    ) -> Result<(), Faults> {
        let Self::Account(account) = self else {
            return Ok(());
        };
        let mut faults = Vec::new();
        for hall in &account.halls {
            if !documents.contains_key(&DocumentKey {
                kind: DocumentKind::Hall,
                name: hall.clone(),
            }) {
                faults.push(new_fault(
                    file,
                    "halls",
                    hall,
                    allowed_names(documents, DocumentKind::Hall),
                ));
            }
        }
        for (name, values) in &account.templates {
            check_template_values(file, name, values, documents, &mut faults);
        }
        if faults.is_empty() {
            Ok(())
        } else {
            Err(Faults(faults))
        }
    }
}

fn syntax_faults(file: &str, error: &toml::de::Error) -> Faults {
    Faults(vec![Fault {
        file: file.to_owned(),
        key: String::new(),
        found: error.message().to_owned(),
        allowed: "TOML".to_owned(),
    }])
}

/// Checks an account's parameter values for the template `name`.
fn check_template_values(
    file: &str,
    name: &str,
    values: &BTreeMap<String, gannetridge_entry_wire::submission::ParameterValue>,
    documents: &BTreeMap<DocumentKey, Document>,
    faults: &mut Vec<Fault>,
) {
    let key = DocumentKey {
        kind: DocumentKind::Template,
        name: name.into(),
    };
    let Some(Document::Template(template)) = documents.get(&key) else {
        let allowed = allowed_names(documents, DocumentKind::Template);
        faults.push(new_fault(file, &format!("templates.{name}"), name, allowed));
        return;
    };
    for (key, value) in values {
        let path = format!("templates.{name}.{key}");
        match template.parameters.get(key) {
            None => {
                let known: Vec<&str> = template.parameters.keys().map(String::as_str).collect();
                let allowed = format!("one of the keys {}", known.join(", "));
                faults.push(new_fault(file, &path, key, allowed));
            }
            Some(rule) if !rule.admits(value) => {
                faults.push(new_fault(
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

fn new_fault(file: &str, key: &str, found: &str, allowed: String) -> Fault {
    Fault {
        file: file.to_owned(),
        key: key.to_owned(),
        found: found.to_owned(),
        allowed,
    }
}

fn allowed_names(documents: &BTreeMap<DocumentKey, Document>, kind: DocumentKind) -> String {
    let names: Vec<&str> = documents
        .keys()
        .filter(|key| key.kind == kind)
        .map(|key| &*key.name)
        .collect();
    if names.is_empty() {
        format!("a known {}; none exists yet", kind.as_str())
    } else {
        format!("one of {}", names.join(", "))
    }
}
