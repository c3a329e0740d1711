//! Workers reduced to slots, speed and lag.

use gannetridge_entry_standins::runner::Runner;
use gannetridge_entry_wire::Time;
use gannetridge_wire::Name;

use crate::hosts::CallOf;

/// A runner in the driver.
#[derive(Debug)]
pub struct SimRunner {
    /// Its name.
    pub name: Name,
    /// Its hall's number.
    pub hall: usize,
    /// Its slots and tasks.
    pub book: Runner,
    /// False while its process is gone.
    pub alive: bool,
    /// Counts its deaths, so that ends of lost tasks are passed over.
    pub life: u32,
    /// It does nothing before this time.
    pub frozen_until: Time,
    /// Its answers are lost before this time.
    pub mute_until: Time,
    /// How many times as long its tasks take.
    pub slower: f64,
    /// When the list began to show it as leaving.
    pub leaving_since: Option<Time>,
    /// Its clock's offset, in µs.
    pub offset_us: i64,
    /// Starts that it hasn't answered.
    pub calls: Vec<CallOf>,
}

impl SimRunner {
    /// Creates an idle runner.
    #[must_use]
    pub fn new(name: Name, hall: usize, slots: u32, offset_us: i64) -> Self {
        Self {
            name,
            hall,
            book: Runner::new(slots),
            alive: true,
            life: 0,
            frozen_until: Time::ZERO,
            mute_until: Time::ZERO,
            slower: 1.0,
            leaving_since: None,
            offset_us,
            calls: Vec::new(),
        }
    }
}
