//! What the programs of both families share: settings files, the end of a program,
//! metrics, and questions to the task that owns a program's state.
//!
//! It knows nothing of what a program decides.

pub mod mailbox;
pub mod metrics;
pub mod settings;
pub mod start;
