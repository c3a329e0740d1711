//! The queue of jobs that wait for slots, and the order in which they get them.
//!
//! Slots are shared between accounts by quota; an account may exceed its quota only
//! while enough slots stay free for the others.

use std::collections::{BTreeSet, HashMap};

use gannetridge_entry_config::Urgency;
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use crate::keys::{AccountIndex, JobKey};

/// Fraction of a host's slots that an account at its quota leaves free.
const MIN_RESERVE: f64 = 0.1;
/// Additional fraction left free per multiple of the quota in use beyond the first.
const RESERVE_SLOPE: f64 = 0.25;
/// Largest fraction of a host's slots that an account leaves free.
const MAX_RESERVE: f64 = 0.6;

/// An account's quota and its use at other hosts, in slots.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Quota {
    /// The quota across all hosts.
    pub total: f64,
    /// Slots in use through other hosts, as last reported.
    pub used_by_other_hosts: f64,
    /// The minimum that the account may use through this host.
    pub minimum: f64,
}

impl Quota {
    /// Returns the number of slots that the account may use through this host.
    #[must_use]
    pub fn local_limit(&self) -> f64 {
        self.minimum.max(self.total - self.used_by_other_hosts)
    }

    /// Returns the fraction of a host's slots that the account leaves free while it
    /// uses `in_use` slots here; it grows with the excess over the quota.
    #[must_use]
    pub fn reserved_fraction(&self, in_use: u32) -> f64 {
        let excess = (f64::from(in_use) + self.used_by_other_hosts) / self.total.max(1.0) - 1.0;
        (MIN_RESERVE + RESERVE_SLOPE * excess.max(0.0)).min(MAX_RESERVE)
    }
}

/// The slots available to waiting tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FreeSlots {
    /// Slots that are free, borrowed ones included.
    pub free: u32,
    /// All slots of this host's share.
    pub capacity: u32,
}

#[derive(Debug)]
struct AccountQueue {
    name: Name,
    urgency: Urgency,
    quota: Quota,
    in_use: u32,
    waiting: u32,
    work_ms: u64,
    jobs: BTreeSet<(Time, JobKey)>,
}

impl AccountQueue {
    fn is_over_quota(&self) -> bool {
        f64::from(self.in_use) >= self.quota.local_limit()
    }

    fn quota_use(&self) -> f64 {
        f64::from(self.in_use) / self.quota.local_limit()
    }

    /// Returns true if a task of the account may use one of the free slots.
    fn may_use_slot(&self, slots: FreeSlots) -> bool {
        let reserve = self.quota.reserved_fraction(self.in_use) * f64::from(slots.capacity);
        !self.is_over_quota() || f64::from(slots.free) > reserve
    }

    /// Returns the number of waiting tasks that fit within the quota.
    fn waiting_within_quota(&self) -> u32 {
        let available = (self.quota.local_limit() - f64::from(self.in_use)).ceil();
        self.waiting.min(available.max(0.0) as u32)
    }
}

/// Waiting jobs by account. Accounts within their quota go before those over
/// it, then by urgency, then by the lowest use relative to the quota. Within an
/// account the earliest due time goes first.
#[derive(Debug, Default)]
pub struct Queue {
    accounts: Vec<AccountQueue>,
    by_name: HashMap<Name, AccountIndex>,
    waiting: BTreeSet<AccountIndex>,
    tasks: usize,
}

impl Queue {
    /// Adds an account, or updates its urgency and quota.
    pub fn set_account(&mut self, name: &Name, urgency: Urgency, quota: Quota) -> AccountIndex {
        if let Some(index) = self.by_name.get(name) {
            let account = &mut self.accounts[index.0];
            account.quota = quota;
            account.urgency = urgency;
            return *index;
        }
        let index = AccountIndex(self.accounts.len());
        self.accounts.push(AccountQueue {
            name: name.clone(),
            urgency,
            quota,
            in_use: 0,
            waiting: 0,
            work_ms: 0,
            jobs: BTreeSet::new(),
        });
        self.by_name.insert(name.clone(), index);
        index
    }

    /// Returns true if an account uses its whole quota or more.
    #[must_use]
    pub fn is_over_quota(&self, account: AccountIndex) -> bool {
        self.accounts[account.0].is_over_quota()
    }

    /// Returns the number of waiting tasks.
    #[must_use]
    pub fn waiting_tasks(&self) -> usize {
        self.tasks
    }

