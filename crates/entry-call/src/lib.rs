//! The callers' side: makes ids, sends submissions, and sends them again under
//! the same id until there is a final answer or no time is left.

pub mod job;
mod send;

pub use job::{JobFile, JobFileError};
pub use send::{CallerSettings, Reply, SendError, Sender};
