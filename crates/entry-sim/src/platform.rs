//! The platform in the driver: a table and a list that lag, fail and lose
//! answers.

use gannetridge_entry_standins::list::VersionedTargetList;
use gannetridge_entry_standins::table::Table;
use gannetridge_entry_wire::platform::{TableFailure, TableOp, TableResult};

/// What becomes of one operation.
#[derive(Clone, Debug)]
pub enum Fate {
    /// It takes place and is answered.
    Answered,
    /// It takes place after `delay_us`; the answer is lost.
    AnswerLost {
        /// When it takes place, in µs from now.
        delay_us: u64,
    },
    /// It doesn't take place.
    Fails(TableFailure),
}

/// The platform.
#[derive(Debug, Default)]
pub struct Platform {
    /// The table.
    pub table: Table,
    /// True while nothing is answered.
    pub out: bool,
    /// Chance that a write's answer is lost.
    pub lose: f64,
    /// Extra delay, in µs.
    pub slow_us: u64,
    /// True while the list keeps to what it was.
    pub list_stale: bool,
    /// The list as hosts get it.
    pub list: VersionedTargetList,
}

impl Platform {
    /// Carries an operation out.
    pub fn apply(&mut self, op: &TableOp) -> TableResult {
        self.table.apply(op)
    }
}
