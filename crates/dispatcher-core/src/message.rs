//! Messages between hosts.
//!
//! `gannetridge_wire::codec` encodes fields by position and variants by name. Hosts of two
//! releases exchange messages during a rollout, so fields keep their positions, and a renamed
//! variant keeps its name on the wire (`serde(rename)`). `tests/messages.rs` checks the encoded
//! bytes.

use std::net::SocketAddr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::event::{TargetChange, TargetEntry, TargetList};
use crate::spec::Resources;
use crate::{Millis, Urgency};

/// The identity of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// The host's name, unique among all hosts.
    pub name: Name,
    /// The address at which it accepts requests of peers.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Name,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Its processor time in thousandths of a core: targets are assigned to hosts in this
    /// proportion.
    pub processor_weight: u32,
}

/// The receiver's own clock, echoed to it by the sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoedClock {
    /// The receiver's incarnation to which the clock belongs.
    pub incarnation: u64,
    /// Its clock as last received.
    pub clock: Millis,
}

/// A request with the sender's identity and clocks, which every request carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender's identity.
    pub from: HostInfo,
    /// The sender's session with the receiver. The sender has given up attempts of earlier
    /// sessions; the receiver stops them.
    pub session: u64,
    /// The receiver's clock as the sender last received it; renews the sender's owner lease at the
    /// receiver.
    pub echoed_clock: Option<EchoedClock>,
    /// The sender's clock when it sent this.
    pub clock: Millis,
    /// The request itself.
    pub request: Request,
}

/// Identifies one attempt at a task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The task's name.
    pub task: Name,
    /// The attempt's number, counted from 1.
    pub attempt: u32,
}

/// A limit on the tasks of one step that one target runs at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadLimit {
    /// The step's name, which includes its job's.
    pub step: Name,
    /// The most tasks at a time.
    #[serde(rename = "most")]
    pub max_tasks: u32,
}

/// What a holder needs to start a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The attempt's task and number.
    pub id: AttemptId,
    /// The task's input, opaque to the dispatcher.
    pub specification: Name,
    /// The pool whose targets may run it.
    pub pool: Name,
    /// The resources that it takes while it runs.
    pub resources: Resources,
    /// The caller's rough estimate of its running time.
    pub estimate_ms: Millis,
    /// A label that the target must have.
    pub requirement: Option<Name>,
    /// The rack that holds its data.
    pub rack: Option<Name>,
    /// How its step is spread over targets.
    pub spread: Option<SpreadLimit>,
    /// Targets at which earlier attempts failed or were lost.
    pub avoid: Vec<Name>,
}

impl TaskOrder {
    /// Returns the estimate of its processor time, in core-ms.
    #[must_use]
    pub fn core_ms(&self) -> u64 {
        self.resources.core_ms(self.estimate_ms)
    }
}

/// The main criterion in the order of waiting tasks: earlier variants go first; see
/// `rules::priority`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PriorityClass {
    /// Other tasks of its job are running or done.
    #[serde(rename = "Begun")]
    Started,
    /// Its job can still meet its latency objective.
    #[serde(rename = "InAim")]
    OnTime,
    /// Its job will miss its latency objective, but its result is still useful.
    Late,
    /// Its job's result would be useless.
    Worthless,
}

/// The priority of a waiting task; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Priority {
    /// The main criterion.
    pub class: PriorityClass,
    /// The queue's urgency; 0 is the most urgent.
    pub urgency: Urgency,
    /// The time until the latest start that keeps the class, in ms; negative once it has passed.
    pub slack_ms: i64,
}

/// Waiting tasks of one pool for which the sender found no target.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The priority of the first task.
    pub priority: Priority,
    /// The pool whose targets may run them.
    pub pool: Name,
    /// The componentwise minimum of the tasks' resources.
    pub smallest: Resources,
    /// The number of tasks.
    pub tasks: u32,
}

/// A task that is handed over to a holder of targets, which may queue it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedTask {
    /// The task to start.
    pub order: TaskOrder,
    /// The queue to whose share the task's use of targets counts.
    pub queue: Name,
    /// Its priority when this was sent.
    pub priority: Priority,
    /// The latest time on the receiver's clock at which it may be started; the sender computes
    /// it from the clock that it last received.
    #[serde(rename = "latest_begin")]
    pub latest_start: Millis,
}

/// The free resources of a target that accepts tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetFreeCapacity {
    /// The target's id.
    pub target: Name,
    /// Its free resources.
    pub free: Resources,
}

/// The waiting tasks of one urgency, summed up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWork {
    /// The urgency of their queues; 0 is the most urgent.
    pub urgency: Urgency,
    /// The number of tasks.
    pub tasks: u32,
    /// The sum of their estimated processor times, in core-ms.
    pub core_ms: u64,
}

/// The capacity and the load of a host's usable targets of one pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The name of the pool.
    pub pool: Name,
    /// The targets' capacity, in thousandths of a core.
    pub capacity_cpu: u32,
    /// The part in use, in thousandths of a core.
    pub used_cpu: u32,
    /// The thousandths of a core for which further tasks may be handed over to wait: what attempts
    /// are expected to free in time, less what waiting tasks take.
    pub queue_cpu: u32,
    /// The tasks that wait at the host, the most urgent first.
    pub waiting: Vec<WaitingWork>,
}

