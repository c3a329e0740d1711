//! Creation of hosts and targets, and the store's contents that a new host reads.

use std::collections::HashMap;

use gannetridge_dispatcher_core::configuration::{Configuration, Queue, RequestLimits};
use gannetridge_dispatcher_core::event::{ProcessStartTime, TargetEntry};
use gannetridge_dispatcher_core::message::HostInfo;
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::{Dispatcher, Event, Settings};
use rand::Rng;

use crate::target::Target;

use super::model::{Host, SimEvent};
use super::{World, EPOCH_MS, MAX_ATTEMPTS};

impl World {
    pub(super) fn hall_of_host(&self, host: usize) -> usize {
        host / self.scenario.hosts_per_hall
    }

    pub(super) fn hall_of_target(&self, target: usize) -> usize {
        target / self.scenario.targets_per_hall
    }

    pub(super) fn new_target(&mut self, index: usize) -> Target {
        self.instances_created += 1;
        let hall = self.hall_of_target(index);
        let cores = if index % 3 == 0 { 24 } else { 16 };
        let entry = TargetEntry {
            id: format!("t{index}-{}", self.instances_created).into(),
            address: format!("{index}").into(),
            hall: format!("hall-{hall}").into(),
            pool: "pool".into(),
            capacity: Resources {
                cpu: cores * 1_000,
                memory_mb: 32_768,
                gpus: 0,
            },
            labels: vec!["a".into()],
            leaving: false,
            process_start: Some(ProcessStartTime(0)),
        };
        let clock_rate = self.rng.random_range(0.98..=1.0);
        let max_lease_ms = self.scenario.bounds.max_target_lease_ms;
        Target::new(
            entry,
            self.scenario.targets_enforce_capacity,
            clock_rate,
            max_lease_ms,
        )
    }

    pub(super) fn new_host(&mut self, index: usize) -> Host {
        self.instances_created += 1;
        let hall = self.hall_of_host(index);
        let skew = self.rng.random_range(0..100);
        let clock_start = self.now;
        let info = HostInfo {
            name: format!("host-{index}").into(),
            address: format!("127.0.0.1:{}", 1_000 + index)
                .parse()
                .expect("an address"),
            hall: format!("hall-{hall}").into(),
            incarnation: EPOCH_MS + self.now,
            processor_weight: if index % 3 == 0 { 500 } else { 120 },
        };
        let settings = Settings {
            name: info.name.clone(),
            address: info.address,
            hall: info.hall.clone(),
            incarnation: info.incarnation,
            processor_weight: info.processor_weight,
            seeds: vec!["127.0.0.1:1000".parse().expect("an address")],
            bounds: self.scenario.bounds,
            epoch_ms: EPOCH_MS + clock_start + skew,
            far_slowdown: 1.5,
            scheduling: self.scenario.scheduling,
            safeguards: self.scenario.safeguards,
        };
        Host {
            info,
            dispatcher: Dispatcher::new(settings).expect("the bounds are valid"),
            clock_start,
            instance: self.instances_created,
            is_up: true,
            is_suspended: false,
            resumed_at: 0,
            next_tick: 0,
            deferred_events: Vec::new(),
            waiting_callers: HashMap::new(),
            waiting_peers: HashMap::new(),
        }
    }

    /// Schedules a new host's first tick, and its first reads of the store if hosts don't share
    /// reads.
    pub(super) fn send_initial_state(&mut self, host: usize) {
        let instance = self.hosts[host].instance;
        self.schedule(self.now + 1, SimEvent::Tick { host, instance });
        if self.store_outages == 0 && !self.hosts_share_store_reads() {
            let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
            for event in [
                Event::ConfigurationRead(configuration()),
                self.draining_halls(),
                Event::TargetsRead(self.target_entries().into()),
                Event::HostsRead(hosts),
            ] {
                self.send_event(host, 10, event);
            }
        }
    }

    /// Returns the entries of all running targets.
    pub(super) fn target_entries(&self) -> Vec<TargetEntry> {
        let running = self.targets.iter().filter(|target| target.is_up);
        running.map(|target| target.entry.clone()).collect()
    }
}

/// Returns the configuration of all hosts, with one queue.
pub(super) fn configuration() -> Configuration {
    Configuration {
        version: 1,
        queues: vec![Queue {
            name: "turns".into(),
            host: "game.example".into(),
            prefix: "/turns/".into(),
            pool: "pool".into(),
            urgency: 0,
            max_attempts: MAX_ATTEMPTS,
            extension: 1.6,
            slack_ms: 60,
        }],
        unusable: Vec::new(),
        limits: RequestLimits::default(),
    }
}
