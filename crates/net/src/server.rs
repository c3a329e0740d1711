//! An HTTP server with one task per connection and limits on what its clients may take: heads,
//! bodies, times, connections and memory.
//!
//! This module accepts connections; `connection` serves each of them.

use std::cell::RefCell;
use std::collections::hash_map::Entry;
use std::collections::HashMap;
use std::future::Future;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use local_sync::semaphore::Semaphore;
use monoio::net::{ListenerOpts, TcpListener, TcpStream};
use tracing::debug;

use crate::connection::{refusal_of, serve_connection, too_many_connections, Context, Transport};
use crate::connections::{Connection, Connections};
use crate::limits::{ServerLimits, SharedLimits};
use crate::memory::MemoryQuota;
use crate::polling::yield_now;
use crate::refusals::{Refusal, RefusalCounts, ServerRefusals};
use crate::{HttpReply, HttpRequest};

/// The kernel's buffers of connections from clients, in bytes: what a client sends unread, or
/// leaves unread, takes no more of the machine's memory.
const CLIENT_SOCKET_BUFFER_BYTES: usize = 16 * 1024;
/// After so many connections in a row the server lets other tasks run.
const ACCEPTS_PER_TURN: usize = 16;
/// The pause after a connection couldn't be accepted, mostly for lack of descriptors.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(10);
/// The most connections beyond the limit that wait for a slot, or let their clients read a refusal.
pub const MAX_WAITING_CONNECTIONS: usize = 16;
/// How long a new connection waits for a slot while requests are handled on all others.
const SLOT_WAIT: Duration = Duration::from_millis(200);

/// Open connections by client address.
type ConnectionCounts = Rc<RefCell<HashMap<IpAddr, usize>>>;

/// Counts a connection of an address until it is dropped.
struct ConnectionGuard {
    counts: ConnectionCounts,
    ip: IpAddr,
}

impl ConnectionGuard {
    /// Counts a connection; returns `None` if its address has the most allowed.
    fn new(counts: &ConnectionCounts, ip: IpAddr, limit: usize) -> Option<Self> {
        let mut by_address = counts.borrow_mut();
        let count = by_address.entry(ip).or_default();
        if *count >= limit {
            return None;
        }
        *count += 1;
        Some(Self {
            counts: counts.clone(),
            ip,
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        // Addresses without connections take no memory.
        if let Entry::Occupied(mut count) = self.counts.borrow_mut().entry(self.ip) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }
}

/// Binds an address exclusively.
///
/// Hosts rely on this: a process that is bound to an address proves that the process
/// that was bound to it before has ended.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind(addr: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind_with_config(addr, &exclusive())
}

/// Binds an address as [`bind`] does. Its connections have small kernel buffers, since their
/// clients may send what isn't read.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub fn bind_for_clients(addr: SocketAddr) -> std::io::Result<TcpListener> {
    let opts = exclusive()
        .recv_buf_size(CLIENT_SOCKET_BUFFER_BYTES)
        .send_buf_size(CLIENT_SOCKET_BUFFER_BYTES);
    TcpListener::bind_with_config(addr, &opts)
}

fn exclusive() -> ListenerOpts {
    ListenerOpts::new().reuse_addr(true).reuse_port(false)
}

/// A server that hasn't started to accept connections.
pub struct Server {
    limits: SharedLimits,
    memory: MemoryQuota,
    connections: Connections,
    /// Bounds the connections beyond the limit, which wait for a slot or a refusal.
    waiting: Rc<Semaphore>,
    refusals: ServerRefusals,
    by_address: ConnectionCounts,
}

impl Server {
    /// Creates a server. It adds what it refuses to `refusals`.
    #[must_use]
    pub fn new(limits: SharedLimits, refusals: ServerRefusals) -> Self {
        let ServerLimits {
            connections,
            memory_bytes,
            ..
        } = limits.get();
        Self {
            limits,
            memory: MemoryQuota::new(memory_bytes),
            connections: Connections::new(connections),
            waiting: Rc::new(Semaphore::new(MAX_WAITING_CONNECTIONS)),
            refusals,
            by_address: ConnectionCounts::default(),
        }
    }

