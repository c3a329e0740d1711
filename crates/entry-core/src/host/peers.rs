//! Dispatches peers' requests and replies to the modules that handle them.

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};

use super::calls::CallPurpose;
use super::lend::BorrowRequest;
use super::Host;
use crate::event::{CallId, RequestToken, SendFailure};
use crate::ledger::Waiter;

impl Host {
    pub(super) fn on_peer_reply(&mut self, call: CallId, reply: Result<PeerReply, SendFailure>) {
        let Some(purpose) = self.calls.pending.remove(&call) else {
            return;
        };
        match purpose {
            CallPurpose::Forward(forward) => self.on_forward_reply(forward, reply),
            CallPurpose::Heartbeat { address } => self.on_heartbeat_reply(&address, reply),
            CallPurpose::Borrow { address } => self.on_borrow_reply(address, reply),
            CallPurpose::Handover { serial } => self.on_handover_reply(serial, reply),
            CallPurpose::Update { shard, tries } => self.on_update_reply(shard, tries, reply),
            CallPurpose::ConfigPull => self.on_config_pulled(reply),
            // If the return is lost, the lender reclaims the slots once the loan is overdue.
            CallPurpose::Return => {}
            CallPurpose::ReadRow
            | CallPurpose::WriteRow
            | CallPurpose::ReadHalls
            | CallPurpose::ReadHead
            | CallPurpose::ReadConfig
            | CallPurpose::ChangeRead(_)
            | CallPurpose::ChangeWrite(_) => {
                unreachable!("a call to the table gets no reply from a peer")
            }
        }
    }

    pub(super) fn on_peer(&mut self, token: RequestToken, request: PeerRequest) {
        match request {
            PeerRequest::Submit {
                from,
                serial,
                again,
                submission,
            } => {
                if self.forwards.seen.insert((from, serial), self.now) {
                    let waiter = if again {
                        Waiter::PeerRetry(token)
                    } else {
                        Waiter::Peer(token)
                    };
                    self.route(waiter, submission);
                } else {
                    self.reply(token, PeerReply::NotHolder { address: None });
                }
            }
            PeerRequest::Heartbeat { status, promises } => {
                self.on_heartbeat(token, status, &promises);
            }
            PeerRequest::Borrow {
                from,
                count,
                over_quota,
                due,
                wait_ms,
            } => {
                let borrow = BorrowRequest {
                    token,
                    count,
                    over_quota,
                    due,
                    wait_ms,
                };
                self.on_borrow(&from, borrow);
            }
            PeerRequest::Return { loan, returned } => {
                self.lent.record_returns(&mut self.targets, loan, &returned);
                self.reply(token, PeerReply::Done);
            }
            PeerRequest::Handover(handover) => self.on_handover(token, *handover),
            PeerRequest::Update { records } => {
                self.merge_records(records);
                self.reply(token, PeerReply::Done);
            }
            PeerRequest::ConfigPull { have, want_list } => {
                self.on_config_pull(token, have, want_list);
            }
        }
    }
}
