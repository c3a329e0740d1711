//! Submissions: jobs as callers send them.

use std::collections::BTreeMap;
use std::fmt;
use std::mem::size_of;

use serde::de::{Error, MapAccess, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{SubmissionId, Time};
use gannetridge_wire::Name;

/// The largest number of tasks in one submission.
pub const MAX_TASKS: usize = 1_600;
/// The largest number of parameters in one submission.
pub const MAX_PARAMETERS: usize = 1_024;

/// The value of a template's parameter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ParameterValue {
    /// A boolean.
    Bool(bool),
    /// An integer.
    Int(i64),
    /// A floating-point number.
    Float(f64),
    /// A text.
    Text(String),
}

/// One task of a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TaskSpec {
    /// The input for the target; entry hosts pass it on uninterpreted.
    pub input: String,
    /// How long the caller expects the task to run, in milliseconds. If absent,
    /// the template's value applies.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u32>,
}

/// A job of parallel tasks, which gets one answer for all of them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Submission {
    /// Chosen by the caller; a submission with the same id is never started
    /// twice.
    pub id: SubmissionId,
    /// The client account on whose behalf the job runs.
    pub account: Name,
    /// The template that describes this kind of job.
    pub template: Name,
    /// Parameter values; they take precedence over those of the account.
    #[serde(default, deserialize_with = "bounded_parameters")]
    pub parameters: BTreeMap<String, ParameterValue>,
    /// The tasks, 1 to [`MAX_TASKS`].
    #[serde(deserialize_with = "bounded_tasks")]
    pub tasks: Vec<TaskSpec>,
    /// How long after the id's creation the answer is still useful, in ms.
    pub deadline_ms: u64,
    /// The number of this send of the id: 0 for the first, greater with each
    /// further one. A refusal holds for all sends up to its own, including
    /// those that arrive later.
    #[serde(default)]
    pub attempt: u32,
}

/// Deserializes at most [`MAX_TASKS`] tasks.
fn bounded_tasks<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<TaskSpec>, D::Error> {
    deserializer.deserialize_seq(TasksVisitor)
}

struct TasksVisitor;

impl<'de> Visitor<'de> for TasksVisitor {
    type Value = Vec<TaskSpec>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of tasks")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut list: A) -> Result<Self::Value, A::Error> {
        let mut tasks = Vec::new();
        while let Some(task) = list.next_element()? {
            if tasks.len() == MAX_TASKS {
                let error = format_args!("a submission has {MAX_TASKS} tasks at most");
                return Err(A::Error::custom(error));
            }
            tasks.push(task);
        }
        Ok(tasks)
    }
}

/// Deserializes at most [`MAX_PARAMETERS`] parameters.
fn bounded_parameters<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<String, ParameterValue>, D::Error> {
    deserializer.deserialize_map(ParametersVisitor)
}

struct ParametersVisitor;

impl<'de> Visitor<'de> for ParametersVisitor {
    type Value = BTreeMap<String, ParameterValue>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a table of parameters")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut table: A) -> Result<Self::Value, A::Error> {
        let mut parameters = BTreeMap::new();
        while let Some((key, value)) = table.next_entry()? {
            if parameters.len() == MAX_PARAMETERS {
                let error = format_args!("a submission has {MAX_PARAMETERS} parameters at most");
                return Err(A::Error::custom(error));
            }
            parameters.insert(key, value);
        }
        Ok(parameters)
    }
}

impl Submission {
    /// Returns the memory of the submission, in bytes, about.
    #[must_use]
    pub fn bytes(&self) -> usize {
        let inputs = self.tasks.iter().map(|task| task.input.len());
        let tasks = inputs.map(|input| input + size_of::<TaskSpec>());
        let parameters = self.parameters.iter().map(|(key, value)| {
            let text = match value {
                ParameterValue::Text(text) => text.len(),
                ParameterValue::Bool(_) | ParameterValue::Int(_) | ParameterValue::Float(_) => 0,
            };
            key.len() + text + size_of::<(String, ParameterValue)>()
        });
        size_of::<Self>() + tasks.sum::<usize>() + parameters.sum::<usize>()
    }

    /// Returns the time after which the caller has no use for an answer.
    #[must_use]
    pub fn deadline(&self) -> Time {
        self.id.created().plus_millis(self.deadline_ms)
    }

    /// Returns a digest of the contents, without `id` and `attempt`.
    ///
    /// # Panics
    ///
    /// Never in practice, since every field can be encoded as JSON.
    #[must_use]
    pub fn digest(&self) -> u128 {
        let mut hasher = Xxh3::new();
        let parts = (
            &self.account,
            &self.template,
            &self.parameters,
            &self.tasks,
            self.deadline_ms,
        );
        let text = serde_json::to_vec(&parts).expect("plain data is always encodable");
        hasher.update(&text);
        hasher.digest128()
    }
}
