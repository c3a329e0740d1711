//! Limits how long, and how many, tasks wait at the holder of targets.
//!
//! **Rule.** A task that finds no target at once is handed over to one holder and queues there in
//! memory for at most [`MAX_HOLDER_WAIT_MS`] on the holder's clock. After that the holder never
//! starts it, and returns it as not started. A holder accepts a task only if its targets are
//! expected to have free capacity for it in that time, besides all that queues there already; at
//! most [`MAX_QUEUED_PEER_TASKS`] tasks of peers queue at one holder.
//!
//! Unless its job has started, a task queues at a holder no longer than its job can be on time:
//! otherwise the parts of a job that queue at several holders would all end late.
//!
//! A task whose data lies in a rack waits for a target there as long as it would lose by running
//! far from it ([`near_target_wait_ms`]), and then runs anywhere.
//!
//! **Inputs.** Times in ms, thousandths of a core. **Reason.** A holder that dies, freezes or is
//! cut off costs its queued tasks no more than a lost attempt does: the owner takes them for lost
//! with the session, and retries them once all attempts there have ended. **Trade-off.** A target
//! elsewhere that becomes free meanwhile isn't used for a task that queues here.

use crate::message::{Priority, PriorityClass};
use crate::Millis;

/// The longest time that a task queues at a holder, in ms: most targets finish a task in that time,
/// and it is short against the time in which callers expect answers.
pub const MAX_HOLDER_WAIT_MS: Millis = 120;
/// The time that a message to a holder may take, in ms, between busy hosts of two halls.
const TRANSIT_MS: Millis = 10;
/// The most tasks of peers that queue at one holder: bounds memory, and the work of one event.
pub const MAX_QUEUED_PEER_TASKS: usize = 64;
/// The least time between two messages that report free capacity to a peer, in ms.
pub const FREE_CAPACITY_INTERVAL_MS: Millis = 20;

/// Returns for how many ms a task may queue at a holder: up to [`MAX_HOLDER_WAIT_MS`] if its job
/// has started, up to its slack if it can be on time, and otherwise only for the time that the
/// message takes.
#[must_use]
pub fn max_wait_ms(priority: &Priority) -> Millis {
    let ms = match priority.class {
        PriorityClass::Started => MAX_HOLDER_WAIT_MS,
        PriorityClass::OnTime => Millis::try_from(priority.slack_ms).unwrap_or(0),
        PriorityClass::Late | PriorityClass::Worthless => 0,
    };
    ms.clamp(TRANSIT_MS, MAX_HOLDER_WAIT_MS)
}

/// Returns the latest time on a holder's clock at which a task may start that is handed over now
/// and may wait for `may_wait_ms`. The holder's clock showed `clock` when it was received,
/// `received_ms_ago`.
#[must_use]
pub fn latest_start(clock: Millis, received_ms_ago: Millis, may_wait_ms: Millis) -> Millis {
    clock + received_ms_ago + may_wait_ms
}

/// Returns whether a holder accepts a task that needs `cpu`, with `queue_cpu` still free for queued
/// tasks and `handed_over` tasks of peers queued already.
#[must_use]
pub fn accepts_task(cpu: u32, queue_cpu: u32, handed_over: usize) -> bool {
    cpu <= queue_cpu && handed_over < MAX_QUEUED_PEER_TASKS
}

/// Returns for how many ms a task waits for a target near its data before it may run anywhere.
#[must_use]
pub fn near_target_wait_ms(estimate_ms: Millis, far_slowdown: f64) -> Millis {
    let lost_ms = estimate_ms as f64 * (far_slowdown - 1.0).max(0.0);
    (lost_ms as Millis).min(MAX_HOLDER_WAIT_MS)
}
