//! The ledger: the submissions that a host owns, and their outcomes.
//!
//! It ensures that a submission that is sent repeatedly runs at most once, and supplies
//! the records that a shard's new holder needs.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use gannetridge_entry_wire::answer::Refusal;
use gannetridge_entry_wire::peer::LedgerRecord;
use gannetridge_entry_wire::{Answer, Time};

use crate::event::RequestToken;
use crate::keys::{EntryKey, JobKey};

/// The recipient of a submission's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Waiter {
    /// A caller that is connected to this host.
    Caller(RequestToken),
    /// A peer that forwarded the submission for its caller.
    Peer(RequestToken),
    /// A peer that forwarded the submission before and doesn't know the outcome.
    PeerRetry(RequestToken),
}

/// The state of a submission.
#[derive(Clone, Debug)]
pub enum EntryState {
    /// The job runs on this host.
    Running(JobKey),
    /// The job runs at the host that handed its shard over, which reports its end.
    /// Without that report the submission is failed some time after its deadline.
    RunsOnOtherHost,
    /// The job ended with this final answer.
    Ended(Arc<Answer>),
    /// The submission was refused as not run. This covers all attempts up to the
    /// entry's `attempt`; a later one may run.
    Refused,
}

impl EntryState {
    fn is_refused(&self) -> bool {
        matches!(self, Self::Refused)
    }
}

/// The ledger's entry for one submission.
#[derive(Debug)]
pub struct Entry {
    /// The shard's index; entries are handed over by shard.
    pub shard: u16,
    /// The digest of the submission's contents.
    pub digest: u128,
    /// The submission's state.
    pub state: EntryState,
    /// The highest attempt number received.
    pub attempt: u32,
    /// The job's deadline.
    pub deadline: Time,
    /// The recipients of the answer while it is pending.
    pub waiters: Vec<Waiter>,
}

/// The ledger of one host.
#[derive(Debug, Default)]
pub struct Ledger {
    entries: HashMap<EntryKey, Entry>,
    by_expiry: BTreeMap<u64, Vec<EntryKey>>,
    retention_ms: u64,
}

/// Granularity of the expiry of entries, in ms.
const EXPIRY_STEP_MS: u64 = 1_000;

impl Ledger {
    /// Creates an empty ledger that keeps entries for `retention_ms` after the
    /// creation of their ids.
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

    /// Returns the entry of a submission.
    #[must_use]
    pub fn get(&self, key: &EntryKey) -> Option<&Entry> {
        self.entries.get(key)
    }

    /// Returns the entry of a submission for modification.
    pub fn get_mut(&mut self, key: &EntryKey) -> Option<&mut Entry> {
        self.entries.get_mut(key)
    }

    /// Adds an entry and schedules its expiry.
    pub fn insert(&mut self, key: EntryKey, entry: Entry) {
        let expires = key.submission.created().plus_millis(self.retention_ms);
        let step = expires.max(entry.deadline).as_millis() / EXPIRY_STEP_MS + 1;
        self.by_expiry.entry(step).or_default().push(key.clone());
        self.entries.insert(key, entry);
    }

    /// Returns true if an answer is pending for any caller or peer.
    #[must_use]
    pub fn has_waiters(&self) -> bool {
        self.entries.values().any(|entry| !entry.waiters.is_empty())
    }

    /// Removes the entry of a refused submission, so that a later attempt is handled as new.
    pub fn remove(&mut self, key: &EntryKey) {
        self.entries.remove(key);
    }

    /// Removes entries that are past their retention and deadline, except those whose
    /// submission has no answer yet.
    pub fn remove_expired(&mut self, now: Time) {
        let step = now.as_millis() / EXPIRY_STEP_MS;
        while let Some(first) = self.by_expiry.first_entry() {
            if *first.key() > step {
                break;
            }
            for key in first.remove() {
                self.remove_if_ended(key, step);
            }
        }
    }

    fn remove_if_ended(&mut self, key: EntryKey, step: u64) {
        let Some(entry) = self.entries.get(&key) else {
            return;
        };
        if matches!(entry.state, EntryState::Ended(_) | EntryState::Refused) {
            self.entries.remove(&key);
        } else {
            self.by_expiry.entry(step + 1).or_default().push(key);
        }
    }

    /// Returns the records that a new owner of the shard needs, ordered by submission id.
    #[must_use]
    pub fn records_of(&self, shard: u16) -> Vec<LedgerRecord> {
        let of_shard = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.shard == shard);
        let mut records: Vec<_> = of_shard.map(|(key, entry)| to_record(key, entry)).collect();
        records.sort_by(|a, b| a.submission.cmp(&b.submission));
        records
    }

    /// Merges a record of another host. Returns the answers that are now due, or `None`
    /// if the record contains nothing new.
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
            let is_settled = matches!(entry.state, EntryState::Running(_) | EntryState::Ended(_));
            let older = entry.state.is_refused() && record.attempt <= entry.attempt;
            if is_settled || older {
                return None;
            }
            entry.attempt = entry.attempt.max(record.attempt);
            let Some(answer) = answer else {
                // A later attempt than the refused one runs at the sender.
                entry.state = EntryState::RunsOnOtherHost;
                entry.digest = record.digest;
                return Some(Vec::new());
            };
            let waiters = std::mem::take(&mut entry.waiters);
            entry.state = state_for(answer.clone());
            entry.digest = record.digest;
            let answers = waiters.into_iter().map(|w| (w, answer.clone()));
            return Some(answers.collect());
        }
        let entry = Entry {
            shard,
            digest: record.digest,
            state: answer.map_or(EntryState::RunsOnOtherHost, state_for),
            attempt: record.attempt,
            deadline: record.deadline,
            waiters: Vec::new(),
        };
        self.insert(key, entry);
        Some(Vec::new())
    }

    /// Returns the submissions that run at another host and whose deadline passed
    /// before `before`.
    #[must_use]
    pub fn overdue_on_other_hosts(&self, before: Time) -> Vec<EntryKey> {
        let overdue = |(_, entry): &(&EntryKey, &Entry)| {
            matches!(entry.state, EntryState::RunsOnOtherHost) && entry.deadline < before
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

fn state_for(answer: Arc<Answer>) -> EntryState {
    if answer.is_final() {
        EntryState::Ended(answer)
    } else {
        EntryState::Refused
    }
}

fn to_record(key: &EntryKey, entry: &Entry) -> LedgerRecord {
    let answer = match &entry.state {
        EntryState::Ended(answer) => Some((**answer).clone()),
        EntryState::Running(_) | EntryState::RunsOnOtherHost => None,
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
