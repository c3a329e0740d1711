//! Whether a request becomes a job.
//!
//! **Rule.** What is already known not to be served is rejected at once: without a
//! configuration, for an unknown queue, with a faulty or unsupported description,
//! at a host that stops before the job's objective, at a host with
//! [`MAX_JOBS`] jobs, and with a task that no known target could ever run.
//! Everything else is accepted, and given up by [`super::giving_up`] when no
//! target is found. A job that is known already is joined, not started again.
//!
//! **Inputs.** The configuration, the request, how long the host still serves (ms)
//! and how many jobs it has. **Measured.** Stopping hosts that accept what they
//! can still end, instead of nothing, refused 64 instead of 169 jobs of a played day (worth
//! 0.702 to 0.736). **Gives up.** An overload is noticed by
//! waiting, not on arrival.

use gannetridge_wire::Name;

use crate::action::Answer;
use crate::configuration::{Configuration, Queue};
use crate::decision::Rejection;
use crate::event::Submit;
use crate::spec::check_id;
use crate::Millis;

/// The most jobs that one host has at a time: bounds its memory. Chosen, not
/// measured.
pub const MAX_JOBS: usize = 2_000;
/// A stopping host ends its last jobs this long before its grace period is over,
/// in ms, so that their answers leave. Chosen, not measured.
pub const ANSWER_MARGIN_MS: Millis = 500;

/// A request that is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// Why, for the log.
    pub reason: Rejection,
    /// What the caller is told.
    pub answer: Answer,
}

/// A request for a known queue.
#[derive(Clone, Debug, PartialEq)]
pub struct ResolvedRequest<'a> {
    /// The queue.
    pub queue: &'a Queue,
    /// The job's id; empty for a request about the queue itself.
    pub id: Name,
}

/// Finds the queue that a virtual host and a path lead to.
///
/// # Errors
///
/// Fails without a configuration, and if there is no such queue.
pub fn resolve<'a>(
    configuration: Option<&'a Configuration>,
    host: &str,
    path: &str,
) -> Result<ResolvedRequest<'a>, Rejected> {
    let configuration = configuration.ok_or(Rejected {
        reason: Rejection::NoConfiguration,
        answer: Answer::NotReady,
    })?;
    let queue = configuration.find(host, path).ok_or(Rejected {
        reason: Rejection::UnknownQueue,
        answer: Answer::NoQueue,
    })?;
    let id = path[queue.prefix.len()..].into();
    Ok(ResolvedRequest { queue, id })
}

/// Checks a submitted job as far as neither this host nor targets matter.
///
/// # Errors
///
/// Fails on the first fault.
pub fn check<'a>(
    configuration: Option<&'a Configuration>,
    submit: &Submit,
) -> Result<ResolvedRequest<'a>, Rejected> {
    let addressed = resolve(configuration, &submit.host, &submit.path)?;
    check_id(&addressed.id)
        .and_then(|()| submit.spec.check())
        .map_err(|error| Rejected {
            reason: Rejection::BadJob,
            answer: Answer::Bad(error),
        })?;
    Ok(addressed)
}

/// Returns whether a host that began to stop at `stopping_since` ends before a job
/// with this objective does.
#[must_use]
pub fn stops_before(
    now: Millis,
    objective_ms: Millis,
    stopping_since: Millis,
    grace_period_ms: Millis,
) -> bool {
    now + objective_ms >= stopping_since + grace_period_ms - ANSWER_MARGIN_MS
}
