//! The simulated callers' jobs: what was submitted, each attempt, and the answers.

use std::collections::HashMap;

use gannetridge_entry_wire::{Answer, Submission, SubmissionId, Time};
use gannetridge_wire::Name;

/// Identifies one attempt to submit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// Index into [`Callers::jobs`].
    pub job: usize,
    /// Index into [`CallerJob::attempts`].
    pub attempt: usize,
}

/// The state of one attempt to submit a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptState {
    /// Waits for an answer.
    Open,
    /// The caller no longer waits, but the request may still take effect.
    Abandoned,
    /// Refused as not run.
    Refused,
    /// Any other answer.
    Answered,
}

/// A job as its caller sees it.
#[derive(Debug)]
pub struct CallerJob {
    /// Index into the scenario's accounts.
    pub account: usize,
    /// The original submission.
    pub submission: Submission,
    /// A submission of the same id with different contents, if one was sent.
    pub conflicting: Option<Submission>,
    /// All attempts; the bool is true if the conflicting submission was sent.
    pub attempts: Vec<(AttemptState, bool)>,
    /// Send time of each entry of `attempts`.
    pub attempt_times: Vec<Time>,
    /// Arrival time of the job at its caller.
    pub first_sent: Time,
    /// The first final answer to the original submission.
    pub answer: Option<Answer>,
    /// Run time of the slowest task on a runner without slowdown, in ms.
    pub slowest_ms: u64,
    /// True if the caller makes no further attempts.
    pub given_up: bool,
    /// True if the job arrived after the warm-up.
    pub measured: bool,
}

impl CallerJob {
    /// Returns true if a refusal of `attempt` as not run is false, given the time at which
    /// the job's first task started. A start after the next attempt was sent may belong to
    /// that one and doesn't count.
    #[must_use]
    pub fn is_refusal_false(&self, attempt: usize, first_start: Time) -> bool {
        let later = self.attempt_times.get(attempt + 1);
        later.is_none_or(|sent| first_start < *sent)
    }

    /// Returns true if every attempt was refused as not run.
    #[must_use]
    pub fn all_refused(&self) -> bool {
        self.attempts
            .iter()
            .all(|(s, _)| *s == AttemptState::Refused)
    }
}

/// All jobs of a run, with an index by account and submission id.
#[derive(Debug, Default)]
pub struct Callers {
    /// In order of arrival.
    pub jobs: Vec<CallerJob>,
    by_id: HashMap<(Name, SubmissionId), usize>,
}

impl Callers {
    /// Adds a job and returns its index in `jobs`.
    pub fn add(&mut self, job: CallerJob) -> usize {
        let key = (job.submission.account.clone(), job.submission.id.clone());
        self.jobs.push(job);
        self.by_id.insert(key, self.jobs.len() - 1);
        self.jobs.len() - 1
    }

    /// Returns the index of a job, looked up by account and submission id.
    #[must_use]
    pub fn find(&self, account: &Name, id: &SubmissionId) -> Option<usize> {
        self.by_id.get(&(account.clone(), id.clone())).copied()
    }
}