impl PoolLoad {
    /// Adds waiting tasks.
    pub fn add_waiting(&mut self, work: &WaitingWork) {
        add_waiting(&mut self.waiting, work);
    }
}

/// Adds waiting tasks to sums that are sorted by urgency, the most urgent first.
pub fn add_waiting(waiting: &mut Vec<WaitingWork>, work: &WaitingWork) {
    let position = waiting.partition_point(|sum| sum.urgency < work.urgency);
    match waiting.get_mut(position) {
        Some(sum) if sum.urgency == work.urgency => {
            sum.tasks += work.tasks;
            sum.core_ms += work.core_ms;
        }
        Some(_) | None => waiting.insert(position, *work),
    }
}

/// The free capacity and the load of a host's targets.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderLoad {
    /// Targets with free capacity, the largest first; only some if there are many.
    #[serde(rename = "room")]
    pub free_capacity: Vec<TargetFreeCapacity>,
    /// The load of each pool.
    pub pools: Vec<PoolLoad>,
}

/// Free resources on one target of a pool.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeResources {
    /// The target's pool.
    pub pool: Name,
    /// The free resources.
    pub resources: Resources,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The task is done.
    Done,
    /// The task failed, through its own fault or the target's.
    Failed,
    /// The attempt was ended from outside, or can't have started.
    Lost,
    /// The target has seen this or a later attempt at the task.
    #[serde(rename = "Outnumbered")]
    StaleAttempt,
    /// The attempt was not started and never will be.
    #[serde(rename = "NotBegun")]
    NotStarted,
    /// The target crashed while only this attempt ran on it.
    CrashedAlone,
    /// The target crashed while this and other attempts ran on it.
    CrashedBesideOthers,
    /// The target crashed, and this attempt may have been running on it.
    PerhapsCrashed,
}

impl AttemptOutcome {
    /// Returns the text that logs and metrics use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Done => "done",
            Self::Failed => "failed",
            Self::Lost => "lost",
            Self::StaleAttempt => "outnumbered",
            Self::NotStarted => "not begun",
            Self::CrashedAlone => "crashed",
            Self::CrashedBesideOthers => "crashed beside others",
            Self::PerhapsCrashed => "perhaps crashed",
        }
    }

    /// Returns true if the target crashed.
    #[must_use]
    pub fn is_crash(self) -> bool {
        match self {
            Self::CrashedAlone | Self::CrashedBesideOthers | Self::PerhapsCrashed => true,
            Self::Done | Self::Failed | Self::Lost | Self::StaleAttempt | Self::NotStarted => false,
        }
    }
}

/// The end of an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The attempt's task and number.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The target's id; empty if the attempt was never sent to one.
    pub target: Name,
}

/// The number of targets that crashed while running a task, as counted by one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The task's name.
    pub task: Name,
    /// The latest attempt that was counted.
    pub attempt: u32,
    /// Crashes while the task was alone on the target.
    pub alone: u32,
    /// Crashes while other tasks ran on the target too.
    pub beside_others: u32,
    /// Crashes of targets on which the task may have been running.
    pub perhaps: u32,
}

/// A request from a host to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Shows that the sender is alive.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Asks to start the tasks for which the receiver has a free target.
    Place(Vec<TaskOrder>),
    /// Advertises waiting tasks. `None` withdraws an earlier demand; this release accepts but
    /// doesn't send it.
    #[serde(rename = "Want")]
    Demand(Option<Demand>),
    /// Informs the receiver that these resources are reserved for it for a short time.
    #[serde(rename = "Offer")]
    Reservation(FreeResources),
    /// Asks to start tasks, or to queue them until their latest start.
    HandOver(Vec<HandedTask>),
    /// Reports the load of the sender's targets when they have free capacity and no task waits
    /// for it.
    #[serde(rename = "Room")]
    FreeCapacity(HolderLoad),
    /// Asks to stop attempts.
    Stop {
        /// The attempts to stop.
        keys: Vec<AttemptId>,
        /// True if the sender wants their ends reported. Attempts that the receiver doesn't know
        /// are then reported as lost at once.
        report: bool,
    },
    /// Reports how the receiver's attempts ended.
    Ended(Vec<AttemptEnd>),
    /// Asks for the configuration.
    #[serde(rename = "Queues")]
    Configuration,
    /// Asks for changes of the list of targets. Only hosts of earlier releases send it; the reply
    /// doesn't contain the draining halls.
    #[serde(rename = "StoreNews")]
    StoreUpdates {
        /// The version up to which the sender knows the list of targets, 0 for none.
        after: u64,
    },
    /// Asks for changes of the list of targets and for the draining halls.
    #[serde(rename = "PlatformNews")]
    PlatformUpdates {
        /// The version up to which the sender knows the list of targets, 0 for none.
        after: u64,
    },
    /// Asks to start each task alone on an idle target that takes no other task meanwhile. Hosts
    /// of earlier releases can't decode this and start none.
    PlaceAlone(Vec<TaskOrder>),
    /// Reports tasks that ran on crashing targets. Hosts of earlier releases can't
    /// decode this.
    Crashes(Vec<CrashRecord>),
}

