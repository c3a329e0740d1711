//! The process around [`gannetridge_dispatcher_core::Dispatcher`]: sockets, timers,
//! the platform's store, logs and metrics.
//!
//! - [`process`] puts a process together and starts its tasks
//! - `core_task` owns the dispatcher; all others send it messages (`mailbox`)
//! - `caller_api`, [`peer_api`] own the sockets of callers and peers
//! - [`store_task`] follows the platform's tables
//! - [`decision_log`], [`metrics`], [`traffic`], `logging`: what operators see
//! - `faulty_rows`: what the tables hold that can't be used
//! - `reload`, `signals`, [`settings`]: what operators set
//!
//! What the platform is like, this crate doesn't know: it is given a
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
mod reload;
pub mod settings;
mod signals;
pub mod store_pace;
pub mod store_task;
pub mod traffic;
