//! A deterministic discrete-event simulator of `gannetridge-entry-core`: several entry
//! hosts in one process, with simulated targets ("runners"), callers, operators, platform,
//! network and faults. The same seed gives the same run.
//!
//! - [`world`] owns the event queue, the clock and the state of all simulated parts.
//! - [`scenario`] describes a run; [`chaos`] holds the randomised scenario.
//! - [`checks`] records starts and ends of tasks and violated invariants.
//! - [`mutants`] lists variants of a host with one safeguard switched off.
//! - [`oracle`] is an ideal dispatcher on the same jobs, for comparison.

mod answers;
mod attempts;
mod callers;
pub mod chaos;
pub mod checks;
mod faults;
mod hosts;
mod lifecycle;
mod load;
pub mod mutants;
mod network;
mod operators;
pub mod oracle;
pub mod parallel;
mod perform;
mod planning;
mod platform;
pub mod report;
mod runners;
pub mod scenario;
mod setup;
mod starts;
mod tables;
pub mod world;
