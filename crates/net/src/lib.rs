//! HTTP over `monoio` with the bounds that the codec leaves to its user.
//!
//! The server refuses what the codec would let through: bodies without a
//! single plain length, heads and bodies over a limit, slow requests. The
//! client tells a request that was never sent from one whose fate is unknown.

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
