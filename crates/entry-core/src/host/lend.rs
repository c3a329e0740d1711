//! Lends free slots to peers that request them, at once or when some become free.

use std::collections::BTreeMap;

use gannetridge_entry_wire::peer::{PeerReply, Spare};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use super::timers::Timer;
use super::Host;
use crate::event::Token;
use crate::settings::Placement;

/// Divisor for the part of a host's slots that it doesn't lend to tasks over their
/// quota. For other tasks nothing is kept back.
const KEEP_DIVISOR: u32 = 2;
/// Longest time for which a borrow request waits, in ms.
const LONGEST_WAIT_MS: u64 = 2_000;
/// Largest number of waiting borrow requests; further ones are answered at once.
const MOST_QUESTIONS: usize = 256;

/// A peer's request to borrow slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Question {
    pub(super) token: Token,
    pub(super) count: u32,
    pub(super) over_quota: bool,
    pub(super) due: Time,
    pub(super) wait_ms: u64,
}

/// Borrow requests that wait for slots, by priority.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// The key is (over quota, due time, token): requests within quotas go first.
    waiting: BTreeMap<(bool, Time, Token), WaitingQuestion>,
}

#[derive(Debug)]
struct WaitingQuestion {
    count: u32,
    until: Time,
}

impl Questions {
    fn add(&mut self, question: Question, until: Time) {
        let waiting = WaitingQuestion {
            count: question.count,
            until,
        };
        let key = (question.over_quota, question.due, question.token);
        self.waiting.insert(key, waiting);
    }

    /// Returns true if the first request is for tasks over their quota.
    fn first_is_over_quota(&self) -> Option<bool> {
        let ((over_quota, ..), _) = self.waiting.first_key_value()?;
        Some(*over_quota)
    }

    fn pop_first(&mut self) -> Option<(Token, u32)> {
        let ((.., token), question) = self.waiting.pop_first()?;
        Some((token, question.count))
    }

    /// Removes and returns the requests that have waited long enough.
    fn pop_over(&mut self, now: Time) -> Vec<Token> {
        let over = self.waiting.iter().filter(|(_, q)| q.until <= now);
        let keys: Vec<_> = over.map(|(key, _)| *key).collect();
        for key in &keys {
            self.waiting.remove(key);
        }
        keys.into_iter().map(|(.., token)| token).collect()
    }

    fn len(&self) -> usize {
        self.waiting.len()
    }
}

impl Host {
    /// Returns how many slots this host could lend. Tasks over their quota get fewer, as
    /// they do on this host.
    fn lendable(&self, over_quota: bool) -> u32 {
        let lends = self.settings.tuning.placement == Placement::SharesLending;
        if !lends || self.stop.asked || self.queue.entitled() > 0 {
            return 0;
        }
        let keep = if over_quota {
            self.targets.own_capacity() / KEEP_DIVISOR
        } else {
            0
        };
        self.targets.own_free().saturating_sub(keep)
    }

    /// Returns the slots that this host reports as available to peers.
    pub(super) fn spare(&self) -> Spare {
        Spare {
            free: self.lendable(false),
            surplus: self.lendable(true),
            waits: self.queue.entitled() > 0,
        }
    }

    /// Handles a peer's borrow request: lends at once what is available, or lets the
    /// request wait.
    pub(super) fn on_borrow(&mut self, from: &Name, question: Question) {
        if let Some(peer) = self.peers.get_mut(from) {
            // A peer that borrows has nothing to lend.
            peer.lender.learn(Spare {
                free: 0,
                surplus: 0,
                waits: true,
            });
        }
        let wait_ms = question.wait_ms.min(LONGEST_WAIT_MS);
        let waits = wait_ms > 0 && !self.stop.asked && self.questions.len() < MOST_QUESTIONS;
        let lendable = self.lendable(question.over_quota);
        if lendable > 0 || !waits {
            return self.lend(question.token, question.count.min(lendable));
        }
        let until = self.now.plus_millis(wait_ms);
        self.questions.add(question, until);
        self.timers.set(until, Timer::QuestionsOver);
    }

    /// Lends slots that have become free to the peers whose requests wait.
    pub(super) fn serve_questions(&mut self) {
        while let Some(over_quota) = self.questions.first_is_over_quota() {
            let lendable = self.lendable(over_quota);
            if lendable == 0 {
                return;
            }
            if let Some((token, count)) = self.questions.pop_first() {
                self.lend(token, count.min(lendable));
            }
        }
    }

    /// Answers the requests that have waited long enough.
    pub(super) fn end_questions(&mut self) {
        for token in self.questions.pop_over(self.now) {
            self.lend(token, 0);
        }
    }

    /// Answers all waiting requests, since the host is stopping.
    pub(super) fn dismiss_questions(&mut self) {
        while let Some((token, _)) = self.questions.pop_first() {
            self.lend(token, 0);
        }
    }

    /// Lends `count` slots, or as many of them as are free, and replies.
    fn lend(&mut self, token: Token, count: u32) {
        let until = self.now.plus_millis(self.settings.tuning.loan_ms);
        let rng = &mut self.rng;
        let hall = &self.settings.hall;
        let choose = |targets: &mut crate::targets::Targets| {
            let here = |name: &Name| name == hall;
            targets.choose(rng, here)
        };
        let (loan, grants) = self.lent.lend(&mut self.targets, count, until, choose);
        let lent = PeerReply::Lent {
            loan,
            grants,
            until,
            spare: self.spare(),
        };
        self.reply(token, lent);
    }
}
