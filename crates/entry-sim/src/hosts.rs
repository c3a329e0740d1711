//! Entry hosts in the driver: their runs, their clocks, what they wait for.

use std::collections::{BTreeSet, HashMap, VecDeque};

use gannetridge_entry_core::{Action, CallId, Event, Host, Token};
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use crate::callers::RequestId;

/// One run of one host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RunOf {
    /// The host's number.
    pub host: usize,
    /// Its run.
    pub run: u32,
}

/// A call of one run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct CallOf {
    /// The run.
    pub run: RunOf,
    /// The call.
    pub call: CallId,
}

/// Who waits for a host's answer to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Asker {
    /// A caller.
    Caller(RequestId),
    /// A peer; none for the copy of a duplicated message.
    Peer(Option<CallOf>),
    /// An operator, and which of the operator's changes.
    Operator(u64),
}

/// What a call is for, and with it what its failure looks like.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallKind {
    /// To a peer.
    Peer,
    /// To a runner.
    Task,
    /// To the table.
    Table,
}

/// Whether a host's process does anything.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pulse {
    /// It runs.
    Runs,
    /// It is paused until a time.
    Frozen(Time),
    /// It is gone.
    Dead,
}

/// An entry host.
pub struct SimHost {
    /// Its name.
    pub name: Name,
    /// Its hall's number.
    pub hall: usize,
    /// Its address.
    pub address: Name,
    /// Its run.
    pub run: u32,
    /// Its decisions.
    pub core: Host,
    /// Whether it does anything.
    pub pulse: Pulse,
    /// True once it was asked to stop in order.
    pub stopping: bool,
    /// What came while it was paused.
    pub inbox: VecDeque<Event>,
    /// Actions that a pause has caught on their way out.
    pub held: Vec<Action>,
    /// True if the next actions are to be caught by a pause.
    pub freeze_next_us: Option<u64>,
    /// Its clock's offset, in µs.
    pub offset_us: i64,
    /// When its next tick is planned.
    pub tick_at: Option<Time>,
    /// Requests that it hasn't answered.
    pub askers: HashMap<Token, Asker>,
    /// Requests of callers that it has read.
    pub read: BTreeSet<Token>,
    /// Calls that have no reply yet.
    pub open: HashMap<CallId, CallKind>,
    /// The last token.
    pub last_token: u64,
    /// The greatest version of the configuration in force so far.
    pub config_version: u64,
}

impl SimHost {
    /// Returns this run.
    #[must_use]
    pub fn run_of(&self, host: usize) -> RunOf {
        RunOf {
            host,
            run: self.run,
        }
    }

    /// Makes a token for a request.
    pub fn token(&mut self, asker: Asker) -> Token {
        self.last_token += 1;
        let token = Token(self.last_token);
        self.askers.insert(token, asker);
        token
    }

    /// Returns the time on the host's clock.
    #[must_use]
    pub fn clock(&self, now: Time) -> Time {
        shift(now, self.offset_us)
    }
}

/// Returns a time on a clock with an offset.
#[must_use]
pub fn shift(time: Time, offset_us: i64) -> Time {
    Time(time.0.saturating_add_signed(offset_us))
}
