//! Simulated targets ("runners"): slots and tasks, with speed, clock offset and faults.

use gannetridge_entry_standins::runner::Runner;
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use crate::hosts::OutgoingCall;

/// A simulated runner.
#[derive(Debug)]
pub struct SimRunner {
    /// Also its address.
    pub name: Name,
    /// Index of its hall.
    pub hall: usize,
    /// Slots and tasks of the current incarnation.
    pub tasks: Runner,
    /// False from a kill to the restart.
    pub alive: bool,
    /// Number of kills so far; end events of an earlier incarnation's tasks are ignored.
    pub incarnation: u32,
    /// Suspended until this time.
    pub paused_until: Time,
    /// Its replies are lost until this time.
    pub replies_lost_until: Time,
    /// Factor on the run time of its tasks.
    pub slowdown: f64,
    /// Time from which the list, at its next refresh, shows it as leaving.
    pub leaving_since: Option<Time>,
    /// Offset of its clock from simulated time, in µs.
    pub offset_us: i64,
    /// Accepted starts without a final reply so far.
    pub open_calls: Vec<OutgoingCall>,
}

impl SimRunner {
    /// Creates an idle runner.
    #[must_use]
    pub fn new(name: Name, hall: usize, slots: u32, offset_us: i64) -> Self {
        Self {
            name,
            hall,
            tasks: Runner::new(slots),
            alive: true,
            incarnation: 0,
            paused_until: Time::ZERO,
            replies_lost_until: Time::ZERO,
            slowdown: 1.0,
            leaving_since: None,
            offset_us,
            open_calls: Vec::new(),
        }
    }
}
