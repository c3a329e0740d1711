//! Lends free slots to peers that request them, at once or when some become free.

use std::collections::BTreeMap;

use gannetridge_entry_wire::peer::{LendableSlots, PeerReply};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use super::timers::Timer;
use super::Host;
use crate::event::RequestToken;
use crate::settings::Placement;

/// A host keeps this fraction of its slots, `1 / RESERVED_DIVISOR`, from peers' tasks that
/// are over their quota.
const RESERVED_DIVISOR: u32 = 2;
/// Longest time for which a borrow request waits, in ms.
const MAX_WAIT_MS: u64 = 2_000;
/// Largest number of waiting borrow requests; further ones are answered at once.
const MAX_WAITING_REQUESTS: usize = 256;

/// A peer's request to borrow slots.
#[derive(Clone, Copy, Debug)]
pub(super) struct BorrowRequest {
    pub(super) token: RequestToken,
    pub(super) count: u32,
    pub(super) over_quota: bool,
    pub(super) due: Time,
    pub(super) wait_ms: u64,
}

/// Borrow requests that wait for slots, by priority.
#[derive(Debug, Default)]
pub(super) struct BorrowRequests {
    /// The key is (over quota, due time, token): requests within quotas go first.
    waiting: BTreeMap<(bool, Time, RequestToken), WaitingRequest>,
}

#[derive(Debug)]
struct WaitingRequest {
    count: u32,
    until: Time,
}

impl BorrowRequests {
    fn add(&mut self, request: BorrowRequest, until: Time) {
        let waiting = WaitingRequest {
            count: request.count,
            until,
        };
        let key = (request.over_quota, request.due, request.token);
        self.waiting.insert(key, waiting);
    }

    /// Returns true if the first request is for tasks over their quota, or `None` if no
    /// request waits.
    fn first_is_over_quota(&self) -> Option<bool> {
        let ((over_quota, ..), _) = self.waiting.first_key_value()?;
        Some(*over_quota)
    }

    fn pop_first(&mut self) -> Option<(RequestToken, u32)> {
        let ((.., token), request) = self.waiting.pop_first()?;
        Some((token, request.count))
    }

    /// Removes and returns the requests that have waited long enough.
    fn pop_expired(&mut self, now: Time) -> Vec<RequestToken> {
        let expired = self.waiting.iter().filter(|(_, r)| r.until <= now);
        let keys: Vec<_> = expired.map(|(key, _)| *key).collect();
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
        if !lends || self.stop.requested || self.queue.waiting_within_quota() > 0 {
            return 0;
        }
        let reserved = if over_quota {
            self.targets.own_capacity() / RESERVED_DIVISOR
        } else {
            0
        };
        self.targets.own_free().saturating_sub(reserved)
    }

    /// Returns the slots that this host reports as available to peers.
    pub(super) fn lendable_slots(&self) -> LendableSlots {
        LendableSlots {
            free: self.lendable(false),
            surplus: self.lendable(true),
            waits: self.queue.waiting_within_quota() > 0,
        }
    }

    /// Handles a peer's borrow request: lends at once what is available, or lets the
    /// request wait.
    pub(super) fn on_borrow(&mut self, from: &Name, request: BorrowRequest) {
        if let Some(peer) = self.peers.get_mut(from) {
            // A peer that borrows has nothing to lend.
            peer.lender.update(LendableSlots {
                free: 0,
                surplus: 0,
                waits: true,
            });
        }
        let wait_ms = request.wait_ms.min(MAX_WAIT_MS);
        let waits = wait_ms > 0
            && !self.stop.requested
            && self.borrow_requests.len() < MAX_WAITING_REQUESTS;
        let lendable = self.lendable(request.over_quota);
        if lendable > 0 || !waits {
            return self.lend(request.token, request.count.min(lendable));
        }
        let until = self.now.plus_millis(wait_ms);
        self.borrow_requests.add(request, until);
        self.timers.set(until, Timer::BorrowRequestsExpired);
    }

    /// Lends slots that have become free to the peers whose requests wait.
    pub(super) fn serve_borrow_requests(&mut self) {
        while let Some(over_quota) = self.borrow_requests.first_is_over_quota() {
            let lendable = self.lendable(over_quota);
            if lendable == 0 {
                return;
            }
            if let Some((token, count)) = self.borrow_requests.pop_first() {
                self.lend(token, count.min(lendable));
            }
        }
    }

    /// Answers the requests that have waited long enough.
    pub(super) fn answer_expired_borrow_requests(&mut self) {
        for token in self.borrow_requests.pop_expired(self.now) {
            self.lend(token, 0);
        }
    }

    /// Answers all waiting requests, since the host is stopping.
    pub(super) fn answer_all_borrow_requests(&mut self) {
        while let Some((token, _)) = self.borrow_requests.pop_first() {
            self.lend(token, 0);
        }
    }

    /// Lends `count` slots, or fewer if no more are free, and replies.
    fn lend(&mut self, token: RequestToken, count: u32) {
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
            spare: self.lendable_slots(),
        };
        self.reply(token, lent);
    }
}
