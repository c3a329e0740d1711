//! The log lines of decisions: the event's name and its fields, one line each.
//!
//! Operators and `gannetridge story` read these names, and `docs/OPERATIONS.md`
//! lists them. Other modules log what concerns the process itself.

use gannetridge_dispatcher_core::Note;
use tracing::info;

use crate::metrics::end_name;

/// Writes one log line for a decision.
pub fn write(note: &Note) {
    match note {
        Note::JobTaken {
            job,
            queue,
            tasks,
            aim_ms,
            deadline_ms,
            version,
        } => info!(event = "job-taken", %job, %queue, tasks, aim_ms, deadline_ms, version),
        Note::JobRejected {
            path,
            reason,
            version,
        } => info!(event = "job-rejected", %path, reason, version),
        Note::JobEnded {
            job,
            queue,
            cause,
            done,
            starts,
            took_ms,
            aim_ms,
        } => {
            let cause = cause.as_str();
            info!(event = "job-ended", %job, %queue, cause, done, starts, took_ms, aim_ms);
        }
        Note::Asked {
            peer,
            first,
            tasks,
            age_ms,
        } => info!(event = "peer-asked", task = %first.task, run = first.run, %peer, tasks, age_ms),
        Note::Started {
            key,
            target,
            owner,
            left_cpu,
        } => info!(event = "started", task = %key.task, run = key.run, %target, %owner, left_cpu),
        Note::RunEnded {
            key,
            target,
            end,
            by,
            took_ms,
        } => {
            let end = end_name(*end);
            info!(event = "run-ended", task = %key.task, run = key.run, %target, end, by, took_ms);
        }
        Note::Stopping {
            key,
            target,
            reason,
        } => info!(event = "run-ending", task = %key.task, run = key.run, %target, reason),
        Note::Target { target, state, by } => info!(event = "target", %target, state, by),
        Note::Peer {
            peer,
            state,
            silent_ms,
        } => info!(event = "peer", %peer, state, silent_ms),
        Note::SessionLost {
            peer,
            runs,
            over_in_ms,
        } => info!(event = "session-lost", %peer, runs, over_in_ms),
        Note::Queues { version, from } => info!(event = "configuration", version, from),
        Note::Store { reachable } => info!(event = "store", reachable),
    }
}
