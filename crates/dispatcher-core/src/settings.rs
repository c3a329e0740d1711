//! What a host is told when it starts. The process makes it from its settings file;
//! [`crate::rules::leases`] reckons its times from the bounds.

use std::net::SocketAddr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::rules::leases::MIN_OWNER_LEASE_MS;
use crate::Millis;

/// Bounds that the deployment sets, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// The earliest time after a broken answer at which a caller sends again.
    pub retransmit_ms: Millis,
    /// The longest lease that a target grants.
    pub max_target_lease_ms: Millis,
    /// The longest that a stop of an attempt takes.
    pub stop_grace_ms: Millis,
    /// How long a stop in order of the process may take.
    pub grace_period_ms: Millis,
    /// How long a target serves on after it said that it leaves.
    pub drain_ms: Millis,
}

/// Why the bounds leave no time for safe heartbeats.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BoundsError {
    /// Callers send again sooner than a lost attempt can be known to be over.
    #[error("retransmit-ms {retransmit_ms} leaves {left_ms} ms for an owner lease, {MIN_OWNER_LEASE_MS} are needed")]
    TooTight {
        /// The bound.
        retransmit_ms: Millis,
        /// What is left for an owner lease, in ms.
        left_ms: Millis,
    },
}

/// Where a task waits that finds no target at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitingAt {
    /// At the host that owns its job; peers reserve a target for it.
    #[default]
    Owner,
    /// At the host that holds the targets, which starts it as soon as one has room.
    Holder,
}

/// What decides first between waiting tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitingOrder {
    /// Whether the job can still be on time, then its queue's urgency.
    #[default]
    Class,
    /// The queue's urgency, then shares of queues and halls within it.
    Shares,
}

/// From where a task's running time is known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunningTimes {
    /// From its caller's estimate.
    #[default]
    Estimated,
    /// From earlier tasks of its kind, and the speed of its target; see
    /// [`crate::rules::running_time`].
    Learned,
}

/// Which of several ways a deployment asks for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Scheduling {
    /// Where tasks wait.
    pub waiting_at: WaitingAt,
    /// Which of them goes first.
    pub order: WaitingOrder,
    /// From where running times are known.
    pub running_times: RunningTimes,
}

/// Mechanisms that tests take out one at a time, to show that the checks miss them.
/// Everywhere else all are there; no settings file reaches them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A holder stops the attempts of owners whose lease has expired.
    pub owner_leases_expire: bool,
    /// A new holder starts nothing while attempts run that it doesn't know.
    pub new_holders_settle: bool,
    /// Tasks at a lost peer are tried again only once their attempts are over.
    pub lost_attempts_are_waited_for: bool,
    /// A start without reply counts as running until its end is known.
    pub unanswered_starts_count_as_running: bool,
    /// Targets that leave get no new tasks.
    pub leaving_targets_are_skipped: bool,
    /// Targets of a draining hall get no new tasks.
    pub draining_halls_are_skipped: bool,
    /// Which halls drain is taken from the store where that is read whole.
    pub draining_is_read: bool,
    /// Halls that begin to drain are taken from the store's changes.
    pub draining_is_followed: bool,
    /// Which halls drain is taken from hosts that read the store.
    pub draining_is_learned_from_peers: bool,
    /// Halls that are taken back serve again.
    pub draining_ends: bool,
    /// A job that may have begun isn't refused as not run.
    pub started_jobs_are_not_refused: bool,
    /// Attempts on a target that doesn't answer are over only after its lease.
    pub silent_attempts_are_waited_for: bool,
    /// An attempt whose stop isn't confirmed ends with its target's lease, which isn't extended.
    pub unconfirmed_stops_end_leases: bool,
    /// A new holder reckons with the longest lease that another host may have been granted.
    pub earlier_leases_are_respected: bool,
    /// Each call that acquires a target carries a token of its own time.
    pub acquiring_tokens_are_fresh: bool,
    /// An idle target that wasn't heard of lately is asked before a start is sent to it.
    pub idle_targets_are_asked: bool,
    /// A target that starts again under its id is told from the one before.
    pub incarnations_are_distinguished: bool,
    /// An attempt that may have been done before its target crashed didn't surely crash it.
    pub unreported_ends_are_considered: bool,
    /// How many targets crashed under a task is counted.
    pub crashes_are_counted: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            owner_leases_expire: true,
            new_holders_settle: true,
            lost_attempts_are_waited_for: true,
            unanswered_starts_count_as_running: true,
            leaving_targets_are_skipped: true,
            draining_halls_are_skipped: true,
            draining_is_read: true,
            draining_is_followed: true,
            draining_is_learned_from_peers: true,
            draining_ends: true,
            started_jobs_are_not_refused: true,
            silent_attempts_are_waited_for: true,
            unconfirmed_stops_end_leases: true,
            earlier_leases_are_respected: true,
            acquiring_tokens_are_fresh: true,
            idle_targets_are_asked: true,
            incarnations_are_distinguished: true,
            unreported_ends_are_considered: true,
            crashes_are_counted: true,
        }
    }
}

/// What a host is told when it starts.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name.
    pub name: Name,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its hall.
    pub hall: Name,
    /// Grows each time the process starts.
    pub incarnation: u64,
    /// Its processor time, in thousandths of a core.
    pub processor_weight: u32,
    /// Addresses of peers that may be there.
    pub seeds: Vec<SocketAddr>,
    /// The bounds.
    pub bounds: Bounds,
    /// How many times as long tasks take in racks without their data.
    pub far_slowdown: f64,
    /// Wall-clock time at which this host's clock was 0, in ms since 1970.
    pub epoch_ms: u64,
    /// Which of several ways the deployment asks for.
    pub scheduling: Scheduling,
    /// The mechanisms; all but in tests.
    pub safeguards: Safeguards,
}
