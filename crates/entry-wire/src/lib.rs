//! Messages of the product's own interface: what callers, entry hosts, targets,
//! the platform and operators send each other.
//!
//! The crate holds data only. Decisions are made in `gannetridge-entry-core`,
//! bytes are moved by `gannetridge-net`.

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
