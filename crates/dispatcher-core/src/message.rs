//! Messages between hosts.
//!
//! They are encoded by `gannetridge_wire::codec`: fields stand by position,
//! variants by name. Hosts of two versions talk to each other while a release
//! is rolled out, so a field's place stays, and a variant that gets a better
//! name keeps the old one on the wire (`serde(rename)`). `tests/messages.rs`
//! holds the bytes.

use std::net::SocketAddr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::configuration::Configuration;
use crate::event::{TargetChange, TargetEntry, TargetList};
use crate::spec::Resources;
use crate::Millis;

/// One incarnation of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// The host's name.
    pub name: Name,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Name,
    /// Grows each time the process starts.
    pub incarnation: u64,
    /// Its processor time in thousandths of a core: hosts hold targets in this
    /// proportion.
    pub processor_weight: u32,
}

/// The receiver's own clock, sent back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoedClock {
    /// The receiver's incarnation whose clock it is.
    pub incarnation: u64,
    /// Its clock as last heard.
    pub clock: Millis,
}

/// A request with what every request says of its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: HostInfo,
    /// The sender's session with the receiver. Attempts of earlier sessions
    /// are given up and are to be stopped.
    pub session: u64,
    /// The receiver's clock as the sender last heard it: it renews the sender's
    /// owner lease at the receiver.
    pub echoed_clock: Option<EchoedClock>,
    /// The sender's clock when it sent this.
    pub clock: Millis,
    /// What is asked.
    pub request: Request,
}

/// One attempt at a task: one start of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The task's name.
    pub task: Name,
    /// Counts the task's attempts, from 1.
    pub attempt: u32,
}

/// How many tasks of one step a target may run at a time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadLimit {
    /// The step's name, with its job's.
    pub step: Name,
    /// The most at a time.
    #[serde(rename = "most")]
    pub max_tasks: u32,
}

/// A task to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The attempt.
    pub id: AttemptId,
    /// What the task is given to work on.
    pub specification: Name,
    /// The pool whose targets may run it.
    pub pool: Name,
    /// What it takes.
    pub resources: Resources,
    /// The caller's rough estimate of its running time.
    pub estimate_ms: Millis,
    /// A label that the target must have.
    pub requirement: Option<Name>,
    /// The rack where its data lies.
    pub rack: Option<Name>,
    /// How its step is to be spread over targets.
    pub spread: Option<SpreadLimit>,
    /// Targets at which earlier attempts failed or were lost.
    pub avoid: Vec<Name>,
}

impl TaskOrder {
    /// Returns the processor time that it is expected to take, in core-ms.
    #[must_use]
    pub fn core_ms(&self) -> u64 {
        self.resources.core_ms(self.estimate_ms)
    }
}

/// What decides first between waiting tasks, the first variant before the
/// others; see `rules::priority`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PriorityClass {
    /// Other tasks of its job run or are done.
    #[serde(rename = "Begun")]
    Started,
    /// Its job can still meet its objective.
    #[serde(rename = "InAim")]
    OnTime,
    /// Its job will miss its objective, and its answer is still worth
    /// something.
    Late,
    /// Its job's answer would be worth nothing.
    Worthless,
}

/// The priority of a waiting task; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Priority {
    /// What decides first.
    pub class: PriorityClass,
    /// The queue's urgency; 0 is the most urgent.
    pub urgency: u8,
    /// Time in ms from now until the latest start that keeps the class.
    pub slack_ms: i64,
}

/// Tasks of one pool that no target was found for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The priority of the first of them.
    pub priority: Priority,
    /// The pool.
    pub pool: Name,
    /// The least of each resource that any of them takes.
    pub smallest: Resources,
    /// How many there are.
    pub tasks: u32,
}

/// A task that is handed to the holder of targets, which may let it wait for one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedTask {
    /// What is to be started.
    pub order: TaskOrder,
    /// The task's queue: its use of targets counts for that queue's share.
    pub queue: Name,
    /// Its priority when this was sent.
    pub priority: Priority,
    /// The latest time on the receiver's clock at which it may be started; the sender
    /// reckons it from the clock that it last heard.
    pub latest_begin: Millis,
}

/// What is free on a target that takes tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetFreeCapacity {
    /// The target.
    pub target: Name,
    /// What is free on it.
    pub free: Resources,
}

