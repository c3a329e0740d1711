//! Hands shards over to other hosts with the ledger's records of them, and receives
//! handovers.

use std::collections::BTreeMap;

use gannetridge_entry_wire::peer::{Handover, LedgerRecord, PeerReply, PeerRequest};
use gannetridge_entry_wire::{HostId, Submission, Time};
use gannetridge_wire::Name;

use super::calls::CallPurpose;
use super::timers::Timer;
use super::updates::PendingUpdate;
use super::Host;
use crate::action::TelemetryEvent;
use crate::event::{RequestToken, SendFailure};
use crate::ledger::Waiter;
use crate::ownership::HandoverDecision;

/// Timeout of the reply to a handover, in ms.
const HANDOVER_WAIT_MS: u64 = 1_000;
/// Wait before a handover with an unknown outcome is sent again, in ms.
pub(super) const HANDOVER_RETRY_MS: u64 = 100;
/// Wait before the row is read after a handover, in ms; gives the new holder time to
/// write it.
const ROW_READ_DELAY_MS: u64 = 50;
/// Wait after a declined or unsent handover, in ms.
const DECLINED_PAUSE_MS: u64 = 500;

/// A submission that waits for the end of its shard's handover.
#[derive(Debug)]
struct DeferredSubmission {
    shard: u16,
    waiter: Waiter,
    submission: Submission,
}

/// The handover in progress and the state that past ones left.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    current: Option<PendingHandover>,
    deferred: Vec<DeferredSubmission>,
    /// The addresses to which shards were handed over.
    pub(super) new_holders: BTreeMap<u16, Name>,
    /// Records that new holders haven't confirmed yet, by shard.
    pub(super) updates: BTreeMap<u16, PendingUpdate>,
    /// The row's version at the last handover; rebalancing waits for a newer one.
    last_handover_version: u64,
}

/// The handover in progress.
#[derive(Debug)]
struct PendingHandover {
    address: Name,
    handover: Box<Handover>,
    /// True once an attempt has an unknown outcome: the peer may have accepted.
    maybe_accepted: bool,
    /// True while a reply is pending. Of two attempts in flight at a time, one could
    /// fail and the other be accepted.
    reply_pending: bool,
}

impl Handovers {
    /// Defers a submission until its shard's handover has ended.
    pub(super) fn defer(&mut self, shard: u16, waiter: Waiter, submission: Submission) {
        self.deferred.push(DeferredSubmission {
            shard,
            waiter,
            submission,
        });
    }

    /// Returns true if no handover, submission or record is pending.
    pub(super) fn is_idle(&self) -> bool {
        self.current.is_none() && self.deferred.is_empty() && self.updates.is_empty()
    }
}

impl Host {
    /// Returns true if a peer could get a shard of this host, or gets one now.
    pub(super) fn can_hand_over(&self) -> bool {
        self.handovers.current.is_some() || self.ownership.next_handover(self.now).is_some()
    }

    /// Returns true if this shard is being handed over.
    pub(super) fn is_handing_over(&self, shard: u16) -> bool {
        let current = self.handovers.current.as_ref();
        current.is_some_and(|c| c.handover.shard == shard)
    }

    /// Starts the next handover, if a shard should move and none is in progress.
    pub(super) fn start_next_handover(&mut self) {
        if self.handovers.current.is_some() {
            return;
        }
        // Balance is computed from the row, so it must show the last handover.
        let version = self.ownership.version();
        if !self.stop.requested && self.handovers.last_handover_version == version {
            return;
        }
        let by_row = self.ownership.next_handover(self.now);
        let successor = self.successor_from_heartbeats();
        let (shard, to, address) = match (by_row, successor) {
            (Some((shard, member)), _) => (shard, member.id, member.address),
            (None, Some(successor)) => successor,
            (None, None) => return,
        };
        self.handovers.last_handover_version = version;
        let records = self.ledger.records_of(shard);
        let handover = Box::new(self.ownership.start_handover(shard, to, records, self.now));
        self.handovers.current = Some(PendingHandover {
            address,
            handover,
            maybe_accepted: false,
            reply_pending: false,
        });
        self.send_handover();
    }

    /// Returns a peer for a stopping host's shards from recent heartbeats. Used when the
    /// row, which may be outdated, names no live host.
    fn successor_from_heartbeats(&self) -> Option<(u16, HostId, Name)> {
        if !self.stop.requested {
            return None;
        }
        let shard = self.ownership.first_transferable_shard()?;
        let hall = &self.settings.hall;
        let mut hall_peers = self.peers.iter().filter(|(_, p)| p.hall == *hall);
        let recent_since = self.now.minus_millis(2 * self.settings.tuning.heartbeat_ms);
        let (address, peer) =
            hall_peers.find(|(_, p)| p.last_status >= recent_since && p.id.is_some())?;
        Some((shard, peer.id.clone()?, address.clone()))
    }

