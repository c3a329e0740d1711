//! Operators that change the same document concurrently, and checks on their changes.

use gannetridge_entry_config::DocumentKey;
use gannetridge_entry_core::{ChangeAnswer, ChangeRequest, Event};
use gannetridge_entry_wire::peer::ConfigDoc;
use gannetridge_entry_wire::platform::{TableOp, TableResult};
use gannetridge_wire::Name;
use rand::Rng;

use crate::checks::Violation;
use crate::hosts::Requester;
use crate::world::{OperatorChange, SimEvent, World, START_MS};

impl World {
    pub(crate) fn submit_concurrent_changes(&mut self) {
        let every = self.scenario.change_every_ms;
        if self.now.as_millis() < START_MS + self.scenario.load_ms {
            let us = self.rng.random_range(every * 500..=every * 1_500);
            self.schedule(us, SimEvent::ConcurrentChanges);
        }
        // Two operators change the same document, read at the same version.
        let serving: Vec<usize> = self.serving_hosts();
        if serving.is_empty() || self.scenario.accounts.is_empty() {
            return;
        }
        let account = self.rng.random_range(0..self.scenario.accounts.len());
        let key = format!("template/t-{}", self.scenario.accounts[account].name);
        let reader = serving[self.rng.random_range(0..serving.len())];
        let docs = &self.hosts[reader].core.config().snapshot().docs;
        let Some(doc) = docs.iter().find(|d| *d.key == *key).cloned() else {
            return;
        };
        for _ in 0..2 {
            let host = serving[self.rng.random_range(0..serving.len())];
            let n = self.changes.len() as u64;
            let id: Name = format!("change-{n}").into();
            self.changes.push(OperatorChange {
                id: id.clone(),
                rejected: false,
                accepted: None,
            });
            let key: DocumentKey = key.parse().expect("made from a kind and a name");
            let change = ChangeRequest {
                change_id: id,
                key,
                read_at: doc.version,
                text: doc.text.clone(),
            };
            let token = self.hosts[host].register_request(Requester::Operator(n));
            let process = self.hosts[host].process_id(host);
            let event = Box::new(Event::Change { token, change });
            let delay = self.sample_delay(1_000);
            self.schedule(delay, SimEvent::Deliver(process, event));
        }
    }

    /// Returns true if the table holds a document with this change.
    pub(crate) fn change_in_table(&mut self, id: &Name) -> bool {
        let prefix = "config/".into();
        let TableResult::Rows { rows } = self.platform.apply(&TableOp::Scan { prefix }) else {
            return false;
        };
        let docs = rows
            .iter()
            .filter_map(|r| serde_json::from_str::<ConfigDoc>(&r.value).ok());
        docs.into_iter().any(|doc| doc.changes.contains(id))
    }

    pub(crate) fn on_operator_answer(&mut self, change: u64, answer: Option<ChangeAnswer>) {
        let index = change as usize;
        let id = self.changes[index].id.clone();
        let kind = match &answer {
            None => "no answer",
            Some(ChangeAnswer::Accepted { .. }) => "accepted",
            Some(ChangeAnswer::Faulty(_)) => "faulty",
            Some(ChangeAnswer::Conflict { .. }) => "conflict",
            Some(ChangeAnswer::Unavailable) => "unavailable",
            Some(ChangeAnswer::Unresolved) => "unresolved",
        };
        *self.report.changes.entry(kind).or_default() += 1;
        match answer {
            Some(ChangeAnswer::Accepted { version }) => {
                self.changes[index].accepted = Some(version);
                if !self.change_in_table(&id) {
                    let text = format!("{id} at version {version}");
                    self.checks
                        .record_violation(Violation::AcceptedNotDurable(text));
                }
            }
            Some(
                ChangeAnswer::Conflict { .. } | ChangeAnswer::Unavailable | ChangeAnswer::Faulty(_),
            ) => self.changes[index].rejected = true,
            Some(ChangeAnswer::Unresolved) | None => {}
        }
    }

    /// Checks that no change reported as not written is in the table.
    pub(crate) fn check_rejected_changes(&mut self) {
        for index in 0..self.changes.len() {
            let id = self.changes[index].id.clone();
            if self.changes[index].rejected && self.change_in_table(&id) {
                self.checks
                    .record_violation(Violation::RejectedButWritten(id.to_string()));
            }
        }
    }

    /// Checks that every serving host has at least the latest accepted version.
    pub(crate) fn check_config_versions(&mut self) {
        let accepted = self.changes.iter().filter_map(|c| c.accepted);
        let last = accepted.max().unwrap_or(1);
        for index in self.serving_hosts() {
            let host = &self.hosts[index];
            if host.core.config().version() < last {
                let at = host.core.config().version();
                let text = format!("{} has {at}, accepted {last}", host.name);
                self.checks.record_violation(Violation::StaleConfig(text));
            }
        }
    }
}