/// Tasks of one urgency that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WaitingWork {
    /// Their queues' urgency; 0 is the most urgent.
    pub urgency: u8,
    /// How many there are.
    pub tasks: u32,
    /// The processor time that they are expected to take, in core-ms.
    pub core_ms: u64,
}

/// What a host's usable targets of one pool have, and have to do.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolLoad {
    /// The pool.
    pub pool: Name,
    /// Thousandths of a core that the targets have.
    pub capacity_cpu: u32,
    /// Thousandths of a core in use.
    pub used_cpu: u32,
    /// Thousandths of a core for which tasks may still be handed over to wait: what attempts
    /// are expected to free in time, less what waits already.
    pub queue_cpu: u32,
    /// What waits at the host, the most urgent first.
    pub waiting: Vec<WaitingWork>,
}

impl PoolLoad {
    /// Adds work to what waits.
    pub fn add_waiting(&mut self, work: &WaitingWork) {
        add_waiting(&mut self.waiting, work);
    }
}

/// Adds work to what waits, the most urgent first.
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

/// What a host's targets have free, and have to do.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HolderLoad {
    /// Targets with free room, the freest first; not all if there are many.
    #[serde(rename = "room")]
    pub free_capacity: Vec<TargetFreeCapacity>,
    /// Its pools.
    pub pools: Vec<PoolLoad>,
}

/// What is free on one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeResources {
    /// The target's pool.
    pub pool: Name,
    /// What is free.
    pub resources: Resources,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The task is done.
    Done,
    /// The task failed, by its own fault or the target's.
    Failed,
    /// The attempt was ended from outside, or can't have begun.
    Lost,
    /// The target has seen this or a later attempt of the task.
    #[serde(rename = "Outnumbered")]
    StaleAttempt,
    /// The task was handed over and not begun, and never will be under this attempt's number.
    #[serde(rename = "NotBegun")]
    NotStarted,
    /// The target crashed while only this attempt ran there.
    CrashedAlone,
    /// The target crashed while others ran there too.
    CrashedBesideOthers,
    /// The target crashed, and this attempt may have run there.
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

    /// Returns whether the target crashed.
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
    /// The attempt.
    pub id: AttemptId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// The target; empty if the attempt never came to one.
    pub target: Name,
}

/// How many targets crashed under a task, as one host counted them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashRecord {
    /// The task's name.
    pub task: Name,
    /// The latest attempt that was counted.
    pub attempt: u32,
    /// While it was alone there.
    pub alone: u32,
    /// While others ran there too.
    pub beside_others: u32,
    /// Where it isn't sure that the task ran.
    pub perhaps: u32,
}

/// What a host asks of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Says that the sender lives.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Asks to start those tasks for which there is a target.
    Place(Vec<TaskOrder>),
    /// Advertises waiting tasks. `None` withdraws an earlier demand; no host
    /// sends it today, and all understand it.
    #[serde(rename = "Want")]
    Demand(Option<Demand>),
    /// Says that these resources are reserved for the receiver for a moment.
    #[serde(rename = "Offer")]
    Reservation(FreeResources),
    /// Asks to start tasks, or to let them wait for targets until their latest begin.
    HandOver(Vec<HandedTask>),
    /// Says what the sender's targets have to do, where they have room and nothing waits.
    #[serde(rename = "Room")]
    FreeCapacity(HolderLoad),
    /// Asks to stop attempts.
    Stop {
        /// The attempts.
        keys: Vec<AttemptId>,
        /// Whether the sender wants to be told of their ends. Those that the
        /// receiver doesn't know are then reported as lost at once, and never
        /// started.
        report: bool,
    },
    /// Reports how the receiver's attempts ended.
    Ended(Vec<AttemptEnd>),
    /// Asks for the configuration.
    #[serde(rename = "Queues")]
    Configuration,
    /// Asks what changed in the list of targets. Hosts of earlier releases ask this; the
    /// draining halls aren't told with it.
    #[serde(rename = "StoreNews")]
    StoreUpdates {
        /// The version up to which the sender knows the list of targets, 0 for none.
        after: u64,
    },
    /// Asks what changed in the platform's store.
    #[serde(rename = "PlatformNews")]
    PlatformUpdates {
        /// The version up to which the sender knows the list of targets, 0 for none.
        after: u64,
    },
    /// Asks to start those tasks for which there is a target on which nothing else runs, nor
    /// will beside them. Hosts of earlier releases can't read this: they start none.
    PlaceAlone(Vec<TaskOrder>),
    /// Tells of tasks under which targets crashed. Hosts of earlier releases can't read this.
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
    /// Whether the host stops in order.
    pub leaving: bool,
    /// The version of its configuration.
    pub version: u64,
    /// A hash of the hosts that it knows.
    pub hosts_hash: u64,
}