    /// Returns the quota of memory for bodies, from which handlers reserve what they decode.
    #[must_use]
    pub fn memory(&self) -> MemoryQuota {
        self.memory.clone()
    }

    /// Accepts connections until the task is dropped, and calls `handler` for each request. The
    /// handler's future is dropped if the client disconnects before the reply.
    pub async fn serve<H, F>(self, listener: TcpListener, handler: H)
    where
        H: Fn(HttpRequest) -> F + Clone + 'static,
        F: Future<Output = HttpReply> + 'static,
    {
        for number in 1_usize.. {
            if number % ACCEPTS_PER_TURN == 0 {
                yield_now().await;
            }
            let Ok((stream, peer)) = listener.accept().await else {
                // Frees a descriptor, if that is what is missing.
                self.connections.evict_longest_waiting();
                monoio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            let limit = self.limits.get().connections_per_address;
            let Some(guard) = ConnectionGuard::new(&self.by_address, peer.ip(), limit) else {
                debug!(%peer, "connection refused: too many from this address");
                self.refusals.add(Refusal::TooManyConnections);
                continue;
            };
            match self.connections.admit(SLOT_WAIT).await {
                Some(connection) => {
                    let task = self.task(stream, peer, guard, handler.clone());
                    monoio::spawn(task.run(connection));
                }
                None => self.wait_for_slot(self.task(stream, peer, guard, handler.clone())),
            }
        }
    }

    fn task<H>(
        &self,
        stream: TcpStream,
        peer: SocketAddr,
        guard: ConnectionGuard,
        handler: H,
    ) -> ConnectionTask<H> {
        ConnectionTask {
            transport: Transport::new(stream, self.limits.get().head_bytes),
            peer,
            limits: self.limits.clone(),
            memory: self.memory.clone(),
            refusals: self.refusals.clone(),
            handler,
            _guard: guard,
        }
    }

    /// Lets a new connection wait a moment for a slot, and refuses it if there is none. Too many
    /// that wait are closed at once.
    fn wait_for_slot<H, F>(&self, mut task: ConnectionTask<H>)
    where
        H: Fn(HttpRequest) -> F + 'static,
        F: Future<Output = HttpReply> + 'static,
    {
        let Ok(waiting) = self.waiting.clone().try_acquire_owned() else {
            self.refusals.add(Refusal::TooManyConnections);
            return;
        };
        let connections = self.connections.clone();
        monoio::spawn(async move {
            match connections.admit_next(SLOT_WAIT).await {
                Some(connection) => {
                    drop(waiting);
                    task.run(connection).await;
                }
                None => {
                    task.refusals.add(Refusal::TooManyConnections);
                    let reply = too_many_connections();
                    task.transport.refuse_and_drain(reply).await;
                }
            }
        });
    }
}

/// A connection and what it needs to be served.
struct ConnectionTask<H> {
    transport: Transport,
    peer: SocketAddr,
    limits: SharedLimits,
    memory: MemoryQuota,
    refusals: ServerRefusals,
    handler: H,
    _guard: ConnectionGuard,
}

impl<H> ConnectionTask<H> {
    /// Serves the connection until it is closed.
    async fn run<F>(self, connection: Connection)
    where
        H: Fn(HttpRequest) -> F,
        F: Future<Output = HttpReply>,
    {
        let context = Context {
            limits: self.limits,
            memory: self.memory,
            connection,
        };
        if let Err(error) = serve_connection(self.transport, context, self.handler).await {
            debug!(peer = %self.peer, %error, "connection ended");
            if let Some(refusal) = refusal_of(&error) {
                self.refusals.add(refusal);
            }
        }
    }
}

/// Serves as [`Server::serve`] does, with limits that don't change.
pub async fn serve<H, F>(listener: TcpListener, limits: ServerLimits, handler: H)
where
    H: Fn(HttpRequest) -> F + Clone + 'static,
    F: Future<Output = HttpReply> + 'static,
{
    let server = Server::new(limits.into(), RefusalCounts::default().of_server(""));
    server.serve(listener, handler).await;
}
