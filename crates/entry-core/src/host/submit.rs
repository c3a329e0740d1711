//! Handles submissions: answers them as the holder of their shard, or forwards them.
//!
//! A submission that the ledger knows gets the recorded answer; `accept` decides whether
//! a new one becomes a job.

use std::sync::Arc;

use gannetridge_entry_wire::answer::Refusal;
use gannetridge_entry_wire::peer::PeerReply;
use gannetridge_entry_wire::{Answer, FailureCause, Rejection, RunStatus, Submission};

use super::Host;
use crate::action::{TelemetryEvent, WastedMessage};
use crate::charts::ShardState;
use crate::keys::EntryKey;
use crate::ledger::{Entry, EntryState, Waiter};
use crate::ownership::Right;
use crate::retry::spread_ms;

/// Suggested wait before a caller asks again about a pending or refused submission, in
/// ms.
pub(super) const RETRY_AFTER_MS: u64 = 500;

impl Host {
    /// Routes a submission to the holder of its shard.
    pub(super) fn route(&mut self, waiter: Waiter, submission: Submission) {
        let shard = submission.id.shard(&submission.account);
        if shard.hall != self.settings.hall {
            return self.forward_or_redirect(waiter, submission);
        }
        match self.ownership.shard_state(shard.index) {
            ShardState::Held | ShardState::Acting => {
                self.handle_owned(waiter, submission, shard.index)
            }
            ShardState::HandingOver => self.handovers.defer(shard.index, waiter, submission),
            ShardState::Absent => self.forward_or_redirect(waiter, submission),
        }
    }

    /// Forwards a caller's submission; replies to a peer with another address to try.
    fn forward_or_redirect(&mut self, waiter: Waiter, submission: Submission) {
        match waiter {
            Waiter::Caller(_) => self.forward(waiter, submission),
            Waiter::Peer(token) | Waiter::PeerRetry(token) => {
                let shard = submission.id.shard(&submission.account);
                let candidates = self.directory.candidates(&shard);
                let others = candidates.into_iter();
                let address = others.into_iter().find(|a| *a != self.settings.address);
                self.reply(token, PeerReply::NotHolder { address });
            }
        }
    }

    /// Handles a submission of a shard that this host holds or acts for.
    pub(super) fn handle_owned(&mut self, waiter: Waiter, submission: Submission, shard: u16) {
        let key = EntryKey {
            account: submission.account.clone(),
            submission: submission.id.clone(),
        };
        if self.settings.safeguards.ledger && self.answer_from_ledger(waiter, &key, &submission) {
            return;
        }
        let Some(right) = self.ownership.acceptance_right(shard, self.now) else {
            let answer = self.no_owner_answer(waiter, &submission);
            return self.send_answer(waiter, &submission, answer);
        };
        if let Some(answer) = self.too_old_answer(&submission, right) {
            self.record_final_answer(key, shard, &submission, &answer);
            return self.answer(waiter, answer);
        }
        if self.config.version() == 0 {
            let answer = Answer::Refused {
                reason: Refusal::NotReady,
                retry_after_ms: spread_ms(&mut self.rng, RETRY_AFTER_MS),
            };
            return self.refuse_new(waiter, shard, &submission, answer);
        }
        match self.plan(key, shard, submission, right) {
            Ok(plan) => self.accept(waiter, plan),
            Err(reason) => self.answer(waiter, Answer::Rejected { reason }),
        }
    }

    /// Answers a submission from the ledger. Returns false if it has to be handled as new.
    fn answer_from_ledger(
        &mut self,
        waiter: Waiter,
        key: &EntryKey,
        submission: &Submission,
    ) -> bool {
        let Some(entry) = self.ledger.get_mut(key) else {
            return false;
        };
        if let EntryState::Refused = entry.state {
            if submission.attempt > entry.attempt {
                self.ledger.remove(key);
                return false;
            }
            let answer = Answer::Refused {
                reason: Refusal::Superseded,
                retry_after_ms: spread_ms(&mut self.rng, RETRY_AFTER_MS),
            };
            self.send_answer(waiter, submission, answer);
            return true;
        }
        if entry.digest != submission.digest() {
            let reason = Rejection::ContentsDiffer;
            self.answer(waiter, Answer::Rejected { reason });
            return true;
        }
        entry.attempt = entry.attempt.max(submission.attempt);
        match &entry.state {
            EntryState::Refused => unreachable!("handled above"),
            EntryState::Running(_) | EntryState::RunsOnOtherHost => entry.waiters.push(waiter),
            EntryState::Ended(answer) => {
                let answer = (**answer).clone();
                self.answer(waiter, answer);
            }
        }
        self.record_wasted(WastedMessage::Resubmitted);
        true
    }

