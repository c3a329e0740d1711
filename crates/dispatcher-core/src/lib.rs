//! The scheduling core of a dispatcher host: decides how jobs run on targets whose leases the
//! hosts hold.
//!
//! [`Dispatcher`] is the state machine of one host: it maps events and the time to actions, and
//! has no sockets, clock, threads or randomness of its own.
//!
//! - [`rules`]: the decisions, one file each, with their reasons and constants
//! - `jobs`: the owner's side, for jobs of the callers connected to this host
//! - `targets`: the targets, and the leases on them that this host holds
//! - `peers`: the other hosts
//! - `backlog`: tasks of peers that wait for targets of this host
//! - [`target_list`]: the platform's list of targets and its changes
//! - [`store_replica`]: this host's copy of the list of targets, and the versions and ages of the
//!   store's tables
//! - [`dispatcher`]: connects these parts and passes work between them
//! - [`event`], [`action`], [`decision`], [`message`]: input, output, log records and the
//!   messages between hosts
//!
//! Times are milliseconds of this host's clock, which is monotonic and keeps running while the
//! host is suspended, unless a name says otherwise. `docs/PLATFORM.md` compares the design
//! alternatives; `docs/DECISIONS.md` maps log lines to rules.

pub mod action;
mod backlog;
pub mod configuration;
pub mod decision;
pub mod dispatcher;
pub mod event;
mod jobs;
pub mod message;
mod peers;
pub mod rules;
pub mod settings;
pub mod spec;
pub mod store_replica;
pub mod target_list;
mod targets;

pub use action::{Action, Answer, StartOrder, TargetCall};
pub use decision::Decision;
pub use dispatcher::Dispatcher;
pub use event::{CallId, Event, RequestId, SendFailure, StoreTable, TargetReply};
pub use settings::{Bounds, BoundsError, Safeguards, Scheduling, Settings};

/// Milliseconds of this host's clock, which keeps running while the host is suspended.
pub type Millis = u64;

/// The urgency of a queue; 0 is the most urgent. Operators may choose any number.
pub type Urgency = u64;
