//! A seeded simulator of [`gannetridge_dispatcher_core::Dispatcher`]: several hosts in
//! one process, targets with fencing tokens, leases and clocks of their own, callers
//! that leave and come again, and faults of every kind. The same seed gives the same
//! run, event for event.
//!
//! - `world` owns everything that moves, as one queue of what happens
//! - [`target`], `callers`: models of targets and callers; the soak uses the targets
//!   as well
//! - `faults`: what goes wrong
//! - [`checks`]: what must hold, by what callers and targets see alone

mod callers;
pub mod checks;
mod faults;
mod scenario;
pub mod target;
mod world;

pub use scenario::{run, Outcome, Scenario};
