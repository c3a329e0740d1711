//! Data halls: machines that can be cut off together.

use toml::Table;

use crate::check::{Fault, TableReader};

/// The operational state of a hall.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HallState {
    /// The hall's targets accept new work.
    Open,
    /// The hall is being drained: its targets get no new work.
    Draining,
}

/// The configuration of a data hall.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Hall {
    /// Open where the document names no state.
    pub state: HallState,
}

impl Hall {
    /// Reads a hall from a table and adds its faults to `faults`.
    pub(crate) fn read(file: &str, table: Table, faults: &mut Vec<Fault>) -> Self {
        let mut reader = TableReader::new(file, "", table, faults);
        let state = reader.take_one_of("state", "open", &["open", "draining"]);
        reader.reject_unknown_keys(&["state"]);
        let state = if state == "draining" {
            HallState::Draining
        } else {
            HallState::Open
        };
        Self { state }
    }
}