/// What a host replies to a peer, with what every reply says of its sender.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The sender's incarnation.
    pub incarnation: u64,
    /// Its clock when it replied.
    pub clock: Millis,
    /// Its free resources, an entry for each target with some.
    pub free: Vec<FreeResources>,
    /// The rest.
    pub body: ReplyBody,
}

/// The part of a reply that depends on the request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum ReplyBody {
    /// To a heartbeat.
    #[serde(rename = "Beat")]
    Heartbeat(HeartbeatReply),
    /// Positions in the request of the tasks that were started.
    Placed(Vec<u32>),
    /// Whether the receiver of a reservation sends tasks for it.
    Interested(bool),
    /// The configuration, if the host has one.
    #[serde(rename = "Queues")]
    Configuration(Option<Configuration>),
    /// The request was carried out.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// What changed in the list of targets; none if the host doesn't know.
    #[serde(rename = "StoreNews")]
    StoreUpdates(Option<StoreUpdate>),
    /// What changed in the platform's store; none if the host doesn't know.
    #[serde(rename = "PlatformNews")]
    PlatformUpdates(Option<PlatformUpdate>),
    /// To tasks that were handed over: positions in the request of those that were started,
    /// and of those that wait. Of the others the receiver keeps nothing.
    HandedOver {
        /// Those that were started.
        started: Vec<u32>,
        /// Those that wait.
        waiting: Vec<u32>,
    },
    /// Any of the others, with what the sender's targets have to do: told where tasks wait
    /// at the holders of targets.
    WithLoad {
        /// What the sender's targets have to do.
        load: HolderLoad,
        /// The rest.
        body: Box<ReplyBody>,
    },
    /// Nothing was done: the request is of an earlier incarnation or session,
    /// or the sender's owner lease has expired.
    Stale,
}

/// What a host knows of the platform's store.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoreUpdate {
    /// The version of the store from which the list of targets comes.
    pub targets_version: u64,
    /// The version of the store up to which the configuration's table is known.
    pub configuration_version: u64,
    /// The version of the configuration that the host has in force.
    pub in_force: u64,
    /// Since when these may not be the newest, in ms.
    pub age_ms: Millis,
    /// Whether a target that isn't listed is gone: not while the store is out, or just back.
    pub settled: bool,
    /// The list of targets, or what changed in it.
    pub list: TargetListUpdate,
}

/// What a host knows of the platform's store, the draining halls among it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlatformUpdate {
    /// What it knows of the list of targets and the configuration.
    pub store: StoreUpdate,
    /// What it knows of draining halls, if anything.
    pub draining: Option<DrainingUpdate>,
}

/// The draining halls, as one host tells them another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DrainingUpdate {
    /// The store's version up to which they are known.
    pub version: u64,
    /// All of them.
    pub halls: Vec<Name>,
}

/// The list of targets, as one host tells it another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum TargetListUpdate {
    /// All of it.
    Whole(Vec<TargetEntry>),
    /// What changed after the version that the asking host knows, in order.
    Changes(Vec<TargetChange>),
    /// All of it, where it has unusable entries. Hosts of earlier releases can't read this:
    /// they read the list from the store instead.
    WholeWithUnusable(TargetList),
}

impl TargetListUpdate {
    /// Returns the whole list in the form that the most releases can read.
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
    /// Whether the host stops in order.
    pub leaving: bool,
    /// The version of its configuration.
    pub version: u64,
    /// The targets whose leases it holds or acquires.
    pub leased: Vec<Name>,
    /// The hosts that it knows, itself among them, if the sender knows others.
    pub hosts: Vec<HostInfo>,
}
