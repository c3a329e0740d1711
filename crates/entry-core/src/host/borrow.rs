//! Borrows free slots from peers for waiting tasks.

use std::collections::BTreeSet;

use gannetridge_entry_wire::peer::{Grant, PeerReply, PeerRequest, Spare};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;
use rand::Rng;

use super::calls::Call;
use super::timers::Timer;
use super::Host;
use crate::action::Waste;
use crate::event::SendFailure;
use crate::loans::LoanKey;
use crate::settings::Placement;

/// Shortest wait before a peer that had nothing to lend is asked again, in ms.
const FIRST_PAUSE_MS: u64 = 100;
/// Longest wait before a peer that had nothing to lend is asked again, in ms.
const LAST_PAUSE_MS: u64 = 1_600;
/// Delay after which returned slots are reported to their lender, in ms.
const RETURN_MS: u64 = 5;
/// Longest time for which a borrow request may wait at a peer, in ms.
const QUESTION_MS: u64 = 1000;
/// Timeout of the reply beyond the time that the request may wait, in ms.
const REPLY_MS: u64 = 500;
/// Largest number of waiting jobs whose halls are considered.
const MOST_LOOKED_AT: usize = 8;
/// Largest number of slots per borrow request.
const MOST_SLOTS: u32 = 256;

/// A peer's known state as a lender of slots.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    /// The slots that the peer last reported as available.
    pub(super) spare: Spare,
    /// The number of slots expected from the borrow request in progress, if there is one.
    asked: Option<u32>,
    /// No request goes to the peer before this time unless it reports free slots.
    not_before: Time,
    /// The next wait after a request that brought nothing.
    pause_ms: u64,
}

impl Default for Lender {
    fn default() -> Self {
        Self {
            spare: Spare::default(),
            asked: None,
            not_before: Time::ZERO,
            pause_ms: FIRST_PAUSE_MS,
        }
    }
}

impl Lender {
    /// Records the slots that the peer reports as available.
    pub(super) fn learn(&mut self, spare: Spare) {
        self.spare = spare;
    }

    /// Records that the peer couldn't be reached.
    pub(super) fn silent(&mut self) {
        self.spare = Spare::default();
    }

    /// Records that a request brought nothing, and doubles the wait before the next.
    fn lent_nothing(&mut self, now: Time) {
        self.not_before = now.plus_millis(self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(LAST_PAUSE_MS);
    }
}

impl Host {
    /// Returns how many slots the hosts of some halls last reported as available.
    pub(super) fn lendable_by_peers(&self, halls: &[Name]) -> u32 {
        if self.settings.tuning.placement != Placement::SharesLending {
            return 0;
        }
        let allowed = self.peers.values().filter(|p| halls.contains(&p.hall));
        allowed.map(|p| p.lender.spare.free).sum()
    }

    /// Returns an equal part of the usable slots of some halls per known host. Used by a
    /// host that has no share of its own.
    pub(super) fn fair_part_of(&self, halls: &[Name]) -> u32 {
        let usable = self
            .targets
            .iter()
            .filter(|t| t.usable() && halls.contains(&t.hall));
        let slots: u32 = usable.map(|t| t.slots).sum();
        slots / (self.peers.len() as u32 + 1)
    }

