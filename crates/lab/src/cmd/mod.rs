//! The subcommands, one file each.

pub mod bench;
pub mod chaos;
pub mod control;
pub mod dispatch;
pub mod experiment;
pub mod loopback;
pub mod mutants;
