//! Borrows free slots from peers for waiting tasks.

use std::collections::BTreeSet;

use gannetridge_entry_wire::peer::{Grant, LendableSlots, PeerReply, PeerRequest};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;
use rand::Rng;

use super::calls::CallPurpose;
use super::timers::Timer;
use super::Host;
use crate::action::WastedMessage;
use crate::event::SendFailure;
use crate::loans::LoanKey;
use crate::settings::Placement;

/// Shortest wait before a peer that had nothing to lend is asked again, in ms.
const FIRST_BACKOFF_MS: u64 = 100;
/// Longest wait before a peer that had nothing to lend is asked again, in ms.
const MAX_BACKOFF_MS: u64 = 1_600;
/// Delay after which returned slots are reported to their lender, in ms.
const RETURN_DELAY_MS: u64 = 5;
/// Longest time for which a borrow request may wait at a peer, in ms.
const REQUEST_WAIT_MS: u64 = 1000;
/// Timeout of the reply beyond the time that the request may wait, in ms.
const REPLY_TIMEOUT_MS: u64 = 500;
/// Largest number of waiting jobs whose halls are considered.
const MAX_JOBS_CONSIDERED: usize = 8;
/// Largest number of slots per borrow request.
const MAX_SLOTS_PER_REQUEST: u32 = 256;

/// A peer's known state as a lender of slots.
#[derive(Clone, Debug)]
pub(super) struct LenderState {
    /// The slots that the peer last reported as available.
    pub(super) lendable: LendableSlots,
    /// The number of slots expected from the borrow request in progress, if there is one.
    expected_slots: Option<u32>,
    /// No request goes to the peer before this time unless it reports free slots.
    not_before: Time,
    /// The next wait after a request that brought nothing.
    backoff_ms: u64,
}

impl Default for LenderState {
    fn default() -> Self {
        Self {
            lendable: LendableSlots::default(),
            expected_slots: None,
            not_before: Time::ZERO,
            backoff_ms: FIRST_BACKOFF_MS,
        }
    }
}

impl LenderState {
    /// Records the slots that the peer reports as available.
    pub(super) fn update(&mut self, lendable: LendableSlots) {
        self.lendable = lendable;
    }

    /// Records that the peer gave no usable reply; no slots are assumed available there.
    pub(super) fn clear_lendable(&mut self) {
        self.lendable = LendableSlots::default();
    }

    /// Records that a request brought nothing, and doubles the wait before the next.
    fn back_off(&mut self, now: Time) {
        self.not_before = now.plus_millis(self.backoff_ms);
        self.backoff_ms = (self.backoff_ms * 2).min(MAX_BACKOFF_MS);
    }
}

impl Host {
    /// Returns how many slots the hosts of some halls last reported as available.
    pub(super) fn lendable_by_peers(&self, halls: &[Name]) -> u32 {
        if self.settings.tuning.placement != Placement::SharesLending {
            return 0;
        }
        let allowed = self.peers.values().filter(|p| halls.contains(&p.hall));
        allowed.map(|p| p.lender.lendable.free).sum()
    }

    /// Returns the usable slots of some halls divided by the number of known hosts, as an
    /// estimate for a host without usable slots of its own.
    pub(super) fn equal_part_of(&self, halls: &[Name]) -> u32 {
        let usable = self
            .targets
            .iter()
            .filter(|t| t.is_usable() && halls.contains(&t.hall));
        let slots: u32 = usable.map(|t| t.slots).sum();
        slots / (self.peers.len() as u32 + 1)
    }

