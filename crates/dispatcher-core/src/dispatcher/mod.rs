//! The state machine of one host: maps events and the time to actions.
//!
//! [`Dispatcher`] owns the host's parts (`Jobs`, `TargetLeases`, `Peers`, `Backlog` and others) and
//! passes work between them. It has no sockets, clock, threads or randomness of its own. It relies
//! on its caller to deliver events in the order of a monotonic clock that keeps running while the
//! host is suspended, to carry out its actions, and to call it again at
//! [`Dispatcher::next_timer`].

mod backlog;
mod caller_requests;
mod crash_reports;
mod draining;
mod hand_over;
mod load;
mod owner_leases;
mod peer_calls;
mod peer_requests;
mod placement;
mod stopping;
mod store;
mod timers;

use std::net::SocketAddr;

use crate::action::Action;
use crate::backlog::Backlog;
use crate::configuration::{Configuration, RequestLimits};
use crate::decision::{ConfigurationSource, Decision, StoreReading};
use crate::event::Event;
use crate::jobs::Jobs;
use crate::message::HostInfo;
use crate::peers::Peers;
use crate::rules::congestion::LocalDelay;
use crate::rules::draining::DrainingHalls;
use crate::rules::leases::Times;
use crate::rules::long_tasks::LongTaskLimit;
use crate::rules::shares::Shares;
use crate::rules::store_readers::Freshness;
use crate::settings::{BoundsError, Settings};
use crate::store_replica::StoreReplica;
use crate::targets::TargetLeases;
use crate::Millis;

use peer_calls::PeerCalls;
use placement::Advertised;
use stopping::Stopping;
use timers::Timers;

/// The numbers of items that a host manages, for metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Jobs in progress.
    pub jobs: usize,
    /// Targets that the host knows.
    pub targets_known: usize,
    /// Targets whose leases this host holds or acquires.
    pub targets_leased: usize,
    /// Attempts on the leased targets.
    pub attempts: usize,
    /// The processor capacity that these attempts are expected to free within 100 ms, in
    /// thousandths of a core.
    pub cpu_freed_soon: u32,
    /// Tasks of peers that wait at this host.
    pub tasks_of_peers: usize,
    /// Peers that are assumed to be alive.
    pub peers_alive: usize,
    /// Halls that are draining.
    pub halls_draining: usize,
    /// The age of the known state of the platform's store, in ms, if any is known.
    pub store_age_ms: Option<Millis>,
}

/// One dispatcher host.
pub struct Dispatcher {
    settings: Settings,
    times: Times,
    own: HostInfo,
    configuration: Option<Configuration>,
    jobs: Jobs,
    targets: TargetLeases,
    peers: Peers,
    backlog: Backlog,
    shares: Shares,
    long_tasks: LongTaskLimit,
    store_replica: StoreReplica,
    draining: DrainingHalls,
    /// The way in which this host learns the contents of the store, as last logged.
    logged_reading: Option<StoreReading>,
    calls: PeerCalls,
    timers: Timers,
    stopping: Option<Stopping>,
    advertised: Option<Advertised>,
    local_delay: LocalDelay,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a host without configuration, targets or known peers.
    ///
    /// # Errors
    ///
    /// Fails if the bounds leave no time for safe heartbeats.
    pub fn new(settings: Settings) -> Result<Self, BoundsError> {
        let times = settings.bounds.times()?;
        let own = HostInfo {
            name: settings.name.clone(),
            address: settings.address,
            hall: settings.hall.clone(),
            incarnation: settings.incarnation,
            processor_weight: settings.processor_weight,
        };
        Ok(Self {
            jobs: Jobs::new(settings.safeguards),
            targets: TargetLeases::new(&settings, times),
            peers: Peers::new(own.clone(), &settings.seeds, times),
            backlog: Backlog::default(),
            shares: Shares::default(),
            long_tasks: LongTaskLimit::default(),
            draining: DrainingHalls::default(),
            logged_reading: None,
            store_replica: StoreReplica::new(Freshness::new(settings.bounds.drain_ms)),
            settings,
            times,
            own,
            configuration: None,
            calls: PeerCalls::default(),
            timers: Timers::default(),
            stopping: None,
            advertised: None,
            local_delay: LocalDelay::default(),
            actions: Vec::new(),
        })
    }

    /// Returns the host's identity.
    #[must_use]
    pub fn info(&self) -> &HostInfo {
        &self.own
    }

