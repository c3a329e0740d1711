//! Job files: jobs as callers write them, without an id.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use gannetridge_entry_wire::submission::ParameterValue;
use gannetridge_entry_wire::{Submission, SubmissionId, SubmissionIdError, TaskSpec};
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

/// A job in JSON.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct JobFile {
    /// The client account on whose behalf the job runs.
    pub account: Name,
    /// The name of the template for this kind of job.
    pub template: Name,
    /// The hall whose hosts are to own the submission.
    pub hall: Name,
    /// Parameter values; they take precedence over those of the account.
    #[serde(default)]
    pub parameters: BTreeMap<String, ParameterValue>,
    /// The tasks, which run in parallel.
    pub tasks: Vec<TaskSpec>,
    /// How long after the id's creation the answer is still useful, in ms.
    pub deadline_ms: u64,
}

/// Why a job file can't be turned into a submission.
#[derive(Debug, Error)]
pub enum JobFileError {
    /// The text isn't JSON, or not a job.
    #[error("invalid job file")]
    Parse(#[from] serde_json::Error),
    /// The hall or key can't be part of an id.
    #[error("invalid hall or key for a submission id")]
    Id(#[from] SubmissionIdError),
}

impl JobFile {
    /// Parses a job file.
    ///
    /// # Errors
    ///
    /// Fails if the text isn't a job in JSON.
    pub fn read(text: &str) -> Result<Self, JobFileError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Creates a submission with a new id from the hall, the current time and
    /// `key`.
    ///
    /// # Errors
    ///
    /// Fails if the hall or `key` can't be part of an id.
    pub fn into_submission(self, key: &str) -> Result<Submission, JobFileError> {
        let created_ms = now_ms();
        let id: SubmissionId = format!("{}.{created_ms}.{key}", self.hall).parse()?;
        Ok(self.into_submission_with_id(id))
    }

    /// Creates a submission with an existing id.
    #[must_use]
    pub fn into_submission_with_id(self, id: SubmissionId) -> Submission {
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

/// Returns the attempt number for sending an id now. Since it grows with time,
/// a caller that resends an id after a restart needs no count of earlier sends.
#[must_use]
pub fn current_attempt(id: &SubmissionId) -> u32 {
    const MS_PER_ATTEMPT: u64 = 500;
    let attempt = now_ms().saturating_sub(id.created_ms) / MS_PER_ATTEMPT;
    u32::try_from(attempt).unwrap_or(u32::MAX).max(1)
}

/// Returns the system time in milliseconds since the Unix epoch, or 0 before
/// it.
#[must_use]
pub fn now_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    since_epoch.map_or(0, |d| d.as_millis() as u64)
}
