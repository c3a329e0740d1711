//! The process of an entry host: network, clock, log and metrics around a
//! [`gannetridge_entry_core::Host`], which makes all decisions.
//!
//! The [`core_task`] owns the host. The tasks that serve requests send it messages over
//! a channel and wait for its replies; [`calls`] sends the host's own requests and returns
//! their replies over the same channel.

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
pub mod target_list;
