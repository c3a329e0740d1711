//! The simulated platform: a table and a list of targets, with their current faults.

use gannetridge_entry_standins::list::VersionedTargetList;
use gannetridge_entry_standins::table::Table;
use gannetridge_entry_wire::platform::{TableFailure, TableOp, TableResult};

/// The outcome of one operation on the table.
#[derive(Clone, Debug)]
pub enum TableOutcome {
    /// Takes effect and is answered.
    Answered,
    /// Takes effect, but the answer is lost.
    AnswerLost {
        /// Time until it takes effect, in µs.
        delay_us: u64,
    },
    /// Takes no effect, and the host gets this failure.
    Failed(TableFailure),
}

/// The simulated platform and its current faults.
#[derive(Debug, Default)]
pub struct Platform {
    /// Holds the configuration and the halls' rows.
    pub table: Table,
    /// True during an outage of table and list.
    pub unavailable: bool,
    /// Probability that the answer to a write is lost.
    pub answer_loss_probability: f64,
    /// Upper bound of the random extra delay of an operation, in µs.
    pub max_extra_us: u64,
    /// True while the list isn't refreshed.
    pub list_stale: bool,
    /// The list of targets as of its last refresh.
    pub list: VersionedTargetList,
}

impl Platform {
    /// Applies an operation to the table.
    pub fn apply(&mut self, op: &TableOp) -> TableResult {
        self.table.apply(op)
    }
}
