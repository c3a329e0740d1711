//! The slots of a server's connections, and which of them may be given to others.
//!
//! A connection that waits for its client, to receive a request or to send a reply, may be
//! evicted. One whose request is being handled keeps its slot until the reply is sent; if a new
//! connection is waiting for a slot by then, the reply is its last.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use local_sync::oneshot;
use local_sync::semaphore::{OwnedSemaphorePermit, Semaphore};

use crate::polling::{poll_once, within};

/// What is known of connections that wait.
#[derive(Default)]
struct State {
    last_number: u64,
    /// Connections that wait for their clients; the least number has waited longest.
    evict: BTreeMap<u64, oneshot::Sender<()>>,
    /// The number of new connections that wait for a slot.
    pending: usize,
    /// The number of slots that connections are about to return for them.
    promised: usize,
}

impl State {
    /// Asks the connection that has waited longest for its client to close; returns false if none
    /// waits.
    fn evict_longest_waiting(&mut self) -> bool {
        let longest = self.evict.pop_first();
        // The receiver lives as long as the entry.
        longest.is_some_and(|(_, tx)| tx.send(()).is_ok())
    }

    /// Returns true if a new connection waits to which no slot is promised.
    fn is_slot_wanted(&self) -> bool {
        self.promised < self.pending
    }
}

/// The connections of a server. Clones share them.
#[derive(Clone)]
pub(crate) struct Connections {
    slots: Rc<Semaphore>,
    state: Rc<RefCell<State>>,
}

impl Connections {
    /// Creates `limit` slots.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            slots: Rc::new(Semaphore::new(limit)),
            state: Rc::default(),
        }
    }

    /// Takes a free slot, or that of the connection that has waited longest for its client.
    /// Returns `None` if requests are being handled on all connections, or after `limit`.
    pub(crate) async fn admit(&self, limit: Duration) -> Option<Connection> {
        if let Ok(slot) = self.slots.clone().try_acquire_owned() {
            return Some(self.connection(slot));
        }
        if !self.evict_longest_waiting() {
            return None;
        }
        let pending = PendingAdmission::new(&self.state);
        self.state.borrow_mut().promised += 1;
        self.admit_pending(pending, limit).await
    }

    /// Takes the next slot that a connection returns once it has sent a reply, or waits for its
    /// client. Returns `None` if that takes longer than `limit`.
    pub(crate) async fn admit_next(&self, limit: Duration) -> Option<Connection> {
        let pending = PendingAdmission::new(&self.state);
        self.admit_pending(pending, limit).await
    }

    async fn admit_pending(
        &self,
        _pending: PendingAdmission,
        limit: Duration,
    ) -> Option<Connection> {
        let acquiring = pin!(self.slots.clone().acquire_owned());
        let slot = within(limit, acquiring).await.ok()?.ok()?;
        Some(self.connection(slot))
    }

    fn connection(&self, slot: OwnedSemaphorePermit) -> Connection {
        Connection {
            state: self.state.clone(),
            _slot: slot,
        }
    }

    /// Asks the connection that has waited longest for its client to close; returns false if none
    /// waits.
    pub(crate) fn evict_longest_waiting(&self) -> bool {
        self.state.borrow_mut().evict_longest_waiting()
    }
}

/// Counts a new connection that waits for a slot, until it is dropped.
struct PendingAdmission(Rc<RefCell<State>>);

impl PendingAdmission {
    fn new(state: &Rc<RefCell<State>>) -> Self {
        state.borrow_mut().pending += 1;
        Self(state.clone())
    }
}

impl Drop for PendingAdmission {
    fn drop(&mut self) {
        let mut state = self.0.borrow_mut();
        state.pending -= 1;
        state.promised = state.promised.saturating_sub(1);
    }
}

/// A connection's slot, returned when dropped.
pub(crate) struct Connection {
    state: Rc<RefCell<State>>,
    _slot: OwnedSemaphorePermit,
}

/// The connection has to close, because another one needs its slot.
#[derive(Debug)]
pub(crate) struct Evicted;

impl Connection {
    /// Returns true if the connection has to close after its present reply, since a new one waits
    /// for a slot.
    pub(crate) fn must_free_slot(&self) -> bool {
        let mut state = self.state.borrow_mut();
        let is_wanted = state.is_slot_wanted();
        state.promised += usize::from(is_wanted);
        is_wanted
    }

    /// Awaits a pinned future that depends on the client. Ends early if the connection is evicted.
    pub(crate) async fn wait_for_client<F: Future>(
        &self,
        mut future: Pin<&mut F>,
    ) -> Result<F::Output, Evicted> {
        if let Poll::Ready(output) = poll_once(future.as_mut()).await {
            return Ok(output);
        }
        let mut entry = WaitingEntry::new(&self.state);
        monoio::select! {
            biased;
            _ = &mut entry.evicted => Err(Evicted),
            output = future => Ok(output),
        }
    }
}

/// A connection that waits for its client, until it is dropped.
struct WaitingEntry {
    number: u64,
    state: Rc<RefCell<State>>,
    evicted: oneshot::Receiver<()>,
}

impl WaitingEntry {
    fn new(shared: &Rc<RefCell<State>>) -> Self {
        let (tx, evicted) = oneshot::channel();
        let mut state = shared.borrow_mut();
        state.last_number += 1;
        let number = state.last_number;
        state.evict.insert(number, tx);
        if state.is_slot_wanted() && state.evict_longest_waiting() {
            state.promised += 1;
        }
        Self {
            number,
            state: shared.clone(),
            evicted,
        }
    }
}

impl Drop for WaitingEntry {
    fn drop(&mut self) {
        self.state.borrow_mut().evict.remove(&self.number);
    }
}
