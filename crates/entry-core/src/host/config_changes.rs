//! Writes operators' changes to the table.
//!
//! A change reads the configuration's rows, is validated against them and is written
//! on condition that they are unchanged. The `CHANGE` chart (`charts`) defines its
//! states.

use std::collections::BTreeMap;

use gannetridge_entry_config::{Document, Faults};
use gannetridge_entry_wire::peer::{ConfigDoc, ConfigSnapshot};
use gannetridge_entry_wire::platform::{Check, TableFailure, TableOp, TableResult, Write};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use super::calls::CallPurpose;
use super::config_rows::{read_rows, row_key, ConfigRows, Head};
use super::timers::Timer;
use super::Host;
use crate::action::Action;
use crate::charts::{ChangeEvent, ChangeState, CHANGE};
use crate::config_store::{CONFIG_HEAD, CONFIG_PREFIX};
use crate::event::{ChangeAnswer, ChangeRequest, RequestToken};
use crate::retry::backoff_ms;

/// How long a change is retried, in ms.
const CHANGE_TIMEOUT_MS: u64 = 6_000;
/// Base of the backoff between attempts, in ms.
const BACKOFF_BASE_MS: u64 = 50;
/// Longest backoff between attempts, in ms.
const MAX_BACKOFF_MS: u64 = 800;
/// Number of change ids kept in a document, to recognise retries.
const REMEMBERED_CHANGES: usize = 16;

/// An operator's change in progress.
#[derive(Debug)]
pub(super) struct Change {
    token: RequestToken,
    request: ChangeRequest,
    state: ChangeState,
    /// The configuration that results if the last attempt's write takes place.
    written: ConfigSnapshot,
    give_up_at: Time,
    tries: u32,
}

/// The operators' changes in progress.
#[derive(Debug, Default)]
pub(super) struct PendingChanges {
    pub(super) pending: BTreeMap<u64, Change>,
    /// The key of the last change.
    pub(super) last_key: u64,
}

impl Host {
    pub(super) fn on_change(&mut self, token: RequestToken, request: ChangeRequest) {
        let file = request.key.to_string();
        if let Err(faults) = Document::read(request.key.kind, &file, &request.text) {
            return self.answer_change(token, ChangeAnswer::Faulty(faults));
        }
        self.changes.last_key += 1;
        let change = Change {
            token,
            request,
            state: CHANGE.initial(),
            written: ConfigSnapshot::default(),
            give_up_at: self.now.plus_millis(CHANGE_TIMEOUT_MS),
            tries: 0,
        };
        self.changes.pending.insert(self.changes.last_key, change);
        self.read_for_change(self.changes.last_key);
    }

    fn answer_change(&mut self, token: RequestToken, answer: ChangeAnswer) {
        self.actions.push(Action::ChangeAnswer { token, answer });
    }

    /// Reads the rows that a change is based on.
    pub(super) fn read_for_change(&mut self, key: u64) {
        if self.changes.pending.contains_key(&key) {
            let prefix = CONFIG_PREFIX.into();
            self.call_table(CallPurpose::ChangeRead(key), TableOp::Scan { prefix });
        }
    }

