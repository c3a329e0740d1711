//! What all messages between hosts have in common: the type of names and the
//! encoding.
//!
//! The messages themselves stand with who sends them, in
//! `gannetridge-dispatcher-core` and `gannetridge-entry-wire`.

use std::sync::Arc;

pub mod codec;

/// A shared immutable name of a hall, host, target, account or template.
pub type Name = Arc<str>;
