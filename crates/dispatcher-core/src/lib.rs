//! Decides how jobs run on targets that hosts look after.
//!
//! [`Dispatcher`] is one host's part: events and the time go in, actions come
//! out. It has no socket, clock, thread or randomness of its own. Three parts
//! share the work:
//!
//! - [`jobs`]: the owner's side, for jobs of the callers connected here
//! - [`targets`]: the targets that this host looks after
//! - [`peers`]: the other hosts, heartbeats and the rights that hang on them
//!
//! Times are milliseconds of this host's steady clock unless a name says
//! otherwise. `docs/PLATFORM.md` tells why things are as they are.

pub mod action;
pub mod assignment;
pub mod decision;
pub mod dispatcher;
pub mod event;
pub mod heartbeat_intervals;
pub mod jobs;
pub mod message;
pub mod peers;
pub mod queues;
pub mod settings;
pub mod spec;
pub mod target_state;
pub mod targets;

pub use action::{Action, Answer, StartOrder, TargetCall};
pub use decision::Decision;
pub use dispatcher::Dispatcher;
pub use event::{CallId, Event, RequestId, SendFailure, TargetReply};
pub use settings::{Bounds, BoundsError, Safeguards, Settings};

/// Milliseconds of this host's steady clock.
pub type Millis = u64;
