//! Idle connections, and which of them calls use again.
//!
//! [`Pool`] owns the idle connections of each address and knows the calls on reused ones
//! that have no reply yet. Connections may go silent without an end, all of an address at
//! once, while new ones work. An idle connection can't show that, so it isn't used any
//! more where another one gave cause for doubt:
//!
//! - a call on a reused connection timed out, and this one brought nothing since that
//!   call was sent;
//! - such a call is overdue ([`Pool::new`]), and this one brought nothing since.
//!
//! Guards against one time-out after the other: with 8 idle connections that went silent
//! 8 calls failed before one was served, now 1, and none but the overdue call itself where
//! calls may be overdue (`tests/silence.rs`).

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An idle connection.
struct Idle<C> {
    connection: C,
    last_reply: Instant,
}

/// The connections of one address.
struct Address<C> {
    idle: Vec<Idle<C>>,
    /// When the calls on reused connections were sent that have no reply yet.
    open: BTreeMap<u64, Instant>,
    /// Connections that brought nothing since then aren't used any more.
    silent_since: Option<Instant>,
}

impl<C> Default for Address<C> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            open: BTreeMap::new(),
            silent_since: None,
        }
    }
}

impl<C> Address<C> {
    /// Returns since when connections have to have brought something to be trusted, if
    /// there is doubt.
    fn doubted_since(&self, now: Instant, suspect_after: Option<Duration>) -> Option<Instant> {
        let overdue = suspect_after.and_then(|after| {
            let sent = self.open.values().copied();
            sent.filter(|sent| *sent + after <= now).max()
        });
        self.silent_since.max(overdue)
    }
}

struct State<C> {
    addresses: HashMap<SocketAddr, Address<C>>,
    last_call: u64,
    idle_per_address: usize,
    suspect_after: Option<Duration>,
}

/// Idle connections by address. Clones share them.
pub(crate) struct Pool<C>(Rc<RefCell<State<C>>>);

impl<C> Clone for Pool<C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

impl<C> Pool<C> {
    /// Creates a pool that keeps so many idle connections for each address. A call is
    /// overdue `suspect_after` it was sent, or never.
    pub(crate) fn new(idle_per_address: usize, suspect_after: Option<Duration>) -> Self {
        Self(Rc::new(RefCell::new(State {
            addresses: HashMap::new(),
            last_call: 0,
            idle_per_address,
            suspect_after,
        })))
    }

    /// Takes the connection that was used last, if it is trusted; closes those that
    /// aren't.
    pub(crate) fn take(&self, addr: SocketAddr, now: Instant) -> Option<C> {
        let mut state = self.0.borrow_mut();
        let suspect_after = state.suspect_after;
        let address = state.addresses.get_mut(&addr)?;
        if let Some(since) = address.doubted_since(now, suspect_after) {
            address.idle.retain(|idle| idle.last_reply >= since);
        }
        Some(address.idle.pop()?.connection)
    }

    /// Records a call; `reused` tells whether its connection was idle before.
    pub(crate) fn begin(&self, addr: SocketAddr, sent: Instant, reused: bool) -> OpenCall<C> {
        let mut state = self.0.borrow_mut();
        state.last_call += 1;
        let number = state.last_call;
        if reused {
            let address = state.addresses.entry(addr).or_default();
            address.open.insert(number, sent);
        }
        OpenCall {
            pool: self.clone(),
            addr,
            number,
            sent,
            reused,
        }
    }
}

/// A call that has no reply yet. It is over when this is dropped.
pub(crate) struct OpenCall<C> {
    pool: Pool<C>,
    addr: SocketAddr,
    number: u64,
    sent: Instant,
    reused: bool,
}

impl<C> OpenCall<C> {
    /// Records that its time is up. A new connection without a reply says nothing of the
    /// others.
    pub(crate) fn timed_out(&self) {
        if !self.reused {
            return;
        }
        let mut state = self.pool.0.borrow_mut();
        if let Some(address) = state.addresses.get_mut(&self.addr) {
            address.silent_since = address.silent_since.max(Some(self.sent));
        }
    }

    /// Records its reply, and keeps its connection unless there are enough.
    pub(crate) fn replied(&self, now: Instant, connection: C) {
        let mut state = self.pool.0.borrow_mut();
        let most = state.idle_per_address;
        let address = state.addresses.entry(self.addr).or_default();
        if address.idle.len() < most {
            address.idle.push(Idle {
                connection,
                last_reply: now,
            });
        }
    }
}

impl<C> Drop for OpenCall<C> {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        if let Some(address) = state.addresses.get_mut(&self.addr) {
            address.open.remove(&self.number);
        }
    }
}
