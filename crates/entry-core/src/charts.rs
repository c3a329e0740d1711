//! The state charts of this crate. Their transitions are read from `charts/*.toml`;
//! the states and events are declared here.

use std::sync::LazyLock;

use gannetridge_state_chart::{chart_names, Chart};

chart_names! {
    /// The state of one run of a task.
    TaskState {
        /// The run waits for a slot.
        Queued = "queued",
        /// The start was sent and its reply is pending.
        Sent = "sent",
        /// The connection broke after the start; the target is queried about the run.
        Asking = "asking",
        /// The run ended with an output.
        Done = "done",
        /// The run ended without an output.
        Failed = "failed",
        /// The outcome can't be determined.
        Unknown = "unknown",
        /// The run was never started, since its job had ended before.
        Dropped = "dropped",
    }
}

chart_names! {
    /// An event of one run of a task.
    TaskEvent {
        /// The start was passed to the transport.
        Sent = "sent",
        /// The target reports the output.
        Done = "done",
        /// The target reports the end without an output.
        Failed = "failed",
        /// The target confirms that the run never started and never will.
        Refused = "refused",
        /// No byte of the start was written.
        NotSent = "not-sent",
        /// The start was written in whole or in part, and no reply came.
        Lost = "lost",
        /// The run's lease has expired on every clock.
        LeasePast = "lease-past",
        /// The lease has expired without an answer and the task may not be repeated.
        GivenUp = "given-up",
        /// The task is requeued under the next run.
        Repeated = "repeated",
        /// The job ended before the task was started.
        Dropped = "dropped",
    }
}

chart_names! {
    /// The state of a host's right to a shard.
    ShardState {
        /// The host has no right to the shard.
        Absent = "absent",
        /// The table names this host as the holder.
        Held = "held",
        /// Another host handed the shard over, and the table doesn't name this host yet.
        Acting = "acting",
        /// The shard is being handed over; this host accepts no submissions of it.
        HandingOver = "handing-over",
    }
}

chart_names! {
    /// An event of a host's right to a shard.
    ShardEvent {
        /// The table names this host as the holder.
        Acquired = "acquired",
        /// This host accepted a handover.
        Accepted = "accepted",
        /// This host offered the shard to another.
        Offered = "offered",
        /// The other host declined a shard for which the table names this host.
        DeclinedHeld = "declined-held",
        /// The other host declined a shard that this host acts for.
        DeclinedActing = "declined-acting",
        /// The other host accepted, or may have.
        Passed = "passed",
        /// The table names another holder or epoch.
        Lost = "lost",
    }
}

chart_names! {
    /// The health state of a target.
    TargetState {
        /// The target gets its full share of tasks.
        Healthy = "healthy",
        /// The target's last request failed; it gets one task at a time.
        Suspect = "suspect",
        /// The target gets no tasks for a limited time.
        Ejected = "ejected",
        /// The target gets a few tasks at a time after an ejection or a return.
        Probing = "probing",
        /// The target is leaving and gets no new tasks.
        Leaving = "leaving",
    }
}

chart_names! {
    /// An event that affects a target's health.
    TargetEvent {
        /// A task ended with an output.
        Succeeded = "succeeded",
        /// A request to the target got no reply.
        Failed = "failed",
        /// The limit of consecutive failures was reached.
        StruckOut = "struck-out",
        /// The ejection has ended.
        Waited = "waited",
        /// Enough probing tasks succeeded.
        Proven = "proven",
        /// Some source reports that the target is leaving.
        Leaves = "leaves",
        /// The platform's list shows the target as live again.
        Returned = "returned",
    }
}

chart_names! {
    /// The state of an operator's change.
    ChangeState {
        /// The change is in progress, and no earlier write has an unknown outcome.
        Writing = "writing",
        /// An earlier write may have taken place.
        Unclear = "unclear",
        /// The change is stored durably.
        Accepted = "accepted",
        /// The document was changed by someone else; this change wasn't written.
        Conflict = "conflict",
        /// The table couldn't be reached, and nothing was written.
        Refused = "refused",
        /// The table couldn't be reached, and a write may have taken place.
        Unresolved = "unresolved",
    }
}

chart_names! {
    /// An event of an operator's change.
    ChangeEvent {
        /// The table confirms the write.
        Committed = "committed",
        /// The document's row contains the change's id.
        Found = "found",
        /// The document's row has another version than the change is based on.
        Conflict = "conflict",
        /// The attempt didn't take place.
        NotDone = "not-done",
        /// The attempt may have taken place.
        Unclear = "unclear",
        /// The time for the change has run out.
        GivenUp = "given-up",
    }
}

macro_rules! chart {
    ($name:ident, $state:ty, $event:ty, $file:literal) => {
        /// The chart read from the file of the same name.
        pub static $name: LazyLock<Chart<$state, $event>> = LazyLock::new(|| {
            Chart::parse(include_str!(concat!("../charts/", $file)))
                .expect("embedded charts are valid")
        });
    };
}

chart!(TASK, TaskState, TaskEvent, "task.toml");
chart!(SHARD, ShardState, ShardEvent, "shard.toml");
chart!(TARGET, TargetState, TargetEvent, "target.toml");
chart!(CHANGE, ChangeState, ChangeEvent, "change.toml");
