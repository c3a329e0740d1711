//! Reads TOML tables key by key and collects all faults, so that an operator
//! sees them together.

use std::fmt;

use thiserror::Error;
use toml::{Table, Value};

/// One invalid, missing or unknown value in a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The name of the file or document.
    pub file: String,
    /// The dotted path of the key; empty if the text isn't TOML.
    pub key: String,
    /// The value found, or the parser's message.
    pub found: String,
    /// Describes the allowed values.
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

/// Takes values out of a table, validates them and collects their faults.
pub struct TableReader<'a> {
    file: &'a str,
    prefix: String,
    table: Table,
    faults: &'a mut Vec<Fault>,
}

impl<'a> TableReader<'a> {
    /// Creates a reader for a table of `file`. `prefix` is put before each key
    /// in faults; unless empty, it ends with a dot.
    pub fn new(file: &'a str, prefix: &str, table: Table, faults: &'a mut Vec<Fault>) -> Self {
        Self {
            file,
            prefix: prefix.to_owned(),
            table,
            faults,
        }
    }

    /// Adds a fault.
    pub fn add_fault(&mut self, key: &str, found: impl Into<String>, allowed: impl Into<String>) {
        self.faults.push(Fault {
            file: self.file.to_owned(),
            key: format!("{}{key}", self.prefix),
            found: found.into(),
            allowed: allowed.into(),
        });
    }

    /// Takes a value of any type, if the key is present.
    pub fn take_value(&mut self, key: &str) -> Option<Value> {
        self.table.remove(key)
    }

    /// Takes an integer from `min` to `max`, or the default if the key is
    /// absent. Adds a fault and returns `min` if the value is invalid, or
    /// absent without a default.
    pub fn take_int(&mut self, key: &str, default: Option<i64>, min: i64, max: i64) -> i64 {
        let allowed = format!("a whole number from {min} to {max}");
        match (self.take_value(key), default) {
            (Some(Value::Integer(n)), _) if (min..=max).contains(&n) => n,
            (Some(other), _) => {
                self.add_fault(key, describe_value(&other), allowed);
                min
            }
            (None, Some(default)) => default,
            (None, None) => {
                self.add_fault(key, "nothing", allowed);
                min
            }
        }
    }

    /// Takes a boolean. Returns the default if the key is absent, or after
    /// adding a fault if the value is invalid.
    pub fn take_bool(&mut self, key: &str, default: bool) -> bool {
        match self.take_value(key) {
            Some(Value::Boolean(b)) => b,
            Some(other) => {
                self.add_fault(key, describe_value(&other), "true or false");
                default
            }
            None => default,
        }
    }

    /// Takes one of the allowed texts. Returns the default if the key is
    /// absent, or after adding a fault if the value is invalid.
    pub fn take_one_of(&mut self, key: &str, default: &str, allowed: &[&str]) -> String {
        match self.take_value(key) {
            Some(Value::String(s)) if allowed.contains(&s.as_str()) => s,
            Some(other) => {
                let list = allowed.join(", ");
                self.add_fault(key, describe_value(&other), format!("one of {list}"));
                default.to_owned()
            }
            None => default.to_owned(),
        }
    }

    /// Takes a non-empty list of texts. Adds a fault and returns an empty list
    /// if there is none.
    pub fn take_names(&mut self, key: &str) -> Vec<String> {
        const ALLOWED: &str = "a list of one or more names";
        let Some(value) = self.take_value(key) else {
            self.add_fault(key, "nothing", ALLOWED);
            return Vec::new();
        };
        let names = as_texts(&value).filter(|names| !names.is_empty());
        names.unwrap_or_else(|| {
            self.add_fault(key, describe_value(&value), ALLOWED);
            Vec::new()
        })
    }

    /// Takes a table of tables; empty if the key is absent. Adds a fault for
    /// each value that isn't a table.
    pub fn take_tables(&mut self, key: &str) -> Vec<(String, Table)> {
        const ALLOWED: &str = "a table of tables";
        let inner = match self.take_value(key) {
            None => return Vec::new(),
            Some(Value::Table(inner)) => inner,
            Some(other) => {
                self.add_fault(key, describe_value(&other), ALLOWED);
                return Vec::new();
            }
        };
        let mut tables = Vec::new();
        for (name, value) in inner {
            match value {
                Value::Table(table) => tables.push((name, table)),
                other => self.add_fault(&format!("{key}.{name}"), describe_value(&other), ALLOWED),
            }
        }
        tables
    }

    /// Adds a fault for each key that wasn't taken; `known` lists the allowed
    /// keys for the message.
    pub fn reject_unknown_keys(mut self, known: &[&str]) {
        let unknown = std::mem::take(&mut self.table);
        let list = known.join(", ");
        for (key, value) in unknown {
            self.add_fault(
                &key,
                describe_value(&value),
                format!("one of the keys {list}"),
            );
        }
    }
}

fn as_texts(value: &Value) -> Option<Vec<String>> {
    let list = value.as_array()?;
    list.iter().map(|v| v.as_str().map(str::to_owned)).collect()
}

/// Formats a value with its TOML type.
pub(crate) fn describe_value(value: &Value) -> String {
    format!("{} {value}", value.type_str())
}
