//! The encoding of messages between hosts, and the type of names in them.
//!
//! The messages themselves are defined in `gannetridge-dispatcher-core` and
//! `gannetridge-entry-wire`.

use std::sync::Arc;

pub mod codec;

/// A shared immutable name of a hall, host, target, account or template.
pub type Name = Arc<str>;