impl Request {
    /// Returns the text that logs and metrics use.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "beat",
            Self::Place(_) => "place",
            Self::PlaceAlone(_) => "place-alone",
            Self::Crashes(_) => "crashes",
            Self::Demand(_) => "want",
            Self::Reservation(_) => "offer",
            Self::HandOver(_) => "hand-over",
            Self::FreeCapacity(_) => "room",
            Self::Stop { .. } => "stop",
            Self::Ended(_) => "ended",
            Self::Configuration => "queues",
            Self::StoreUpdates { .. } | Self::PlatformUpdates { .. } => "store-news",
        }
    }
}

/// A host's heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Heartbeat {
    /// True if the host is shutting down gracefully.
    pub leaving: bool,
    /// The version of its configuration, 0 for none.
    pub version: u64,
    /// A hash of the hosts that it knows; peers compare it to detect differences.
    pub hosts_hash: u64,
}

/// A reply to a peer, with the sender's incarnation, clock and free resources, which every reply
/// carries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// The sender's clock when it replied.
    pub clock: Millis,
    /// The sender's free resources, one entry for each target that has some; empty where tasks
    /// wait at holders.
    pub free: Vec<FreeResources>,
    /// The part that depends on the request.
    pub body: ReplyBody,
}

/// The part of a reply that depends on the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReplyBody {
    /// The reply to a heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatReply),
    /// The positions in the request of the tasks that were started.
    Placed(Vec<u32>),
    /// The reply to a reservation or to free capacity: true if the host has tasks for it.
    Interested(bool),
    /// The reply to a request for the configuration; `None` if the host has none.
    #[serde(rename = "Queues")]
    Configuration(Option<Configuration>),
    /// The request was carried out.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// Changes of the list of targets; `None` if the host knows no list.
    #[serde(rename = "StoreNews")]
    StoreUpdates(Option<StoreUpdate>),
    /// Changes of the list of targets and the draining halls; `None` if the host knows no list.
    #[serde(rename = "PlatformNews")]
    PlatformUpdates(Option<PlatformUpdate>),
    /// The reply to tasks that were handed over. The host rejects the tasks in neither list.
    HandedOver {
        /// The positions in the request of the tasks that were started.
        started: Vec<u32>,
        /// The positions in the request of the tasks that were queued.
        waiting: Vec<u32>,
    },
    /// Any other reply, with the load of the sender's targets; used where tasks wait at holders.
    WithLoad {
        /// The load of the sender's targets.
        load: HolderLoad,
        /// The reply without the load.
        body: Box<ReplyBody>,
    },
    /// The request was rejected: it is of an earlier incarnation or session, or its sender's owner
    /// lease has expired.
    Stale,
}

/// The known state of the platform's store: its versions and the list of targets.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// The version of the store up to which the list of targets is known.
    pub targets_version: u64,
    /// The version of the store up to which the table of the configuration is known.
    pub configuration_version: u64,
    /// The version of the configuration in force at the sender.
    pub in_force: u64,
    /// The age of this state, in ms: for that long it may be outdated.
    pub age_ms: Millis,
    /// True if a target that isn't listed was removed; false while the store is unreachable or only
    /// just reachable again.
    pub settled: bool,
    /// The list of targets, or its changes.
    pub list: TargetListUpdate,
}

/// The known state of the platform's store, with the draining halls.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// The versions and the list of targets.
    pub store: StoreUpdate,
    /// The draining halls; `None` if the sender doesn't know them.
    pub draining: Option<DrainingUpdate>,
}

/// The draining halls as known to one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingUpdate {
    /// The version of the store up to which they are known.
    pub version: u64,
    /// All draining halls.
    pub halls: Vec<Name>,
}

/// The list of targets, or its changes, as sent between hosts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetListUpdate {
    /// The whole list, without unusable entries.
    Whole(Vec<TargetEntry>),
    /// The changes after the version that the requesting host knows, in order.
    Changes(Vec<TargetChange>),
    /// The whole list, with unusable entries. Hosts of earlier releases can't decode this and read
    /// the list from the store instead.
    WholeWithUnusable(TargetList),
}

impl TargetListUpdate {
    /// Returns the whole list in the variant that the most releases can decode.
    #[must_use]
    pub fn whole(list: TargetList) -> Self {
        if list.unusable.is_empty() {
            Self::Whole(list.targets)
        } else {
            Self::WholeWithUnusable(list)
        }
    }
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// True if the host is shutting down gracefully.
    pub leaving: bool,
    /// The version of its configuration, 0 for none.
    pub version: u64,
    /// The targets whose leases it holds or acquires.
    pub leased: Vec<Name>,
    /// Hosts that it knows, if the heartbeat's hash differs from its own: all of them, itself
    /// included, or only those learnt recently.
    pub hosts: Vec<HostInfo>,
}
