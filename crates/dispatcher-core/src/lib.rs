//! Decides how jobs run on targets that hosts look after.
//!
//! [`Dispatcher`] is one host's part: events and the time go in, actions come
//! out. It has no socket, clock, thread or randomness of its own. Three parts
//! share the work:
//!
//! - [`jobs`]: the owner's side, for jobs of the callers connected here
//! - [`keeper`]: the targets that this host looks after
//! - [`peers`]: the other hosts, heartbeats and the rights that hang on them
//!
//! Times are milliseconds of this host's steady clock unless a name says
//! otherwise. `docs/PLATFORM.md` tells why things are as they are.

pub mod action;
pub mod assignment;
pub mod dispatcher;
pub mod event;
pub mod jobs;
pub mod keeper;
pub mod message;
pub mod note;
pub mod pace;
pub mod peers;
pub mod queues;
pub mod settings;
pub mod spec;
pub mod target;

pub use action::{Action, Answer, RunOrder, TargetCall};
pub use dispatcher::Dispatcher;
pub use event::{CallId, Event, SendFailure, TargetReply, Token};
pub use note::Note;
pub use settings::{Bounds, BoundsError, Safeguards, Settings};

/// Milliseconds of this host's steady clock.
pub type Millis = u64;
