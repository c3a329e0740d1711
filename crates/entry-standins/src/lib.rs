//! Small stand-ins for what gannetridge talks to: the platform's table, store
//! and list, and the workers. For tests and trials only.

pub mod cli;
pub mod list;
pub mod platform;
pub mod runner;
pub mod table;
pub mod worker;
