//! Gives shards to other hosts, with all that is remembered of them.

use std::collections::BTreeMap;

use gannetridge_entry_wire::peer::{Handover, LedgerRecord, PeerReply, PeerRequest};
use gannetridge_entry_wire::{HostId, Submission, Time};
use gannetridge_wire::Name;

use super::calls::Call;
use super::timers::Timer;
use super::updates::PendingUpdate;
use super::Host;
use crate::action::Note;
use crate::event::{SendFailure, Token};
use crate::ledger::Waiter;
use crate::ownership::Acceptance;

/// How long the reply to a handover is awaited, in ms; chosen, not
/// measured.
const HANDOVER_WAIT_MS: u64 = 1_000;
/// Pause before a handover whose fate is unknown is sent again, in ms; chosen, not
/// measured.
pub(super) const HANDOVER_RETRY_MS: u64 = 100;
/// Time that the new holder usually needs to write the table, in ms.
const SETTLE_MS: u64 = 50;
/// Pause after a handover was declined, in ms; chosen, not
/// measured.
const DECLINED_PAUSE_MS: u64 = 500;

/// A submission that waits for its shard's handover to end.
#[derive(Debug)]
struct Parked {
    shard: u16,
    waiter: Waiter,
    submission: Submission,
}

/// Handovers on their way, and what was handed over.
#[derive(Debug, Default)]
pub(super) struct Handovers {
    current: Option<Current>,
    parked: Vec<Parked>,
    /// Where shards went whose jobs may still end here.
    pub(super) heirs: BTreeMap<u16, Name>,
    /// Records that an heir hasn't confirmed yet.
    pub(super) updates: BTreeMap<u16, PendingUpdate>,
    /// The row's version at the last handover that wasn't for a stop.
    balanced_at: u64,
}

#[derive(Debug)]
struct Current {
    address: Name,
    handover: Box<Handover>,
    /// True once the peer may have accepted.
    sent: bool,
    /// True while a reply is awaited. Two sendings at a time could end in one
    /// that fails and one that is accepted.
    awaited: bool,
}

impl Handovers {
    pub(super) fn park(&mut self, shard: u16, waiter: Waiter, submission: Submission) {
        self.parked.push(Parked {
            shard,
            waiter,
            submission,
        });
    }

    /// Tells whether nothing is on its way or waits.
    pub(super) fn is_idle(&self) -> bool {
        self.current.is_none() && self.parked.is_empty() && self.updates.is_empty()
    }
}

impl Host {
    /// Tells whether some peer could take this host's shards.
    pub(super) fn can_hand_over(&self) -> bool {
        self.handovers.current.is_some() || self.ownership.surplus(self.now).is_some()
    }

    /// Tells whether this shard is on its way to another host.
    pub(super) fn is_handing_over(&self, shard: u16) -> bool {
        let current = self.handovers.current.as_ref();
        current.is_some_and(|c| c.handover.shard == shard)
    }

    /// Offers the next shard that should go elsewhere.
    pub(super) fn offer_next(&mut self) {
        if self.handovers.current.is_some() {
            return;
        }
        // The row must show the last handover before the next is worth it.
        let version = self.ownership.version();
        if !self.stop.asked && self.handovers.balanced_at == version {
            return;
        }
        let surplus = self.ownership.surplus(self.now);
        let heir = self.heir_in_outage();
        let (shard, to, address) = match (surplus, heir) {
            (Some((shard, member)), _) => (shard, member.id, member.address),
            (None, Some(heir)) => heir,
            (None, None) => return,
        };
        self.handovers.balanced_at = version;
        let records = self.ledger.records_of(shard);
        let handover = Box::new(self.ownership.offer(shard, to, records, self.now));
        self.handovers.current = Some(Current {
            address,
            handover,
            sent: false,
            awaited: false,
        });
        self.send_handover();
    }

    /// Finds a host for a stopping host's shards when the row names none that
    /// is alive: it may not have been written for long.
    fn heir_in_outage(&self) -> Option<(u16, HostId, Name)> {
        if !self.stop.asked {
            return None;
        }
        let shard = self.ownership.first_to_give()?;
        let hall = &self.settings.hall;
        let mut near = self.peers.iter().filter(|(_, p)| p.hall == *hall);
        let lately = self.now.minus_millis(2 * self.settings.tuning.heartbeat_ms);
        let (address, peer) = near.find(|(_, p)| p.heard >= lately && p.id.is_some())?;
        Some((shard, peer.id.clone()?, address.clone()))
    }

