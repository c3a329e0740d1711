//! Configuration documents that operators write: templates, client accounts
//! and data halls.
//!
//! Parses and validates TOML documents. Validation covers the whole document
//! and reports all of its faults together. Storing documents and putting them
//! into force is up to the caller.

pub mod account;
pub mod check;
pub mod document;
pub mod hall;
pub mod template;

pub use account::{Account, Urgency};
pub use check::{Fault, Faults};
pub use document::{Document, DocumentKey, DocumentKeyError, DocumentKind};
pub use hall::{Hall, HallState};
pub use template::{ParameterRule, Template};
