//! Messages and stored rows of the entry host: what callers, entry hosts,
//! targets, the platform and operators exchange.
//!
//! The crate holds data types only. `gannetridge-entry-core` makes the
//! decisions; `gannetridge-net` transports the bytes. Names of fields and
//! variants are part of the wire format.

pub mod answer;
pub mod hall;
pub mod ids;
pub mod peer;
pub mod platform;
pub mod submission;
pub mod target;
pub mod time;

pub use answer::{Answer, FailureCause, Rejection, RunStatus, TaskResult};
pub use ids::{Epoch, HostId, ShardId, SubmissionId, SubmissionIdError, TaskId};
pub use submission::{Submission, TaskSpec};
pub use time::Time;
