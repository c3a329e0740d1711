//! Decides whether a request becomes a job.
//!
//! **Rule.** A request that certainly can't be served is rejected at once: without a configuration,
//! for an unknown or unusable queue, with an invalid or unsupported description, at a host that
//! shuts down before the job's objective, at a host with [`MAX_JOBS`] jobs or without memory for one
//! more, and with a task that no known target could ever run. Every other request is accepted, and [`super::giving_up`] ends its
//! job when no target is found. A request for a job that is already known joins it and doesn't
//! start it again.
//!
//! **Inputs.** The configuration, the request, how long the host still serves (ms) and how many
//! jobs it has. **Reason.** Stopping hosts that accept what they can still end, instead of nothing,
//! refused 64 instead of 169 jobs of a day. **Trade-off.** An overload isn't detected here; see
//! [`super::arrival`].

use gannetridge_wire::Name;

use crate::action::Answer;
use crate::configuration::{Configuration, Queue};
use crate::decision::Rejection;
use crate::event::Submit;
use crate::spec::check_id;
use crate::Millis;

/// The most jobs that one host has at a time: bounds its memory.
pub const MAX_JOBS: usize = 2_000;
/// How long before the end of its grace period a stopping host ends its last jobs, in ms: leaves
/// time to send their answers.
pub const ANSWER_MARGIN_MS: Millis = 500;

/// A request that is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// The reason that is logged.
    pub reason: Rejection,
    /// The answer to the caller.
    pub answer: Answer,
}

/// A request whose queue is known.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRequest<'a> {
    /// The queue that the request is for.
    pub queue: &'a Queue,
    /// The job's id; empty for a request about the queue itself.
    pub id: Name,
}

/// Resolves a virtual host and a path to a queue and a job id.
///
/// # Errors
///
/// Returns a rejection without a configuration, and if there is no such queue or it can't be used.
pub fn resolve<'a>(
    configuration: Option<&'a Configuration>,
    host: &str,
    path: &str,
) -> Result<ResolvedRequest<'a>, Rejected> {
    let configuration = configuration.ok_or(Rejected {
        reason: Rejection::NoConfiguration,
        answer: Answer::NotReady,
    })?;
    if configuration.is_unusable(host, path) {
        return Err(Rejected {
            reason: Rejection::UnusableQueue,
            answer: Answer::QueueUnusable,
        });
    }
    let queue = configuration.find(host, path).ok_or(Rejected {
        reason: Rejection::UnknownQueue,
        answer: Answer::NoQueue,
    })?;
    let id = path[queue.prefix.len()..].into();
    Ok(ResolvedRequest { queue, id })
}

/// Validates a submitted job, without regard to the state of this host and of targets.
///
/// # Errors
///
/// Returns a rejection for the first fault that is found.
pub fn check<'a>(
    configuration: Option<&'a Configuration>,
    submit: &Submit,
) -> Result<ResolvedRequest<'a>, Rejected> {
    let resolved = resolve(configuration, &submit.host, &submit.path)?;
    check_id(&resolved.id)
        .and_then(|()| submit.spec.check())
        .map_err(|error| Rejected {
            reason: Rejection::BadJob,
            answer: Answer::Bad(error),
        })?;
    Ok(resolved)
}

/// Returns whether a host that has been stopping since `stopping_since` stops before a job with
/// this objective ends.
#[must_use]
pub fn stops_before(
    now: Millis,
    objective_ms: Millis,
    stopping_since: Millis,
    grace_period_ms: Millis,
) -> bool {
    now + objective_ms >= stopping_since + grace_period_ms - ANSWER_MARGIN_MS
}
