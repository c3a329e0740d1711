//! What the process needs of the platform, as typed calls.
//!
//! `platform/` fills [`PlatformClient`] in: it makes each call once,
//! and knows the platform's names, which nothing here does. It decides nothing; what
//! a failure means is judged by the tasks that call.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;

use gannetridge_dispatcher_core::configuration::Configuration;
use gannetridge_dispatcher_core::decision::EntryFault;
use gannetridge_dispatcher_core::event::{
    HallChange, SendFailure, Submit, TargetChange, TargetList, TargetReply, UnusableEntry,
};
use gannetridge_dispatcher_core::message::HostInfo;
use gannetridge_dispatcher_core::{Answer, Millis, TargetCall};
use gannetridge_net::{HttpReply, HttpRequest};
use gannetridge_wire::Name;
use thiserror::Error;

/// A future that stays on its thread.
pub type LocalFuture<T> = Pin<Box<dyn Future<Output = T>>>;

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallerRequest {
    /// Run a job.
    Submit(Box<Submit>),
    /// Return a job's state, or how many jobs of a queue have not begun.
    Query {
        /// The virtual host.
        host: Name,
        /// The path.
        path: Name,
    },
    /// Cancel a job.
    Cancel {
        /// The virtual host.
        host: Name,
        /// The path.
        path: Name,
    },
}

/// A call to a target.
#[derive(Clone, Debug)]
pub struct TargetOrder {
    /// The target's id: of the incarnation that is meant.
    pub id: Name,
    /// Its address.
    pub address: SocketAddr,
    /// This host's fencing token.
    pub token: u64,
    /// What is asked.
    pub call: TargetCall,
    /// How long to wait for the reply, in ms.
    pub wait_ms: Millis,
}

/// The tables that are read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Table {
    /// The operator's: the configuration, and which halls are draining.
    Configuration,
    /// The targets'.
    Targets,
    /// The hosts' own.
    Hosts,
}

/// A row, or that it is gone.
#[derive(Clone, Debug, PartialEq)]
pub enum Row {
    /// The configuration.
    Configuration(Configuration),
    /// Whether a hall is draining.
    Hall(HallChange),
    /// A target.
    Target(TargetChange),
    /// A host.
    Host(HostInfo),
    /// A row that says nothing that can be used.
    Faulty(FaultyRow),
}

/// A row that says nothing that can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FaultyRow {
    /// Its key.
    pub key: Name,
    /// What is wrong with it.
    pub fault: EntryFault,
}

/// Rows, and the version that they stand for.
#[derive(Clone, Debug, PartialEq)]
pub struct Rows {
    /// The rows.
    pub rows: Vec<Row>,
    /// Changes after this version aren't among them.
    pub version: u64,
    /// How long the answers that brought them were, in bytes.
    pub bytes: u64,
}

impl Rows {
    /// Returns the list of targets, of rows that hold it whole.
    #[must_use]
    pub fn into_targets(self) -> TargetList {
        let mut list = TargetList::default();
        for row in self.rows {
            match row {
                Row::Target(TargetChange::There(entry)) => list.targets.push(entry),
                Row::Target(TargetChange::Unusable(entry)) => list.unusable.push(entry),
                // What is gone isn't in the list; other rows are of other tables.
                Row::Target(TargetChange::Gone(_))
                | Row::Configuration(_)
                | Row::Hall(_)
                | Row::Host(_)
                | Row::Faulty(_) => {}
            }
        }
        list
    }

    /// Returns the rows that say nothing that can be used, entries of targets among them.
    pub fn faults(&self) -> impl Iterator<Item = FaultyRow> + '_ {
        self.rows.iter().filter_map(|row| match row {
            Row::Faulty(row) => Some(row.clone()),
            Row::Target(TargetChange::Unusable(UnusableEntry { id, fault })) => Some(FaultyRow {
                key: id.clone(),
                fault: *fault,
            }),
            Row::Target(_) | Row::Configuration(_) | Row::Hall(_) | Row::Host(_) => None,
        })
    }
}

/// Why the store gave nothing.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum StoreError {
    /// It no longer knows what has changed since.
    #[error("the store's history is gone")]
    HistoryExpired,
    /// It asks for fewer calls.
    #[error("the store takes no more calls now")]
    Busy,
    /// It gave no answer.
    #[error("no answer from the store: {0}")]
    Unreachable(Name),
    /// Its answer can't be read.
    #[error("unreadable answer from the store: {0}")]
    Unreadable(Name),
}

/// Decodes a caller's request; what can't be decoded has its reply at once.
pub type DecodeRequest = Rc<dyn Fn(&HttpRequest) -> Result<CallerRequest, Box<HttpReply>>>;
/// Calls a target once.
pub type CallTarget = Rc<dyn Fn(TargetOrder) -> LocalFuture<Result<TargetReply, SendFailure>>>;
/// Reads a table whole.
pub type ReadTable = Rc<dyn Fn(Table) -> LocalFuture<Result<Rows, StoreError>>>;
/// Reads what changed in a table after a version; the store waits so many ms for a
/// change.
pub type FollowTable = Rc<dyn Fn(Table, u64, Millis) -> LocalFuture<Result<Rows, StoreError>>>;
/// Writes this host's row.
pub type WriteHost = Rc<dyn Fn(HostInfo) -> LocalFuture<Result<(), StoreError>>>;

/// The platform, as typed calls.
#[derive(Clone)]
pub struct PlatformClient {
    /// See [`DecodeRequest`].
    pub decode_request: DecodeRequest,
    /// Encodes an answer to a caller.
    pub encode_answer: Rc<dyn Fn(&Answer) -> HttpReply>,
    /// The path at which the platform asks whether the host is ready.
    pub readiness_path: &'static str,
    /// See [`CallTarget`].
    pub call_target: CallTarget,
    /// See [`ReadTable`].
    pub read_table: ReadTable,
    /// See [`FollowTable`].
    pub follow_table: FollowTable,
    /// See [`WriteHost`].
    pub write_host: WriteHost,
}
