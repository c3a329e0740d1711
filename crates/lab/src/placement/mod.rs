//! Where work went and what waited for it, from the logs of hosts alone.
//!
//! [`gaps`] finds how long targets stood without the next task, [`traffic`] adds up what
//! hosts sent each other, and [`table`] adds up by window, queue, hall and host, and
//! prints. Jobs and their outcomes are those of [`crate::account`].

pub mod gaps;
pub mod table;
pub mod traffic;
