//! The settings of a host at its start. The process reads them from its settings file;
//! [`crate::rules::leases`] computes the lease times from the bounds.

use std::net::SocketAddr;

use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::rules::leases::MIN_OWNER_LEASE_MS;
use crate::Millis;

/// Time bounds of the deployment, in ms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Bounds {
    /// The shortest time after a lost connection before a caller sends its job again.
    pub retransmit_ms: Millis,
    /// The longest lease that a target grants.
    pub max_target_lease_ms: Millis,
    /// The longest time that a target takes to stop an attempt.
    pub stop_grace_ms: Millis,
    /// The longest time that a graceful shutdown of the process may take.
    pub grace_period_ms: Millis,
    /// How long a target keeps serving after it announced that it leaves.
    pub drain_ms: Millis,
}

/// An error for bounds that leave too little time for an owner lease.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum BoundsError {
    /// Callers send again before a lost attempt is certain to have ended.
    #[error("retransmit-ms {retransmit_ms} leaves {left_ms} ms for an owner lease, {MIN_OWNER_LEASE_MS} are needed")]
    TooTight {
        /// The configured bound.
        retransmit_ms: Millis,
        /// The time that remains for an owner lease.
        left_ms: Millis,
    },
}

/// Where a task waits if no target is free for it at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitingAt {
    /// At the owner of its job; peers reserve resources of their targets for it.
    #[default]
    Owner,
    /// At a holder of targets, which starts it as soon as one has enough free resources.
    Holder,
}

/// The order of waiting tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaitingOrder {
    /// By priority class, then by the urgency of the queue.
    #[default]
    Class,
    /// By the urgency of the queue, then by the shares of queues and halls within it.
    Shares,
}

/// The source of estimates of tasks' running times.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunningTimes {
    /// The caller's estimate.
    #[default]
    Estimated,
    /// Earlier tasks of the same kind, and the speed of the target; see
    /// [`crate::rules::running_time`].
    Learned,
}

/// The scheduling policies that a deployment selects.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Scheduling {
    /// Where waiting tasks are queued.
    pub waiting_at: WaitingAt,
    /// The order of waiting tasks.
    pub order: WaitingOrder,
    /// The source of running times.
    pub running_times: RunningTimes,
}

/// Safety mechanisms that tests disable one at a time to show that their checks detect the loss.
/// Outside of tests all are enabled; the settings file can't change them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A holder stops the attempts of owners whose lease has expired.
    pub owner_leases_expire: bool,
    /// A new holder starts nothing while attempts run on the target that it doesn't know.
    pub new_holders_settle: bool,
    /// Tasks at a lost peer are started again only after their earlier attempts have ended.
    pub lost_attempts_are_waited_for: bool,
    /// A start without a reply counts as running until its end is known.
    pub unanswered_starts_count_as_running: bool,
    /// Targets that are leaving get no new tasks.
    pub leaving_targets_are_skipped: bool,
    /// Targets of a draining hall get no new tasks.
    pub draining_halls_are_skipped: bool,
    /// Draining halls are updated from full reads of the store.
    pub draining_is_read: bool,
    /// Halls that start draining are taken from the changes of the store.
    pub draining_is_followed: bool,
    /// Draining halls are updated from peers that read the store.
    pub draining_is_learned_from_peers: bool,
    /// Halls that are no longer drained serve again.
    pub draining_ends: bool,
    /// A job that may have started isn't refused as not run.
    pub started_jobs_are_not_refused: bool,
    /// Attempts on a target that doesn't reply count as ended only after its lease has expired.
    pub silent_attempts_are_waited_for: bool,
    /// The lease of a target isn't extended while a stop is unconfirmed, so that the attempt ends
    /// with the lease.
    pub unconfirmed_stops_end_leases: bool,
    /// A new holder accounts for the longest lease that another host may have been granted.
    pub earlier_leases_are_respected: bool,
    /// Each call that acquires a target carries a new fencing token.
    pub acquiring_tokens_are_fresh: bool,
    /// An idle target that hasn't replied recently is queried before a start is sent to it.
    pub idle_targets_are_asked: bool,
    /// A target that restarts under the same id counts as another incarnation.
    pub incarnations_are_distinguished: bool,
    /// An attempt that may have ended before its target crashed isn't certain to have crashed it.
    pub unreported_ends_are_considered: bool,
    /// The crashes of targets are counted for the tasks that ran on them.
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

/// The settings of one host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The host's name, unique among all hosts.
    pub name: Name,
    /// The address at which it accepts requests of peers.
    pub address: SocketAddr,
    /// Its data hall.
    pub hall: Name,
    /// Increases with each start of the process.
    pub incarnation: u64,
    /// Its processor time, in thousandths of a core.
    pub processor_weight: u32,
    /// Addresses at which peers may be found initially.
    pub seeds: Vec<SocketAddr>,
    /// The time bounds of the deployment.
    pub bounds: Bounds,
    /// The factor by which tasks take longer outside the rack that holds their data.
    pub far_slowdown: f64,
    /// The wall-clock time at which this host's clock was 0, in ms since 1970.
    pub epoch_ms: u64,
    /// The scheduling policies.
    pub scheduling: Scheduling,
    /// The enabled safety mechanisms: all, except in tests.
    pub safeguards: Safeguards,
}
