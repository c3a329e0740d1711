//! The process of one entry host: sockets around a [`gannetridge_entry_core::Host`].
//!
//! One task owns the host and its state. Tasks that own sockets send it
//! messages and wait for its replies; when the channel closes, they end.

pub mod calls;
pub mod clock;
pub mod core_task;
pub mod logging;
pub mod metrics;
pub mod operator_api;
pub mod peer_api;
pub mod problem;
pub mod public_api;
pub mod settings;
