//! One entry host: events in, actions out.
//!
//! Each submodule adds one part to [`Host`]:
//!
//! - Submissions: `submit` handles them, `forward` forwards them to the holder of their
//!   shard, `accept` decides which become jobs, `ends` ends jobs.
//! - Tasks: `run` starts them, `run_ends` handles the targets' replies, `query` asks
//!   targets about runs after a lost reply, `retries` decides what is sent again.
//! - Slots: `borrow` and `lend` move free ones between hosts, `quotas` tracks the
//!   accounts' use.
//! - Shards: `owner` renews the lease, `handover` hands shards over, `updates` reports
//!   ended jobs to the new holders, `stopping` shuts the host down gracefully.
//! - Shared state: `heartbeat` exchanges heartbeats, `sync` reads the configuration and
//!   the platform's list, `config_changes` writes operators' changes.
//! - `peers` dispatches peers' requests and replies; `calls` and `timers` serve all.

mod accept;
mod borrow;
mod calls;
mod config_changes;
mod config_rows;
mod ends;
mod forward;
mod handover;
mod heartbeat;
mod lend;
mod owner;
mod peers;
mod query;
mod quotas;
mod retries;
mod run;
mod run_ends;
mod stopping;
mod submit;
mod sync;
mod timers;
mod updates;

use std::collections::{BTreeMap, HashMap};

use gannetridge_entry_wire::platform::TargetList;
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;
use rand::SeedableRng;
use rand_pcg::Pcg32;

use crate::action::Action;
use crate::admission::RunTimeRatio;
use crate::config_store::ConfigStore;
use crate::directory::Directory;
use crate::event::{CallId, Event};
use crate::job::Job;
use crate::keys::JobKey;
use crate::ledger::{Ledger, Waiter};
use crate::loans::{BorrowedSlots, LentLoans};
use crate::ownership::Ownership;
use crate::queue::Queue;
use crate::retry::RetryBudget;
use crate::settings::HostSettings;
use crate::targets::Targets;

use calls::Calls;
use config_changes::PendingChanges;
use forward::Forwards;
use handover::Handovers;
use heartbeat::Peer;
use lend::BorrowRequests;
use owner::HallReads;
use quotas::RemoteUsage;
use run::RunningTask;
use stopping::StopState;
use timers::Timers;

/// One entry host.
pub struct Host {
    settings: HostSettings,
    now: Time,
    rng: Pcg32,
    /// The actions of the event being handled.
    actions: Vec<Action>,
    timers: Timers,
    calls: Calls,
    ownership: Ownership,
    directory: Directory,
    config: ConfigStore,
    ledger: Ledger,
    jobs: BTreeMap<JobKey, Job>,
    last_job: u64,
    running: HashMap<CallId, RunningTask>,
    targets: Targets,
    /// The platform's list as last read, also for peers that start without it.
    list: Option<TargetList>,
    queue: Queue,
    borrowed: BorrowedSlots,
    lent: LentLoans,
    /// Peers' borrow requests that wait for slots.
    borrow_requests: BorrowRequests,
    run_time_ratio: RunTimeRatio,
    budget: RetryBudget,
    peers: BTreeMap<Name, Peer>,
    /// The slots that accounts use in other halls, as last reported.
    remote_usage: RemoteUsage,
    forwards: Forwards,
    handovers: Handovers,
    changes: PendingChanges,
    hall_reads: HallReads,
    /// True while a read or write of the hall's row is in progress.
    row_access_pending: bool,
    /// The number of heartbeat rounds so far.
    heartbeat_rounds: u64,
    stop: StopState,
}

impl Host {
    /// Creates a host without any state. Its first timers are due at once.
    #[must_use]
    pub fn new(settings: HostSettings, now: Time) -> Self {
        let tuning = &settings.tuning;
        let targets = Targets::new(
            settings.hall.clone(),
            settings.id.name.clone(),
            tuning.placement,
        );
        let mut host = Self {
            now,
            rng: Pcg32::seed_from_u64(settings.seed),
            actions: Vec::new(),
            timers: Timers::default(),
            calls: Calls::default(),
            ownership: Ownership::new(&settings, now),
            directory: Directory::default(),
            config: ConfigStore::default(),
            ledger: Ledger::new(tuning.retention_ms),
            jobs: BTreeMap::new(),
            last_job: 0,
            running: HashMap::new(),
            targets,
            list: None,
            queue: Queue::default(),
            borrowed: BorrowedSlots::default(),
            lent: LentLoans::default(),
            borrow_requests: BorrowRequests::default(),
            run_time_ratio: RunTimeRatio::default(),
            budget: RetryBudget::new(now),
            peers: BTreeMap::new(),
            remote_usage: RemoteUsage::default(),
            forwards: Forwards::default(),
            handovers: Handovers::default(),
            changes: PendingChanges::default(),
            hall_reads: HallReads::default(),
            row_access_pending: false,
            heartbeat_rounds: 0,
            stop: StopState::not_requested(),
            settings,
        };
        host.add_seed_peers();
        host.set_first_timers();
        host
    }

    /// Returns the settings that the host was created with.
    #[must_use]
    pub fn settings(&self) -> &HostSettings {
        &self.settings
    }

    /// Returns when the next [`Event::Tick`] is due.
    #[must_use]
    pub fn next_timer(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn config(&self) -> &ConfigStore {
        &self.config
    }

    /// Returns the ownership state of the hall's shards.
    #[must_use]
    pub fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Returns the targets that this host knows.
    #[must_use]
    pub fn targets(&self) -> &Targets {
        &self.targets
    }

    /// Returns the number of submissions in the ledger.
    #[must_use]
    pub fn ledger_len(&self) -> usize {
        self.ledger.len()
    }

    /// Returns the number of jobs in progress.
    #[must_use]
    pub fn running_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns true if the host can serve: it has a configuration, knows targets and isn't
    /// stopping.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.stop.requested && self.config.version() > 0 && !self.targets.is_empty()
    }

    /// Handles one event at the time `now` and returns the resulting actions.
    ///
    /// # Panics
    ///
    /// Panics if an invariant is violated, since continuing could break a guarantee given
    /// to a caller.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Action> {
        // A clock that is set back must not restore an expired right.
        self.now = self.now.max(now);
        self.ownership.expire_rights(self.now);
        self.run_timers();
        match event {
            Event::Submit { token, submission } => {
                self.route(Waiter::Caller(token), submission);
            }
            Event::Peer { token, request } => self.on_peer(token, request),
            Event::PeerReply { call, reply } => self.on_peer_reply(call, reply),
            Event::TaskReply { call, reply } => self.on_task_reply(call, reply),
            Event::TableReply { call, reply } => self.on_table_reply(call, reply),
            Event::Listed(list) => self.apply_list(list),
            Event::Change { token, change } => self.on_change(token, change),
            Event::Tick => {}
            Event::Stop => self.on_stop(),
        }
        self.start_waiting_tasks();
        self.serve_borrow_requests();
        self.stop_if_done();
        std::mem::take(&mut self.actions)
    }
}
