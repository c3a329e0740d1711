//! The subcommands, one file each.

pub mod chaos;
pub mod dispatch;
pub mod mutants;
