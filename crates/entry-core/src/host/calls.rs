//! The host's calls to peers and to the table, its replies and its telemetry events.

use std::collections::HashMap;

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::TableOp;
use gannetridge_entry_wire::Answer;
use gannetridge_wire::Name;

use super::Host;
use crate::action::{Action, TelemetryEvent, WastedMessage};
use crate::event::{CallId, RequestToken};
use crate::ledger::Waiter;

/// The purpose of a call to a peer or to the table.
#[derive(Clone, Debug)]
pub(super) enum CallPurpose {
    Forward(u64),
    Heartbeat { address: Name },
    Borrow { address: Name },
    Return,
    Handover { serial: u64 },
    Update { shard: u16, tries: u32 },
    ConfigPull,
    ReadRow,
    WriteRow,
    ReadHalls,
    ReadHead,
    ReadConfig,
    ChangeRead(u64),
    ChangeWrite(u64),
}

/// The calls that have no reply yet.
#[derive(Debug, Default)]
pub(super) struct Calls {
    pub(super) pending: HashMap<CallId, CallPurpose>,
    /// The id of the last call.
    last_id: u64,
}

impl Host {
    /// Returns the id for a new call.
    pub(super) fn new_call(&mut self) -> CallId {
        self.calls.last_id += 1;
        CallId(self.calls.last_id)
    }

    pub(super) fn call_peer(
        &mut self,
        purpose: CallPurpose,
        address: Name,
        request: PeerRequest,
        wait_ms: u64,
    ) {
        let call = self.new_call();
        self.calls.pending.insert(call, purpose);
        self.actions.push(Action::Call {
            call,
            address,
            request,
            wait_ms,
        });
    }

    pub(super) fn call_table(&mut self, purpose: CallPurpose, op: TableOp) {
        let call = self.new_call();
        self.calls.pending.insert(call, purpose);
        self.actions.push(Action::Table { call, op });
    }

    pub(super) fn reply(&mut self, token: RequestToken, reply: PeerReply) {
        self.actions.push(Action::Reply { token, reply });
    }

    /// Sends an answer to the caller, or to the peer that forwarded the submission.
    pub(super) fn answer(&mut self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Caller(token) => self.actions.push(Action::Answer { token, answer }),
            Waiter::Peer(token) | Waiter::PeerRetry(token) => {
                let spare = self.lendable_slots();
                self.reply(token, PeerReply::Answer { answer, spare });
            }
        }
    }

    pub(super) fn record(&mut self, event: TelemetryEvent) {
        self.actions.push(Action::Telemetry(event));
    }

    pub(super) fn record_wasted(&mut self, message: WastedMessage) {
        self.record(TelemetryEvent::Wasted(message));
    }
}
