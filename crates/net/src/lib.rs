//! An HTTP/1.1 client and server over `monoio`, with the limits that the codec doesn't set.
//!
//! The server refuses bodies without a single decimal length, heads and bodies over a
//! limit, and slow requests. The client distinguishes requests that were never sent from
//! those that the server may have processed.

pub mod body;
mod body_rate;
pub mod client;
pub mod message;
mod pool;
pub mod runtime;
pub mod server;

pub use body_rate::BodyRate;
pub use client::{CallError, Client, ClientLimits};
pub use message::{HttpReply, HttpRequest};
pub use server::{bind, serve, ServerLimits};
