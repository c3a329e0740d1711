//! An HTTP/1.1 client and server over `monoio`, with the limits that the codec doesn't set.
//!
//! The server refuses bodies without a single decimal length, heads and bodies over a
//! limit, and slow requests. It bounds the memory and the connections that all of its clients
//! take together. The client distinguishes requests that were never sent from
//! those that the server may have processed.

pub mod body;
mod body_rate;
pub mod client;
mod connection;
mod connections;
mod limits;
mod memory;
pub mod message;
mod polling;
mod pool;
mod refusals;
pub mod runtime;
pub mod server;

pub use body_rate::BodyRate;
pub use client::{CallError, Client, ClientLimits};
pub use connection::{out_of_memory, UNCOUNTED_BODY_BYTES};
pub use limits::{RequestLimits, ServerLimits, SharedLimits};
pub use memory::{MemoryPermit, MemoryQuota};
pub use message::{HttpReply, HttpRequest};
pub use refusals::{Refusal, RefusalCounts, RefusalKind, ServerRefusals};
pub use server::{bind, bind_for_clients, serve, Server, MAX_WAITING_CONNECTIONS};
