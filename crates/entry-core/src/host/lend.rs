//! Lends free slots to peers that ask, now or once there are some.

use std::collections::BTreeMap;

use gannetridge_entry_wire::peer::{PeerReply, Spare};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use super::timers::Timer;
use super::Host;
use crate::event::Token;
use crate::settings::Placement;

/// Part of a host's slots that it doesn't lend to tasks over their quota, as
/// a divisor. For other tasks it keeps nothing back: measured, an eighth kept
/// made both the tail and the waste worse.
const KEEP_DIVISOR: u32 = 2;
/// Longest time for which a question waits, whatever the asker says, in ms.
/// Chosen, not measured.
const LONGEST_WAIT_MS: u64 = 2_000;
/// Most questions that wait at a time; beyond, they are answered at once.
/// Chosen, not measured.
const MOST_QUESTIONS: usize = 256;

/// A peer's question for slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct Question {
    pub(super) token: Token,
    pub(super) count: u32,
    pub(super) over_quota: bool,
    pub(super) due: Time,
    pub(super) wait_ms: u64,
}

/// Questions that wait for slots, the one that is due first in front.
#[derive(Debug, Default)]
pub(super) struct Questions {
    /// By whether they are over quota, due time and token.
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

    /// Tells whether the first question is for tasks over their quota.
    fn first_is_over_quota(&self) -> Option<bool> {
        let ((over_quota, ..), _) = self.waiting.first_key_value()?;
        Some(*over_quota)
    }

    fn pop_first(&mut self) -> Option<(Token, u32)> {
        let ((.., token), question) = self.waiting.pop_first()?;
        Some((token, question.count))
    }

    /// Takes out the questions that have waited long enough.
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
    /// Returns how many slots this host could lend. Tasks over their quota
    /// get less, here as at home.
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

    /// Returns what peers are told of this host's slots.
    pub(super) fn spare(&self) -> Spare {
        Spare {
            free: self.lendable(false),
            surplus: self.lendable(true),
            waits: self.queue.entitled() > 0,
        }
    }

    /// Takes a peer's question: lends at once what it can, or lets the
    /// question wait.
    pub(super) fn on_borrow(&mut self, from: &Name, question: Question) {
        if let Some(peer) = self.peers.get_mut(from) {
            // Whoever asks has nothing to lend.
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

    /// Lends to the peers whose questions wait, as far as slots have become
    /// free.
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

    /// Answers questions that have waited long enough.
    pub(super) fn end_questions(&mut self) {
        for token in self.questions.pop_over(self.now) {
            self.lend(token, 0);
        }
    }

    /// Answers all questions, since the host is stopping.
    pub(super) fn dismiss_questions(&mut self) {
        while let Some((token, _)) = self.questions.pop_first() {
            self.lend(token, 0);
        }
    }

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
