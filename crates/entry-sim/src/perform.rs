//! Performs the actions of hosts and records their telemetry events.

use std::collections::BTreeMap;

use gannetridge_entry_core::{Action, TelemetryEvent, WastedMessage};

use crate::checks::Violation;
use crate::hosts::{OutgoingCall, ProcessId, ProcessState, Requester, SimHost};
use crate::world::{SimEvent, World, START_MS};

impl World {
    pub(crate) fn perform_all(&mut self, process: ProcessId, actions: Vec<Action>) {
        for action in actions {
            if self.is_current(process) {
                self.perform(process, action);
            }
        }
    }

    pub(crate) fn perform(&mut self, process: ProcessId, action: Action) {
        match action {
            Action::Answer { token, answer } => {
                if let Some(Requester::Caller(request)) =
                    self.hosts[process.host].requesters.remove(&token)
                {
                    let delay = self.sample_delay(self.scenario.delays.caller_us);
                    self.schedule(delay, SimEvent::CallerAnswer(request, Some(answer)));
                }
            }
            Action::Reply { token, reply } => self.reply_to_peer(process, token, reply),
            Action::ChangeAnswer { token, answer } => {
                if let Some(Requester::Operator(n)) =
                    self.hosts[process.host].requesters.remove(&token)
                {
                    let delay = self.scenario.delays.caller_us;
                    self.schedule(delay, SimEvent::OperatorAnswer(n, Some(answer)));
                }
            }
            Action::Call {
                call,
                address,
                request,
                wait_ms,
            } => self.call_peer(OutgoingCall { process, call }, &address, request, wait_ms),
            Action::Start {
                call,
                target,
                start,
                wait_ms,
                ..
            } => {
                let from = OutgoingCall { process, call };
                let runner = self.runner_index(&target);
                let start = SimEvent::Start {
                    runner,
                    incarnation: self.runners[runner].incarnation,
                    from,
                    start,
                };
                self.send_to_runner(from, runner, start, wait_ms);
            }
            Action::Query {
                call,
                address,
                query,
                wait_ms,
            } => {
                let from = OutgoingCall { process, call };
                let runner = self.runner_index(&address);
                self.send_to_runner(
                    from,
                    runner,
                    SimEvent::TaskQuery {
                        runner,
                        from,
                        query,
                    },
                    wait_ms,
                );
            }
            Action::Table { call, op } => self.call_table(OutgoingCall { process, call }, op),
            Action::ReadList { after } => self.read_list(process, after),
            Action::Telemetry(event) => self.record_telemetry(process, &event),
            Action::Stopped => self.on_stopped(process),
        }
    }

    /// Returns true once the warm-up has ended.
    pub(crate) fn is_measured(&self) -> bool {
        self.now.as_millis() - START_MS >= self.scenario.warm_up_ms
    }

    pub(crate) fn record_telemetry(&mut self, process: ProcessId, event: &TelemetryEvent) {
        match event {
            TelemetryEvent::Wasted(WastedMessage::Resubmitted)
            | TelemetryEvent::Finished { .. }
            | TelemetryEvent::FaultyDocument { .. }
            | TelemetryEvent::Refused { .. } => {}
            TelemetryEvent::Wasted(waste) => {
                if self.is_measured() {
                    self.report.count_wasted(*waste);
                }
            }
            TelemetryEvent::ConfigInForce { version } => {
                let host = &mut self.hosts[process.host];
                if *version < host.config_version {
                    let text = format!("{} from {} to {version}", host.name, host.config_version);
                    self.checks
                        .record_violation(Violation::ConfigReverted(text));
                }
                self.hosts[process.host].config_version = *version;
            }
            TelemetryEvent::ShardAcquired { .. } => self.check_owners(process),
            TelemetryEvent::ShardReleased { .. } => {}
        }
    }

    /// Checks that no two running hosts of the process's hall have the right to start
    /// tasks under one shard.
    pub(crate) fn check_owners(&mut self, process: ProcessId) {
        let hall = self.hosts[process.host].hall;
        let mut owners: BTreeMap<u16, &SimHost> = BTreeMap::new();
        let mut found = Vec::new();
        for host in self
            .hosts
            .iter()
            .filter(|h| h.hall == hall && h.state == ProcessState::Running)
        {
            let now = host.clock(self.now);
            for (shard, _) in host.core.ownership().held_shards() {
                if host.core.ownership().acceptance_right(shard, now).is_none() {
                    continue;
                }
                if let Some(other) = owners.insert(shard, host) {
                    let other_view = other.core.ownership().describe_shard(shard);
                    let host_view = host.core.ownership().describe_shard(shard);
                    found.push(format!(
                        "shard {shard} at {now:?}: {} {other_view}, and {} {host_view}",
                        other.name, host.name
                    ));
                }
            }
        }
        for text in found {
            self.checks.record_violation(Violation::TwoOwners(text));
        }
    }
}