    /// Sends the handover in progress again, or starts the next.
    pub(super) fn continue_handover(&mut self) {
        if self.handovers.current.is_some() {
            self.send_handover();
        } else {
            self.start_next_handover();
        }
    }

    fn send_handover(&mut self) {
        let Some(current) = &mut self.handovers.current else {
            return;
        };
        if std::mem::replace(&mut current.reply_pending, true) {
            return;
        }
        let serial = current.handover.serial;
        let request = PeerRequest::Handover(current.handover.clone());
        let address = current.address.clone();
        self.call_peer(
            CallPurpose::Handover { serial },
            address,
            request,
            HANDOVER_WAIT_MS,
        );
    }

    pub(super) fn on_handover_reply(&mut self, serial: u64, reply: Result<PeerReply, SendFailure>) {
        let Some(current) = &mut self.handovers.current else {
            return;
        };
        if current.handover.serial != serial {
            return;
        }
        current.reply_pending = false;
        match reply {
            Ok(PeerReply::Done) => self.end_handover(true),
            // The peer gives the same reply to every copy of this serial.
            Ok(PeerReply::Declined) => self.end_handover(false),
            Err(SendFailure::NotSent) if !current.maybe_accepted => self.end_handover(false),
            // The addressed incarnation may have accepted before it ended, so the shard can't
            // be kept. It is taken over when this host's lease ends.
            Ok(PeerReply::NotAddressee) => self.end_handover(true),
            _ => {
                current.maybe_accepted = true;
                self.retry_handover();
            }
        }
    }

    fn retry_handover(&mut self) {
        let expired = self.handovers.current.as_ref().is_some_and(|c| {
            // Any right that the peer got has expired by then.
            self.now > c.handover.table_until.max(c.handover.heir_until)
        });
        if expired {
            self.end_handover(true);
        } else {
            self.set_timer_in(HANDOVER_RETRY_MS, Timer::Handover);
        }
    }

    fn end_handover(&mut self, handed_over: bool) {
        let Some(current) = self.handovers.current.take() else {
            return;
        };
        let shard = current.handover.shard;
        if handed_over {
            self.ownership.handover_completed(&current.handover);
            self.handovers.new_holders.insert(shard, current.address);
            self.record(TelemetryEvent::ShardReleased { shard });
            self.send_hall_heartbeats();
            self.set_timer_in(ROW_READ_DELAY_MS, Timer::ReadRow);
        } else {
            self.ownership.handover_declined(shard);
            if let Some(peer) = self.peers.get_mut(&current.address) {
                // Counts as silent, so that the next offer goes to another peer.
                peer.last_status = Time::ZERO;
            }
            self.set_timer_in(DECLINED_PAUSE_MS, Timer::Handover);
        }
        self.release_deferred(shard);
        if handed_over {
            self.start_next_handover();
        }
    }

    /// Routes the submissions that were deferred during a handover.
    pub(super) fn release_deferred(&mut self, shard: u16) {
        let deferred = std::mem::take(&mut self.handovers.deferred);
        for entry in deferred {
            if entry.shard == shard {
                self.route(entry.waiter, entry.submission);
            } else {
                self.handovers.deferred.push(entry);
            }
        }
    }

    /// Handles a handover from a peer.
    pub(super) fn on_handover(&mut self, token: RequestToken, mut handover: Handover) {
        let records = std::mem::take(&mut handover.records);
        let reply = match self.ownership.receive_handover(&handover, self.now) {
            HandoverDecision::Accepted => {
                self.handovers.new_holders.remove(&handover.shard);
                self.merge_records(records);
                self.record(TelemetryEvent::ShardAcquired {
                    shard: handover.shard,
                    epoch: handover.epoch.0,
                });
                self.send_hall_heartbeats();
                self.read_row();
                PeerReply::Done
            }
            HandoverDecision::Repeated => PeerReply::Done,
            HandoverDecision::Declined => PeerReply::Declined,
            HandoverDecision::NotAddressee => PeerReply::NotAddressee,
        };
        self.reply(token, reply);
    }

    /// Merges records of another host into the ledger, and sends the answers now due.
    pub(super) fn merge_records(&mut self, records: Vec<LedgerRecord>) {
        for record in records {
            let shard = record.submission.shard(&record.account).index;
            let Some(answers) = self.ledger.merge(shard, record.clone()) else {
                continue;
            };
            for (waiter, answer) in answers {
                self.answer(waiter, (*answer).clone());
            }
            // The shard may have been handed over to a third host since.
            if record.answer.is_some() {
                self.queue_update(shard, record);
            }
        }
    }
}
