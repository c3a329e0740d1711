//! Templates: kinds of jobs.

use std::collections::BTreeMap;

use gannetridge_entry_wire::submission::{ParameterValue, MAX_TASKS};
use toml::{Table, Value};

use crate::check::{show, Checker, Fault};

/// What a parameter of a template may be.
#[derive(Clone, Debug, PartialEq)]
pub enum ParameterRule {
    /// A truth value.
    Bool {
        /// The value where none is given.
        default: bool,
    },
    /// A whole number.
    Int {
        /// The value where none is given.
        default: i64,
        /// The least value.
        min: i64,
        /// The greatest value.
        max: i64,
    },
    /// A text.
    Text {
        /// The value where none is given.
        default: String,
        /// The values allowed; any if empty.
        allowed: Vec<String>,
    },
}

impl ParameterRule {
    /// Tells whether the value keeps to the rule.
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

    /// Returns the value where none is given.
    #[must_use]
    pub fn default_value(&self) -> ParameterValue {
        match self {
            Self::Bool { default } => ParameterValue::Bool(*default),
            Self::Int { default, .. } => ParameterValue::Int(*default),
            Self::Text { default, .. } => ParameterValue::Text(default.clone()),
        }
    }

    /// Says what the rule allows.
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
    /// How long a task usually runs, in milliseconds.
    pub expected_ms: u32,
    /// Most tasks of one job.
    pub max_tasks: usize,
    /// The parameters, by name.
    pub parameters: BTreeMap<String, ParameterRule>,
}

const KEYS: [&str; 3] = ["expected-ms", "max-tasks", "parameters"];
/// The longest time that a document may expect of a task, in ms. Chosen, not measured.
const LONGEST_TASK_MS: i64 = 60_000;

impl Template {
    /// Reads a template and notes every fault.
    pub(crate) fn read(file: &str, table: Table, faults: &mut Vec<Fault>) -> Self {
        let mut checker = Checker::new(file, "", table, faults);
        let expected_ms = checker.int("expected-ms", None, 1, LONGEST_TASK_MS);
        let limit = MAX_TASKS as i64;
        let max_tasks = checker.int("max-tasks", Some(limit), 1, limit);
        let tables = checker.tables("parameters");
        checker.finish(&KEYS);
        let parameters = tables
            .into_iter()
            .map(|(name, table)| {
                let prefix = format!("parameters.{name}.");
                let rule = read_rule(Checker::new(file, &prefix, table, faults));
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

fn read_rule(mut checker: Checker<'_>) -> ParameterRule {
    let kind = checker.one_of("type", "bool", &["bool", "int", "text"]);
    match kind.as_str() {
        "int" => {
            let min = checker.int("min", Some(i64::MIN), i64::MIN, i64::MAX);
            let max = checker.int("max", Some(i64::MAX), min, i64::MAX);
            let default = checker.int("default", None, min, max);
            checker.finish(&["type", "default", "min", "max"]);
            ParameterRule::Int { default, min, max }
        }
        "text" => {
            let allowed = match checker.take("allowed") {
                None => Vec::new(),
                Some(value) => text_list(&mut checker, value),
            };
            let default = match checker.take("default") {
                Some(Value::String(s)) if allowed.is_empty() || allowed.contains(&s) => s,
                other => {
                    let found = other.as_ref().map_or("nothing".to_owned(), show);
                    checker.fault("default", found, "a text that the rule allows");
                    String::new()
                }
            };
            checker.finish(&["type", "default", "allowed"]);
            ParameterRule::Text { default, allowed }
        }
        _ => {
            let default = checker.bool("default", false);
            checker.finish(&["type", "default"]);
            ParameterRule::Bool { default }
        }
    }
}

fn text_list(checker: &mut Checker<'_>, value: Value) -> Vec<String> {
    let list = value.as_array().map(Vec::as_slice).unwrap_or_default();
    let texts: Vec<String> = list
        .iter()
        .filter_map(|v| v.as_str().map(str::to_owned))
        .collect();
    if texts.is_empty() || texts.len() != list.len() {
        checker.fault("allowed", show(&value), "a list of texts");
    }
    texts
}
