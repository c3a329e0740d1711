//! A small seeded driver around the real decision core: several hosts in one
//! process, with workers reduced to slots, speed and lag, and faults of every
//! kind that the users name.
//!
//! The same seed gives the same run. [`chaos`] looks for broken promises.

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
