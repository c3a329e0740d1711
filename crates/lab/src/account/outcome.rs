//! The outcome of a job, and the one reason why it wasn't on time.

use std::collections::BTreeMap;
use std::fmt;

use super::jobs::{Attempt, Job, JobEnd};

/// An attempt that takes more than this many times its estimate ran on a slow target.
pub const SLOW_FACTOR: f64 = 3.0;
/// A late job is late for waiting if a start of it waited for more than this share of its slack.
const MAX_WAIT_SHARE: f64 = 0.5;
/// A late answer has value up to this many times the objective, as in `rules/priority.rs` of the
/// dispatcher.
const LATE_LIMIT_OBJECTIVES: f64 = 3.0;

/// The outcome of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered within its latency objective.
    OnTime,
    /// Answered later, but while the answer still had value.
    Late(Reason),
    /// Refused as not run.
    Refused(Reason),
    /// Not answered, or answered too late to have value.
    Unfinished(Reason),
}

/// Why a job wasn't on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It waited for resources.
    WaitedForResources,
    /// Some of its tasks waited for resources after its first ones had started.
    LastTasksWaited,
    /// Jobs that could still be on time were started before it.
    PassedOver,
    /// When it arrived, it wasn't expected to get resources in time.
    RefusedOnArrival,
    /// An attempt failed, was lost or could not start, and was repeated.
    Retried,
    /// A target was slow.
    SlowTarget,
    /// An attempt never ended: its target hung or was lost.
    TargetLost,
    /// A peer that was asked to start tasks stopped answering.
    PeerLost,
    /// Its host was killed, suspended or stopped, and logged no end.
    HostLost,
    /// Its host was shutting down.
    HostStopping,
    /// Its caller left.
    CallerGone,
    /// None of these: it ran for longer than its slack allowed.
    RanTooLong,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::WaitedForResources => "waited for resources",
            Self::LastTasksWaited => "last tasks waited",
            Self::PassedOver => "passed over",
            Self::RefusedOnArrival => "refused on arrival",
            Self::Retried => "a task was retried",
            Self::SlowTarget => "slow target",
            Self::TargetLost => "target hung or lost",
            Self::PeerLost => "peer stopped answering",
            Self::HostLost => "host lost",
            Self::HostStopping => "host stopping",
            Self::CallerGone => "caller gone",
            Self::RanTooLong => "ran too long",
        })
    }
}

/// Returns the outcome of a job. `added_latency_ms` is what callers see in addition to the host's
/// time.
#[must_use]
pub fn classify(job: &Job, added_latency_ms: f64) -> Outcome {
    let Some(end) = &job.end else {
        return Outcome::Unfinished(Reason::HostLost);
    };
    if end.cause == "done" {
        return classify_done(job, end, added_latency_ms);
    }
    let has_started = !job.attempts.is_empty() || job.asked_peer;
    match end.cause.as_str() {
        "passed over" => Outcome::Refused(Reason::PassedOver),
        "refused on arrival" => Outcome::Refused(Reason::RefusedOnArrival),
        "stopping" => Outcome::Unfinished(Reason::HostStopping),
        "caller-gone" | "cancelled" => Outcome::Unfinished(Reason::CallerGone),
        _ if has_started => Outcome::Unfinished(unfinished_reason(job)),
        _ => Outcome::Refused(Reason::WaitedForResources),
    }
}

fn classify_done(job: &Job, end: &JobEnd, added_latency_ms: f64) -> Outcome {
    let objective = objective_ms(job);
    let response_ms = end.took_ms as f64 + added_latency_ms;
    if response_ms <= objective {
        return Outcome::OnTime;
    }
    let reason = late_reason(job, objective);
    if response_ms <= objective * LATE_LIMIT_OBJECTIVES {
        Outcome::Late(reason)
    } else {
        Outcome::Unfinished(reason)
    }
}

/// Returns the latency objective by the tasks' actual times instead of their estimates.
fn objective_ms(job: &Job) -> f64 {
    let actual_ms = actual_critical_path_ms(job).min(job.critical_path_ms * SLOW_FACTOR);
    job.objective_ms + job.extension * (actual_ms - job.critical_path_ms)
}

/// Returns the sum of the longest attempt of each step, in ms.
fn actual_critical_path_ms(job: &Job) -> f64 {
    let mut steps: BTreeMap<&str, i64> = BTreeMap::new();
    for attempt in &job.attempts {
        if let Some(end) = attempt.end.as_ref().filter(|end| end.done) {
            let longest = steps.entry(step_id_of(&attempt.task)).or_default();
            *longest = end.took_ms.max(*longest);
        }
    }
    steps.values().sum::<i64>() as f64
}

/// Returns the step in a task's name `JOB.0.STEP.TASK`.
fn step_id_of(task: &str) -> &str {
    task.split('.').nth(2).unwrap_or_default()
}

/// Returns why a job was answered late.
fn late_reason(job: &Job, objective_ms: f64) -> Reason {
    let actual_ms = actual_critical_path_ms(job);
    let waits = job
        .attempts
        .iter()
        .map(|a| (a.started_ms - job.accepted_ms) as f64);
    let first_wait = waits.clone().fold(f64::INFINITY, f64::min);
    let last_wait = waits.fold(0.0, f64::max);
    let max_wait_ms = MAX_WAIT_SHARE * (objective_ms - actual_ms).max(0.0);
    if job.attempts.len() > job.tasks {
        Reason::Retried
    } else if actual_ms > job.critical_path_ms * SLOW_FACTOR {
        Reason::SlowTarget
    } else if first_wait > max_wait_ms {
        Reason::WaitedForResources
    } else if last_wait > max_wait_ms {
        Reason::LastTasksWaited
    } else {
        Reason::RanTooLong
    }
}

/// Returns why a job that was started wasn't answered.
fn unfinished_reason(job: &Job) -> Reason {
    let is_open = |attempt: &&Attempt| attempt.end.as_ref().is_none_or(|end| !end.done);
    if job.attempts.iter().any(|attempt| is_open(&attempt)) {
        Reason::TargetLost
    } else if job.asked_peer && job.attempts.len() < job.tasks {
        Reason::PeerLost
    } else {
        Reason::WaitedForResources
    }
}
