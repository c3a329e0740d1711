//! Dispatches peers' requests and replies to the modules that handle them.

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};

use super::calls::Call;
use super::lend::Question;
use super::Host;
use crate::event::{CallId, SendFailure, Token};
use crate::ledger::Waiter;

impl Host {
    pub(super) fn on_peer_reply(&mut self, call: CallId, reply: Result<PeerReply, SendFailure>) {
        let Some(purpose) = self.calls.open.remove(&call) else {
            return;
        };
        match purpose {
            Call::Forward(forward) => self.on_forwarded(forward, reply),
            Call::Heartbeat { address } => self.on_heartbeat_reply(&address, reply),
            Call::Borrow { address } => self.on_lent(address, reply),
            Call::Handover { serial } => self.on_handover_reply(serial, reply),
            Call::Update { shard, tries } => self.on_update_reply(shard, tries, reply),
            Call::ConfigPull => self.on_config_pulled(reply),
            // If the return is lost, the lender reclaims the slots once the loan is overdue.
            Call::Return => {}
            Call::ReadRow
            | Call::WriteRow
            | Call::ReadHalls
            | Call::ReadHead
            | Call::ReadConfig
            | Call::ChangeRead(_)
            | Call::ChangeWrite(_) => unreachable!("peers don't answer for the table"),
        }
    }

    pub(super) fn on_peer(&mut self, token: Token, request: PeerRequest) {
        match request {
            PeerRequest::Submit {
                from,
                serial,
                again,
                submission,
            } => {
                if self.forwards.seen.is_new((from, serial), self.now) {
                    let waiter = if again {
                        Waiter::PeerAgain(token)
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
                let question = Question {
                    token,
                    count,
                    over_quota,
                    due,
                    wait_ms,
                };
                self.on_borrow(&from, question);
            }
            PeerRequest::Return { loan, returned } => {
                self.lent.returned(&mut self.targets, loan, &returned);
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
