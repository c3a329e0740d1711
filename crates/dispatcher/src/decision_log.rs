//! The log lines of decisions: the event's name and its fields, one line each.
//!
//! Operators and `gannetridge story` read these names, and `docs/OPERATIONS.md`
//! lists them. Other modules log what concerns the process itself.

use gannetridge_dispatcher_core::Decision;
use tracing::info;

use crate::metrics::end_name;

/// Writes one log line for a decision.
pub fn write(note: &Decision) {
    match note {
        Decision::JobTaken {
            job,
            queue,
            tasks,
            objective_ms,
            deadline_ms,
            version,
        } => {
            info!(event = "job-taken", %job, %queue, tasks, aim_ms = objective_ms, deadline_ms, version)
        }
        Decision::JobRejected {
            path,
            reason,
            version,
        } => info!(event = "job-rejected", %path, reason, version),
        Decision::JobEnded {
            job,
            queue,
            cause,
            done,
            starts,
            took_ms,
            objective_ms,
        } => {
            let cause = cause.as_str();
            info!(event = "job-ended", %job, %queue, cause, done, starts, took_ms, aim_ms = objective_ms);
        }
        Decision::Asked {
            peer,
            first,
            tasks,
            age_ms,
        } => {
            info!(event = "peer-asked", task = %first.task, run = first.attempt, %peer, tasks, age_ms)
        }
        Decision::Started {
            key,
            target,
            owner,
            left_cpu,
        } => {
            info!(event = "started", task = %key.task, run = key.attempt, %target, %owner, left_cpu)
        }
        Decision::RunEnded {
            key,
            target,
            end,
            by,
            took_ms,
        } => {
            let end = end_name(*end);
            info!(event = "run-ended", task = %key.task, run = key.attempt, %target, end, by, took_ms);
        }
        Decision::Stopping {
            key,
            target,
            reason,
        } => info!(event = "run-ending", task = %key.task, run = key.attempt, %target, reason),
        Decision::Target { target, state, by } => info!(event = "target", %target, state, by),
        Decision::Peer {
            peer,
            state,
            silent_ms,
        } => info!(event = "peer", %peer, state, silent_ms),
        Decision::SessionLost {
            peer,
            attempts,
            over_in_ms,
        } => info!(event = "session-lost", %peer, runs = attempts, over_in_ms),
        Decision::Queues { version, from } => info!(event = "configuration", version, from),
        Decision::Store { reachable } => info!(event = "store", reachable),
    }
}
