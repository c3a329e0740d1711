//! One host: events and the time go in, actions come out.
//!
//! [`Dispatcher`] owns the host's parts (`Jobs`, `TargetLeases`, `Peers`, `Backlog`) and
//! hands on what one leaves for another. It has no socket, clock, thread or
//! randomness of its own; it relies on its caller to give it events in the order of
//! a clock that goes on while the host is suspended, to carry its actions out, and to come back at
//! [`Dispatcher::next_timer`].

mod backlog;
mod caller_requests;
mod crash_news;
mod draining;
mod handing_over;
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
use crate::configuration::Configuration;
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
use crate::store_news::StoreNews;
use crate::targets::TargetLeases;
use crate::Millis;

use peer_calls::PeerCalls;
use placement::Advertised;
use stopping::Stopping;
use timers::Timers;

/// How much a host has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Counts {
    /// Jobs under way.
    pub jobs: usize,
    /// Targets in the list.
    pub targets_known: usize,
    /// Targets whose leases this host holds or acquires.
    pub targets_leased: usize,
    /// Attempts on them.
    pub attempts: usize,
    /// Thousandths of a core that these are expected to free within 100 ms.
    pub cpu_freed_soon: u32,
    /// Tasks of peers that wait here.
    pub tasks_of_peers: usize,
    /// Peers that are taken to live.
    pub peers_alive: usize,
    /// Halls that are draining.
    pub halls_draining: usize,
    /// The age of what is believed of the platform's store, in ms, if anything is known.
    pub store_age_ms: Option<Millis>,
}

/// One host.
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
    store_news: StoreNews,
    draining: DrainingHalls,
    /// How this host learns what the store holds, as last logged.
    noted_reading: Option<StoreReading>,
    calls: PeerCalls,
    timers: Timers,
    stopping: Option<Stopping>,
    advertised: Option<Advertised>,
    own_delay: LocalDelay,
    actions: Vec<Action>,
}

impl Dispatcher {
    /// Creates a host that knows nothing yet.
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
            noted_reading: None,
            store_news: StoreNews::new(Freshness::new(settings.bounds.drain_ms)),
            settings,
            times,
            own,
            configuration: None,
            calls: PeerCalls::default(),
            timers: Timers::default(),
            stopping: None,
            advertised: None,
            own_delay: LocalDelay::default(),
            actions: Vec::new(),
        })
    }

    /// Returns the host's identity.
    #[must_use]
    pub fn info(&self) -> &HostInfo {
        &self.own
    }

    /// Returns whether callers should be sent here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.configuration.is_some() && self.stopping.is_none()
    }

    /// Returns the version of the configuration in force, 0 for none.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.configuration
            .as_ref()
            .map_or(0, |configuration| configuration.version)
    }

    /// Returns how much the host has to do.
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
            store_age_ms: self.store_news.age(now),
        }
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        self.peers.set_seeds(seeds);
    }

    /// Returns when the next timer is due, in ms of this host's clock.
    #[must_use]
    pub fn next_timer(&self) -> Millis {
        self.timers.next_tick
    }

    /// Takes an event in and returns what is to be done.
    ///
    /// Leases are looked at first: what expired while the process stood still is
    /// lost before the event can use it.
    pub fn handle(&mut self, now: Millis, event: Event) -> Vec<Action> {
        if let Some(gap_ms) = self.timers.stood_still(now, &self.times) {
            self.after_pause(now, gap_ms);
        }
        self.expire_leases(now);
        self.expire_backlog(now);
        self.take(now, event);
        if self.timers.next_tick <= now {
            self.tick(now);
        }
        self.hand_on(now);
        std::mem::take(&mut self.actions)
    }

    /// Loses what expired while the process stood still, and doubts what was on its way.
    fn after_pause(&mut self, now: Millis, gap_ms: Millis) {
        self.record(Decision::ProcessStalled { gap_ms });
        self.calls.doubt();
        self.targets.mark_incarnations_unconfirmed();
        self.targets.end_expired(now);
    }

    fn take(&mut self, now: Millis, event: Event) {
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
            } => self.peer_asks(now, request_id, *envelope),
            Event::PeerReply { call, reply } => {
                self.peer_replied(now, call, reply.map(|reply| *reply));
            }
            Event::TargetReply { call, reply } => self.targets.handle_reply(now, call, reply),
            Event::TargetsChanged(changes) => {
                self.store_news.list_changed(&changes);
                self.targets.apply_list_changes(now, changes);
            }
            Event::TargetsRead(list) => {
                self.store_news.list_read(&list);
                self.targets.replace_list(now, list);
            }
            Event::StoreAnswered {
                table,
                version,
                age_ms,
            } => {
                let at = now.saturating_sub(age_ms);
                self.store_news.known(table, version, at);
            }
            Event::DrainingHallsRead { version, halls } => self.draining_read(now, version, halls),
            Event::DrainingHallsChanged { version, changes } => {
                self.draining_changed(now, version, &changes);
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
            Event::Stop { age_ms } => self.stop(now, now.saturating_sub(age_ms)),
        }
    }

    /// Puts a configuration in force unless it is older than the present one: a
    /// host never goes back to an earlier version.
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