    /// Returns the final answer to a submission that an earlier owner may have started, or
    /// whose id is too old to be started.
    fn too_old_answer(&self, submission: &Submission, right: Right) -> Option<Answer> {
        let created = submission.id.created();
        let failed = |cause| {
            Some(Answer::Failed {
                cause,
                ran: RunStatus::Unknown,
            })
        };
        if created <= right.cutoff && self.settings.safeguards.takeover_cutoff {
            return failed(FailureCause::OwnerLost);
        }
        let window_ms = self.settings.tuning.accept_window_ms;
        if created.plus_millis(window_ms) < self.now {
            return failed(FailureCause::Expired);
        }
        None
    }

    /// Adds a final answer to the ledger.
    fn record_final_answer(
        &mut self,
        key: EntryKey,
        shard: u16,
        submission: &Submission,
        end: &Answer,
    ) {
        let entry = Entry {
            shard,
            digest: submission.digest(),
            state: EntryState::Ended(Arc::new(end.clone())),
            attempt: submission.attempt,
            deadline: submission.deadline(),
            waiters: Vec::new(),
        };
        self.ledger.insert(key, entry);
    }

    /// Refuses a new submission as its shard's owner. The refusal also covers earlier
    /// attempts that are still in flight.
    pub(super) fn refuse_new(
        &mut self,
        waiter: Waiter,
        shard: u16,
        submission: &Submission,
        answer: Answer,
    ) {
        let key = EntryKey {
            account: submission.account.clone(),
            submission: submission.id.clone(),
        };
        let entry = Entry {
            shard,
            digest: submission.digest(),
            state: EntryState::Refused,
            attempt: submission.attempt,
            deadline: submission.deadline(),
            waiters: Vec::new(),
        };
        self.ledger.insert(key, entry);
        self.send_answer(waiter, submission, answer);
    }

    /// Sends an answer to a submission that didn't become a job here, and counts refusals.
    pub(super) fn send_answer(&mut self, waiter: Waiter, submission: &Submission, answer: Answer) {
        if matches!(answer, Answer::Refused { .. }) {
            let account = submission.account.clone();
            self.record(TelemetryEvent::Refused { account });
        }
        self.answer(waiter, answer);
    }

    /// Returns the answer to a submission whose shard has no known owner. It is `not run`
    /// only if no earlier attempt can have been started.
    pub(super) fn no_owner_answer(&mut self, waiter: Waiter, submission: &Submission) -> Answer {
        let retry_after_ms = spread_ms(&mut self.rng, RETRY_AFTER_MS);
        if matches!(waiter, Waiter::PeerRetry(_)) || !self.is_first_attempt(submission) {
            return Answer::Pending { retry_after_ms };
        }
        let reason = if self.config.version() == 0 {
            Refusal::NotReady
        } else {
            Refusal::NoOwner
        };
        Answer::Refused {
            reason,
            retry_after_ms,
        }
    }

    /// Returns true if no other attempt of the submission can exist: the caller marks it
    /// as the first, and its id is too recent for a resend.
    fn is_first_attempt(&self, submission: &Submission) -> bool {
        let tuning = &self.settings.tuning;
        let uncertainty_ms = tuning.caller_skew_ms + tuning.skew_ms;
        let no_resend_ms = tuning.min_resend_ms.saturating_sub(uncertainty_ms);
        let is_recent = self.now <= submission.id.created().plus_millis(no_resend_ms);
        let first = submission.attempt == 0 && is_recent;
        first || !self.settings.safeguards.first_attempt_check
    }
}
