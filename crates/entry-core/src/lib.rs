//! The decision logic of an entry host, free of I/O.
//!
//! [`Host`] takes events and the current time and returns actions. It opens no
//! socket, reads no clock, starts no thread, and draws its random numbers from
//! a seeded generator. The same code runs behind real sockets and in simulations.
//!
//! - `ownership`: the shards whose submissions this host may start, and until when.
//! - `ledger`: the submissions that this host owns, and their outcomes.
//! - `admission`, `queue`: which jobs are accepted, and in which order they get slots.
//! - `targets`, `health`, `loans`: where tasks run.
//! - `config_store`: the configuration in force.

mod action;
mod admission;
pub mod charts;
mod config_store;
mod directory;
mod event;
mod health;
mod host;
mod job;
mod keys;
mod ledger;
mod loans;
mod ownership;
mod queue;
mod retry;
mod seen;
mod settings;
mod targets;

pub use action::{Action, TelemetryEvent, WastedMessage};
pub use event::{CallId, ChangeAnswer, ChangeRequest, Event, RequestToken, SendFailure};
pub use host::Host;
pub use settings::{HostSettings, Placement, Safeguards, Tuning};
