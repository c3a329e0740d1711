//! Client of the entry hosts for callers: creates submission ids, and sends a
//! submission repeatedly under the same id until there is a final answer or the
//! time is up.

pub mod job;
mod send;

pub use job::{JobFile, JobFileError};
pub use send::{CallerSettings, Reply, SendError, Sender};