    /// Sends the handover under way again, or begins the next.
    pub(super) fn continue_handover(&mut self) {
        if self.handovers.current.is_some() {
            self.send_handover();
        } else {
            self.offer_next();
        }
    }

    fn send_handover(&mut self) {
        let Some(current) = &mut self.handovers.current else {
            return;
        };
        if std::mem::replace(&mut current.awaited, true) {
            return;
        }
        let serial = current.handover.serial;
        let request = PeerRequest::Handover(current.handover.clone());
        let address = current.address.clone();
        self.call_peer(
            Call::Handover { serial },
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
        current.awaited = false;
        match reply {
            Ok(PeerReply::Done) => self.end_handover(true),
            // The peer remembers its first reply to this serial.
            Ok(PeerReply::Declined) => self.end_handover(false),
            Err(SendFailure::NotSent) if !current.sent => self.end_handover(false),
            // The peer may have accepted and be gone: the shard can't be
            // taken back. It is taken over when this host's lease ends.
            Ok(PeerReply::NotAddressee) => self.end_handover(true),
            _ => {
                current.sent = true;
                self.retry_handover();
            }
        }
    }

    fn retry_handover(&mut self) {
        let lost = self.handovers.current.as_ref().is_some_and(|c| {
            // Whatever the peer accepted has ended by then.
            self.now > c.handover.table_until.max(c.handover.heir_until)
        });
        if lost {
            self.end_handover(true);
        } else {
            self.after(HANDOVER_RETRY_MS, Timer::Handover);
        }
    }

    fn end_handover(&mut self, passed: bool) {
        let Some(current) = self.handovers.current.take() else {
            return;
        };
        let shard = current.handover.shard;
        if passed {
            self.ownership.passed(&current.handover);
            self.handovers.heirs.insert(shard, current.address);
            self.note(Note::ShardReleased { shard });
            self.announce();
            self.after(SETTLE_MS, Timer::ReadRow);
        } else {
            self.ownership.declined(shard);
            if let Some(peer) = self.peers.get_mut(&current.address) {
                // Not heard, so that the next offer looks elsewhere.
                peer.heard = Time::ZERO;
            }
            self.after(DECLINED_PAUSE_MS, Timer::Handover);
        }
        self.release_parked(shard);
        if passed {
            self.offer_next();
        }
    }

    /// Routes the submissions that waited for a handover.
    pub(super) fn release_parked(&mut self, shard: u16) {
        let parked = std::mem::take(&mut self.handovers.parked);
        for p in parked {
            if p.shard == shard {
                self.route(p.waiter, p.submission);
            } else {
                self.handovers.parked.push(p);
            }
        }
    }

    /// Takes a shard that a peer hands over.
    pub(super) fn on_handover(&mut self, token: Token, mut handover: Handover) {
        let records = std::mem::take(&mut handover.records);
        let reply = match self.ownership.accept(&handover, self.now) {
            Acceptance::Accepted => {
                self.handovers.heirs.remove(&handover.shard);
                self.merge_records(records);
                self.note(Note::ShardAcquired {
                    shard: handover.shard,
                    epoch: handover.epoch.0,
                });
                self.announce();
                self.read_row();
                PeerReply::Done
            }
            Acceptance::Repeated => PeerReply::Done,
            Acceptance::Declined => PeerReply::Declined,
            Acceptance::NotAddressee => PeerReply::NotAddressee,
        };
        self.reply(token, reply);
    }

    pub(super) fn merge_records(&mut self, records: Vec<LedgerRecord>) {
        for record in records {
            let shard = record.submission.shard(&record.account).index;
            let Some(answers) = self.ledger.merge(shard, record.clone()) else {
                continue;
            };
            for (waiter, answer) in answers {
                self.answer(waiter, (*answer).clone());
            }
            // The shard may have gone on to a third host meanwhile.
            if record.answer.is_some() {
                self.queue_update(shard, record);
            }
        }
    }
}
