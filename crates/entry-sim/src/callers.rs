//! Callers in the driver: what they sent, and what they were told.

use std::collections::HashMap;

use gannetridge_entry_wire::{Answer, Submission, SubmissionId, Time};
use gannetridge_wire::Name;

/// One sending of one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId {
    /// The job's number.
    pub job: usize,
    /// The sending's number.
    pub sending: usize,
}

/// What became of a sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sending {
    /// No answer yet.
    Open,
    /// The caller has stopped waiting; it may still take effect.
    Forgotten,
    /// Refused as not run.
    Refused,
    /// Answered in another way.
    Answered,
}

/// A job as its caller sees it.
#[derive(Debug)]
pub struct CallerJob {
    /// The account's number.
    pub account: usize,
    /// What was submitted.
    pub submission: Submission,
    /// What was submitted under the same id with other contents, if anything.
    pub clash: Option<Submission>,
    /// The sendings; true for those of the clash.
    pub sendings: Vec<(Sending, bool)>,
    /// When each was sent.
    pub sent_at: Vec<Time>,
    /// When it was first sent.
    pub first_sent: Time,
    /// The first final answer.
    pub answer: Option<Answer>,
    /// The slowest task on a runner of ordinary speed, in ms.
    pub slowest_ms: u64,
    /// True once the caller is not interested any more.
    pub given_up: bool,
    /// True if a job of this kind is measured.
    pub measured: bool,
}

impl CallerJob {
    /// Tells whether a refusal of one sending would be false, given when the
    /// first task began. What runs for a later sending, which the caller made
    /// without waiting for this refusal, doesn't make it false.
    #[must_use]
    pub fn refusal_is_false(&self, sending: usize, first_begun: Time) -> bool {
        let later = self.sent_at.get(sending + 1);
        later.is_none_or(|sent| first_begun < *sent)
    }

    /// Tells whether every sending was refused as not run.
    #[must_use]
    pub fn all_refused(&self) -> bool {
        self.sendings.iter().all(|(s, _)| *s == Sending::Refused)
    }
}

/// All jobs of a run.
#[derive(Debug, Default)]
pub struct Callers {
    /// The jobs.
    pub jobs: Vec<CallerJob>,
    by_id: HashMap<(Name, SubmissionId), usize>,
}

impl Callers {
    /// Adds a job and returns its number.
    pub fn add(&mut self, job: CallerJob) -> usize {
        let key = (job.submission.account.clone(), job.submission.id.clone());
        self.jobs.push(job);
        self.by_id.insert(key, self.jobs.len() - 1);
        self.jobs.len() - 1
    }

    /// Finds a job by its id.
    #[must_use]
    pub fn find(&self, account: &Name, id: &SubmissionId) -> Option<usize> {
        self.by_id.get(&(account.clone(), id.clone())).copied()
    }
}
