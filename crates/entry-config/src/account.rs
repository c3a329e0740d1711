//! Client accounts: on whose behalf jobs run, where and how urgently.

use std::collections::BTreeMap;

use gannetridge_entry_wire::submission::ParameterValue;
use gannetridge_wire::Name;
use toml::{Table, Value};

use crate::check::{show, Checker, Fault};

/// How an account's jobs go before others'.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Urgency {
    /// Before all others.
    Urgent,
    /// The default.
    Normal,
    /// After all others.
    Background,
}

impl Urgency {
    /// Returns the name that operators write.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Urgent => "urgent",
            Self::Normal => "normal",
            Self::Background => "background",
        }
    }
}

/// A client account.
#[derive(Clone, Debug, PartialEq)]
pub struct Account {
    /// The halls that it may use; the first is preferred.
    pub halls: Vec<Name>,
    /// How urgent its jobs are.
    pub urgency: Urgency,
    /// Slots that it may use at a time over all halls.
    pub quota_slots: u32,
    /// Whether a task may run again once its earlier run is proved over.
    pub repeatable: bool,
    /// Values for each template that it uses.
    pub templates: BTreeMap<String, BTreeMap<String, ParameterValue>>,
}

const KEYS: [&str; 5] = ["halls", "urgency", "quota-slots", "repeatable", "templates"];
const URGENCIES: [&str; 3] = ["urgent", "normal", "background"];
/// The largest quota that a document may give, in slots. Chosen, not measured.
const MOST_SLOTS: i64 = 1_000_000;

impl Account {
    /// Reads an account and notes every fault that it has by itself.
    pub(crate) fn read(file: &str, table: Table, faults: &mut Vec<Fault>) -> Self {
        let mut checker = Checker::new(file, "", table, faults);
        let halls = checker.names("halls");
        let urgency = match checker.one_of("urgency", "normal", &URGENCIES).as_str() {
            "urgent" => Urgency::Urgent,
            "background" => Urgency::Background,
            _ => Urgency::Normal,
        };
        let quota_slots = checker.int("quota-slots", None, 1, MOST_SLOTS) as u32;
        let repeatable = checker.bool("repeatable", false);
        let tables = checker.tables("templates");
        let mut templates = BTreeMap::new();
        for (name, table) in tables {
            let values = read_values(&mut checker, &name, table);
            templates.insert(name, values);
        }
        checker.finish(&KEYS);
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
    checker: &mut Checker<'_>,
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
                checker.fault(&key, show(&value), "a truth value, number or text");
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