    /// Returns true if the host accepts callers: it has a configuration and isn't shutting down.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.stopping.is_none()
    }

    /// Returns the limits of callers' requests; the defaults without a configuration.
    #[must_use]
    pub fn request_limits(&self) -> RequestLimits {
        let configuration = self.configuration.as_ref();
        configuration.map_or_else(RequestLimits::default, |current| current.limits)
    }

    /// Limits the memory of the jobs in progress, in bytes.
    pub fn limit_job_memory(&mut self, bytes: usize) {
        self.jobs.limit_memory(bytes);
    }

    /// Returns the version of the configuration in force, 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns the numbers of items that the host manages at `now`.
    #[must_use]
    pub fn counts(&self, now: Millis) -> Counts {
        let targets = self.targets.counts(now);
        Counts {
            jobs: self.jobs.len(),
            targets_known: targets.known,
            targets_leased: targets.leased,
            attempts: targets.attempts,
            cpu_freed_soon: targets.cpu_freed_soon,
            tasks_of_peers: self.backlog.len(),
            peers_alive: self.peers.alive_count(now),
            halls_draining: self.draining.halls().len(),
            store_age_ms: self.store_replica.age(now),
        }
    }

    /// Replaces the addresses at which peers may be found.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.peers.set_seeds(seeds);
    }

    /// Returns when the next timer is due, in ms of this host's clock.
    #[must_use]
    pub fn next_timer(&self) -> Millis {
        self.timers.next_tick
    }

    /// Handles an event and returns the resulting actions.
    ///
    /// Leases are expired first, so that the event can't rely on a lease that expired while the
    /// process was stalled.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if let Some(gap_ms) = self.timers.detect_stall(now, &self.times) {
            self.handle_process_stall(now, gap_ms);
        }
        self.expire_leases(now);
        self.expire_backlog(now);
        self.apply_event(now, event);
        if self.timers.next_tick <= now {
            self.tick(now);
        }
        self.process_pending_work(now);
        std::mem::take(&mut self.actions)
    }

    /// Drops leases that expired while the process was stalled, and marks open calls, whose replies
    /// may be outdated.
    fn handle_process_stall(&mut self, now: Millis, gap_ms: Millis) {
        self.record(Decision::ProcessStalled { gap_ms });
        self.calls.mark_stalled();
        self.targets.mark_incarnations_unconfirmed();
        self.targets.end_expired(now);
    }

    fn apply_event(&mut self, now: Millis, event: Event) {
        match event {
            Event::Submit { request_id, submit } => self.submit(now, request_id, *submit),
            Event::Query {
                request_id,
                host,
                path,
            } => self.query(request_id, &host, &path),
            Event::Cancel {
                request_id,
                host,
                path,
            } => self.cancel(now, request_id, &host, &path),
            Event::CallerGone { request_id } => self.jobs.remove_request(now, request_id),
            Event::Peer {
                request_id,
                envelope,
            } => self.handle_peer_request(now, request_id, *envelope),
            Event::PeerReply { call, reply } => {
                self.handle_peer_reply(now, call, reply.map(|reply| *reply));
            }
            Event::TargetReply { call, reply } => self.targets.handle_reply(now, call, reply),
            Event::TargetsChanged(changes) => {
                self.store_replica.apply_list_changes(&changes);
                self.targets.apply_list_changes(now, changes);
            }
            Event::TargetsRead(list) => {
                self.store_replica.replace_list(&list);
                self.targets.replace_list(now, list);
            }
            Event::StoreAnswered {
                table,
                version,
                age_ms,
            } => {
                let at = now.saturating_sub(age_ms);
                self.store_replica.record_version(table, version, at);
            }
            Event::DrainingHallsRead { version, halls } => {
                self.replace_draining_halls(now, version, halls)
            }
            Event::DrainingHallsChanged { version, changes } => {
                self.apply_draining_changes(now, version, &changes);
            }
            Event::StoreReachable(reachable) => self.store_reachable(now, reachable),
            Event::ConfigurationRead(configuration) => {
                self.use_configuration(configuration, ConfigurationSource::Store)
            }
            Event::HostsRead(hosts) => {
                for host in &hosts {
                    self.peers.learn(now, host);
                }
            }
            Event::Tick => {}
            Event::Stop { age_ms } => self.begin_shutdown(now, now.saturating_sub(age_ms)),
        }
    }

    /// Puts a configuration in force unless the current one is as new: a host never returns to an
    /// earlier version.
    fn use_configuration(&mut self, configuration: Configuration, from: ConfigurationSource) {
        if configuration.version > self.version() || self.configuration.is_none() {
            let version = configuration.version;
            self.targets.set_pools(configuration.pools());
            self.configuration = Some(configuration);
            self.record(Decision::Configuration { version, from });
        }
    }

    fn record(&mut self, decision: Decision) {
        self.actions.push(Action::Record(decision));
    }
}
