//! The charts of this crate, read once from their files.

use std::sync::LazyLock;

use gannetridge_state_chart::{chart_names, Chart};

chart_names! {
    /// The state of one run of a task.
    TaskState {
        /// Waits for a slot.
        Queued = "queued",
        /// The start was sent; the target's answer is awaited.
        Sent = "sent",
        /// The connection broke after the start; the target is asked.
        Asking = "asking",
        /// Ended with an output.
        Done = "done",
        /// Ended without an output.
        Failed = "failed",
        /// The outcome can't be learnt.
        Unknown = "unknown",
        /// Never started, since its job had failed before.
        Dropped = "dropped",
    }
}

chart_names! {
    /// What happens to one run of a task.
    TaskEvent {
        /// The start was handed to the transport.
        Sent = "sent",
        /// The target reports the output.
        Done = "done",
        /// The target reports the end without an output.
        Failed = "failed",
        /// The target proves that the run never began and never will.
        Refused = "refused",
        /// No byte of the start was written.
        NotSent = "not-sent",
        /// Bytes were written and no reply came.
        Lost = "lost",
        /// The run's lease is past on any clock.
        LeasePast = "lease-past",
        /// No time is left to ask.
        GivenUp = "given-up",
        /// The task goes again under the next run.
        Repeated = "repeated",
        /// The job failed before the task was started.
        Dropped = "dropped",
    }
}

chart_names! {
    /// A host's right to a shard.
    ShardState {
        /// None.
        Absent = "absent",
        /// The table names this host.
        Held = "held",
        /// Another host handed the shard over; the table still names it.
        Acting = "acting",
        /// On its way to another host: nothing is started under it here.
        HandingOver = "handing-over",
    }
}

chart_names! {
    /// What happens to a host's right to a shard.
    ShardEvent {
        /// The table names this host.
        Acquired = "acquired",
        /// This host accepted a handover.
        Accepted = "accepted",
        /// This host offered the shard to another.
        Offered = "offered",
        /// The other declined a shard that the table gives to this host.
        DeclinedHeld = "declined-held",
        /// The other declined a shard that this host acts for.
        DeclinedActing = "declined-acting",
        /// The other accepted, or may have.
        Passed = "passed",
        /// The table names another host.
        Lost = "lost",
    }
}

chart_names! {
    /// How far a target is trusted.
    TargetState {
        /// It gets its full share.
        Healthy = "healthy",
        /// Its last answer was a failure.
        Suspect = "suspect",
        /// It gets nothing for a while.
        Ejected = "ejected",
        /// It gets a little work at a time.
        Probing = "probing",
        /// It gets nothing new.
        Leaving = "leaving",
    }
}

chart_names! {
    /// What a target's trust depends on.
    TargetEvent {
        /// A task ended in order.
        Succeeded = "succeeded",
        /// A connection failed.
        Failed = "failed",
        /// Too many failures in a row.
        StruckOut = "struck-out",
        /// The time out is over.
        Waited = "waited",
        /// Enough probes ended in order.
        Proven = "proven",
        /// Some source says that it is leaving.
        Leaves = "leaves",
        /// The list says that it is back.
        Returned = "returned",
    }
}

chart_names! {
    /// An operator's change.
    ChangeState {
        /// The write is on its way.
        Writing = "writing",
        /// A write may have taken place.
        Unclear = "unclear",
        /// The change is durable.
        Accepted = "accepted",
        /// Another change came first.
        Conflict = "conflict",
        /// The table can't be reached and nothing was written.
        Refused = "refused",
        /// The table can't be reached and a write may have taken place.
        Unresolved = "unresolved",
    }
}

chart_names! {
    /// What happens to an operator's change.
    ChangeEvent {
        /// The table confirms the write.
        Committed = "committed",
        /// The row shows the change.
        Found = "found",
        /// The row shows another change.
        Conflict = "conflict",
        /// The try didn't take place.
        NotDone = "not-done",
        /// The try may have taken place.
        Unclear = "unclear",
        /// No time is left.
        GivenUp = "given-up",
    }
}

macro_rules! chart {
    ($name:ident, $state:ty, $event:ty, $file:literal) => {
        /// The chart of this file, interpreted.
        pub static $name: LazyLock<Chart<$state, $event>> = LazyLock::new(|| {
            Chart::parse(include_str!(concat!("../charts/", $file)))
                .expect("the charts are part of the program and tested")
        });
    };
}

chart!(TASK, TaskState, TaskEvent, "task.toml");
chart!(SHARD, ShardState, ShardEvent, "shard.toml");
chart!(TARGET, TargetState, TargetEvent, "target.toml");
chart!(CHANGE, ChangeState, ChangeEvent, "change.toml");
