//! The places of a server's connections, and which of them may be given to others.
//!
//! A connection that waits for its client, to receive a request or to send a reply, may be
//! evicted. One whose request is being handled keeps its place.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;

use local_sync::oneshot;
use local_sync::semaphore::{OwnedSemaphorePermit, Semaphore};

use crate::polling::poll_once;

/// Connections that wait for their clients; the least number has waited longest.
#[derive(Default)]
struct Waiting {
    last_number: u64,
    evict: BTreeMap<u64, oneshot::Sender<()>>,
}

/// The connections of a server. Clones share them.
#[derive(Clone)]
pub(crate) struct Connections {
    places: Rc<Semaphore>,
    waiting: Rc<RefCell<Waiting>>,
}

impl Connections {
    /// Creates `limit` places.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            places: Rc::new(Semaphore::new(limit)),
            waiting: Rc::default(),
        }
    }

    /// Takes a place, if need be that of the connection that has waited longest for its client.
    /// Returns `None` if all requests on all connections are being handled.
    pub(crate) async fn admit(&self) -> Option<Connection> {
        let place = match self.places.clone().try_acquire_owned() {
            Ok(place) => place,
            Err(_) if self.evict_longest_waiting() => {
                self.places.clone().acquire_owned().await.ok()?
            }
            Err(_) => return None,
        };
        Some(Connection {
            waiting: self.waiting.clone(),
            _place: place,
        })
    }

    /// Asks the connection that has waited longest for its client to close; returns false if none
    /// waits.
    pub(crate) fn evict_longest_waiting(&self) -> bool {
        let longest = self.waiting.borrow_mut().evict.pop_first();
        // The receiver lives as long as the entry.
        longest.is_some_and(|(_, tx)| tx.send(()).is_ok())
    }
}

/// A connection's place, returned when dropped.
pub(crate) struct Connection {
    waiting: Rc<RefCell<Waiting>>,
    _place: OwnedSemaphorePermit,
}

/// The connection has to close, because another one needs its place.
#[derive(Debug)]
pub(crate) struct Evicted;

impl Connection {
    /// Awaits a pinned future that depends on the client. Ends early if the connection is evicted.
    pub(crate) async fn wait_for_client<F: Future>(
        &self,
        mut future: Pin<&mut F>,
    ) -> Result<F::Output, Evicted> {
        if let Poll::Ready(output) = poll_once(future.as_mut()).await {
            return Ok(output);
        }
        let mut entry = WaitingEntry::new(&self.waiting);
        monoio::select! {
            biased;
            _ = &mut entry.evicted => Err(Evicted),
            output = future => Ok(output),
        }
    }
}

/// An entry of [`Waiting`], removed when dropped.
struct WaitingEntry {
    number: u64,
    waiting: Rc<RefCell<Waiting>>,
    evicted: oneshot::Receiver<()>,
}

impl WaitingEntry {
    fn new(waiting: &Rc<RefCell<Waiting>>) -> Self {
        let (tx, evicted) = oneshot::channel();
        let mut state = waiting.borrow_mut();
        state.last_number += 1;
        let number = state.last_number;
        state.evict.insert(number, tx);
        Self {
            number,
            waiting: waiting.clone(),
            evicted,
        }
    }
}

impl Drop for WaitingEntry {
    fn drop(&mut self) {
        self.waiting.borrow_mut().evict.remove(&self.number);
    }
}