    pub(super) fn on_change_read(&mut self, key: u64, reply: Result<TableResult, TableFailure>) {
        let Ok(TableResult::Rows { rows }) = reply else {
            // A read has no effect, even if its outcome is unknown.
            return self.retry_change(key, ChangeEvent::NotDone);
        };
        let Some(read) = read_rows(&rows) else {
            return self.retry_change(key, ChangeEvent::NotDone);
        };
        self.apply_config_rows(&read);
        let Some(change) = self.changes.pending.get(&key) else {
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
            // Only references to other documents can be invalid here: the document itself
            // was validated on receipt.
            if self.changes.pending[&key].state == ChangeState::Unclear {
                return self.retry_change(key, ChangeEvent::Unclear);
            }
            let change = self.changes.pending.remove(&key).expect("looked up above");
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
        if let Some(change) = self.changes.pending.get_mut(&key) {
            change.written = read.completed(self.config.snapshot()).with_doc(doc.clone());
        }
        let doc_row = read.doc_rows.iter().find(|(n, _)| *n == name);
        let check = |key: Name, version| Check { key, version };
        let write = |key: Name, value: String| Write {
            key,
            value: value.into(),
        };
        let doc_key = row_key(&request.key);
        let head =
            serde_json::to_string(&Head { version }).expect("serialising plain data can't fail");
        let text = serde_json::to_string(&doc).expect("serialising plain data can't fail");
        let op = TableOp::Commit {
            checks: vec![
                check(CONFIG_HEAD.into(), read.head_row),
                check(doc_key.clone(), doc_row.map_or(0, |(_, v)| *v)),
            ],
            writes: vec![write(CONFIG_HEAD.into(), head), write(doc_key, text)],
        };
        self.call_table(CallPurpose::ChangeWrite(key), op);
    }

    pub(super) fn on_change_written(&mut self, key: u64, reply: Result<TableResult, TableFailure>) {
        match reply {
            Ok(TableResult::Committed) => {
                let Some(change) = self.changes.pending.get_mut(&key) else {
                    return;
                };
                // The write was conditional on the head that was read, so this is now the
                // table's content.
                let written = std::mem::take(&mut change.written);
                let version = written.version;
                self.apply_config(written);
                let answer = ChangeAnswer::Accepted { version };
                self.end_change(key, ChangeEvent::Committed, answer);
            }
            // Another change came between the read and the write; the next read shows
            // whether it was to the same document.
            Ok(TableResult::Conflict { .. } | TableResult::Rows { .. }) => {
                self.read_for_change(key);
            }
            Err(TableFailure::NotDone) => self.retry_change(key, ChangeEvent::NotDone),
            Err(TableFailure::Unclear) => self.retry_change(key, ChangeEvent::Unclear),
        }
    }

    /// Ends a change whose id is found in the document's row.
    fn change_found(&mut self, key: u64, version: u64) {
        let state = self.changes.pending[&key].state;
        let event = if state == ChangeState::Unclear {
            ChangeEvent::Found
        } else {
            ChangeEvent::Committed
        };
        self.end_change(key, event, ChangeAnswer::Accepted { version });
    }

    fn end_change(&mut self, key: u64, event: ChangeEvent, answer: ChangeAnswer) {
        let Some(mut change) = self.changes.pending.remove(&key) else {
            return;
        };
        CHANGE.advance(&mut change.state, event);
        let accepted = matches!(answer, ChangeAnswer::Accepted { .. });
        assert_eq!(
            accepted,
            change.state == ChangeState::Accepted,
            "a change is accepted only once it is durable"
        );
        if let ChangeAnswer::Accepted { version } = &answer {
            assert!(
                self.config.version() >= *version,
                "an accepted change is in force at the host that reports it"
            );
        }
        self.answer_change(change.token, answer);
    }

    /// Schedules another attempt, or ends the change if its time has run out.
    fn retry_change(&mut self, key: u64, event: ChangeEvent) {
        let Some(change) = self.changes.pending.get_mut(&key) else {
            return;
        };
        CHANGE.advance(&mut change.state, event);
        change.tries += 1;
        let tries = change.tries;
        if self.now < change.give_up_at {
            let wait_ms = backoff_ms(&mut self.rng, tries, BACKOFF_BASE_MS, MAX_BACKOFF_MS);
            return self.set_timer_in(wait_ms, Timer::Change(key));
        }
        let answer = if change.state == ChangeState::Unclear {
            ChangeAnswer::Unresolved
        } else {
            ChangeAnswer::Unavailable
        };
        self.end_change(key, ChangeEvent::GivenUp, answer);
    }
}
