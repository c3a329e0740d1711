//! Decisions of a host and changes of its known state, for its log and metrics.

mod texts;

use gannetridge_wire::Name;

use crate::message::{AttemptId, AttemptOutcome};
use crate::spec::Resources;
use crate::Millis;

pub use texts::{
    ConfigurationSource, EndCause, EndEvidence, EntryFault, Forecast, PeerState, Rejection,
    StateSource, StopReason, StoreReading, Suspicion, TargetState,
};

/// A decision, or a change of the state that the host knows or assumes.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// A job was accepted.
    JobAccepted {
        /// The job's id.
        job: Name,
        /// The name of its queue.
        queue: Name,
        /// The number of its tasks.
        tasks: usize,
        /// Its latency objective, in ms from now.
        objective_ms: Millis,
        /// The estimate of its longest chain of tasks, in ms.
        chain_ms: Millis,
        /// The factor of the objective over that chain; see `Queue::extension`.
        extension: f64,
        /// The time until its caller's deadline, in ms.
        deadline_ms: Millis,
        /// The version of the configuration in force.
        version: u64,
    },
    /// A request was rejected.
    JobRejected {
        /// The path of the request.
        path: Name,
        /// The reason of the rejection.
        reason: Rejection,
        /// The version of the configuration, 0 for none.
        version: u64,
    },
    /// A new job isn't expected to be on time, or the load of its pool isn't known.
    JobForecast {
        /// The job's id.
        job: Name,
        /// The name of its queue.
        queue: Name,
        /// The forecast; never [`Forecast::OnTime`].
        forecast: Forecast,
        /// The expected wait, in ms, if it is known.
        wait_ms: Option<Millis>,
        /// The known free processor capacity of its pool, in thousandths of a core.
        free_cpu: u64,
        /// The known processor capacity of its pool, in thousandths of a core.
        known_cpu: u64,
        /// The age of the known load, in ms, if any is known.
        age_ms: Option<Millis>,
        /// The delay before the caller may retry, in ms, if the job is refused.
        retry_after_ms: Option<Millis>,
    },
    /// A job ended.
    JobEnded {
        /// The job's id.
        job: Name,
        /// The name of its queue.
        queue: Name,
        /// The cause of its end.
        cause: EndCause,
        /// The number of tasks done.
        done: usize,
        /// The number of starts requested for its tasks.
        starts: u32,
        /// The time since the job was accepted.
        took_ms: Millis,
        /// Its latency objective, in ms from its acceptance.
        objective_ms: Millis,
    },
    /// Tasks were handed over to a peer.
    TasksHandedOver {
        /// The peer's name.
        peer: Name,
        /// The first of the attempts.
        first: AttemptId,
        /// The number of tasks.
        tasks: usize,
        /// The age of the known free resources of the peer.
        age_ms: Millis,
    },
    /// A start was sent to a target.
    AttemptStarted {
        /// The attempt's id.
        id: AttemptId,
        /// The target's id.
        target: Name,
        /// The host that owns the job.
        owner: Name,
        /// The processor capacity left free on the target, in thousandths of a core.
        left_cpu: u32,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// The attempt's id.
        id: AttemptId,
        /// The target's id.
        target: Name,
        /// The outcome.
        outcome: AttemptOutcome,
        /// The evidence for the end.
        by: EndEvidence,
        /// The time since its start was sent.
        took_ms: Millis,
    },
    /// An attempt is being stopped.
    AttemptStopping {
        /// The attempt's id.
        id: AttemptId,
        /// The target's id.
        target: Name,
        /// The reason of the stop.
        reason: StopReason,
    },
    /// The assumed state of a task that ran on a crashing target changed.
    TaskSuspected {
        /// The task's name.
        task: Name,
        /// The number of targets that crashed while it was alone on them.
        alone: u32,
        /// The number of targets that crashed while other tasks ran on them too.
        beside_others: u32,
        /// The number of targets that crashed on which it may have been running.
        perhaps: u32,
        /// The new state.
        state: Suspicion,
    },
    /// The known state of a target changed.
    Target {
        /// The target's id.
        target: Name,
        /// The new state.
        state: TargetState,
        /// The source of the change.
        by: StateSource,
    },
    /// The estimated speed of a target changed against the one logged before.
    TargetSpeed {
        /// The target's id.
        target: Name,
        /// The factor by which tasks take longer there than on an ordinary target.
        slowdown: f64,
        /// The certainty of the estimate, from 0 to 1.
        certainty: f64,
    },
    /// The learned running time of tasks of one kind on an ordinary target; logged periodically.
    TaskTimes {
        /// The pool of the tasks.
        pool: Name,
        /// The lower bound of their estimates, in ms; `None` for tasks without an estimate.
        estimate_ms: Option<Millis>,
        /// The lower bound of their processor need, in thousandths of a core.
        cpu: u32,
        /// The median of the running time over the estimate.
        median: f64,
        /// A high quantile of the running time over the estimate.
        tail: f64,
        /// The weight of the observed ends.
        ends: u32,
    },
    /// The capacity of a target whose lease this host holds changed.
    TargetCapacity {
        /// The target's id.
        target: Name,
        /// The new capacity.
        capacity: Resources,
        /// The resources in use, by attempts being stopped too; may exceed the capacity.
        used: Resources,
        /// The source of the change.
        by: StateSource,
    },
    /// The assumed state of a peer changed.
    Peer {
        /// The peer's name.
        peer: Name,
        /// The new state.
        state: PeerState,
        /// The time since its last message.
        silent_ms: Millis,
    },
    /// The session with a peer was lost: the attempts there are given up.
    SessionLost {
        /// The peer's name.
        peer: Name,
        /// The number of attempts given up.
        attempts: usize,
        /// The time until they are certain to have ended.
        over_in_ms: Millis,
    },
    /// The process was stalled: frozen, suspended with its host, or without processor time. Leases
    /// that expired meanwhile are lost, and replies to open calls count as outdated.
    ProcessStalled {
        /// The time without any event.
        gap_ms: Millis,
    },
    /// A hall started or stopped draining, as known to this host.
    HallDraining {
        /// The hall's name.
        hall: Name,
        /// True if the hall is draining now.
        draining: bool,
        /// The version of the store up to which the draining halls are known.
        version: u64,
        /// The age of the known state of the store, in ms, if any is known.
        age_ms: Option<Millis>,
        /// The source of the change.
        from: ConfigurationSource,
    },
    /// A new configuration is in force.
    Configuration {
        /// Its version, higher than that of any earlier one.
        version: u64,
        /// The source of the configuration.
        from: ConfigurationSource,
    },
    /// The way in which the host learns the contents of the platform's store changed.
    StoreReading {
        /// The present way.
        reading: StoreReading,
        /// The age of the known state of the store, in ms, if any is known.
        age_ms: Option<Millis>,
    },
    /// The platform's store became unreachable or reachable again.
    Store {
        /// True if the store is reachable.
        reachable: bool,
    },
}
