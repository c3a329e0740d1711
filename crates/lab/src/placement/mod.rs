//! Placement of tasks and waiting times, from the logs of hosts alone.
//!
//! [`gaps`] finds how long targets were idle before the next start, [`traffic`] adds up the
//! messages that hosts sent and received, and [`table`] adds up by window, queue, hall and host,
//! and prints. Jobs and their outcomes are those of [`crate::account`].

pub mod gaps;
pub mod table;
pub mod traffic;
