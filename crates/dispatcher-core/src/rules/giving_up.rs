//! Decides when a job is given up, and what its caller is answered.
//!
//! **Rule.** A job of which nothing can have started is refused as not run
//!
//! - as soon as it is *passed over*: it will be late, and jobs wait here that can still be on time
//!   and go before it. By the time it could start its answer would be worth little, and it would
//!   take resources from a job on time;
//! - once it has waited for `MAX_WAIT_SHARE` of the time in which its answer is worth something;
//! - at once when a task of it became worthless.
//!
//! Where tasks wait by urgency and shares ([`super::waiting_order`]), a job is passed over only by
//! jobs of its own or a more urgent queue. No job is refused for lack of resources while a target
//! that could run it is known to have free capacity: it ends at its deadline, or when its answer
//! became worthless.
//!
//! At a host that has just started and holds no target yet, a job is refused only if its answer
//! became worthless or if it can't end by its deadline: waiting there doesn't show how full the
//! targets are, and after a loss of power most jobs that wait for the first targets can still be
//! served.
//!
//! A job of which nothing runs and that has a task only draining halls have targets for ends at
//! once; see [`super::draining`].
//!
//! A job that may have started ends at its deadline, or as soon as nothing of it runs and a task
//! can't end in time even if it takes only `MIN_ESTIMATE_SHARE` of its estimate. Running attempts
//! continue, since stopping them gains nothing.
//!
//! A job with a task that crashes its targets ends as failed; see [`super::crashes`].
//!
//! Only a job of which nothing can have started is refused as not run: its caller may send it again
//! without running anything twice. All others are unfinished.
//!
//! **Inputs.** Times of the job in ms, whether it may have started, whether any attempt runs,
//! whether jobs wait that can be on time, the estimates of the open tasks. **Trade-off.** A late
//! answer to a job that would have found resources when no job on time needed them.

use crate::action::Answer;
use crate::decision::EndCause;
use crate::rules::priority::worth_ms;
use crate::settings::WaitingOrder;
use crate::{Millis, Urgency};

/// The share of its time that a job may wait without having started.
const MAX_WAIT_SHARE: f64 = 0.45;
/// The time from its start in which a host acquires its first targets, in ms, also where all hosts
/// start at once after a loss of power.
const HOST_STARTUP_MS: Millis = 1_500;
/// The share of its estimate that a task may take at the least.
const MIN_ESTIMATE_SHARE: f64 = 0.5;
/// The bounds of the time after which a refused caller may retry, in ms.
const RETRY_AFTER_MS: (Millis, Millis) = (500, 3_000);

/// A job that hasn't ended; times in ms of this host's clock.
#[derive(Clone, Copy, Debug)]
pub struct OpenJob {
    /// When it was accepted.
    pub accepted: Millis,
    /// When its caller needs an answer.
    pub deadline: Millis,
    /// Its latency objective, from its acceptance.
    pub objective_ms: Millis,
    /// Whether a task of it may have started.
    pub may_have_started: bool,
    /// Whether an attempt of it runs, or a peer was asked to start one.
    pub is_running: bool,
    /// Whether it is passed over; see [`is_passed_over`].
    pub passed_over: bool,
    /// Whether a target that could run a task of it is known to have free capacity.
    pub has_free_target: bool,
    /// Whether this host has just started and holds no target yet; see [`is_host_starting`].
    pub host_is_starting: bool,
}

/// Returns the cause for which a job is to be given up now, if any.
///
/// `open_estimates` are the estimates in ms of the tasks that aren't done.
#[must_use]
pub fn end_cause(
    now: Millis,
    job: &OpenJob,
    mut open_estimates: impl Iterator<Item = Millis>,
) -> Option<EndCause> {
    let worth_until = job.accepted + worth_ms(job.objective_ms);
    if !job.may_have_started {
        let too_late = |estimate_ms: Millis| {
            let worthless = now + estimate_ms > worth_until;
            let waits_to_deadline = job.host_is_starting || job.has_free_target;
            worthless || (waits_to_deadline && earliest_end(now, estimate_ms) >= job.deadline)
        };
        let worthless = open_estimates.any(too_late);
        let waited_enough = now >= latest_start(job, worth_until);
        if worthless && job.has_free_target {
            return Some(EndCause::Deadline);
        }
        if worthless || (waited_enough && !job.host_is_starting && !job.has_free_target) {
            return Some(EndCause::NoResources);
        }
        let passed_over = job.passed_over && !job.host_is_starting && !job.has_free_target;
        return passed_over.then_some(EndCause::PassedOver);
    }
    if now >= job.deadline {
        return Some(EndCause::Deadline);
    }
    let cannot_end = open_estimates.any(|estimate_ms| {
        let end = earliest_end(now, estimate_ms);
        end >= job.deadline || end >= worth_until
    });
    (cannot_end && !job.is_running).then_some(EndCause::Deadline)
}

