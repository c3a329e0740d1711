//! What a host remembers of the submissions that it owns.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use gannetridge_entry_wire::answer::Refusal;
use gannetridge_entry_wire::peer::LedgerRecord;
use gannetridge_entry_wire::{Answer, Time};

use crate::event::Token;
use crate::keys::{EntryKey, JobKey};

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// A caller of this host.
    Caller(Token),
    /// A peer, on behalf of its caller.
    Peer(Token),
    /// A peer that has passed the submission on before, to an unknown end.
    PeerAgain(Token),
}

/// What became of a submission.
#[derive(Clone, Debug)]
pub enum EntryState {
    /// It runs here.
    Running(JobKey),
    /// It runs at a host that handed its shard over, until its deadline.
    Elsewhere,
    /// It has its final answer.
    Ended(Arc<Answer>),
    /// It was refused as not run, which holds for all sendings so far.
    Refused,
}

impl EntryState {
    fn is_refused(&self) -> bool {
        matches!(self, Self::Refused)
    }
}

/// An entry of the ledger.
#[derive(Debug)]
pub struct Entry {
    /// The shard, by which entries are handed over.
    pub shard: u16,
    /// The digest of the contents.
    pub digest: u128,
    /// What became of it.
    pub state: EntryState,
    /// The greatest count of sendings seen.
    pub attempt: u32,
    /// The job's deadline.
    pub deadline: Time,
    /// Who waits for the answer.
    pub waiters: Vec<Waiter>,
}

/// The ledger of one host.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<EntryKey, Entry>,
    by_expiry: BTreeMap<u64, Vec<EntryKey>>,
    retention_ms: u64,
}

/// Entries are forgotten in steps of this many milliseconds. Chosen, not measured.
const EXPIRY_STEP_MS: u64 = 1_000;

impl Ledger {
    /// Creates an empty ledger that remembers ids for `retention_ms` after
    /// their creation.
    #[must_use]
    pub fn new(retention_ms: u64) -> Self {
        Self {
            retention_ms,
            ..Self::default()
        }
    }

    /// Returns the number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns an entry.
    #[must_use]
    pub fn get(&self, key: &EntryKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns an entry to change.
    pub fn get_mut(&mut self, key: &EntryKey) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Adds an entry.
    pub fn insert(&mut self, key: EntryKey, entry: Entry) {
        let expires = key.submission.created().plus_millis(self.retention_ms);
        let step = expires.max(entry.deadline).as_millis() / EXPIRY_STEP_MS + 1;
        self.by_expiry.entry(step).or_default().push(key.clone());
        self.entries.insert(key, entry);
    }

    /// Tells whether anybody waits for an answer.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        self.entries.values().any(|entry| !entry.waiters.is_empty())
    }

    /// Removes the entry of a submission that was not run after all.
    pub fn remove(&mut self, key: &EntryKey) {
        self.entries.remove(key);
    }

    /// Forgets entries whose ids are too old to be started by anybody, and
    /// whose jobs have ended.
    pub fn sweep(&mut self, now: Time) {
        let step = now.as_millis() / EXPIRY_STEP_MS;
        while let Some(first) = self.by_expiry.first_entry() {
            if *first.key() > step {
                break;
            }
            for key in first.remove() {
                self.forget(key, step);
            }
        }
    }

    fn forget(&mut self, key: EntryKey, step: u64) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if matches!(entry.state, EntryState::Ended(_) | EntryState::Refused) {
            self.entries.remove(&key);
        } else {
            self.by_expiry.entry(step + 1).or_default().push(key);
        }
    }

    /// Returns what a new owner of a shard must know.
    #[must_use]
    pub fn records_of(&self, shard: u16) -> Vec<LedgerRecord> {
        let of_shard = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.shard == shard);
        let mut records: Vec<_> = of_shard.map(|(key, entry)| record(key, entry)).collect();
        records.sort_by(|a, b| a.submission.cmp(&b.submission));
        records
    }

    /// Takes over what another host remembers. Returns whom to answer, or
    /// `None` if nothing was news.
    pub fn merge(
        &mut self,
        shard: u16,
        record: LedgerRecord,
    ) -> Option<Vec<(Waiter, Arc<Answer>)>> {
        let key = EntryKey {
            account: record.account,
            submission: record.submission,
        };
        let answer = record.answer.map(Arc::new);
        if let Some(entry) = self.entries.get_mut(&key) {
            let ended = matches!(entry.state, EntryState::Running(_) | EntryState::Ended(_));
            let older = entry.state.is_refused() && record.attempt <= entry.attempt;
            if ended || older {
                return None;
            }
            entry.attempt = entry.attempt.max(record.attempt);
            let Some(answer) = answer else {
                // A later sending than the refused one runs at the sender.
                entry.state = EntryState::Elsewhere;
                entry.digest = record.digest;
                return Some(Vec::new());
            };
            let waiters = std::mem::take(&mut entry.waiters);
            entry.state = state_of(answer.clone());
            entry.digest = record.digest;
            let answers = waiters.into_iter().map(|w| (w, answer.clone()));
            return Some(answers.collect());
        }
        let entry = Entry {
            shard,
            digest: record.digest,
            state: answer.map_or(EntryState::Elsewhere, state_of),
            attempt: record.attempt,
            deadline: record.deadline,
            waiters: Vec::new(),
        };
        self.insert(key, entry);
        Some(Vec::new())
    }

    /// Returns the entries that ran at another host and whose deadline passed
    /// before `before`.
    #[must_use]
    pub fn overdue_elsewhere(&self, before: Time) -> Vec<EntryKey> {
        let overdue = |(_, entry): &(&EntryKey, &Entry)| {
            matches!(entry.state, EntryState::Elsewhere) && entry.deadline < before
        };
        let mut keys: Vec<_> = self
            .entries
            .iter()
            .filter(overdue)
            .map(|(k, _)| k.clone())
            .collect();
        keys.sort();
        keys
    }
}

fn state_of(answer: Arc<Answer>) -> EntryState {
    if answer.is_final() {
        EntryState::Ended(answer)
    } else {
        EntryState::Refused
    }
}

fn record(key: &EntryKey, entry: &Entry) -> LedgerRecord {
    let answer = match &entry.state {
        EntryState::Ended(answer) => Some((**answer).clone()),
        EntryState::Running(_) | EntryState::Elsewhere => None,
        EntryState::Refused => Some(Answer::Refused {
            reason: Refusal::Superseded,
            retry_after_ms: 0,
        }),
    };
    LedgerRecord {
        account: key.account.clone(),
        submission: key.submission.clone(),
        digest: entry.digest,
        answer,
        attempt: entry.attempt,
        deadline: entry.deadline,
    }
}
