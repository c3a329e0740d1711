//! A job as a caller writes it down, before it has an id.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use gannetridge_entry_wire::submission::ParameterValue;
use gannetridge_entry_wire::{Submission, SubmissionId, SubmissionIdError, TaskSpec};
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A job, JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct JobFile {
    /// The client account.
    pub account: Name,
    /// The template.
    pub template: Name,
    /// The hall in which the submission is to be at home.
    pub hall: Name,
    /// Parameters beside those of the account.
    #[serde(default)]
    pub parameters: BTreeMap<String, ParameterValue>,
    /// The tasks.
    pub tasks: Vec<TaskSpec>,
    /// How long the answer is wanted, in ms.
    pub deadline_ms: u64,
}

/// Why a job can't be made into a submission.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// The text is no job.
    #[error("the text is no job")]
    Parse(#[from] serde_json::Error),
    /// The hall or key don't make an id.
    #[error("the hall or key don't make an id")]
    Id(#[from] SubmissionIdError),
}

impl JobFile {
    /// Reads a job.
    ///
    /// # Errors
    ///
    /// Fails if the text is no job.
    pub fn read(text: &str) -> Result<Self, JobFileError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Makes a submission with a new id.
    ///
    /// # Errors
    ///
    /// Fails if the hall or `key` have characters that ids don't allow.
    pub fn submission(self, key: &str) -> Result<Submission, JobFileError> {
        let created_ms = now_ms();
        let id: SubmissionId = format!("{}.{created_ms}.{key}", self.hall).parse()?;
        Ok(self.with_id(id))
    }

    /// Makes a submission with an id used before.
    #[must_use]
    pub fn with_id(self, id: SubmissionId) -> Submission {
        Submission {
            id,
            account: self.account,
            template: self.template,
            parameters: self.parameters,
            tasks: self.tasks,
            deadline_ms: self.deadline_ms,
            attempt: 0,
        }
    }
}

/// Returns the count for a sending that is made now. It grows with time, so
/// that one who sends an id again need not know how often it was sent before.
#[must_use]
pub fn attempt_now(id: &SubmissionId) -> u32 {
    const STEP_MS: u64 = 500;
    let steps = now_ms().saturating_sub(id.created_ms) / STEP_MS;
    u32::try_from(steps).unwrap_or(u32::MAX).max(1)
}

/// Returns this machine's time in milliseconds since the Unix epoch.
#[must_use]
pub fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}
