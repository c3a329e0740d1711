//! Idle connections, and the rules by which calls reuse them.
//!
//! [`Pool`] owns the idle connections of each address and records the calls on reused ones
//! that have no reply yet. All connections to an address may stop delivering data at once
//! without being closed, while new ones work. An idle connection doesn't show this, so it
//! becomes suspect, and is closed instead of reused, in two cases:
//!
//! - a call on a reused connection timed out, and the idle connection delivered no reply
//!   since that call was sent;
//! - a call on a reused connection is overdue ([`Pool::new`]), and the idle connection
//!   delivered no reply since that call was sent.
//!
//! Otherwise each dead idle connection would cost a timeout of its own.

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
    /// Calls on reused connections that have no reply yet: when each was sent, by number.
    pending: BTreeMap<u64, Instant>,
    /// When the latest call that timed out was sent.
    timed_out_call_sent: Option<Instant>,
}

impl<C> Default for Address<C> {
    fn default() -> Self {
        Self {
            idle: Vec::new(),
            pending: BTreeMap::new(),
            timed_out_call_sent: None,
        }
    }
}

impl<C> Address<C> {
    /// Returns the time before which an idle connection's last reply makes it suspect, if
    /// there is one.
    fn suspect_before(&self, now: Instant, suspect_after: Option<Duration>) -> Option<Instant> {
        let overdue = suspect_after.and_then(|after| {
            let sent = self.pending.values().copied();
            sent.filter(|sent| *sent + after <= now).max()
        });
        self.timed_out_call_sent.max(overdue)
    }
}

struct State<C> {
    addresses: HashMap<SocketAddr, Address<C>>,
    last_call_number: u64,
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
    /// Creates a pool that keeps at most `idle_per_address` idle connections for each
    /// address. A call is overdue once `suspect_after` has passed since it was sent; never,
    /// if that is `None`.
    pub(crate) fn new(idle_per_address: usize, suspect_after: Option<Duration>) -> Self {
        Self(Rc::new(RefCell::new(State {
            addresses: HashMap::new(),
            last_call_number: 0,
            idle_per_address,
            suspect_after,
        })))
    }

    /// Closes the address's suspect connections and takes the most recently used one of the
    /// others.
    pub(crate) fn take_idle(&self, addr: SocketAddr, now: Instant) -> Option<C> {
        let mut state = self.0.borrow_mut();
        let suspect_after = state.suspect_after;
        let address = state.addresses.get_mut(&addr)?;
        if let Some(limit) = address.suspect_before(now, suspect_after) {
            address.idle.retain(|idle| idle.last_reply >= limit);
        }
        Some(address.idle.pop()?.connection)
    }

    /// Records a call. `reused` is true if its connection was idle before.
    pub(crate) fn start_call(
        &self,
        addr: SocketAddr,
        sent: Instant,
        reused: bool,
    ) -> PendingCall<C> {
        let mut state = self.0.borrow_mut();
        state.last_call_number += 1;
        let number = state.last_call_number;
        if reused {
            let address = state.addresses.entry(addr).or_default();
            address.pending.insert(number, sent);
        }
        PendingCall {
            pool: self.clone(),
            addr,
            number,
            sent,
            reused,
        }
    }
}

/// A call that has no reply yet. Dropping it removes the call's record.
pub(crate) struct PendingCall<C> {
    pool: Pool<C>,
    addr: SocketAddr,
    number: u64,
    sent: Instant,
    reused: bool,
}

impl<C> PendingCall<C> {
    /// Records that the call timed out. On a new connection this has no effect: it doesn't
    /// show that the idle ones are dead.
    pub(crate) fn record_timeout(&self) {
        if !self.reused {
            return;
        }
        let mut state = self.pool.0.borrow_mut();
        if let Some(address) = state.addresses.get_mut(&self.addr) {
            address.timed_out_call_sent = address.timed_out_call_sent.max(Some(self.sent));
        }
    }

    /// Records the call's reply, and keeps its connection unless enough are idle.
    pub(crate) fn record_reply(&self, now: Instant, connection: C) {
        let mut state = self.pool.0.borrow_mut();
        let max_idle = state.idle_per_address;
        let address = state.addresses.entry(self.addr).or_default();
        if address.idle.len() < max_idle {
            address.idle.push(Idle {
                connection,
                last_reply: now,
            });
        }
    }
}

impl<C> Drop for PendingCall<C> {
    fn drop(&mut self) {
        let mut state = self.pool.0.borrow_mut();
        if let Some(address) = state.addresses.get_mut(&self.addr) {
            address.pending.remove(&self.number);
        }
    }
}
