//! A seeded simulator of `gannetridge-entry-core`: several hosts in one process, targets
//! reduced to slots, speed and lag, callers, operators, and faults of every kind. The
//! same seed gives the same run.
//!
//! [`world`] owns everything that moves; [`chaos`] makes the randomised runs, [`checks`]
//! says what must hold, [`mutants`] takes one mechanism out at a time, [`oracle`] is a
//! dispatcher with perfect knowledge, to compare with.

mod answers;
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
mod sendings;
mod setup;
mod starts;
mod tables;
pub mod world;
