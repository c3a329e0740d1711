//! New hosts and targets, and what the store tells of them.

use std::collections::HashMap;

use gannetridge_dispatcher_core::configuration::{Configuration, Queue};
use gannetridge_dispatcher_core::event::TargetEntry;
use gannetridge_dispatcher_core::message::HostInfo;
use gannetridge_dispatcher_core::spec::Resources;
use gannetridge_dispatcher_core::{Dispatcher, Event, Settings};
use rand::Rng;

use crate::target::Target;

use super::parts::{Happening, Host};
use super::{World, EPOCH_MS, MAX_ATTEMPTS};

impl World {
    pub(super) fn hall_of_host(&self, host: usize) -> usize {
        host / self.scenario.hosts_per_hall
    }

    pub(super) fn hall_of_target(&self, target: usize) -> usize {
        target / self.scenario.targets_per_hall
    }

    pub(super) fn new_target(&mut self, index: usize) -> Target {
        self.lives += 1;
        let hall = self.hall_of_target(index);
        let cores = if index % 3 == 0 { 24 } else { 16 };
        let entry = TargetEntry {
            id: format!("t{index}-{}", self.lives).into(),
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
        };
        let rate = self.rng.random_range(0.98..=1.0);
        let longest = self.scenario.bounds.max_target_lease_ms;
        Target::new(entry, self.scenario.targets_enforce_capacity, rate, longest)
    }

    pub(super) fn new_host(&mut self, index: usize) -> Host {
        self.lives += 1;
        let hall = self.hall_of_host(index);
        let skew = self.rng.random_range(0..100);
        let base = self.now;
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
            epoch_ms: EPOCH_MS + base + skew,
            far_slowdown: 1.5,
            scheduling: self.scenario.scheduling,
            safeguards: self.scenario.safeguards,
        };
        Host {
            info,
            dispatcher: Dispatcher::new(settings).expect("the bounds leave room"),
            base,
            life: self.lives,
            is_up: true,
            frozen: false,
            woke: 0,
            tick_at: 0,
            queue: Vec::new(),
            callers: HashMap::new(),
            peers: HashMap::new(),
        }
    }

    /// Tells a new host what the store holds.
    pub(super) fn welcome(&mut self, host: usize) {
        let life = self.hosts[host].life;
        self.at(self.now + 1, Happening::Tick { host, life });
        if self.store_out == 0 && !self.hosts_tell_each_other() {
            let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
            for event in [
                Event::ConfigurationRead(configuration()),
                self.draining_halls(),
                Event::TargetsRead(self.list().into()),
                Event::HostsRead(hosts),
            ] {
                self.tell(host, 10, event);
            }
        }
    }

    pub(super) fn list(&self) -> Vec<TargetEntry> {
        let listed = self.targets.iter().filter(|target| target.is_up);
        listed.map(|target| target.entry.clone()).collect()
    }
}

/// The configuration of all hosts: one queue.
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
    }
}
