//! Reports the ends of jobs to the new holders of their shards, and fails submissions
//! whose job ran at a host that didn't report its end.
//!
//! Relies on `handover` for the address of each shard's new holder.

use std::sync::Arc;

use gannetridge_entry_wire::peer::{LedgerRecord, PeerReply, PeerRequest};
use gannetridge_entry_wire::{Answer, FailureCause, RunStatus};

use super::calls::CallPurpose;
use super::handover::HANDOVER_RETRY_MS;
use super::timers::Timer;
use super::Host;
use crate::event::SendFailure;
use crate::job::Job;
use crate::ledger::EntryState;

/// Timeout of the reply to an update, in ms.
const UPDATE_WAIT_MS: u64 = 500;
/// Wait before an update is sent again, in ms.
const UPDATE_RETRY_MS: u64 = 200;
/// Largest number of attempts to send an update.
const MAX_UPDATE_ATTEMPTS: u32 = 10;
/// Time after its deadline at which a job that runs at another host is failed, in ms.
const OTHER_HOST_GRACE_MS: u64 = 3_000;

/// The records to send to a shard's new holder.
#[derive(Debug, Default)]
pub(super) struct PendingUpdate {
    records: Vec<LedgerRecord>,
    /// The number of records, from the front, in the update in flight.
    in_flight: usize,
}

impl Host {
    /// Reports the end of a job to the new holder of its shard, if there is one.
    pub(super) fn report_job_end(&mut self, job: &Job, answer: &Answer) {
        let record = LedgerRecord {
            account: job.entry.account.clone(),
            submission: job.entry.submission.clone(),
            digest: job.submission.digest(),
            answer: Some(answer.clone()),
            attempt: self.ledger.get(&job.entry).map_or(0, |e| e.attempt),
            deadline: job.deadline,
        };
        self.queue_update(job.authority.shard, record);
    }

    /// Adds a record for a shard's new holder, if there is one, and schedules the update.
    pub(super) fn queue_update(&mut self, shard: u16, record: LedgerRecord) {
        if !self.is_handing_over(shard) && !self.handovers.new_holders.contains_key(&shard) {
            return;
        }
        let update = self.handovers.updates.entry(shard).or_default();
        update.records.push(record);
        if update.in_flight == 0 {
            self.set_timer_in(0, Timer::Update(shard, 0));
        }
    }

    /// Sends the pending records of a shard to its new holder; drops them after too many
    /// attempts, or if there is no new holder.
    pub(super) fn send_update(&mut self, shard: u16, tries: u32) {
        if self.is_handing_over(shard) {
            return self.set_timer_in(HANDOVER_RETRY_MS, Timer::Update(shard, tries));
        }
        let new_holder = self.handovers.new_holders.get(&shard).cloned();
        let (Some(address), true) = (new_holder, tries < MAX_UPDATE_ATTEMPTS) else {
            self.handovers.updates.remove(&shard);
            return;
        };
        let Some(update) = self.handovers.updates.get_mut(&shard) else {
            return;
        };
        if update.in_flight > 0 || update.records.is_empty() {
            return;
        }
        update.in_flight = update.records.len();
        let records = update.records.clone();
        let purpose = CallPurpose::Update { shard, tries };
        let request = PeerRequest::Update { records };
        self.call_peer(purpose, address, request, UPDATE_WAIT_MS);
    }

    pub(super) fn on_update_reply(
        &mut self,
        shard: u16,
        tries: u32,
        reply: Result<PeerReply, SendFailure>,
    ) {
        let Some(update) = self.handovers.updates.get_mut(&shard) else {
            return;
        };
        let sent = std::mem::take(&mut update.in_flight);
        if reply != Ok(PeerReply::Done) {
            return self.set_timer_in(UPDATE_RETRY_MS, Timer::Update(shard, tries + 1));
        }
        update.records.drain(..sent);
        if update.records.is_empty() {
            self.handovers.updates.remove(&shard);
        } else {
            self.set_timer_in(0, Timer::Update(shard, 0));
        }
    }

    /// Fails submissions whose job ran at another host and is long past its deadline.
    pub(super) fn fail_overdue_on_other_hosts(&mut self) {
        let before = self.now.minus_millis(OTHER_HOST_GRACE_MS);
        for key in self.ledger.overdue_on_other_hosts(before) {
            let answer = Answer::Failed {
                cause: FailureCause::OwnerLost,
                ran: RunStatus::Unknown,
            };
            let entry = self.ledger.get_mut(&key).expect("just listed");
            entry.state = EntryState::Ended(Arc::new(answer.clone()));
            let waiters = std::mem::take(&mut entry.waiters);
            for waiter in waiters {
                self.answer(waiter, answer.clone());
            }
        }
    }
}
