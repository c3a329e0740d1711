//! Slots lent to peers and borrowed from them.
//!
//! A loan names its slots and expires by itself: the borrower starts nothing on them
//! after its end, and the lender reclaims them some time later even without a message
//! from the borrower.

use std::collections::{BTreeMap, VecDeque};

use gannetridge_entry_wire::peer::Grant;
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use crate::targets::{TargetIndex, Targets};

/// Time after a loan's end at which the lender reclaims slots not yet returned, in ms.
const RECLAIM_DELAY_MS: u64 = 10_000;

/// Identifies a loan at the borrower.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanKey {
    /// The lender's address.
    pub lender: Name,
    /// The number that the lender gave the loan.
    pub loan: u64,
}

/// A borrowed slot that no task occupies.
#[derive(Clone, Debug)]
struct IdleSlot {
    key: LoanKey,
    target: TargetIndex,
}

/// A loan at the borrower.
#[derive(Debug)]
struct BorrowedLoan {
    until: Time,
    /// Slots not yet given back.
    outstanding: u32,
    /// True once a task has occupied one of the slots.
    was_used: bool,
    /// Slots given back so far, by target.
    returned: BTreeMap<TargetIndex, u32>,
    /// True if `returned` has changed since it was last reported to the lender.
    changed: bool,
}

/// Slots borrowed from peers.
#[derive(Debug, Default)]
pub struct BorrowedSlots {
    loans: BTreeMap<LoanKey, BorrowedLoan>,
    idle_slots: VecDeque<IdleSlot>,
    /// True while a flush is planned.
    flush_planned: bool,
}

/// The slots of a loan that were given back, for a report to the lender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// The loan that the slots belong to.
    pub key: LoanKey,
    /// The number of slots returned so far, by target.
    pub returned: Vec<(TargetIndex, u32)>,
    /// True if all slots were given back and no task ever occupied one.
    pub unused: bool,
}

impl BorrowedSlots {
    /// Adds a loan that expires at `until`.
    pub fn add(&mut self, key: LoanKey, slots: &[(TargetIndex, u32)], until: Time) {
        let outstanding = slots.iter().map(|(_, count)| count).sum();
        for (target, count) in slots {
            for _ in 0..*count {
                let key = key.clone();
                self.idle_slots.push_back(IdleSlot {
                    key,
                    target: *target,
                });
            }
        }
        let borrowed = BorrowedLoan {
            until,
            outstanding,
            was_used: false,
            returned: BTreeMap::new(),
            changed: false,
        };
        self.loans.insert(key, borrowed);
    }

    /// Returns the number of slots that no task occupies.
    #[must_use]
    pub fn idle_count(&self) -> usize {
        self.idle_slots.len()
    }

    /// Takes an unoccupied slot for a task. Slots of expired loans are given back.
    pub fn take_slot(
        &mut self,
        now: Time,
        can_take: impl Fn(TargetIndex) -> bool,
    ) -> Option<(TargetIndex, LoanKey)> {
        for _ in 0..self.idle_slots.len() {
            let slot = self.idle_slots.pop_front()?;
            let expired = self.loans.get(&slot.key).is_none_or(|l| now >= l.until);
            if expired {
                self.give_back(&slot.key, slot.target);
            } else if can_take(slot.target) {
                if let Some(loan) = self.loans.get_mut(&slot.key) {
                    loan.was_used = true;
                }
                return Some((slot.target, slot.key));
            } else {
                self.idle_slots.push_back(slot);
            }
        }
        None
    }

    /// Releases a slot after its task has ended. The slot is kept for another task if
    /// `keep` is set and the loan hasn't expired.
    pub fn release(&mut self, key: LoanKey, target: TargetIndex, keep: bool, now: Time) {
        let is_valid = self.loans.get(&key).is_some_and(|l| now < l.until);
        if keep && is_valid {
            self.idle_slots.push_back(IdleSlot { key, target });
        } else {
            self.give_back(&key, target);
        }
    }

    /// Gives back all slots that no task occupies.
    pub fn give_back_idle(&mut self) {
        for slot in std::mem::take(&mut self.idle_slots) {
            self.give_back(&slot.key, slot.target);
        }
    }