    /// Requests slots from peers for the waiting tasks.
    pub(super) fn request_slots(&mut self) {
        if self.settings.tuning.placement != Placement::SharesLending {
            return;
        }
        let within_quota = self.queue.waiting_within_quota();
        // Tasks over their quota may borrow only when no others wait.
        let over_quota = within_quota == 0;
        let wanted = if over_quota {
            self.queue.waiting_tasks() as u32
        } else {
            within_quota
        };
        let expected: u32 = self
            .peers
            .values()
            .filter_map(|p| p.lender.expected_slots)
            .sum();
        let mut missing = wanted.saturating_sub(expected);
        if missing == 0 {
            return;
        }
        let halls = self.halls_of_waiting_jobs();
        let mut with_free = Vec::new();
        let mut without_free = Vec::new();
        for (address, peer) in &self.peers {
            if peer.lender.expected_slots.is_some() || !halls.contains(&peer.hall) {
                continue;
            }
            let remote = peer.hall != self.settings.hall;
            let lendable = peer.lender.lendable;
            let free = if over_quota {
                lendable.surplus
            } else {
                lendable.free
            };
            if free > 0 {
                // Sorts the own hall first, then the most free slots.
                with_free.push((remote, u32::MAX - free, address.clone()));
            } else if !over_quota && !lendable.waits && self.now >= peer.lender.not_before {
                // Random order, so that hosts don't all send their requests to the same peer.
                let tie_break: u32 = self.rng.random();
                without_free.push((lendable.waits, remote, tie_break, address.clone()));
            }
        }
        with_free.sort();
        for (_, inverted_free, address) in with_free {
            if missing == 0 {
                return;
            }
            let free = u32::MAX - inverted_free;
            self.send_borrow_request(address, free.min(missing), free.min(missing), over_quota);
            missing = missing.saturating_sub(free);
        }
        without_free.sort_unstable();
        let tasks_per_request = self.settings.tuning.tasks_per_question.max(1);
        let request_count = missing / tasks_per_request;
        for (.., address) in without_free.into_iter().take(request_count as usize) {
            self.send_borrow_request(address, missing, tasks_per_request, false);
        }
    }

    /// Sends a borrow request to a peer, which is expected to bring `expected` slots.
    fn send_borrow_request(&mut self, address: Name, count: u32, expected: u32, over_quota: bool) {
        let due = self.queue.next_due().unwrap_or(self.now);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.lender.expected_slots = Some(expected);
        }
        let request = PeerRequest::Borrow {
            from: self.settings.address.clone(),
            count: count.min(MAX_SLOTS_PER_REQUEST),
            over_quota,
            due,
            wait_ms: if over_quota { 0 } else { REQUEST_WAIT_MS },
        };
        let purpose = CallPurpose::Borrow {
            address: address.clone(),
        };
        self.call_peer(
            purpose,
            address,
            request,
            REQUEST_WAIT_MS + REPLY_TIMEOUT_MS,
        );
    }

    /// Returns the halls that the first few jobs with waiting tasks may use.
    fn halls_of_waiting_jobs(&self) -> BTreeSet<Name> {
        let waiting = self.jobs.values().filter(|job| !job.waiting.is_empty());
        let halls = waiting
            .take(MAX_JOBS_CONSIDERED)
            .flat_map(|job| job.account.halls.iter());
        halls.cloned().collect()
    }

    pub(super) fn on_borrow_reply(&mut self, address: Name, reply: Result<PeerReply, SendFailure>) {
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
            peer.lender.expected_slots = None;
            match &lent {
                Some((.., spare)) => peer.lender.update(*spare),
                None => peer.lender.clear_lendable(),
            }
        }
        let lent = lent.filter(|(_, grants, ..)| !grants.is_empty());
        let Some((loan, grants, until, _)) = lent else {
            if let Some(peer) = self.peers.get_mut(&address) {
                peer.lender.back_off(now);
            }
            return self.record_wasted(WastedMessage::NothingLent);
        };
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.lender.backoff_ms = FIRST_BACKOFF_MS;
        }
        let key = LoanKey {
            lender: address,
            loan,
        };
        self.add_loan(key, &grants, until);
    }

    /// Adds the slots that a peer lent.
    fn add_loan(&mut self, key: LoanKey, grants: &[Grant], until: Time) {
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
            self.set_timer_in(RETURN_DELAY_MS, Timer::FlushReturns);
        }
    }

    /// Reports returned slots to their lenders.
    pub(super) fn flush_returns(&mut self) {
        for report in self.borrowed.take_returns() {
            if report.unused {
                self.record_wasted(WastedMessage::LoanUnused);
            }
            let grant = |(target, count): &(_, u32)| Grant {
                target: self.targets.get(*target).name.clone(),
                count: *count,
            };
            let returned = report.returned.iter().map(grant).collect();
            let request = PeerRequest::Return {
                loan: report.key.loan,
                returned,
            };
            self.call_peer(
                CallPurpose::Return,
                report.key.lender,
                request,
                REPLY_TIMEOUT_MS,
            );
        }
    }
}
