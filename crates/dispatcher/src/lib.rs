//! The process around [`gannetridge_dispatcher_core::Dispatcher`]: sockets, timers,
//! the platform's store, logs and metrics.
//!
//! What the platform is like, this crate doesn't know: it is given an
//! [`platform_client::PlatformClient`] that makes each call once, as it is told. Tasks own
//! their sockets and talk to the one that owns the dispatcher by messages.

pub mod caller_api;
pub mod core_task;
pub mod decision_log;
pub mod logging;
pub mod metrics;
pub mod peer_api;
pub mod platform_client;
pub mod process;
pub mod settings;
pub mod signals;
pub mod store_task;
pub mod traffic;
