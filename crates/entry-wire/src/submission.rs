//! What a caller submits.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::{SubmissionId, Time};
use gannetridge_wire::Name;

/// Most tasks that one submission may hold.
pub const MAX_TASKS: usize = 1_600;

/// The value of a parameter.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum ParameterValue {
    /// True or false.
    Bool(bool),
    /// A whole number.
    Int(i64),
    /// A fraction.
    Float(f64),
    /// A text.
    Text(String),
}

/// One task of a submission.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct TaskSpec {
    /// What the target gets, unread on the way.
    pub input: String,
    /// How long the caller expects the task to run, in milliseconds. The
    /// template's figure holds where it is absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected_ms: Option<u32>,
}

/// A job of parallel tasks, answered as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Submission {
    /// The submission's name; the same name is never started twice.
    pub id: SubmissionId,
    /// The client account on whose behalf the job runs.
    pub account: Name,
    /// The template that describes this kind of job.
    pub template: Name,
    /// Values that go beside those of the account.
    #[serde(default)]
    pub parameters: BTreeMap<String, ParameterValue>,
    /// The tasks, 1 to [`MAX_TASKS`].
    pub tasks: Vec<TaskSpec>,
    /// How long after the id's creation the answer is still wanted, in ms.
    pub deadline_ms: u64,
    /// Counts the caller's sendings of this id: 0 for the first, and greater
    /// with each. A refusal holds for all sendings up to its own, also for
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

    /// Returns a digest of the contents, without the count of sendings.
    ///
    /// # Panics
    ///
    /// Never in practice: every field has a JSON form.
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
        let text = serde_json::to_vec(&parts).expect("plain data has a JSON form");
        hasher.update(&text);
        hasher.digest128()
    }
}
