//! What hosts say to each other.

use std::net::SocketAddr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use crate::queues::Queues;
use crate::spec::Resources;
use crate::Millis;

/// One life of a host's process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostInfo {
    /// The host's name.
    pub name: Name,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Name,
    /// Grows from life to life.
    pub incarnation: u64,
    /// The processor time that it has, in thousandths of a core.
    pub processor_weight: u32,
}

/// A receiver's own clock, brought back to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EchoedClock {
    /// The receiver's life whose clock it is.
    pub incarnation: u64,
    /// Its clock as last heard.
    pub clock: Millis,
}

/// A request, and who sends it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Envelope {
    /// The sender.
    pub from: HostInfo,
    /// Runs of lower sessions of this sender are to end.
    pub session: u64,
    /// The receiver's clock as the sender last heard it.
    pub echoed_clock: Option<EchoedClock>,
    /// The sender's clock when it sent this.
    pub clock: Millis,
    /// What is asked.
    pub request: Request,
}

/// One start of one task.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AttemptId {
    /// The task's name.
    pub task: Name,
    /// Counts the task's starts.
    pub attempt: u32,
}

/// A task to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskOrder {
    /// The task and its run.
    pub key: AttemptId,
    /// What the task is told.
    pub specification: Name,
    /// The pool whose targets may run it.
    pub pool: Name,
    /// What it takes.
    pub resources: Resources,
    /// A rough guess of its time.
    pub estimate_ms: Millis,
    /// A label that the target must have.
    pub requirement: Option<Name>,
    /// The rack where the data lies.
    pub rack: Option<Name>,
    /// The step's name, and the most of its tasks on one target.
    pub spread: Option<(Name, u32)>,
    /// Targets on which it failed.
    pub avoid: Vec<Name>,
}

/// What decides first between waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum PriorityClass {
    /// Others of its job run or are done: without it they were for nothing.
    Begun,
    /// Its job's aim can be met.
    #[serde(rename = "InAim")]
    OnTime,
    /// Its job will be late, and is still worth something.
    Late,
    /// An answer would be worth nothing any more.
    Worthless,
}

/// How urgent the most urgent of some waiting tasks is; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd, Serialize, Deserialize)]
pub struct Priority {
    /// Goes first; see [`PriorityClass`].
    pub rank: PriorityClass,
    /// The queue's: 0 goes before others of its rank.
    pub urgency: u8,
    /// Until the latest start that keeps the rank, in ms from now.
    pub slack_ms: i64,
}

/// Tasks that found no room at their owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The most urgent one's urge.
    pub priority: Priority,
    /// The pool.
    pub pool: Name,
    /// The least that any of them takes.
    pub least: Resources,
    /// How many there are.
    pub count: u32,
}

/// Free room of one target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreeResources {
    /// The target's pool.
    pub pool: Name,
    /// What is free.
    pub resources: Resources,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptOutcome {
    /// The task is done.
    Done,
    /// The task failed, by its own fault or the target's.
    Failed,
    /// The run was ended from outside, or can't have begun.
    Lost,
    /// The target has seen a run of this or a higher number.
    #[serde(rename = "Outnumbered")]
    StaleAttempt,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The run.
    pub key: AttemptId,
    /// How it ended.
    pub end: AttemptOutcome,
    /// Where.
    pub target: Name,
}

/// What a host asks of a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Request {
    /// Says that the sender lives.
    #[serde(rename = "Beat")]
    Heartbeat(Heartbeat),
    /// Asks to start what fits.
    Place(Vec<TaskOrder>),
    /// Asks for offers, or takes the question back.
    #[serde(rename = "Want")]
    Demand(Option<Demand>),
    /// Offers room that is kept free for a moment.
    #[serde(rename = "Offer")]
    Reservation(FreeResources),
    /// Asks to end runs. With `report` the end of each is told, at once of
    /// those that aren't there and now never will be.
    Stop {
        /// The runs.
        keys: Vec<AttemptId>,
        /// Whether their ends matter to the sender.
        report: bool,
    },
    /// Tells how the receiver's runs ended.
    Ended(Vec<AttemptEnd>),
    /// Asks for the configuration.
    Queues,
}

impl Request {
    /// Returns the name that logs and metrics use.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Heartbeat(_) => "beat",
            Self::Place(_) => "place",
            Self::Demand(_) => "want",
            Self::Reservation(_) => "offer",
            Self::Stop { .. } => "stop",
            Self::Ended(_) => "ended",
            Self::Queues => "queues",
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

/// What a host replies to a peer.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Reply {
    /// The sender's life.
    pub incarnation: u64,
    /// Its clock when it replied.
    pub clock: Millis,
    /// Its free room, a row for each target with some.
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
    /// The places in the request of the tasks that were taken.
    Placed(Vec<u32>),
    /// Whether a request for the offered room follows.
    Interested(bool),
    /// The configuration, if there is one.
    Queues(Option<Queues>),
    /// Taken note of.
    #[serde(rename = "Noted")]
    Acknowledged,
    /// Nothing was done: the sender's echo is too old.
    Stale,
}

/// The reply to a heartbeat.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HeartbeatReply {
    /// Whether the host stops in order.
    pub leaving: bool,
    /// The version of its configuration.
    pub version: u64,
    /// The targets that it looks after.
    pub leased: Vec<Name>,
    /// The hosts that it knows, itself among them, if the sender knows others.
    pub hosts: Vec<HostInfo>,
}
