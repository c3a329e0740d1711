//! How long a task may wait at the holder of targets, and how many may.
//!
//! **Rule.** A task that finds no target at once is handed over to one holder, where it waits
//! in memory: at most for [`MAX_HOLDER_WAIT_MS`], reckoned on the holder's clock. After that the holder
//! never starts it, and gives it back as not begun. A holder keeps a task only if its targets
//! are expected to have room for it in that time, beside all that waits there already; at most
//! [`MAX_QUEUED_PEER_TASKS`] tasks of peers wait at one holder.
//!
//! A task waits at a holder no longer than its job can be on time, unless that has begun: the
//! parts of a job that waited at several holders would end late, each beside others'.
//!
//! A task whose data lies in a rack waits for a target there as long as it would lose by
//! running far from it ([`near_target_wait_ms`]), and then runs anywhere.
//!
//! **Inputs.** Times in ms, thousandths of a core. A holder that dies, freezes or is cut off
//! costs its waiting tasks no more than a lost attempt does: the owner takes them for lost with
//! the session, and tries them again when all attempts there are over. **Gives up.** A target that
//! gets room elsewhere meanwhile isn't used for a task that waits here, for that long.

use crate::message::{Priority, PriorityClass};
use crate::Millis;

/// How long a task may wait at a holder, in ms: longer than most targets need to end something,
/// and short against the time in which callers expect answers.
pub const MAX_HOLDER_WAIT_MS: Millis = 120;
/// How long a message to a holder may take, in ms, between busy hosts of two halls.
const TRANSIT_MS: Millis = 10;
/// The most tasks of peers that wait at one holder: bounds memory, and the work of one event.
pub const MAX_QUEUED_PEER_TASKS: usize = 64;
/// Between two messages that tell one peer of room, in ms.
pub const FREE_CAPACITY_INTERVAL_MS: Millis = 20;

/// Returns for how many ms a task may wait at a holder: one whose job has begun as long as any,
/// one that can be on time no longer than that, and others not at all but for the way there.
#[must_use]
pub fn max_wait_ms(priority: &Priority) -> Millis {
    let ms = match priority.class {
        PriorityClass::Begun => MAX_HOLDER_WAIT_MS,
        PriorityClass::OnTime => Millis::try_from(priority.slack_ms).unwrap_or(0),
        PriorityClass::Late | PriorityClass::Worthless => 0,
    };
    ms.clamp(TRANSIT_MS, MAX_HOLDER_WAIT_MS)
}

/// Returns the latest time on a holder's clock at which a task may begin that is handed over
/// now and may wait so long. The clock showed `clock` when it was heard, `heard_ms_ago`.
#[must_use]
pub fn latest_start(clock: Millis, heard_ms_ago: Millis, may_wait_ms: Millis) -> Millis {
    clock + heard_ms_ago + may_wait_ms
}

/// Returns whether a holder keeps a task that takes `cpu`, where `queue_cpu` is still free for
/// tasks that wait, and `handed` tasks of peers wait already.
#[must_use]
pub fn accepts(cpu: u32, queue_cpu: u32, handed: usize) -> bool {
    cpu <= queue_cpu && handed < MAX_QUEUED_PEER_TASKS
}

/// Returns for how many ms a task waits for a target near its data before it runs anywhere.
#[must_use]
pub fn near_target_wait_ms(estimate_ms: Millis, far_slowdown: f64) -> Millis {
    let lost = estimate_ms as f64 * (far_slowdown - 1.0).max(0.0);
    (lost as Millis).min(MAX_HOLDER_WAIT_MS)
}
