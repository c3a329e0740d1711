//! The process around [`gannetridge_dispatcher_core::Dispatcher`]: sockets, timers,
//! the platform's store, logs and metrics.
//!
//! - [`process`] assembles the process and starts its tasks
//! - `core_task` owns the dispatcher; other tasks send it messages (`mailbox`)
//! - `servers` starts the servers; `caller_api`, [`peer_api`]: requests of callers and peers
//! - [`store_task`], [`store_pace`]: reading the platform's tables, and how often
//! - [`decision_log`], [`metrics`], [`traffic`], `logging`: logs and metrics
//! - `faulty_rows`: reports of rows that can't be decoded
//! - `refusal_log`: reports of what the servers refused
//! - `reload`, `signals`, [`settings`]: the settings file and signals
//! - [`grace_period`] ends a process whose shutdown hangs
//!
//! This crate doesn't depend on the platform's formats: it is given a
//! [`platform_client::PlatformClient`].

mod caller_api;
mod core_task;
pub mod decision_log;
mod faulty_rows;
pub mod grace_period;
mod logging;
mod mailbox;
pub mod metrics;
pub mod peer_api;
pub mod platform_client;
pub mod process;
mod refusal_log;
mod reload;
mod servers;
pub mod settings;
mod signals;
pub mod store_pace;
pub mod store_task;
pub mod traffic;
