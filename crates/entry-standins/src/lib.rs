//! Stand-ins for the systems that entry hosts use: the platform's table, object
//! store and list of targets, and the runners on workers. For tests and demos
//! only; all state is kept in memory.

pub mod cli;
pub mod list;
pub mod platform;
pub mod runner;
pub mod table;
pub mod worker;
