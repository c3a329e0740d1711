//! Carries out what hosts want done, and takes down what they note.

use std::collections::BTreeMap;

use gannetridge_entry_core::{Action, Note, Waste};

use crate::checks::Violation;
use crate::hosts::{Asker, CallOf, Pulse, RunOf, SimHost};
use crate::world::{Ev, World, START_MS};

impl World {
    pub(crate) fn perform_all(&mut self, run: RunOf, actions: Vec<Action>) {
        for action in actions {
            if self.is_run(run) {
                self.perform(run, action);
            }
        }
    }

    pub(crate) fn perform(&mut self, run: RunOf, action: Action) {
        match action {
            Action::Answer { token, answer } => {
                if let Some(Asker::Caller(request)) = self.hosts[run.host].askers.remove(&token) {
                    let delay = self.delay(self.scenario.delays.caller);
                    self.at(delay, Ev::CallerAnswer(request, Some(answer)));
                }
            }
            Action::Reply { token, reply } => self.reply_to_peer(run, token, reply),
            Action::ChangeAnswer { token, answer } => {
                if let Some(Asker::Operator(n)) = self.hosts[run.host].askers.remove(&token) {
                    let delay = self.scenario.delays.caller;
                    self.at(delay, Ev::OperatorAnswer(n, Some(answer)));
                }
            }
            Action::Call {
                call,
                address,
                request,
                wait_ms,
            } => self.call_peer(CallOf { run, call }, &address, request, wait_ms),
            Action::Start {
                call,
                target,
                start,
                wait_ms,
                ..
            } => {
                let from = CallOf { run, call };
                let runner = self.runner(&target);
                let start = Ev::Start {
                    runner,
                    life: self.runners[runner].life,
                    from,
                    start,
                };
                self.send_to_runner(from, runner, start, wait_ms);
            }
            Action::Ask {
                call,
                address,
                ask,
                wait_ms,
            } => {
                let from = CallOf { run, call };
                let runner = self.runner(&address);
                self.send_to_runner(from, runner, Ev::Ask { runner, from, ask }, wait_ms);
            }
            Action::Table { call, op } => self.use_table(CallOf { run, call }, op),
            Action::ReadList { after } => self.read_list(run, after),
            Action::Note(note) => self.note(run, &note),
            Action::Stopped => self.stopped(run),
        }
    }

    /// Tells whether the warm-up is over.
    pub(crate) fn is_measured(&self) -> bool {
        self.now.as_millis() - START_MS >= self.scenario.warm_up_ms
    }

    pub(crate) fn note(&mut self, run: RunOf, note: &Note) {
        match note {
            Note::Wasted(Waste::Resubmitted) | Note::Finished { .. } | Note::Refused { .. } => {}
            Note::Wasted(waste) => {
                if self.is_measured() {
                    self.report.waste(*waste);
                }
            }
            Note::ConfigInForce { version } => {
                let host = &mut self.hosts[run.host];
                if *version < host.config_version {
                    let text = format!("{} from {} to {version}", host.name, host.config_version);
                    self.checks.violated(Violation::ConfigReverted(text));
                }
                self.hosts[run.host].config_version = *version;
            }
            Note::ShardAcquired { .. } => self.check_owners(run),
            Note::ShardReleased { .. } => {}
        }
    }

    /// Checks that no two running hosts believe in the right to one shard.
    pub(crate) fn check_owners(&mut self, run: RunOf) {
        let hall = self.hosts[run.host].hall;
        let mut owners: BTreeMap<u16, &SimHost> = BTreeMap::new();
        let mut found = Vec::new();
        for host in self
            .hosts
            .iter()
            .filter(|h| h.hall == hall && h.pulse == Pulse::Runs)
        {
            let now = host.clock(self.now);
            for (shard, _) in host.core.ownership().held_shards() {
                if host.core.ownership().right(shard, now).is_none() {
                    continue;
                }
                if let Some(other) = owners.insert(shard, host) {
                    let theirs = other.core.ownership().describe(shard);
                    let its = host.core.ownership().describe(shard);
                    found.push(format!(
                        "shard {shard} at {now:?}: {} {theirs}, and {} {its}",
                        other.name, host.name
                    ));
                }
            }
        }
        for text in found {
            self.checks.violated(Violation::TwoOwners(text));
        }
    }
}
