//! Computes the priority of waiting tasks.
//!
//! **Rule.** By class, then by the queue's urgency, then by the latest start that keeps the class.
//! The classes, the first before the others: tasks of jobs that have started (without them, what
//! already ran is wasted), jobs that can still meet their objective, jobs that will be late, and
//! jobs whose answer is no longer worth anything, which are not started.
//!
//! **Inputs.** The job's age, latency objective and the task's estimate, in ms; the queue's
//! urgency. **Reason.** In an overload, the capacity goes to jobs whose answers are still useful.
//! **Trade-off.** A job that hasn't started waits behind every task of the jobs that have, in any
//! queue.

use crate::message::{Priority, PriorityClass};
use crate::{Millis, Urgency};

/// An answer is worth something up to this many times the latency objective.
const WORTH_OBJECTIVES: Millis = 3;

/// A job with a waiting task.
#[derive(Clone, Copy, Debug)]
pub struct WaitingJob {
    /// The time since the job was accepted, in ms.
    pub age_ms: Millis,
    /// Its latency objective, in ms from its acceptance.
    pub objective_ms: Millis,
    /// Whether a task of it was started, even if its attempt was lost.
    pub started: bool,
    /// The urgency of its queue; 0 is the most urgent.
    pub urgency: Urgency,
}

/// Returns for how long after a job's acceptance its answer is worth something, in ms.
#[must_use]
pub fn worth_ms(objective_ms: Millis) -> Millis {
    objective_ms * WORTH_OBJECTIVES
}

/// Returns the priority of a task that is estimated to run for `estimate_ms`.
#[must_use]
pub fn priority(job: &WaitingJob, estimate_ms: Millis) -> Priority {
    let needed = estimate_ms as i64 + job.age_ms as i64;
    let slack = job.objective_ms as i64 - needed;
    let late_slack = worth_ms(job.objective_ms) as i64 - needed;
    let (class, slack_ms) = if late_slack < 0 {
        (PriorityClass::Worthless, late_slack)
    } else if job.started {
        (PriorityClass::Started, slack)
    } else if slack >= 0 {
        (PriorityClass::OnTime, slack)
    } else {
        (PriorityClass::Late, late_slack)
    };
    Priority {
        class,
        urgency: job.urgency,
        slack_ms,
    }
}
