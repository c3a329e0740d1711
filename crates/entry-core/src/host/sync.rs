//! Keeps the configuration and the list of targets up to date, from the platform and
//! from peers.

use gannetridge_entry_wire::peer::{ConfigSnapshot, PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{TableFailure, TableOp, TableResult, TargetList};
use gannetridge_wire::Name;

use super::calls::CallPurpose;
use super::config_rows::{read_rows, ConfigRows, Head};
use super::Host;
use crate::action::{Action, TelemetryEvent};
use crate::config_store::CONFIG_PREFIX;
use crate::event::{RequestToken, SendFailure};
use crate::settings::Placement;

/// Timeout of the reply to a configuration pull, in ms.
const PULL_TIMEOUT_MS: u64 = 2_000;

impl Host {
    pub(super) fn on_head_read(&mut self, reply: Result<TableResult, TableFailure>) {
        let Ok(TableResult::Rows { rows }) = reply else {
            return;
        };
        let Some(row) = rows.first() else {
            return;
        };
        let head: Result<Head, _> = serde_json::from_str(&row.value);
        if head.is_ok_and(|head| head.version > self.config.version()) {
            let prefix = CONFIG_PREFIX.into();
            self.call_table(CallPurpose::ReadConfig, TableOp::Scan { prefix });
        }
    }

    pub(super) fn on_config_read(&mut self, reply: Result<TableResult, TableFailure>) {
        let Ok(TableResult::Rows { rows }) = reply else {
            return;
        };
        if let Some(read) = read_rows(&rows) {
            self.apply_config_rows(&read);
        }
    }

    /// Applies the configuration in the table. The last readable version of a document stays in
    /// force.
    pub(super) fn apply_config_rows(&mut self, read: &ConfigRows) {
        let is_newer = read.snapshot.version > self.config.version();
        for key in read.faulty.iter().filter(|_| is_newer) {
            let key = key.clone();
            self.record(TelemetryEvent::FaultyDocument { key });
        }
        self.apply_config(read.completed(self.config.snapshot()));
    }

    /// Applies a configuration if it is newer than the one in force.
    pub(super) fn apply_config(&mut self, snapshot: ConfigSnapshot) {
        let before = self.config.version();
        let check = self.settings.safeguards.version_check;
        if !self.config.apply(snapshot, check) {
            return;
        }
        let version = self.config.version();
        assert!(version > before || !check, "a configuration never reverts");
        self.targets.set_draining(self.config.draining());
        self.record(TelemetryEvent::ConfigInForce { version });
    }

    /// Requests a newer configuration from a peer, and the list if none is known.
    pub(super) fn pull_config(&mut self, address: Name) {
        let have = self.config.version();
        let want_list = self.targets.is_empty();
        let request = PeerRequest::ConfigPull { have, want_list };
        self.call_peer(CallPurpose::ConfigPull, address, request, PULL_TIMEOUT_MS);
    }

    pub(super) fn on_config_pull(&mut self, token: RequestToken, have: u64, want_list: bool) {
        let newer = self.config.version() > have;
        let snapshot = newer.then(|| self.config.snapshot().clone());
        let list = want_list.then(|| self.list.clone()).flatten();
        self.reply(token, PeerReply::Config { snapshot, list });
    }

    pub(super) fn on_config_pulled(&mut self, reply: Result<PeerReply, SendFailure>) {
        let Ok(PeerReply::Config { snapshot, list }) = reply else {
            return;
        };
        if let Some(snapshot) = snapshot {
            self.apply_config(snapshot);
        }
        // The platform's list, once read, takes precedence over a peer's copy.
        if let (Some(list), true) = (list, self.targets.is_empty()) {
            self.apply_list(list);
        }
    }

    pub(super) fn read_list(&mut self) {
        // `PowerOfTwo` needs the usage, which only a whole list contains.
        let by_usage = self.settings.tuning.placement == Placement::PowerOfTwo;
        let known = self.list.as_ref().filter(|_| !by_usage);
        let after = known.map_or(0, |list| list.version);
        self.actions.push(Action::ReadList { after });
    }

    /// Applies the platform's list, or the changes in it.
    pub(super) fn apply_list(&mut self, update: TargetList) {
        let mut update = update;
        if !self.settings.safeguards.exclude_leaving_targets {
            update.targets.iter_mut().for_each(|t| t.leaving = false);
        }
        let unchanged = update.is_unchanged();
        let list = self.list.get_or_insert_default();
        list.merge(update);
        // Even an unchanged list can override an older report that a target is leaving.
        if unchanged && !self.targets.any_leaving() {
            return;
        }
        let lag_ms = self.settings.tuning.list_lag_ms;
        self.targets.apply_list(list, self.now, lag_ms);
    }
}
