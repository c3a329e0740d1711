//! What a host is told when it starts.

use gannetridge_entry_wire::HostId;
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

/// How targets are chosen for tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Placement {
    /// Each target's slots are divided among the hall's hosts, which lend
    /// each other what they don't need.
    #[default]
    SharesLending,
    /// Each target's slots are divided among the hall's hosts.
    Shares,
    /// The better of two random targets, by local count and lagged usage.
    PowerOfTwo,
    /// The target with the fewest own tasks.
    LeastInFlight,
    /// One target after the other.
    RoundRobin,
    /// Any target.
    Random,
}

/// Times and limits of a host. All times are in milliseconds.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Tuning {
    /// Length of a lease on the hall's shards.
    pub lease_ms: u64,
    /// Time between renewals of the lease.
    pub renew_ms: u64,
    /// Time between heartbeats to the hall's other hosts.
    pub heartbeat_ms: u64,
    /// Most that any two clocks of hosts, targets and the platform differ.
    pub skew_ms: u64,
    /// Most that a caller's clock is ahead.
    pub caller_skew_ms: u64,
    /// Longest that a holder may go without the table.
    pub outage_limit_ms: u64,
    /// Time between reads of the configuration's version.
    pub config_poll_ms: u64,
    /// Time between reads of the platform's list of targets.
    pub list_poll_ms: u64,
    /// Most that the platform's list lags.
    pub list_lag_ms: u64,
    /// Age up to which an id that the ledger doesn't know may be started.
    pub accept_window_ms: u64,
    /// How long the ledger remembers an id after its creation.
    pub retention_ms: u64,
    /// Least time after which callers send a request again.
    pub min_resend_ms: u64,
    /// Latest begin of a task after its start was sent.
    pub begin_window_ms: u64,
    /// A task's lease as a multiple of its expected time.
    pub lease_factor: u64,
    /// Longest time for which slots are lent.
    pub loan_ms: u64,
    /// Waiting tasks for each question to a peer that isn't known to have
    /// free slots. Fewer make answers come sooner, more save messages.
    pub tasks_per_question: u32,
    /// Most tasks that wait for a slot at a time.
    pub queue_limit: usize,
    /// How targets are chosen.
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

/// Mechanisms that a test may switch off in its own copy of a host, to show
/// that its checks would find them missing. No settings file reaches them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Safeguards {
    /// A host starts nothing once its right to the shard has lapsed.
    pub lapse_check: bool,
    /// A new owner starts no id that its predecessor may have started.
    pub takeover_cutoff: bool,
    /// Starts carry a latest time to begin that ends with the right.
    pub begin_limit: bool,
    /// A peer keeps its promises not to take over.
    pub keep_promises: bool,
    /// A host waits for a lease's end and the skew before it takes over.
    pub await_lease: bool,
    /// Only a newer configuration comes into force.
    pub version_check: bool,
    /// A start whose connection broke after it was written is asked after.
    pub ask_when_lost: bool,
    /// A known id gets its entry's answer.
    pub ledger: bool,
    /// A handover is accepted once, by the incarnation it is meant for.
    pub handover_once: bool,
    /// A refusal says `not run` only where no earlier sending can exist.
    pub first_sending_check: bool,
    /// A job is complete once all its tasks are.
    pub whole_answers: bool,
    /// Targets that are said to be leaving get no new work.
    pub heed_leaving: bool,
}

impl Default for Safeguards {
    fn default() -> Self {
        Self {
            lapse_check: true,
            takeover_cutoff: true,
            begin_limit: true,
            keep_promises: true,
            await_lease: true,
            version_check: true,
            ask_when_lost: true,
            ledger: true,
            handover_once: true,
            first_sending_check: true,
            whole_answers: true,
            heed_leaving: true,
        }
    }
}

/// What a host is told when it starts.
#[derive(Clone, Debug)]
pub struct HostSettings {
    /// The host and its run.
    pub id: HostId,
    /// Its hall.
    pub hall: Name,
    /// Where peers reach it, `ip:port`.
    pub address: Name,
    /// Addresses of other entry hosts, to ask while the table is out.
    pub peers: Vec<Name>,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Times and limits.
    pub tuning: Tuning,
    /// Mechanisms; all on but in tests.
    pub safeguards: Safeguards,
}
