//! Follows the configuration, and carries operators' changes to the table.

use std::collections::BTreeMap;

use gannetridge_entry_config::{Document, DocumentKey, Faults};
use gannetridge_entry_wire::peer::{ConfigDoc, ConfigSnapshot, PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::{
    Check, HostList, Row, TableFailure, TableOp, TableResult, Write,
};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;
use serde::{Deserialize, Serialize};

use super::timers::Timer;
use super::{Call, Host};
use crate::action::{Action, Note};
use crate::charts::{ChangeEvent, ChangeState, CHANGE};
use crate::config_store::{CONFIG_HEAD, CONFIG_PREFIX};
use crate::event::{ChangeAnswer, ChangeRequest, SendFailure, Token};
use crate::retry::backoff_ms;
use crate::settings::Placement;

/// How long an operator's change is tried, in ms.
const CHANGE_TIME_MS: u64 = 6_000;
/// First wait before a change is tried again, in ms.
const FIRST_TRY_MS: u64 = 50;
/// Longest wait before a change is tried again, in ms.
const LAST_TRY_MS: u64 = 800;
/// Change ids that a document remembers.
const REMEMBERED_CHANGES: usize = 16;
/// How long the reply to a pull is awaited, in ms.
const PULL_WAIT_MS: u64 = 2_000;

/// The row that holds the configuration's version.
#[derive(Serialize, Deserialize)]
struct Head {
    version: u64,
}

/// An operator's change on its way.
#[derive(Debug)]
pub(super) struct Change {
    token: Token,
    request: ChangeRequest,
    state: ChangeState,
    /// The configuration as it stands if the last try's write takes place.
    written: ConfigSnapshot,
    give_up: Time,
    tries: u32,
}

/// The configuration's rows as they were read at one time.
struct ConfigRows {
    snapshot: ConfigSnapshot,
    head_row: u64,
    doc_rows: Vec<(Name, u64)>,
}

fn read_rows(rows: &[Row]) -> Option<ConfigRows> {
    let mut read = ConfigRows {
        snapshot: ConfigSnapshot::default(),
        head_row: 0,
        doc_rows: Vec::new(),
    };
    for row in rows {
        if &*row.key == CONFIG_HEAD {
            let head: Head = serde_json::from_str(&row.value).ok()?;
            read.snapshot.version = head.version;
            read.head_row = row.version;
        } else {
            let doc: ConfigDoc = serde_json::from_str(&row.value).ok()?;
            read.doc_rows.push((doc.key.clone(), row.version));
            read.snapshot.docs.push(doc);
        }
    }
    Some(read)
}

fn row_key(key: &DocumentKey) -> Name {
    format!("{CONFIG_PREFIX}{key}").into()
}

/// Operators' changes that are under way.
#[derive(Debug, Default)]
pub(super) struct Changes {
    pub(super) open: BTreeMap<u64, Change>,
    /// The number of the last one.
    pub(super) last: u64,
}

impl Host {
    // ---- following ----

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
            self.call_table(Call::ReadConfig, TableOp::Scan { prefix });
        }
    }

    pub(super) fn on_config_read(&mut self, reply: Result<TableResult, TableFailure>) {
        let Ok(TableResult::Rows { rows }) = reply else {
            return;
        };
        if let Some(read) = read_rows(&rows) {
            self.put_in_force(read.snapshot);
        }
    }

    fn put_in_force(&mut self, snapshot: ConfigSnapshot) {
        let before = self.config.version();
        let check = self.settings.safeguards.version_check;
        if !self.config.apply(snapshot, check) {
            return;
        }
        let version = self.config.version();
        assert!(version > before || !check, "a configuration never reverts");
        self.targets.set_draining(self.config.draining());
        self.note(Note::ConfigInForce { version });
    }

    pub(super) fn pull_config(&mut self, address: Name) {
        let have = self.config.version();
        let want_list = self.targets.is_empty();
        let request = PeerRequest::ConfigPull { have, want_list };
        self.call_peer(Call::ConfigPull, address, request, PULL_WAIT_MS);
    }

    pub(super) fn on_config_pull(&mut self, token: Token, have: u64, want_list: bool) {
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
            self.put_in_force(snapshot);
        }
        // The platform's own word goes before a peer's memory of it.
        if let (Some(list), true) = (list, self.targets.is_empty()) {
            self.take_list(list);
        }
    }

    pub(super) fn read_list(&mut self) {
        // Power of two goes by usage, which only a whole list tells.
        let by_usage = self.settings.tuning.placement == Placement::PowerOfTwo;
        let known = self.list.as_ref().filter(|_| !by_usage);
        let after = known.map_or(0, |list| list.version);
        self.out.push(Action::ReadList { after });
    }

    /// Takes over the platform's list, or what changed in it.
    pub(super) fn take_list(&mut self, news: HostList) {
        let mut news = news;
        if !self.settings.safeguards.heed_leaving {
            news.targets.iter_mut().for_each(|t| t.leaving = false);
        }
        let unchanged = news.is_unchanged();
        let list = self.list.get_or_insert_default();
        list.merge(news);
        // Even an unchanged list can outlast an older word that a target is
        // leaving.
        if unchanged && !self.targets.any_leaving() {
            return;
        }
        let lag_ms = self.settings.tuning.list_lag_ms;
        self.targets.listed(list, self.now, lag_ms);
    }

    // ---- changing ----

    pub(super) fn on_change(&mut self, token: Token, request: ChangeRequest) {
        let file = request.key.to_string();
        if let Err(faults) = Document::read(request.key.kind, &file, &request.text) {
            return self.answer_change(token, ChangeAnswer::Faulty(faults));
        }
        self.changes.last += 1;
        let change = Change {
            token,
            request,
            state: CHANGE.initial(),
            written: ConfigSnapshot::default(),
            give_up: self.now.plus_millis(CHANGE_TIME_MS),
            tries: 0,
        };
        self.changes.open.insert(self.changes.last, change);
        self.read_for_change(self.changes.last);
    }

    fn answer_change(&mut self, token: Token, answer: ChangeAnswer) {
        self.out.push(Action::ChangeAnswer { token, answer });
    }

    /// Reads the rows that a change depends on.
    pub(super) fn read_for_change(&mut self, key: u64) {
        if self.changes.open.contains_key(&key) {
            let prefix = CONFIG_PREFIX.into();
            self.call_table(Call::ChangeRead(key), TableOp::Scan { prefix });
        }
    }

    pub(super) fn on_change_read(&mut self, key: u64, reply: Result<TableResult, TableFailure>) {
        let Ok(TableResult::Rows { rows }) = reply else {
            // A read changes nothing, whether it took place or not.
            return self.try_change_again(key, ChangeEvent::NotDone);
        };
        let Some(read) = read_rows(&rows) else {
            return self.try_change_again(key, ChangeEvent::NotDone);
        };
        self.put_in_force(read.snapshot.clone());
        let Some(change) = self.changes.open.get(&key) else {
            return;
        };
        let request = change.request.clone();
        let name: Name = request.key.to_string().into();
        let theirs = read.snapshot.docs.iter().find(|d| d.key == name).cloned();
        if let Some(doc) = &theirs {
            if doc.changes.contains(&request.change_id) {
                return self.change_found(key, doc.version);
            }
        }
        if theirs.as_ref().map_or(0, |d| d.version) != request.read_at {
            return self.end_change(
                key,
                ChangeEvent::Conflict,
                ChangeAnswer::Conflict { theirs },
            );
        }
        if let Err(faults) = self.check_references(&request) {
            // The document itself is in order; what it refers to is not there.
            if self.changes.open[&key].state == ChangeState::Unclear {
                return self.try_change_again(key, ChangeEvent::Unclear);
            }
            let change = self.changes.open.remove(&key).expect("just seen");
            return self.answer_change(change.token, ChangeAnswer::Faulty(faults));
        }
        self.write_change(key, &request, &read, theirs);
    }

    fn check_references(&self, request: &ChangeRequest) -> Result<(), Faults> {
        let file = request.key.to_string();
        let document = Document::read(request.key.kind, &file, &request.text)?;
        document.check_references(&file, self.config.documents())
    }

    fn write_change(
        &mut self,
        key: u64,
        request: &ChangeRequest,
        read: &ConfigRows,
        theirs: Option<ConfigDoc>,
    ) {
        let version = read.snapshot.version + 1;
        let mut changes = vec![request.change_id.clone()];
        changes.extend(theirs.map(|d| d.changes).unwrap_or_default());
        changes.truncate(REMEMBERED_CHANGES);
        let name: Name = request.key.to_string().into();
        let doc = ConfigDoc {
            key: name.clone(),
            version,
            text: request.text.clone(),
            changes,
        };
        if let Some(change) = self.changes.open.get_mut(&key) {
            change.written = read.snapshot.with(doc.clone());
        }
        let doc_row = read.doc_rows.iter().find(|(n, _)| *n == name);
        let check = |key: Name, version| Check { key, version };
        let write = |key: Name, value: String| Write {
            key,
            value: value.into(),
        };
        let doc_key = row_key(&request.key);
        let head = serde_json::to_string(&Head { version }).expect("plain data has a JSON form");
        let text = serde_json::to_string(&doc).expect("plain data has a JSON form");
        let op = TableOp::Commit {
            checks: vec![
                check(CONFIG_HEAD.into(), read.head_row),
                check(doc_key.clone(), doc_row.map_or(0, |(_, v)| *v)),
            ],
            writes: vec![write(CONFIG_HEAD.into(), head), write(doc_key, text)],
        };
        self.call_table(Call::ChangeWrite(key), op);
    }

    pub(super) fn on_change_written(&mut self, key: u64, reply: Result<TableResult, TableFailure>) {
        match reply {
            Ok(TableResult::Committed) => {
                let Some(change) = self.changes.open.get_mut(&key) else {
                    return;
                };
                // The write was checked against the head that was read, so
                // this is what the table holds now.
                let written = std::mem::take(&mut change.written);
                let version = written.version;
                self.put_in_force(written);
                let answer = ChangeAnswer::Accepted { version };
                self.end_change(key, ChangeEvent::Committed, answer);
            }
            // Some other change came between the read and the write; whether
            // it was to the same document, the next read tells.
            Ok(TableResult::Conflict { .. } | TableResult::Rows { .. }) => {
                self.read_for_change(key);
            }
            Err(TableFailure::NotDone) => self.try_change_again(key, ChangeEvent::NotDone),
            Err(TableFailure::Unclear) => self.try_change_again(key, ChangeEvent::Unclear),
        }
    }

    fn change_found(&mut self, key: u64, version: u64) {
        let state = self.changes.open[&key].state;
        let event = if state == ChangeState::Unclear {
            ChangeEvent::Found
        } else {
            ChangeEvent::Committed
        };
        self.end_change(key, event, ChangeAnswer::Accepted { version });
    }

    fn end_change(&mut self, key: u64, event: ChangeEvent, answer: ChangeAnswer) {
        let Some(mut change) = self.changes.open.remove(&key) else {
            return;
        };
        CHANGE.advance(&mut change.state, event);
        let accepted = matches!(answer, ChangeAnswer::Accepted { .. });
        assert_eq!(
            accepted,
            change.state == ChangeState::Accepted,
            "only what is durable is accepted"
        );
        if let ChangeAnswer::Accepted { version } = &answer {
            assert!(
                self.config.version() >= *version,
                "an operator who was told of a change finds it at the same host"
            );
        }
        self.answer_change(change.token, answer);
    }

    fn try_change_again(&mut self, key: u64, event: ChangeEvent) {
        let Some(change) = self.changes.open.get_mut(&key) else {
            return;
        };
        CHANGE.advance(&mut change.state, event);
        change.tries += 1;
        let tries = change.tries;
        if self.now < change.give_up {
            let wait_ms = backoff_ms(&mut self.rng, tries, FIRST_TRY_MS, LAST_TRY_MS);
            return self.after(wait_ms, Timer::Change(key));
        }
        let answer = if change.state == ChangeState::Unclear {
            ChangeAnswer::Unresolved
        } else {
            ChangeAnswer::Unavailable
        };
        self.end_change(key, ChangeEvent::GivenUp, answer);
    }
}
