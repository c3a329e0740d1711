//! Data halls.

use toml::Table;

use crate::check::{Checker, Fault};

/// Whether a hall's targets take new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallState {
    /// Targets take work.
    Open,
    /// The hall is being emptied: its targets get nothing new.
    Draining,
}

/// A data hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hall {
    /// Whether its targets take new work.
    pub state: HallState,
}

impl Hall {
    /// Reads a hall and notes every fault.
    pub(crate) fn read(file: &str, table: Table, faults: &mut Vec<Fault>) -> Self {
        let mut checker = Checker::new(file, "", table, faults);
        let state = checker.one_of("state", "open", &["open", "draining"]);
        checker.finish(&["state"]);
        let state = if state == "draining" {
            HallState::Draining
        } else {
            HallState::Open
        };
        Self { state }
    }
}
