//! The messages that other tasks send to the task that owns the dispatcher.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gannetridge_dispatcher_core::decision::{EntryFault, StoreReading};
use gannetridge_dispatcher_core::message::{Envelope, Reply};
use gannetridge_dispatcher_core::{Answer, Dispatcher, Event, RequestId, StoreTable};
use gannetridge_net::MemoryPermit;
use local_sync::{mpsc::unbounded, oneshot};

use crate::metrics::Metrics;

/// A closure that reads the dispatcher and its metrics, run by the task that owns them.
pub type Inspection = Box<dyn FnOnce(&Dispatcher, &Metrics)>;

/// A message to the task that owns the dispatcher.
pub enum Message {
    /// A caller's request.
    Caller {
        /// Identifies the request in the answer.
        request_id: RequestId,
        /// The request as an event.
        event: Event,
        /// The memory of the event, reserved until the dispatcher has handled it.
        memory: MemoryPermit,
        /// Receives the answer.
        tx: oneshot::Sender<Answer>,
    },
    /// A peer's request.
    Peer {
        /// Identifies the request in the reply.
        request_id: RequestId,
        /// The request with its sender.
        envelope: Box<Envelope>,
        /// Receives the reply; dropped without one if the request is ignored.
        tx: oneshot::Sender<Box<Reply>>,
    },
    /// Any other event for the dispatcher.
    Event(Event),
    /// The store answered; events with the rows precede this message. The answer's age is
    /// computed when the message is received, since the host may be suspended in between.
    StoreAnswered {
        /// The table that was read.
        table: StoreTable,
        /// The version up to which the table is known.
        version: u64,
        /// When the read was sent, on the process's clock.
        requested_at: Duration,
    },
    /// Rows of the platform's tables can't be decoded.
    FaultyRows {
        /// The reason, common to all of them.
        fault: EntryFault,
        /// The number of rows.
        count: u64,
    },
    /// Requests how the store is to be read.
    StoreState(oneshot::Sender<StoreState>),
    /// Runs a closure on the dispatcher and its metrics.
    Inspect(Inspection),
}

/// How the platform's store is to be read.
#[derive(Clone, Copy, Debug)]
pub struct StoreState {
    /// How this host learns the store's contents: by reading it or from peers.
    pub reading: StoreReading,
    /// The version up to which the configuration table is known, 0 for none.
    pub configuration_version: u64,
    /// The version up to which the table of targets is known, 0 for none.
    pub targets_version: u64,
}

/// Sends messages to the task that owns the dispatcher.
pub type Sender = unbounded::Tx<Message>;

/// Generates request ids that are unique within the process. Clones share the counter.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<Cell<u64>>);

impl RequestIds {
    /// Returns an unused id.
    #[must_use]
    pub fn next(&self) -> RequestId {
        self.0.set(self.0.get() + 1);
        RequestId(self.0.get())
    }
}

/// A flag, shared by its clones, that the host is shutting down gracefully.
#[derive(Clone, Default)]
pub struct StopFlag(Rc<Cell<bool>>);

impl StopFlag {
    /// Sets the flag, for good.
    pub fn set(&self) {
        self.0.set(true);
    }

    /// Returns true once the host is shutting down.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}