    fn give_back(&mut self, key: &LoanKey, target: TargetIndex) {
        if let Some(loan) = self.loans.get_mut(key) {
            *loan.returned.entry(target).or_default() += 1;
            loan.outstanding -= 1;
            loan.changed = true;
        }
    }

    /// Returns the reports that are due to lenders, and removes loans whose slots were
    /// all given back.
    pub fn take_returns(&mut self) -> Vec<LoanReturn> {
        self.flush_planned = false;
        let mut returns = Vec::new();
        for (key, loan) in &mut self.loans {
            if std::mem::take(&mut loan.changed) {
                let returned = loan.returned.iter().map(|(t, n)| (*t, *n)).collect();
                returns.push(LoanReturn {
                    key: key.clone(),
                    returned,
                    unused: loan.outstanding == 0 && !loan.was_used,
                });
            }
        }
        self.loans.retain(|_, loan| loan.outstanding > 0);
        returns
    }

    /// Returns true if a flush has to be planned; after that, false until the next flush.
    pub fn needs_flush(&mut self) -> bool {
        let changed = !self.flush_planned && self.loans.values().any(|loan| loan.changed);
        self.flush_planned |= changed;
        changed
    }
}

/// A loan at the lender.
#[derive(Debug)]
struct LentLoan {
    /// The time at which slots not yet returned are reclaimed.
    reclaim_at: Time,
    slots: Vec<LentSlots>,
}

#[derive(Debug)]
struct LentSlots {
    target: TargetIndex,
    count: u32,
    returned: u32,
}

/// Slots lent to peers.
#[derive(Debug, Default)]
pub struct LentLoans {
    loans: BTreeMap<u64, LentLoan>,
    last_number: u64,
}

impl LentLoans {
    /// Lends up to `count` free slots until `until`; `choose` selects the target of each.
    /// Returns the loan's number and the slots lent.
    pub fn lend(
        &mut self,
        targets: &mut Targets,
        count: u32,
        until: Time,
        mut choose: impl FnMut(&mut Targets) -> Option<TargetIndex>,
    ) -> (u64, Vec<Grant>) {
        let mut slots: BTreeMap<TargetIndex, u32> = BTreeMap::new();
        for _ in 0..count {
            let Some(target) = choose(targets) else { break };
            targets.update(target, |t| t.lent += 1);
            *slots.entry(target).or_default() += 1;
        }
        self.last_number += 1;
        let grants = slots.iter().map(|(target, count)| Grant {
            target: targets.get(*target).name.clone(),
            count: *count,
        });
        let grants = grants.collect();
        if !slots.is_empty() {
            let lent = |(target, count)| LentSlots {
                target,
                count,
                returned: 0,
            };
            let loan = LentLoan {
                reclaim_at: until.plus_millis(RECLAIM_DELAY_MS),
                slots: slots.into_iter().map(lent).collect(),
            };
            self.loans.insert(self.last_number, loan);
        }
        (self.last_number, grants)
    }

    /// Records slots that a borrower gave back. `returned` contains the total since the
    /// start of the loan, so a repeated or late message does no harm.
    pub fn record_returns(&mut self, targets: &mut Targets, loan: u64, returned: &[Grant]) {
        let Some(lent) = self.loans.get_mut(&loan) else {
            return;
        };
        for grant in returned {
            let Some(index) = targets.find(&grant.target) else {
                continue;
            };
            let Some(slots) = lent.slots.iter_mut().find(|s| s.target == index) else {
                continue;
            };
            let total = grant.count.min(slots.count);
            let newly_returned = total.saturating_sub(slots.returned);
            slots.returned += newly_returned;
            targets.update(index, |t| t.lent -= newly_returned);
        }
        if lent.slots.iter().all(|s| s.returned == s.count) {
            self.loans.remove(&loan);
        }
    }

    /// Reclaims the slots of loans that are overdue.
    pub fn reclaim(&mut self, targets: &mut Targets, now: Time) {
        self.loans.retain(|_, lent| {
            if now < lent.reclaim_at {
                return true;
            }
            for slots in &lent.slots {
                let left = slots.count - slots.returned;
                targets.update(slots.target, |t| t.lent -= left);
            }
            false
        });
    }
}
