//! Reads TOML tables key by key and gathers every fault.

use std::fmt;

use thiserror::Error;
use toml::{Table, Value};

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The file or document.
    pub file: String,
    /// The key, with dots.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What may stand there.
    pub allowed: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            key,
            found,
            allowed,
        } = self;
        write!(f, "{file}: `{key}`: found {found}, allowed: {allowed}")
    }
}

/// All faults of a document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Error)]
pub struct Faults(pub Vec<Fault>);

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.0.iter().enumerate() {
            if i > 0 {
                writeln!(f)?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

/// Takes values out of a table and notes what is wrong with them.
pub struct Checker<'a> {
    file: &'a str,
    prefix: String,
    table: Table,
    faults: &'a mut Vec<Fault>,
}

impl<'a> Checker<'a> {
    /// Creates a checker for a table of `file` that stands under `prefix`.
    pub fn new(file: &'a str, prefix: &str, table: Table, faults: &'a mut Vec<Fault>) -> Self {
        Self {
            file,
            prefix: prefix.to_owned(),
            table,
            faults,
        }
    }

    /// Notes a fault.
    pub fn fault(&mut self, key: &str, found: impl Into<String>, allowed: impl Into<String>) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            key: format!("{}{key}", self.prefix),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    /// Takes a value that may be absent.
    pub fn take(&mut self, key: &str) -> Option<Value> {
        self.table.remove(key)
    }

    /// Takes a whole number within bounds, or the default where it is absent.
    pub fn int(&mut self, key: &str, default: Option<i64>, min: i64, max: i64) -> i64 {
        let allowed = format!("a whole number from {min} to {max}");
        match (self.take(key), default) {
            (Some(Value::Integer(n)), _) if (min..=max).contains(&n) => n,
            (Some(other), _) => {
                self.fault(key, show(&other), allowed);
                min
            }
            (None, Some(default)) => default,
            (None, None) => {
                self.fault(key, "nothing", allowed);
                min
            }
        }
    }

    /// Takes a truth value, or the default where it is absent.
    pub fn bool(&mut self, key: &str, default: bool) -> bool {
        match self.take(key) {
            Some(Value::Boolean(b)) => b,
            Some(other) => {
                self.fault(key, show(&other), "true or false");
                default
            }
            None => default,
        }
    }

    /// Takes one of the listed texts, or the default where it is absent.
    pub fn one_of(&mut self, key: &str, default: &str, allowed: &[&str]) -> String {
        match self.take(key) {
            Some(Value::String(s)) if allowed.contains(&s.as_str()) => s,
            Some(other) => {
                let list = allowed.join(", ");
                self.fault(key, show(&other), format!("one of {list}"));
                default.to_owned()
            }
            None => default.to_owned(),
        }
    }

    /// Takes a list of texts, at least one.
    pub fn names(&mut self, key: &str) -> Vec<String> {
        const ALLOWED: &str = "a list of one or more names";
        let Some(value) = self.take(key) else {
            self.fault(key, "nothing", ALLOWED);
            return Vec::new();
        };
        let names = as_names(&value).filter(|names| !names.is_empty());
        names.unwrap_or_else(|| {
            self.fault(key, show(&value), ALLOWED);
            Vec::new()
        })
    }

    /// Takes a table of tables; an absent one is empty.
    pub fn tables(&mut self, key: &str) -> Vec<(String, Table)> {
        const ALLOWED: &str = "a table of tables";
        let inner = match self.take(key) {
            None => return Vec::new(),
            Some(Value::Table(inner)) => inner,
            Some(other) => {
                self.fault(key, show(&other), ALLOWED);
                return Vec::new();
            }
        };
        let mut tables = Vec::new();
        for (name, value) in inner {
            match value {
                Value::Table(table) => tables.push((name, table)),
                other => self.fault(&format!("{key}.{name}"), show(&other), ALLOWED),
            }
        }
        tables
    }

    /// Notes each key that nobody took.
    pub fn finish(mut self, known: &[&str]) {
        let rest = std::mem::take(&mut self.table);
        let list = known.join(", ");
        for (key, value) in rest {
            self.fault(&key, show(&value), format!("one of the keys {list}"));
        }
    }
}

fn as_names(value: &Value) -> Option<Vec<String>> {
    let list = value.as_array()?;
    list.iter().map(|v| v.as_str().map(str::to_owned)).collect()
}

/// Shows a value as an operator wrote it.
pub(crate) fn show(value: &Value) -> String {
    format!("{} {value}", value.type_str())
}
