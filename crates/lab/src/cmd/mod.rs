//! The subcommands, one file each.

pub mod account;
pub mod chaos;
pub mod dispatch;
pub mod mutants;
pub mod placement;
