//! Decides how jobs run on targets that hosts hold by leases.
//!
//! [`Dispatcher`] is one host's part: events and the time go in, actions come out.
//! It has no socket, clock, thread or randomness of its own.
//!
//! - [`rules`]: every decision, a file each, with its reason and its constants
//! - `jobs`: the owner's side, for jobs of the callers connected here
//! - `targets`: the targets, and the leases on them that this host holds
//! - `peers`: the other hosts
//! - `backlog`: tasks of peers that wait here for targets
//! - [`target_list`]: the platform's list of targets, and its changes
//! - [`store_news`]: from which version of the store what is believed comes, and when
//! - [`dispatcher`]: hands on what one of these leaves for another
//! - [`event`], [`action`], [`decision`], [`message`]: what goes in, what comes out,
//!   what is logged, what hosts send each other
//!
//! Times are milliseconds of this host's clock, which never goes back and goes on while the host
//! is suspended, unless a name says otherwise.
//! `docs/PLATFORM.md` weighs the ways that were open, `docs/DECISIONS.md` leads from
//! a log line to its rule.

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
pub mod store_news;
pub mod target_list;
mod targets;

pub use action::{Action, Answer, StartOrder, TargetCall};
pub use decision::Decision;
pub use dispatcher::Dispatcher;
pub use event::{CallId, Event, RequestId, SendFailure, StoreTable, TargetReply};
pub use settings::{Bounds, BoundsError, Safeguards, Scheduling, Settings};

/// Milliseconds of this host's clock, which goes on while the host is suspended.
pub type Millis = u64;
