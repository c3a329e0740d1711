//! Forwards callers' submissions to the holder of their shard.

use std::collections::BTreeMap;

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::{Answer, ShardId, Submission};
use gannetridge_wire::Name;

use super::calls::CallPurpose;
use super::timers::Timer;
use super::Host;
use crate::action::WastedMessage;
use crate::charts::ShardState;
use crate::event::SendFailure;
use crate::ledger::Waiter;
use crate::retry::{backoff_ms, spread_ms};
use crate::seen::SeenRequests;

/// Largest number of rounds over all hosts that may hold the shard.
const MAX_ROUNDS: u32 = 4;
/// Base of the backoff between rounds, in ms.
const BACKOFF_BASE_MS: u64 = 30;
/// Longest backoff between rounds, in ms.
const MAX_BACKOFF_MS: u64 = 500;
/// Time after a job's deadline for which its answer is awaited, in ms.
const ANSWER_GRACE_MS: u64 = 2_000;

/// A submission that is being forwarded.
#[derive(Debug)]
pub(super) struct Forward {
    waiter: Waiter,
    submission: Submission,
    shard: ShardId,
    tried: Vec<Name>,
    rounds: u32,
    /// True once a host may have handled the submission without its reply having come.
    maybe_handled: bool,
}

/// The submissions being forwarded, and the forwarded ones that were received.
#[derive(Debug, Default)]
pub(super) struct Forwards {
    pub(super) pending: BTreeMap<u64, Forward>,
    /// The key of the last submission forwarded.
    pub(super) last_key: u64,
    /// The serial of the last forwarding request.
    pub(super) last_serial: u64,
    /// Forwarding requests received from other hosts.
    pub(super) seen: SeenRequests,
}

impl Host {
    /// Starts to forward a submission.
    pub(super) fn forward(&mut self, waiter: Waiter, submission: Submission) {
        self.forwards.last_key += 1;
        let forward = Forward {
            waiter,
            shard: submission.id.shard(&submission.account),
            submission,
            tried: Vec::new(),
            rounds: 0,
            maybe_handled: false,
        };
        self.forwards
            .pending
            .insert(self.forwards.last_key, forward);
        self.forward_next(self.forwards.last_key, None);
    }

    /// Sends a submission to the next host that may hold its shard, `hint` first.
    fn forward_next(&mut self, key: u64, hint: Option<Name>) {
        let Some(forward) = self.forwards.pending.get_mut(&key) else {
            return;
        };
        let own_address = &self.settings.address;
        let untried = |a: &Name| a != own_address && !forward.tried.contains(a);
        let known = self.directory.candidates(&forward.shard);
        let next = hint.into_iter().chain(known).find(untried);
        let Some(address) = next else {
            return self.end_round(key);
        };
        forward.tried.push(address.clone());
        let submission = forward.submission.clone();
        let left_ms = submission.deadline().millis_since(self.now);
        self.forwards.last_serial += 1;
        let request = PeerRequest::Submit {
            from: self.settings.id.clone(),
            serial: self.forwards.last_serial,
            again: forward.maybe_handled,
            submission,
        };
        let wait_ms = left_ms + ANSWER_GRACE_MS;
        self.call_peer(CallPurpose::Forward(key), address, request, wait_ms);
    }

    /// Ends a round without a holder: waits for the next round if there is time, or
    /// answers the caller.
    fn end_round(&mut self, key: u64) {
        let forward = self
            .forwards
            .pending
            .get_mut(&key)
            .expect("the caller looked it up");
        forward.rounds += 1;
        forward.tried.clear();
        let rounds = forward.rounds;
        let wait_ms = backoff_ms(&mut self.rng, rounds, BACKOFF_BASE_MS, MAX_BACKOFF_MS);
        let deadline = self.forwards.pending[&key].submission.deadline();
        let hall = self.forwards.pending[&key].shard.hall.clone();
        let in_time = self.now.plus_millis(wait_ms) < deadline;
        if rounds < MAX_ROUNDS && in_time && self.budget.try_spend(self.now) {
            self.read_hall(&hall);
            self.set_timer_in(wait_ms, Timer::Forward(key));
            return;
        }
        let forward = self
            .forwards
            .pending
            .remove(&key)
            .expect("the caller looked it up");
        let answer = if forward.maybe_handled {
            let retry_after_ms = spread_ms(&mut self.rng, MAX_BACKOFF_MS);
            Answer::Pending { retry_after_ms }
        } else {
            self.no_owner_answer(forward.waiter, &forward.submission)
        };
        self.send_answer(forward.waiter, &forward.submission, answer);
    }

    /// Starts the next round, or handles the submission here if this host has got the
    /// shard meanwhile.
    pub(super) fn resume_forward(&mut self, key: u64) {
        let Some(forward) = self.forwards.pending.get(&key) else {
            return;
        };
        let here = forward.shard.hall == self.settings.hall
            && self.ownership.shard_state(forward.shard.index) != ShardState::Absent;
        if here {
            let forward = self.forwards.pending.remove(&key).expect("looked up above");
            self.route(forward.waiter, forward.submission);
        } else {
            self.forward_next(key, None);
        }
    }

    pub(super) fn on_forward_reply(&mut self, key: u64, reply: Result<PeerReply, SendFailure>) {
        let Some(forward) = self.forwards.pending.get_mut(&key) else {
            return;
        };
        match reply {
            Ok(PeerReply::Answer { answer, spare }) => {
                let forward = self.forwards.pending.remove(&key).expect("looked up above");
                if let Some(peer) = forward.tried.last().and_then(|a| self.peers.get_mut(a)) {
                    peer.lender.update(spare);
                }
                self.send_answer(forward.waiter, &forward.submission, answer);
            }
            Ok(PeerReply::NotHolder { address }) => {
                self.record_wasted(WastedMessage::Misrouted);
                self.forward_next(key, address);
            }
            Ok(_) | Err(SendFailure::NotSent) => {
                if let Some(address) = forward.tried.last() {
                    let address = address.clone();
                    self.directory
                        .remove_report(&forward.shard.clone(), &address);
                }
                self.record_wasted(WastedMessage::Lost);
                self.forward_next(key, None);
            }
            Err(SendFailure::Unknown) => {
                // The holder's ledger makes a repeated attempt safe.
                forward.maybe_handled = true;
                self.record_wasted(WastedMessage::Lost);
                self.end_round(key);
            }
        }
    }
}
