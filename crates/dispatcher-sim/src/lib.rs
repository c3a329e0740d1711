//! A deterministic, seeded simulator of [`gannetridge_dispatcher_core::Dispatcher`].
//!
//! Runs several hosts in one process, with models of targets, callers, store and network,
//! and injects faults. The same seed gives the same run, event for event.
//!
//! - `world` owns the simulated system and its event queue
//! - [`target`], `callers`: models of targets and callers; the soak test uses the target
//!   model as well
//! - `faults`: the kinds of faults and their random choice
//! - [`checks`]: the rules that must hold, checked by what callers and targets observe

mod callers;
pub mod checks;
mod faults;
mod scenario;
pub mod target;
mod world;

pub use scenario::{run, Outcome, Scenario};