    /// Returns the number of waiting tasks that fit within their accounts' quotas.
    #[must_use]
    pub fn waiting_within_quota(&self) -> u32 {
        let waiting = self.waiting.iter();
        waiting
            .map(|i| self.accounts[i.0].waiting_within_quota())
            .sum()
    }

    /// Returns the due time of the next job.
    #[must_use]
    pub fn next_due(&self) -> Option<Time> {
        let account = self.first_account(&[])?;
        let (due, _) = self.accounts[account.0].jobs.first()?;
        Some(*due)
    }

    /// Returns the work queued ahead of a new job of an account, in ms of one slot: that
    /// of its own account and of accounts that don't rank behind it.
    #[must_use]
    pub fn work_ahead_ms(&self, account: AccountIndex) -> u64 {
        let own = &self.accounts[account.0];
        let rank = |a: &AccountQueue| (a.is_over_quota(), a.urgency);
        let ahead = self.waiting.iter().filter(|index| {
            let other = &self.accounts[index.0];
            **index == account || rank(other) <= rank(own)
        });
        ahead.map(|index| self.accounts[index.0].work_ms).sum()
    }

    /// Iterates over all accounts that were ever added.
    pub fn accounts(&self) -> impl Iterator<Item = (AccountIndex, &Name)> {
        let all = self.accounts.iter().enumerate();
        all.map(|(i, account)| (AccountIndex(i), &account.name))
    }

    /// Returns the number of slots in use by each account that uses any.
    #[must_use]
    pub fn usage(&self) -> Vec<(Name, u32)> {
        let busy = self.accounts.iter().filter(|a| a.in_use > 0);
        busy.map(|a| (a.name.clone(), a.in_use)).collect()
    }

    /// Changes an account's quota.
    pub fn set_quota(&mut self, account: AccountIndex, quota: Quota) {
        self.accounts[account.0].quota = quota;
    }

    /// Adds a job that has tasks waiting.
    pub fn add_job(&mut self, account: AccountIndex, due: Time, job: JobKey) {
        self.accounts[account.0].jobs.insert((due, job));
        self.waiting.insert(account);
    }

    /// Removes a job that has no more tasks waiting.
    pub fn remove_job(&mut self, account: AccountIndex, due: Time, job: JobKey) {
        let queue = &mut self.accounts[account.0];
        queue.jobs.remove(&(due, job));
        if queue.jobs.is_empty() {
            self.waiting.remove(&account);
        }
    }

    /// Counts a task that starts to wait.
    pub fn add_task(&mut self, account: AccountIndex, expected_ms: u32) {
        let queue = &mut self.accounts[account.0];
        queue.work_ms += u64::from(expected_ms);
        queue.waiting += 1;
        self.tasks += 1;
    }

    /// Uncounts a task that no longer waits.
    pub fn remove_task(&mut self, account: AccountIndex, expected_ms: u32) {
        let queue = &mut self.accounts[account.0];
        queue.work_ms -= u64::from(expected_ms);
        queue.waiting -= 1;
        self.tasks -= 1;
    }

    /// Counts a slot that an account takes into use.
    pub fn acquire_slot(&mut self, account: AccountIndex) {
        self.accounts[account.0].in_use += 1;
    }

    /// Uncounts a slot that an account no longer uses.
    pub fn release_slot(&mut self, account: AccountIndex) {
        self.accounts[account.0].in_use -= 1;
    }

    /// Returns the next job to start a task of, skipping the accounts in `excluded`. An
    /// account over its quota is eligible only if enough slots are free.
    #[must_use]
    pub fn next_job(
        &self,
        slots: FreeSlots,
        excluded: &[AccountIndex],
    ) -> Option<(AccountIndex, JobKey)> {
        let first = self.first_account(excluded)?;
        let account = &self.accounts[first.0];
        if !account.may_use_slot(slots) {
            return None;
        }
        let (_, job) = account.jobs.first()?;
        Some((first, *job))
    }

    fn first_account(&self, excluded: &[AccountIndex]) -> Option<AccountIndex> {
        let order = |index: &AccountIndex| {
            let account = &self.accounts[index.0];
            (
                account.is_over_quota(),
                account.urgency,
                account.quota_use(),
            )
        };
        let candidates = self
            .waiting
            .iter()
            .filter(|index| !excluded.contains(index));
        let first = candidates.min_by(|a, b| {
            let (a, b) = (order(a), order(b));
            (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
        });
        first.copied()
    }
}
