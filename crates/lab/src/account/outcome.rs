//! What became of a job, and the one reason why it wasn't on time.

use std::collections::BTreeMap;
use std::fmt;

use super::jobs::{Attempt, Job, JobEnd};

/// An attempt that takes more than this many times its estimate ran on a slow target: of
/// 6,800 attempts on well targets 0.5 % did (two played days).
pub const SLOW_FACTOR: f64 = 3.0;
/// A job whose first start waited for more than this part of the time that it had to spare
/// is late for that. Chosen, not measured.
const WAITED_SHARE: f64 = 0.5;
/// A late answer counts up to this many times the objective; see `rules/priority.rs` of
/// the dispatcher.
const WORTH_OBJECTIVES: f64 = 3.0;

/// What became of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome {
    /// Answered within its objective.
    OnTime,
    /// Answered later, while that still counted.
    Late(Reason),
    /// Refused as not run.
    Refused(Reason),
    /// Not answered, or too late to count.
    Unfinished(Reason),
}

/// Why a job wasn't on time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// It waited for resources.
    Waited,
    /// Its last tasks waited for resources, behind the first ones.
    LastTasksWaited,
    /// Jobs that could be on time went before it.
    PassedOver,
    /// No room in time was expected when it came.
    RefusedOnArrival,
    /// An attempt failed, was lost or could not begin, and ran again.
    RanAgain,
    /// A target was slow.
    SlowTarget,
    /// An attempt never ended: its target hung, or was lost.
    TargetLost,
    /// A peer that was asked to start tasks fell silent.
    PeerLost,
    /// Its host died, froze, or ended.
    HostLost,
    /// Its host was stopping.
    HostStopping,
    /// Its caller left.
    CallerGone,
    /// None of these: it ran longer than it had to spare.
    RanLong,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Waited => "waited for resources",
            Self::LastTasksWaited => "last tasks waited",
            Self::PassedOver => "passed over",
            Self::RefusedOnArrival => "refused on arrival",
            Self::RanAgain => "a task ran again",
            Self::SlowTarget => "slow target",
            Self::TargetLost => "target hung or lost",
            Self::PeerLost => "peer fell silent",
            Self::HostLost => "host lost",
            Self::HostStopping => "host stopping",
            Self::CallerGone => "caller gone",
            Self::RanLong => "ran long",
        })
    }
}

/// Judges a job. `trip_ms` is what callers see beside a host's time.
#[must_use]
pub fn judge(job: &Job, trip_ms: f64) -> Outcome {
    let Some(end) = &job.end else {
        return Outcome::Unfinished(Reason::HostLost);
    };
    if end.cause == "done" {
        return judge_done(job, end, trip_ms);
    }
    let begun = !job.attempts.is_empty() || job.handed_over;
    match end.cause.as_str() {
        "passed over" => Outcome::Refused(Reason::PassedOver),
        "refused on arrival" => Outcome::Refused(Reason::RefusedOnArrival),
        "stopping" => Outcome::Unfinished(Reason::HostStopping),
        "caller-gone" | "cancelled" => Outcome::Unfinished(Reason::CallerGone),
        _ if begun => Outcome::Unfinished(unfinished(job)),
        _ => Outcome::Refused(Reason::Waited),
    }
}

fn judge_done(job: &Job, end: &JobEnd, trip_ms: f64) -> Outcome {
    let objective = objective_ms(job);
    let took = end.took_ms as f64 + trip_ms;
    if took <= objective {
        return Outcome::OnTime;
    }
    let reason = late(job, objective);
    if took <= objective * WORTH_OBJECTIVES {
        Outcome::Late(reason)
    } else {
        Outcome::Unfinished(reason)
    }
}

/// Returns the objective by what the tasks took instead of by their estimates.
fn objective_ms(job: &Job) -> f64 {
    let worked = worked_ms(job).min(job.chain_ms * SLOW_FACTOR);
    job.objective_ms + job.extension * (worked - job.chain_ms)
}

/// Returns what the longest attempts of each step took together, in ms.
fn worked_ms(job: &Job) -> f64 {
    let mut steps: BTreeMap<&str, i64> = BTreeMap::new();
    for attempt in &job.attempts {
        if let Some(end) = attempt.end.as_ref().filter(|end| end.done) {
            let longest = steps.entry(step_of(&attempt.task)).or_default();
            *longest = end.took_ms.max(*longest);
        }
    }
    steps.values().sum::<i64>() as f64
}

/// Returns a task's step, of a name such as `JOB.0.STEP.TASK`.
fn step_of(task: &str) -> &str {
    task.split('.').nth(2).unwrap_or_default()
}

fn late(job: &Job, objective_ms: f64) -> Reason {
    let worked = worked_ms(job);
    let waits = job
        .attempts
        .iter()
        .map(|a| (a.started - job.accepted) as f64);
    let first = waits.clone().fold(f64::INFINITY, f64::min);
    let last = waits.fold(0.0, f64::max);
    let waited_long = WAITED_SHARE * (objective_ms - worked).max(0.0);
    if job.attempts.len() > job.tasks {
        Reason::RanAgain
    } else if worked > job.chain_ms * SLOW_FACTOR {
        Reason::SlowTarget
    } else if first > waited_long {
        Reason::Waited
    } else if last > waited_long {
        Reason::LastTasksWaited
    } else {
        Reason::RanLong
    }
}

fn unfinished(job: &Job) -> Reason {
    let open = |attempt: &&Attempt| attempt.end.as_ref().is_none_or(|end| !end.done);
    if job.attempts.iter().any(|attempt| open(&attempt)) {
        Reason::TargetLost
    } else if job.handed_over && job.attempts.len() < job.tasks {
        Reason::PeerLost
    } else {
        Reason::Waited
    }
}
