//! Submissions: jobs as callers send them.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{SubmissionId, Time};
use gannetridge_wire::Name;

/// The largest number of tasks in one submission.
pub const MAX_TASKS: usize = 1_600;

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
    #[serde(default)]
    pub parameters: BTreeMap<String, ParameterValue>,
    /// The tasks, 1 to [`MAX_TASKS`].
    pub tasks: Vec<TaskSpec>,
    /// How long after the id's creation the answer is still useful, in ms.
    pub deadline_ms: u64,
    /// The number of this send of the id: 0 for the first, greater with each
    /// further one. A refusal holds for all sends up to its own, including
    /// those that arrive later.
    #[serde(default)]
    pub attempt: u32,
}

impl Submission {
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
