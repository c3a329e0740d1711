//! Slots lent to peers and borrowed from them.
//!
//! A loan names its slots and ends by itself: the borrower starts nothing on
//! it after its end, and the lender takes the slots back some time later, even
//! if it never hears from the borrower again.

use std::collections::{BTreeMap, VecDeque};

use gannetridge_entry_wire::peer::Grant;
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use crate::targets::{TargetIndex, Targets};

/// How long after a loan's end the lender counts its slots as free, in ms.
const OVERDUE_MS: u64 = 10_000;

/// A loan as the borrower knows it: the lender's address and number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LoanKey {
    /// The lender's address.
    pub lender: Name,
    /// The lender's number of the loan.
    pub loan: u64,
}

/// A borrowed slot that no task uses.
#[derive(Clone, Debug)]
struct Credit {
    key: LoanKey,
    target: TargetIndex,
}

#[derive(Debug)]
struct Borrowed {
    until: Time,
    outstanding: u32,
    used: bool,
    returned: BTreeMap<TargetIndex, u32>,
    changed: bool,
}

/// Slots borrowed from peers.
#[derive(Debug, Default)]
pub struct BorrowedSlots {
    loans: BTreeMap<LoanKey, Borrowed>,
    credits: VecDeque<Credit>,
    flush_due: bool,
}

/// Tells a lender what comes back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LoanReturn {
    /// The loan.
    pub key: LoanKey,
    /// All slots returned so far.
    pub returned: Vec<(TargetIndex, u32)>,
    /// True if all slots came back and no task ever used one.
    pub unused: bool,
}

impl BorrowedSlots {
    /// Notes a loan.
    pub fn add(&mut self, key: LoanKey, slots: &[(TargetIndex, u32)], until: Time) {
        let outstanding = slots.iter().map(|(_, count)| count).sum();
        for (target, count) in slots {
            for _ in 0..*count {
                let key = key.clone();
                self.credits.push_back(Credit {
                    key,
                    target: *target,
                });
            }
        }
        let borrowed = Borrowed {
            until,
            outstanding,
            used: false,
            returned: BTreeMap::new(),
            changed: false,
        };
        self.loans.insert(key, borrowed);
    }

    /// Returns the number of slots that no task uses.
    #[must_use]
    pub fn idle(&self) -> usize {
        self.credits.len()
    }

    /// Takes a slot for a task. Slots whose loan is over go back.
    pub fn take(
        &mut self,
        now: Time,
        can_take: impl Fn(TargetIndex) -> bool,
    ) -> Option<(TargetIndex, LoanKey)> {
        for _ in 0..self.credits.len() {
            let credit = self.credits.pop_front()?;
            let over = self.loans.get(&credit.key).is_none_or(|l| now >= l.until);
            if over {
                self.give_back(&credit.key, credit.target);
            } else if can_take(credit.target) {
                if let Some(loan) = self.loans.get_mut(&credit.key) {
                    loan.used = true;
                }
                return Some((credit.target, credit.key));
            } else {
                self.credits.push_back(credit);
            }
        }
        None
    }

    /// Takes note that a task on a borrowed slot is over. The slot is kept
    /// for the next task if `keep` and the loan allow it.
    pub fn release(&mut self, key: LoanKey, target: TargetIndex, keep: bool, now: Time) {
        let running = self.loans.get(&key).is_some_and(|l| now < l.until);
        if keep && running {
            self.credits.push_back(Credit { key, target });
        } else {
            self.give_back(&key, target);
        }
    }

    /// Gives all slots back that no task uses.
    pub fn give_back_idle(&mut self) {
        for credit in std::mem::take(&mut self.credits) {
            self.give_back(&credit.key, credit.target);
        }
    }

    fn give_back(&mut self, key: &LoanKey, target: TargetIndex) {
        if let Some(loan) = self.loans.get_mut(key) {
            *loan.returned.entry(target).or_default() += 1;
            loan.outstanding -= 1;
            loan.changed = true;
        }
    }

    /// Returns what lenders have to be told, and forgets loans that are over.
    pub fn flush(&mut self) -> Vec<LoanReturn> {
        self.flush_due = false;
        let mut returns = Vec::new();
        for (key, loan) in &mut self.loans {
            if std::mem::take(&mut loan.changed) {
                let returned = loan.returned.iter().map(|(t, n)| (*t, *n)).collect();
                returns.push(LoanReturn {
                    key: key.clone(),
                    returned,
                    unused: loan.outstanding == 0 && !loan.used,
                });
            }
        }
        self.loans.retain(|_, loan| loan.outstanding > 0);
        returns
    }

    /// Tells once after each change whether a flush has to be planned.
    pub fn needs_flush(&mut self) -> bool {
        let changed = !self.flush_due && self.loans.values().any(|loan| loan.changed);
        self.flush_due |= changed;
        changed
    }
}

#[derive(Debug)]
struct Lent {
    overdue: Time,
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
pub struct LentOut {
    loans: BTreeMap<u64, Lent>,
    last: u64,
}

impl LentOut {
    /// Lends up to `count` free slots; `choose` names the target of each.
    /// Returns the loan's number and its slots.
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
        self.last += 1;
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
            let loan = Lent {
                overdue: until.plus_millis(OVERDUE_MS),
                slots: slots.into_iter().map(lent).collect(),
            };
            self.loans.insert(self.last, loan);
        }
        (self.last, grants)
    }

    /// Takes slots back. `returned` counts from the loan's beginning, so that
    /// the same message may come twice or late.
    pub fn returned(&mut self, targets: &mut Targets, loan: u64, returned: &[Grant]) {
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
            let fresh = total.saturating_sub(slots.returned);
            slots.returned += fresh;
            targets.update(index, |t| t.lent -= fresh);
        }
        if lent.slots.iter().all(|s| s.returned == s.count) {
            self.loans.remove(&loan);
        }
    }

    /// Takes slots back whose borrower has been silent for too long.
    pub fn reclaim(&mut self, targets: &mut Targets, now: Time) {
        self.loans.retain(|_, lent| {
            if now < lent.overdue {
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
