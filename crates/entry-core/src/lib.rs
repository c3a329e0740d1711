//! The decisions of an entry host, without any input or output.
//!
//! [`Host`] takes events and the time, and gives back actions. It opens no
//! socket, reads no clock, starts no thread, and draws its random numbers from
//! a seed. The same code runs under real sockets, in randomised runs and in
//! replays of recorded traces.
//!
//! - `ownership`: which submissions this host may start, and until when.
//! - `ledger`: what it remembers of them.
//! - `admission`, `queue`: which jobs are taken, and whose turn it is.
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

pub use action::{Action, Note, Waste};
pub use event::{CallId, ChangeAnswer, ChangeRequest, Event, SendFailure, Token};
pub use host::Host;
pub use settings::{HostSettings, Placement, Safeguards, Tuning};
