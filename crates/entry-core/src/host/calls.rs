//! The host's calls to peers and to the table, its replies and its notes.

use std::collections::HashMap;

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest};
use gannetridge_entry_wire::platform::TableOp;
use gannetridge_entry_wire::Answer;
use gannetridge_wire::Name;

use super::Host;
use crate::action::{Action, Note, Waste};
use crate::event::{CallId, Token};
use crate::ledger::Waiter;

/// The purpose of a call to a peer or to the table.
#[derive(Clone, Debug)]
pub(super) enum Call {
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
    pub(super) open: HashMap<CallId, Call>,
    /// The id of the last call.
    last: u64,
}

impl Host {
    /// Returns the id for a new call.
    pub(super) fn new_call(&mut self) -> CallId {
        self.calls.last += 1;
        CallId(self.calls.last)
    }

    pub(super) fn call_peer(
        &mut self,
        purpose: Call,
        address: Name,
        request: PeerRequest,
        wait_ms: u64,
    ) {
        let call = self.new_call();
        self.calls.open.insert(call, purpose);
        self.out.push(Action::Call {
            call,
            address,
            request,
            wait_ms,
        });
    }

    pub(super) fn call_table(&mut self, purpose: Call, op: TableOp) {
        let call = self.new_call();
        self.calls.open.insert(call, purpose);
        self.out.push(Action::Table { call, op });
    }

    pub(super) fn reply(&mut self, token: Token, reply: PeerReply) {
        self.out.push(Action::Reply { token, reply });
    }

    /// Sends an answer to the caller, or to the peer that forwarded the submission.
    /// Sends an answer to the caller, or to the peer that forwarded the submission.
    pub(super) fn answer(&mut self, waiter: Waiter, answer: Answer) {
        match waiter {
            Waiter::Caller(token) => self.out.push(Action::Answer { token, answer }),
            Waiter::Peer(token) | Waiter::PeerAgain(token) => {
                let spare = self.spare();
                self.reply(token, PeerReply::Answer { answer, spare });
            }
        }
    }

    pub(super) fn note(&mut self, note: Note) {
        self.out.push(Action::Note(note));
    }

    pub(super) fn waste(&mut self, waste: Waste) {
        self.note(Note::Wasted(waste));
    }
}
