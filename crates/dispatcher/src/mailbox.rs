//! What other tasks send to the task that owns the dispatcher.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use gannetridge_dispatcher_core::decision::{EntryFault, StoreReading};
use gannetridge_dispatcher_core::message::{Envelope, Reply};
use gannetridge_dispatcher_core::{Answer, Dispatcher, Event, RequestId, StoreTable};
use local_sync::{mpsc::unbounded, oneshot};

use crate::metrics::Metrics;

/// Inspects the dispatcher and its metrics.
pub type Inspection = Box<dyn FnOnce(&Dispatcher, &Metrics)>;

/// What other tasks send to the task that owns the dispatcher.
pub enum Message {
    /// A caller's request, and where its answer goes.
    Caller {
        /// The request's id.
        request_id: RequestId,
        /// What the caller asks, as an event.
        event: Event,
        /// Where the answer goes.
        tx: oneshot::Sender<Answer>,
    },
    /// A peer's request.
    Peer {
        /// The request's id.
        request_id: RequestId,
        /// The request.
        envelope: Box<Envelope>,
        /// Where the reply goes.
        tx: oneshot::Sender<Box<Reply>>,
    },
    /// Something else that happened.
    Event(Event),
    /// The store answered, and what it said went before. Its age is reckoned when this is
    /// taken: the host may have been suspended since it was sent.
    StoreAnswered {
        /// The table that was read.
        table: StoreTable,
        /// The version up to which it is known.
        version: u64,
        /// When it was asked for, on the process's clock.
        asked: Duration,
    },
    /// Rows of the platform's tables said nothing that can be used.
    FaultyRows {
        /// What was wrong with them.
        fault: EntryFault,
        /// How many.
        count: u64,
    },
    /// Asks how the store is to be read, and where the answer goes.
    StoreState(oneshot::Sender<StoreState>),
    /// Asks to inspect the dispatcher.
    Inspect(Inspection),
}

/// How the platform's store is to be read.
#[derive(Clone, Copy, Debug)]
pub struct StoreState {
    /// Whether this host reads it at all.
    pub reading: StoreReading,
    /// The version up to which the configuration's table is known, 0 for none.
    pub configuration_version: u64,
    /// The version up to which the targets' table is known, 0 for none.
    pub targets_version: u64,
}

/// Sends messages to the task that owns the dispatcher.
pub type Sender = unbounded::Tx<Message>;

/// Gives each request an id of its own.
#[derive(Clone, Default)]
pub struct RequestIds(Rc<Cell<u64>>);

impl RequestIds {
    /// Returns an id that was never returned before.
    #[must_use]
    pub fn next(&self) -> RequestId {
        self.0.set(self.0.get() + 1);
        RequestId(self.0.get())
    }
}

/// Tells tasks that the host is stopping in order.
#[derive(Clone, Default)]
pub struct StopFlag(Rc<Cell<bool>>);

impl StopFlag {
    /// Records that the host is stopping.
    pub fn set(&self) {
        self.0.set(true);
    }

    /// Returns whether the host is stopping.
    #[must_use]
    pub fn is_set(&self) -> bool {
        self.0.get()
    }
}
