//! The settings of a host.

use gannetridge_entry_wire::HostId;
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

/// The strategy that selects targets for tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Each target's slots are divided among the hall's hosts, which lend each other
    /// unused ones.
    #[default]
    SharesLending,
    /// Each target's slots are divided among the hall's hosts.
    Shares,
    /// The less loaded of two random targets, by the host's own count and the listed usage.
    PowerOfTwo,
    /// The target with the largest part of its slots free of this host's tasks; slow ones
    /// last.
    LeastInFlight,
    /// The targets in turn.
    RoundRobin,
    /// A random target.
    Random,
}

/// Timing and limits of a host. All times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Tuning {
    /// Duration of the lease on the hall's shards.
    pub lease_ms: u64,
    /// Time between renewals of the lease.
    pub renew_ms: u64,
    /// Time between heartbeats to the hall's other hosts.
    pub heartbeat_ms: u64,
    /// Largest difference between any two clocks of hosts, targets and the platform.
    pub skew_ms: u64,
    /// Largest amount by which a caller's clock is ahead.
    pub caller_skew_ms: u64,
    /// Longest time after the end of its lease for which a holder may act without the table.
    pub outage_limit_ms: u64,
    /// Time between reads of the configuration's version.
    pub config_poll_ms: u64,
    /// Time between reads of the platform's list of targets.
    pub list_poll_ms: u64,
    /// Largest lag of the platform's list.
    pub list_lag_ms: u64,
    /// Age up to which an id that isn't in the ledger may be started.
    pub accept_window_ms: u64,
    /// Time after its creation for which the ledger keeps an id.
    pub retention_ms: u64,
    /// Shortest time after which callers resend a request.
    pub min_resend_ms: u64,
    /// Longest time from when a start is sent to the start of the task.
    pub begin_window_ms: u64,
    /// A task's lease as a multiple of its expected run time.
    pub lease_factor: u64,
    /// Duration of a loan of slots.
    pub loan_ms: u64,
    /// Number of waiting tasks per borrow request to a peer that isn't known to have free
    /// slots. A lower number shortens waits, a higher one saves messages.
    pub tasks_per_question: u32,
    /// Largest number of tasks that wait for a slot at a time.
    pub queue_limit: usize,
    /// The strategy that selects targets for tasks.
    pub placement: Placement,
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            lease_ms: 5_000,
            renew_ms: 1_500,
            heartbeat_ms: 1_000,
            skew_ms: 250,
            caller_skew_ms: 500,
            outage_limit_ms: 2 * 60 * 60 * 1_000,
            config_poll_ms: 2_000,
            list_poll_ms: 2_000,
            list_lag_ms: 10_000,
            accept_window_ms: 60_000,
            retention_ms: 600_000,
            min_resend_ms: 1_000,
            begin_window_ms: 1_000,
            lease_factor: 8,
            loan_ms: 500,
            tasks_per_question: 16,
            queue_limit: 20_000,
            placement: Placement::SharesLending,
        }
    }
}

/// Safety mechanisms. Tests disable single ones to show that the checks detect their
/// absence; they aren't part of any settings file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A host starts nothing under an expired right to a shard.
    pub expiry_check: bool,
    /// A new owner starts no submission that its predecessor may have started.
    pub takeover_cutoff: bool,
    /// A start is valid no longer than the right to its shard.
    pub start_time_limit: bool,
    /// A host keeps its promises not to take over.
    pub keep_promises: bool,
    /// A host waits for the end of a lease plus the clock skew before it takes over.
    pub await_lease_expiry: bool,
    /// Only a newer configuration is applied.
    pub version_check: bool,
    /// The target is queried about a start that got no reply after it was written.
    pub query_after_lost_start: bool,
    /// A submission that the ledger knows is answered from its entry.
    pub ledger: bool,
    /// A handover is accepted once, by the incarnation that it is addressed to.
    pub accept_handover_once: bool,
    /// A refusal as not run is sent only if no earlier attempt can exist.
    pub first_attempt_check: bool,
    /// A job completes only when all its tasks have.
    pub require_all_tasks: bool,
    /// Targets that are reported as leaving get no new tasks.
    pub exclude_leaving_targets: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            expiry_check: true,
            takeover_cutoff: true,
            start_time_limit: true,
            keep_promises: true,
            await_lease_expiry: true,
            version_check: true,
            query_after_lost_start: true,
            ledger: true,
            accept_handover_once: true,
            first_attempt_check: true,
            require_all_tasks: true,
            exclude_leaving_targets: true,
        }
    }
}

/// The settings of a host, fixed at its start.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The host's name and incarnation.
    pub id: HostId,
    /// The hall that the host is in.
    pub hall: Name,
    /// The address at which peers reach the host, `ip:port`.
    pub address: Name,
    /// Addresses of other entry hosts, for contact without the table.
    pub peers: Vec<Name>,
    /// Seed of the host's random number generator.
    pub seed: u64,
    /// Timing and limits.
    pub tuning: Tuning,
    /// Safety mechanisms; all are on outside of tests.
    pub safeguards: Safeguards,
}
