//! What follows from the end of an attempt.
//!
//! **Rule.** A task that is done is done. A failed one is tried again, elsewhere,
//! until it failed as often as its queue allows; then its job fails. One that was
//! lost, or could not begin, is tried again elsewhere and doesn't count as failed. So is one
//! whose target crashed, as far as [`super::crashes`] doesn't give it up. One that a holder gave
//! back before it began may go anywhere, there too.
//! Where the target has seen a later attempt, the next attempt's number passes it
//! by `STALE_ATTEMPT_SKIP`.
//!
//! Each attempt at a task has a higher number than the last: what is still told of
//! earlier ones can't be taken for news of this one. An attempt at a lost peer is
//! over only after [`super::leases::Times::lost_attempts_over`].
//!
//! **Inputs.** The outcome, the task's failures so far, the queue's bound.
//! **Reason.** Attempts that started again at the same number would end attempts of a later
//! sending. **Gives up.** A target at which one attempt was lost gets no later attempt of the
//! same task.

use crate::message::AttemptOutcome;

/// A later attempt that a target has seen is passed by this much: it was sent by another host to
/// which the caller had come before, so how far that host got isn't known.
const STALE_ATTEMPT_SKIP: u32 = 16;
/// Callers whose job was not completed may send it again for this long, in ms:
/// its next attempts then follow on the earlier ones. It is also how long the
/// answer to a job is remembered: callers send again far sooner.
pub const ANSWER_RETENTION_MS: crate::Millis = 6_000;

/// What becomes of a task after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// It is done.
    Done,
    /// It has failed as often as its queue allows: its job fails.
    JobFails,
    /// It waits for another attempt.
    TryAgain,
}

/// What follows from the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Consequence {
    /// What becomes of the task.
    pub next: Next,
    /// By how much the attempt's number grows.
    pub attempt_increment: u32,
    /// Whether the attempt counts as failed.
    pub failed: bool,
    /// Whether later attempts avoid its target.
    pub avoid_target: bool,
}

/// Decides what follows from the end of an attempt at a task that has failed
/// `failures` times before, in a queue that allows `max_attempts`.
#[must_use]
pub fn consequence_of(outcome: AttemptOutcome, failures: u32, max_attempts: u32) -> Consequence {
    let again = Consequence {
        next: Next::TryAgain,
        attempt_increment: 1,
        failed: false,
        avoid_target: true,
    };
    match outcome {
        AttemptOutcome::Done => Consequence {
            next: Next::Done,
            attempt_increment: 0,
            avoid_target: false,
            ..again
        },
        AttemptOutcome::Failed if failures + 1 >= max_attempts.max(1) => Consequence {
            next: Next::JobFails,
            failed: true,
            ..again
        },
        AttemptOutcome::Failed => Consequence {
            failed: true,
            ..again
        },
        AttemptOutcome::Lost
        | AttemptOutcome::CrashedAlone
        | AttemptOutcome::CrashedBesideOthers
        | AttemptOutcome::PerhapsCrashed => again,
        AttemptOutcome::NotBegun => Consequence {
            avoid_target: false,
            ..again
        },
        AttemptOutcome::StaleAttempt => Consequence {
            attempt_increment: STALE_ATTEMPT_SKIP,
            avoid_target: false,
            ..again
        },
    }
}
