//! Decides what follows from the end of an attempt.
//!
//! **Rule.** A task that is done ends. A failed one is retried, elsewhere, until it has failed as
//! often as its queue allows; then its job fails. One that was lost is retried elsewhere and
//! doesn't count as failed; so is one whose target crashed, unless [`super::crashes`] gives it up.
//! One that a holder returned before it started may go anywhere, including there. If the target has
//! seen a later attempt, the next attempt's number grows by `STALE_ATTEMPT_SKIP`.
//!
//! Each attempt at a task has a higher number than the last, so that late reports on earlier
//! attempts can't be taken for reports on this one. An attempt at a lost peer is only considered
//! ended after [`super::leases::Times::lost_attempts_over_ms`].
//!
//! **Inputs.** The outcome, the task's failures so far, the queue's limit. **Reason.** Attempts
//! that started again at the same number would end attempts of a later request. **Trade-off.** A
//! target at which one attempt was lost gets no later attempt of the same task.

use crate::message::AttemptOutcome;

/// The growth of the attempt number if a target has seen a later attempt. That was sent by another
/// host, which may have sent further ones.
const STALE_ATTEMPT_SKIP: u32 = 16;
/// The time for which the answer to a job and the attempt numbers of its tasks are kept, in ms. A
/// caller that sends the job again within it gets the answer, or attempts that follow on the
/// earlier ones.
pub const ANSWER_RETENTION_MS: crate::Millis = 6_000;

/// What happens to a task after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextAction {
    /// The task is done.
    Done,
    /// The task has failed as often as its queue allows: its job fails.
    JobFails,
    /// The task waits for another attempt.
    TryAgain,
}

/// The consequence of the end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Consequence {
    /// What happens to the task.
    pub next: NextAction,
    /// The amount to add to the attempt's number.
    pub attempt_increment: u32,
    /// Whether the attempt counts as failed.
    pub failed: bool,
    /// Whether later attempts avoid the target.
    pub avoid_target: bool,
}

/// Returns the consequence of the end of an attempt at a task that has failed `failures` times
/// before, in a queue that allows `max_attempts`.
#[must_use]
pub fn consequence_of(outcome: AttemptOutcome, failures: u32, max_attempts: u32) -> Consequence {
    let again = Consequence {
        next: NextAction::TryAgain,
        attempt_increment: 1,
        failed: false,
        avoid_target: true,
    };
    match outcome {
        AttemptOutcome::Done => Consequence {
            next: NextAction::Done,
            attempt_increment: 0,
            avoid_target: false,
            ..again
        },
        AttemptOutcome::Failed if failures + 1 >= max_attempts.max(1) => Consequence {
            next: NextAction::JobFails,
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
        AttemptOutcome::NotStarted => Consequence {
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