    /// Requests slots from peers for the waiting tasks.
    pub(super) fn borrow_more(&mut self) {
        if self.settings.tuning.placement != Placement::SharesLending {
            return;
        }
        let entitled = self.queue.entitled();
        // Tasks over their quota may borrow only when no others wait.
        let over_quota = entitled == 0;
        let wanted = if over_quota {
            self.queue.tasks() as u32
        } else {
            entitled
        };
        let expected: u32 = self.peers.values().filter_map(|p| p.lender.asked).sum();
        let mut missing = wanted.saturating_sub(expected);
        if missing == 0 {
            return;
        }
        let halls = self.halls_wanted();
        let mut known = Vec::new();
        let mut blind = Vec::new();
        for (address, peer) in &self.peers {
            if peer.lender.asked.is_some() || !halls.contains(&peer.hall) {
                continue;
            }
            let far = peer.hall != self.settings.hall;
            let spare = peer.lender.spare;
            let free = if over_quota {
                spare.surplus
            } else {
                spare.free
            };
            if free > 0 {
                known.push((far, u32::MAX - free, address.clone()));
            } else if !over_quota && !spare.waits && self.now >= peer.lender.not_before {
                // Random order, so that hosts don't all ask the same peer.
                let any: u32 = self.rng.random();
                blind.push((spare.waits, far, any, address.clone()));
            }
        }
        known.sort();
        for (_, less, address) in known {
            if missing == 0 {
                return;
            }
            let free = u32::MAX - less;
            self.ask_for_slots(address, free.min(missing), free.min(missing), over_quota);
            missing = missing.saturating_sub(free);
        }
        blind.sort_unstable();
        let per_question = self.settings.tuning.tasks_per_question.max(1);
        let questions = missing / per_question;
        for (.., address) in blind.into_iter().take(questions as usize) {
            self.ask_for_slots(address, missing, per_question, false);
        }
    }

    /// Sends a borrow request to a peer, which is expected to bring `expected` slots.
    fn ask_for_slots(&mut self, address: Name, count: u32, expected: u32, over_quota: bool) {
        let due = self.queue.first_due().unwrap_or(self.now);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.lender.asked = Some(expected);
        }
        let request = PeerRequest::Borrow {
            from: self.settings.address.clone(),
            count: count.min(MOST_SLOTS),
            over_quota,
            due,
            wait_ms: if over_quota { 0 } else { QUESTION_MS },
        };
        let purpose = Call::Borrow {
            address: address.clone(),
        };
        self.call_peer(purpose, address, request, QUESTION_MS + REPLY_MS);
    }

    /// Returns the halls that jobs with waiting tasks may use.
    fn halls_wanted(&self) -> BTreeSet<Name> {
        let waiting = self.jobs.values().filter(|job| !job.waiting.is_empty());
        let halls = waiting
            .take(MOST_LOOKED_AT)
            .flat_map(|job| job.account.halls.iter());
        halls.cloned().collect()
    }

    pub(super) fn on_lent(&mut self, address: Name, reply: Result<PeerReply, SendFailure>) {
        let now = self.now;
        let lent = match reply {
            Ok(PeerReply::Lent {
                loan,
                grants,
                until,
                spare,
            }) => Some((loan, grants, until, spare)),
            _ => None,
        };
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.lender.asked = None;
            match &lent {
                Some((.., spare)) => peer.lender.learn(*spare),
                None => peer.lender.silent(),
            }
        }
        let lent = lent.filter(|(_, grants, ..)| !grants.is_empty());
        let Some((loan, grants, until, _)) = lent else {
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.lender.lent_nothing(now);
            }
            return self.waste(Waste::BorrowedInVain);
        };
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.lender.pause_ms = FIRST_PAUSE_MS;
        }
        let key = LoanKey {
            lender: address,
            loan,
        };
        self.take_loan(key, &grants, until);
    }

    /// Adds a loan.
    fn take_loan(&mut self, key: LoanKey, grants: &[Grant], until: Time) {
        // Slots of an unknown target can't be used. They return to the lender when the loan
        // is overdue.
        let known = grants
            .iter()
            .filter_map(|g| Some((self.targets.find(&g.target)?, g.count)));
        let slots: Vec<_> = known.collect();
        self.borrowed.add(key, &slots, until);
    }

    /// Plans a report of returned slots, if one is needed.
    pub(super) fn schedule_returns(&mut self) {
        if self.borrowed.needs_flush() {
            self.after(RETURN_MS, Timer::FlushReturns);
        }
    }

    /// Reports returned slots to their lenders.
    pub(super) fn flush_returns(&mut self) {
        for back in self.borrowed.flush() {
            if back.unused {
                self.waste(Waste::LentInVain);
            }
            let grant = |(target, count): &(_, u32)| Grant {
                target: self.targets.get(*target).name.clone(),
                count: *count,
            };
            let returned = back.returned.iter().map(grant).collect();
            let request = PeerRequest::Return {
                loan: back.key.loan,
                returned,
            };
            self.call_peer(Call::Return, back.key.lender, request, REPLY_MS);
        }
    }
}
