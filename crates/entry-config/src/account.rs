//! Client accounts: the halls, urgency, quota and templates of their jobs.

use std::collections::BTreeMap;

use gannetridge_entry_wire::submission::ParameterValue;
use gannetridge_wire::Name;
use toml::{Table, Value};

use crate::check::{describe_value, Fault, TableReader};

/// The scheduling class of an account's jobs. The most urgent class comes first
/// in the derived order, and is served first among accounts within their quota
/// as well as among those over it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Is served before the other classes.
    Urgent,
    /// Applies where the document names none.
    Normal,
    /// Is served after the other classes.
    Background,
}

impl Urgency {
    /// Returns the name used in documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Background => "background",
        }
    }
}

/// A client account, on whose behalf jobs run.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The halls that its jobs may use, at least one.
    pub halls: Vec<Name>,
    /// Applies to all of its jobs.
    pub urgency: Urgency,
    /// The number of slots that it may use at the same time over all halls.
    pub quota_slots: u32,
    /// True if a task may run again once its earlier run is known to have
    /// ended.
    pub repeatable: bool,
    /// Parameter values by template and parameter name; the account may use
    /// only these templates.
    pub templates: BTreeMap<String, BTreeMap<String, ParameterValue>>,
}

const KEYS: [&str; 5] = ["halls", "urgency", "quota-slots", "repeatable", "templates"];
const URGENCIES: [&str; 3] = ["urgent", "normal", "background"];
const MAX_QUOTA_SLOTS: i64 = 1_000_000;

impl Account {
    /// Reads an account from a table and adds its faults to `faults`.
    pub(crate) fn read(file: &str, table: Table, faults: &mut Vec<Fault>) -> Self {
        let mut reader = TableReader::new(file, "", table, faults);
        let halls = reader.take_names("halls");
        let urgency = match reader.take_one_of("urgency", "normal", &URGENCIES).as_str() {
            "urgent" => Urgency::Urgent,
            "background" => Urgency::Background,
            _ => Urgency::Normal,
        };
        let quota_slots = reader.take_int("quota-slots", None, 1, MAX_QUOTA_SLOTS) as u32;
        let repeatable = reader.take_bool("repeatable", false);
        let tables = reader.take_tables("templates");
        let mut templates = BTreeMap::new();
        for (name, table) in tables {
            let values = read_values(&mut reader, &name, table);
            templates.insert(name, values);
        }
        reader.reject_unknown_keys(&KEYS);
        Self {
            halls: halls.into_iter().map(Name::from).collect(),
            urgency,
            quota_slots,
            repeatable,
            templates,
        }
    }
}

fn read_values(
    reader: &mut TableReader<'_>,
    template: &str,
    table: Table,
) -> BTreeMap<String, ParameterValue> {
    let mut values = BTreeMap::new();
    for (key, value) in table {
        match parameter_value(&value) {
            Some(value) => {
                values.insert(key, value);
            }
            None => {
                let key = format!("templates.{template}.{key}");
                reader.add_fault(&key, describe_value(&value), "a boolean, number or text");
            }
        }
    }
    values
}

fn parameter_value(value: &Value) -> Option<ParameterValue> {
    match value {
        Value::Boolean(b) => Some(ParameterValue::Bool(*b)),
        Value::Integer(n) => Some(ParameterValue::Int(*n)),
        Value::Float(x) => Some(ParameterValue::Float(*x)),
        Value::String(s) => Some(ParameterValue::Text(s.clone())),
        _ => None,
    }
}
