//! Creates the initial state of a run: halls, runners, hosts and configuration.

use std::collections::{BTreeSet, HashMap, VecDeque};

use gannetridge_entry_core::{Host, HostSettings};
use gannetridge_entry_wire::peer::ConfigDoc;
use gannetridge_entry_wire::platform::{TableOp, Write};
use gannetridge_entry_wire::HostId;
use gannetridge_wire::Name;
use rand::Rng;

use crate::hosts::{add_offset, ProcessState, SimHost};
use crate::runners::SimRunner;
use crate::scenario::CLOCK_OFFSET_US;
use crate::world::{SimEvent, World, LIST_REFRESH_US};

impl World {
    pub(crate) fn set_up(&mut self) {
        let sizes = self.scenario.sizes.clone();
        for hall in 0..sizes.halls {
            self.halls.push(format!("hall-{}", hall + 1).into());
            for n in 0..sizes.runners {
                let name: Name = format!("runner-{}-{}", hall + 1, n + 1).into();
                let offset_us = self.sample_clock_offset_us();
                self.runner_by_name.insert(name.clone(), self.runners.len());
                let runner = SimRunner::new(name, hall, sizes.slots, offset_us);
                self.runners.push(runner);
            }
        }
        self.write_config();
        self.refresh_list();
        for hall in 0..sizes.halls {
            for n in 0..sizes.hosts {
                let name: Name = format!("host-{}-{}", hall + 1, n + 1).into();
                let address: Name = format!("10.0.{}.{}:7100", hall + 1, n + 1).into();
                self.add_host(name, address, hall);
            }
        }
        for index in 0..self.hosts.len() {
            self.schedule_tick(index);
        }
        self.schedule(LIST_REFRESH_US, SimEvent::RefreshList);
        self.schedule_load();
    }

    pub(crate) fn sample_clock_offset_us(&mut self) -> i64 {
        self.rng.random_range(-CLOCK_OFFSET_US..=CLOCK_OFFSET_US)
    }

    pub(crate) fn add_host(&mut self, name: Name, address: Name, hall: usize) {
        let offset_us = self.sample_clock_offset_us();
        let core = self.new_core(&name, &address, hall, offset_us);
        self.host_by_address
            .insert(address.clone(), self.hosts.len());
        self.hosts.push(SimHost {
            name,
            hall,
            address,
            incarnation: 1,
            core,
            state: ProcessState::Running,
            stopping: false,
            inbox: VecDeque::new(),
            delayed_actions: Vec::new(),
            pause_next_us: None,
            offset_us,
            next_tick: None,
            requesters: HashMap::new(),
            read_requests: BTreeSet::new(),
            open_calls: HashMap::new(),
            last_token: 0,
            config_version: 0,
        });
    }

    pub(crate) fn new_core(
        &mut self,
        name: &Name,
        address: &Name,
        hall: usize,
        offset_us: i64,
    ) -> Host {
        let now = add_offset(self.now, offset_us);
        let peers = self.hosts.iter().map(|h| h.address.clone()).collect();
        let settings = HostSettings {
            id: HostId {
                name: name.clone(),
                incarnation: now.0,
            },
            hall: self.halls[hall].clone(),
            address: address.clone(),
            peers,
            seed: self.rng.random(),
            tuning: self.scenario.tuning.clone(),
            safeguards: self.scenario.safeguards,
        };
        Host::new(settings, now)
    }

    /// Writes the initial configuration directly into the table.
    pub(crate) fn write_config(&mut self) {
        let mut docs: Vec<(String, String)> = Vec::new();
        for hall in &self.halls {
            docs.push((format!("hall/{hall}"), "state = \"open\"\n".to_owned()));
        }
        let halls: Vec<String> = self.halls.iter().map(|h| format!("\"{h}\"")).collect();
        for account in &self.scenario.accounts {
            let mean_ms = account.mean_ms() as u64;
            let template = format!("expected-ms = {mean_ms}\n");
            docs.push((format!("template/t-{}", account.name), template));
            let text = format!(
                "halls = [{}]\nurgency = \"{}\"\nquota-slots = {}\nrepeatable = {}\n[templates.t-{}]\n",
                halls.join(", "),
                account.urgency,
                account.quota_slots,
                account.repeatable,
                account.name
            );
            docs.push((format!("account/{}", account.name), text));
        }
        let mut writes = vec![Write {
            key: "config/head".into(),
            value: "{\"version\":1}".into(),
        }];
        for (key, text) in docs {
            let doc = ConfigDoc {
                key: key.as_str().into(),
                version: 1,
                text: text.into(),
                changes: Vec::new(),
            };
            let value = serde_json::to_string(&doc).expect("plain data has a JSON form");
            writes.push(Write {
                key: format!("config/{key}").into(),
                value: value.into(),
            });
        }
        let checks = Vec::new();
        self.platform.apply(&TableOp::Commit { checks, writes });
    }
}
