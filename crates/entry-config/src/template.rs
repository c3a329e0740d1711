//! Templates: kinds of jobs, with their limits and parameters.

use std::collections::BTreeMap;

use gannetridge_entry_wire::submission::{ParameterValue, MAX_TASKS};
use toml::{Table, Value};

use crate::check::{describe_value, Fault, TableReader};

/// The type, default and allowed values of a template's parameter.
#[derive(Clone, Debug, PartialEq)]
pub enum ParameterRule {
    /// A boolean.
    Bool {
        /// Applies where neither account nor caller gives a value.
        default: bool,
    },
    /// An integer.
    Int {
        /// Applies where neither account nor caller gives a value.
        default: i64,
        /// The smallest allowed value.
        min: i64,
        /// The largest allowed value.
        max: i64,
    },
    /// A text.
    Text {
        /// Applies where neither account nor caller gives a value.
        default: String,
        /// The allowed values; if empty, any text is allowed.
        allowed: Vec<String>,
    },
}

impl ParameterRule {
    /// Returns true if the value has the right type and is allowed.
    #[must_use]
    pub fn admits(&self, value: &ParameterValue) -> bool {
        match (self, value) {
            (Self::Bool { .. }, ParameterValue::Bool(_)) => true,
            (Self::Int { min, max, .. }, ParameterValue::Int(n)) => (min..=max).contains(&n),
            (Self::Text { allowed, .. }, ParameterValue::Text(s)) => {
                allowed.is_empty() || allowed.contains(s)
            }
            _ => false,
        }
    }

    /// Returns the value that applies where none is given.
    #[must_use]
    pub fn default_value(&self) -> ParameterValue {
        match self {
            Self::Bool { default } => ParameterValue::Bool(*default),
            Self::Int { default, .. } => ParameterValue::Int(*default),
            Self::Text { default, .. } => ParameterValue::Text(default.clone()),
        }
    }

    /// Describes the allowed values, for error messages.
    #[must_use]
    pub fn allowed_description(&self) -> String {
        match self {
            Self::Bool { .. } => "true or false".to_owned(),
            Self::Int { min, max, .. } => format!("a whole number from {min} to {max}"),
            Self::Text { allowed, .. } if allowed.is_empty() => "a text".to_owned(),
            Self::Text { allowed, .. } => format!("one of {}", allowed.join(", ")),
        }
    }
}

/// A kind of job.
#[derive(Clone, Debug, PartialEq)]
pub struct Template {
    /// How long a task usually runs, in milliseconds; 1 to 60,000.
    pub expected_ms: u32,
    /// The largest number of tasks in one job, at most [`MAX_TASKS`].
    pub max_tasks: usize,
    /// The parameters, by name.
    pub parameters: BTreeMap<String, ParameterRule>,
}

const KEYS: [&str; 3] = ["expected-ms", "max-tasks", "parameters"];
const MAX_EXPECTED_MS: i64 = 60_000;

impl Template {
    /// Reads a template from a table and adds its faults to `faults`.
    pub(crate) fn read(file: &str, table: Table, faults: &mut Vec<Fault>) -> Self {
        let mut reader = TableReader::new(file, "", table, faults);
        let expected_ms = reader.take_int("expected-ms", None, 1, MAX_EXPECTED_MS);
        let limit = MAX_TASKS as i64;
        let max_tasks = reader.take_int("max-tasks", Some(limit), 1, limit);
        let tables = reader.take_tables("parameters");
        reader.reject_unknown_keys(&KEYS);
        let parameters = tables
            .into_iter()
            .map(|(name, table)| {
                let prefix = format!("parameters.{name}.");
                let rule = read_rule(TableReader::new(file, &prefix, table, faults));
                (name, rule)
            })
            .collect();
        Self {
            expected_ms: expected_ms as u32,
            max_tasks: max_tasks as usize,
            parameters,
        }
    }
}

fn read_rule(mut reader: TableReader<'_>) -> ParameterRule {
    let kind = reader.take_one_of("type", "bool", &["bool", "int", "text"]);
    match kind.as_str() {
        "int" => {
            let min = reader.take_int("min", Some(i64::MIN), i64::MIN, i64::MAX);
            let max = reader.take_int("max", Some(i64::MAX), min, i64::MAX);
            let default = reader.take_int("default", None, min, max);
            reader.reject_unknown_keys(&["type", "default", "min", "max"]);
            ParameterRule::Int { default, min, max }
        }
        "text" => {
            let allowed = match reader.take_value("allowed") {
                None => Vec::new(),
                Some(value) => text_list(&mut reader, value),
            };
            let default = match reader.take_value("default") {
                Some(Value::String(s)) if allowed.is_empty() || allowed.contains(&s) => s,
                other => {
                    let found = other.as_ref().map_or("nothing".to_owned(), describe_value);
                    reader.add_fault("default", found, "a text that the rule allows");
                    String::new()
                }
            };
            reader.reject_unknown_keys(&["type", "default", "allowed"]);
            ParameterRule::Text { default, allowed }
        }
        _ => {
            let default = reader.take_bool("default", false);
            reader.reject_unknown_keys(&["type", "default"]);
            ParameterRule::Bool { default }
        }
    }
}

fn text_list(reader: &mut TableReader<'_>, value: Value) -> Vec<String> {
    let list = value.as_array().map(Vec::as_slice).unwrap_or_default();
    let texts: Vec<String> = list
        .iter()
        .filter_map(|v| v.as_str().map(str::to_owned))
        .collect();
    if texts.is_empty() || texts.len() != list.len() {
        reader.add_fault("allowed", describe_value(&value), "a list of texts");
    }
    texts
}
