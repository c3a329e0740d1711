//! A small seeded driver around [`gannetridge_dispatcher_core::Dispatcher`]: several
//! hosts in one process, targets with tokens, holds and clocks of their own,
//! callers that leave and come again, and faults of every kind that the users
//! name. The same seed gives the same run.
//!
//! [`checks::Checks`] sees only what callers and targets see.

pub mod callers;
pub mod checks;
pub mod faults;
pub mod scenario;
pub mod target;
pub mod world;

pub use scenario::{run, Outcome, Scenario};
