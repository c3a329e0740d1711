//! Borrows free slots from peers for the tasks that wait.

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

/// Shortest pause after a peer had nothing to lend, in ms. With pauses of 20 to
/// 640, 100 to 1,600 and 300 to 4,800 ms p99 at 80 % load was 9.4, 4.1 and 7.2 times the ideal
/// (simulator, seed 1).
const FIRST_PAUSE_MS: u64 = 100;
/// Longest pause after a peer had nothing to lend, in ms. See [`FIRST_PAUSE_MS`].
const LAST_PAUSE_MS: u64 = 1_600;
/// Returned slots are reported after this time, in ms. Chosen, not measured.
const RETURN_MS: u64 = 5;
/// How long a question may wait at a peer, in ms. With 200 and other settings 32 messages
/// were wasted per 1,000 tasks at 80 % load, now 5 (simulator, seed 1).
const QUESTION_MS: u64 = 1000;
/// How long the reply is awaited beyond that, in ms. Chosen, not measured.
const REPLY_MS: u64 = 500;
/// Most jobs that are looked at for the halls that they may use. Chosen, not
/// measured.
const MOST_LOOKED_AT: usize = 8;
/// Most slots asked for at a time. Chosen, not measured.
const MOST_SLOTS: u32 = 256;

/// What a host knows of a peer's readiness to lend.
#[derive(Clone, Debug)]
pub(super) struct Lender {
    /// What the peer last told.
    pub(super) spare: Spare,
    /// Slots that the question on its way is expected to bring.
    asked: Option<u32>,
    /// Not to be asked blindly before this time.
    not_before: Time,
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
    /// Takes over what the peer says of itself.
    pub(super) fn learn(&mut self, spare: Spare) {
        self.spare = spare;
    }

    /// Notes that the peer couldn't be reached.
    pub(super) fn silent(&mut self) {
        self.spare = Spare::default();
    }

    fn lent_nothing(&mut self, now: Time) {
        self.not_before = now.plus_millis(self.pause_ms);
        self.pause_ms = (self.pause_ms * 2).min(LAST_PAUSE_MS);
    }
}

impl Host {
    /// Returns how many slots the hosts of some halls were last heard to have
    /// to lend.
    pub(super) fn lendable_by_peers(&self, halls: &[Name]) -> u32 {
        if self.settings.tuning.placement != Placement::SharesLending {
            return 0;
        }
        let allowed = self.peers.values().filter(|p| halls.contains(&p.hall));
        allowed.map(|p| p.lender.spare.free).sum()
    }

    /// Returns this host's part of the slots of some halls, counted by hosts.
    /// A host whose own hall is being emptied has nothing better to go by.
    pub(super) fn fair_part_of(&self, halls: &[Name]) -> u32 {
        let usable = self
            .targets
            .iter()
            .filter(|t| t.usable() && halls.contains(&t.hall));
        let slots: u32 = usable.map(|t| t.slots).sum();
        slots / (self.peers.len() as u32 + 1)
    }

    /// Asks peers for slots for the tasks that wait.
    pub(super) fn borrow_more(&mut self) {
        if self.settings.tuning.placement != Placement::SharesLending {
            return;
        }
        let entitled = self.queue.entitled();
        // Once nothing else waits, tasks over their quota may ask.
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
                // Equals come in any order, so that not all ask the same.
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

    /// Sends a question to a peer, of which `expected` slots are hoped for.
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

    fn take_loan(&mut self, key: LoanKey, grants: &[Grant], until: Time) {
        // A target that isn't known here yet can't be used; its slots come
        // back to the lender when the loan is overdue.
        let known = grants
            .iter()
            .filter_map(|g| Some((self.targets.find(&g.target)?, g.count)));
        let slots: Vec<_> = known.collect();
        self.borrowed.add(key, &slots, until);
    }

    pub(super) fn schedule_returns(&mut self) {
        if self.borrowed.needs_flush() {
            self.after(RETURN_MS, Timer::FlushReturns);
        }
    }

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
