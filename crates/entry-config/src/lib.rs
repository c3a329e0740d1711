//! Documents that operators write: templates, accounts and halls.
//!
//! Documents are TOML. A document is checked whole before it is accepted, and
//! every fault in it is reported at once.

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