/// Returns whether a job that will be late is passed over. `on_time` is the most urgent of the
/// urgencies of waiting jobs that can still be on time.
#[must_use]
pub fn is_passed_over(order: WaitingOrder, urgency: Urgency, on_time: Option<Urgency>) -> bool {
    match order {
        WaitingOrder::Class => on_time.is_some(),
        WaitingOrder::Shares => on_time.is_some_and(|most_urgent| most_urgent <= urgency),
    }
}

/// Returns whether a job ended for lack of resources.
#[must_use]
pub fn is_lack_of_resources(cause: EndCause) -> bool {
    matches!(cause, EndCause::NoResources | EndCause::PassedOver)
}

/// Returns whether a host has just started: it has run for `age_ms` only and hasn't held any
/// targets, which `holds_targets` reports.
#[must_use]
pub fn is_host_starting(age_ms: Millis, holds_targets: bool) -> bool {
    age_ms < HOST_STARTUP_MS && !holds_targets
}

/// Returns the earliest time at which a task may end that is started now.
fn earliest_end(now: Millis, estimate_ms: Millis) -> Millis {
    now + (estimate_ms as f64 * MIN_ESTIMATE_SHARE) as Millis
}

/// Returns until when a job may wait without having started.
fn latest_start(job: &OpenJob, worth_until: Millis) -> Millis {
    let time = job.deadline.min(worth_until) - job.accepted;
    job.accepted + (time as f64 * MAX_WAIT_SHARE) as Millis
}

/// Returns the answer to the caller of a job that ended.
///
/// `not_run` is set if nothing of the job can have started.
#[must_use]
pub fn answer(cause: EndCause, not_run: bool, objective_ms: Millis) -> Answer {
    match cause {
        EndCause::Done => Answer::Completed,
        EndCause::Cancelled => Answer::Cancelled,
        EndCause::AttemptsExhausted | EndCause::Crashing => Answer::Failed,
        EndCause::Draining if not_run => refused_while_draining(),
        EndCause::PerhapsCrashing => Answer::Unfinished,
        EndCause::Draining
        | EndCause::Deadline
        | EndCause::NoResources
        | EndCause::PassedOver
        | EndCause::RefusedOnArrival
        | EndCause::TooLarge
        | EndCause::CallerGone
        | EndCause::Stopping => {
            if not_run {
                refused_for(objective_ms)
            } else {
                Answer::Unfinished
            }
        }
    }
}

/// Refuses a job; its caller may retry after the job's latency objective, within bounds.
fn refused_for(objective_ms: Millis) -> Answer {
    let (least, longest) = RETRY_AFTER_MS;
    Answer::Refused {
        retry_after_ms: objective_ms.clamp(least, longest),
    }
}

/// Refuses a job that only draining halls have targets for. It isn't known for how long, so its
/// caller retries after the longest time.
fn refused_while_draining() -> Answer {
    Answer::Refused {
        retry_after_ms: RETRY_AFTER_MS.1,
    }
}

/// Refuses a job at a host with the most jobs allowed; its caller retries after the longest time.
#[must_use]
pub fn refused_when_full() -> Answer {
    Answer::Refused {
        retry_after_ms: RETRY_AFTER_MS.1,
    }
}

/// Refuses a job at a host that is stopping; its caller may retry after the grace period, when the
/// host has stopped.
#[must_use]
pub fn refused_when_stopping(grace_period_ms: Millis) -> Answer {
    Answer::Refused {
        retry_after_ms: grace_period_ms,
    }
}
