//! Writes one log line for each decision: the event's name and its fields.
//!
//! Operators and `gannetridge story` rely on these names. `docs/OPERATIONS.md` lists them and
//! `tests/operator_view.rs` checks them. Events of the process itself are logged by the
//! modules that cause them.

use gannetridge_dispatcher_core::Decision;
use gannetridge_process::text::shorten;
use tracing::info;

/// Writes one log line for a decision.
pub fn write(decision: &Decision) {
    match decision {
        Decision::JobAccepted {
            job,
            queue,
            tasks,
            objective_ms,
            chain_ms,
            extension,
            deadline_ms,
            version,
        } => {
            let aim_ms = objective_ms;
            info!(event = "job-taken", %job, %queue, tasks, aim_ms, chain_ms, extension, deadline_ms, version);
        }
        Decision::JobRejected {
            path,
            reason,
            version,
        } => {
            let path = shorten(path);
            info!(event = "job-rejected", %path, reason = reason.as_str(), version);
        }
        Decision::JobForecast {
            job,
            queue,
            forecast,
            wait_ms,
            free_cpu,
            known_cpu,
            age_ms,
            retry_after_ms,
        } => {
            let forecast = forecast.as_str();
            info!(event = "job-foreseen", %job, %queue, forecast, wait_ms, free_cpu, known_cpu, age_ms, retry_after_ms);
        }
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
        Decision::TasksHandedOver {
            peer,
            first,
            tasks,
            age_ms,
        } => {
            info!(event = "peer-asked", task = %first.task, run = first.attempt, %peer, tasks, age_ms);
        }
        Decision::AttemptStarted {
            id,
            target,
            owner,
            left_cpu,
        } => {
            info!(event = "started", task = %id.task, run = id.attempt, %target, %owner, left_cpu);
        }
        Decision::AttemptEnded {
            id,
            target,
            outcome,
            by,
            took_ms,
        } => {
            let (end, by) = (outcome.as_str(), by.as_str());
            info!(event = "run-ended", task = %id.task, run = id.attempt, %target, end, by, took_ms);
        }
        Decision::AttemptStopping { id, target, reason } => {
            let reason = reason.as_str();
            info!(event = "run-ending", task = %id.task, run = id.attempt, %target, reason);
        }
        Decision::TaskSuspected {
            task,
            alone,
            beside_others,
            perhaps,
            state,
        } => {
            info!(event = "task-suspected", %task, state = state.as_str(), alone, beside_others, perhaps);
        }
        Decision::Target { target, state, by } => {
            info!(event = "target", %target, state = state.as_str(), by = by.as_str());
        }
        Decision::TargetSpeed {
            target,
            slowdown,
            certainty,
        } => info!(event = "target-speed", %target, slowdown, certainty),
        Decision::TaskTimes {
            pool,
            estimate_ms,
            cpu,
            median,
            tail,
            ends,
        } => info!(event = "task-times", %pool, estimate_ms, cpu, median, tail, ends),
        Decision::TargetCapacity {
            target,
            capacity,
            used,
            by,
        } => {
            let (cpu, used_cpu) = (capacity.cpu, used.cpu);
            let (memory_mb, gpus) = (capacity.memory_mb, capacity.gpus);
            info!(event = "target-capacity", %target, cpu, memory_mb, gpus, used_cpu, by = by.as_str());
        }
        Decision::Peer {
            peer,
            state,
            silent_ms,
        } => info!(event = "peer", %peer, state = state.as_str(), silent_ms),
        Decision::SessionLost {
            peer,
            attempts,
            over_in_ms,
        } => info!(event = "session-lost", %peer, runs = attempts, over_in_ms),
        Decision::ProcessStalled { gap_ms } => info!(event = "stood-still", gap_ms),
        Decision::HallDraining {
            hall,
            draining,
            version,
            age_ms,
            from,
        } => {
            info!(event = "hall", %hall, draining, version, age_ms, from = from.as_str());
        }
        Decision::Configuration { version, from } => {
            info!(event = "configuration", version, from = from.as_str());
        }
        Decision::StoreReading { reading, age_ms } => {
            info!(event = "store-reading", reading = reading.as_str(), age_ms);
        }
        Decision::Store { reachable } => info!(event = "store", reachable),
    }
}
