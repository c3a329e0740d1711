//! Code that the dispatcher, the entry hosts and their tools share: settings files, exit
//! codes, metrics, texts from clients, what servers may take, and requests to the task that owns a
//! program's state.
//!
//! It contains no scheduling logic.

pub mod budget;
pub mod mailbox;
pub mod metrics;
pub mod settings;
pub mod start;
pub mod text;
