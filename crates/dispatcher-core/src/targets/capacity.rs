//! The capacity of targets, as their entries and listings report it; see
//! [`crate::rules::capacity`].
//!
//! Shrinking capacity stops no attempt. Nothing new is started until it fits beside all attempts,
//! including those being stopped.

use gannetridge_wire::Name;

use crate::action::Action;
use crate::decision::{Decision, EntryFault, StateSource, TargetState};
use crate::event::TargetEntry;
use crate::message::TaskOrder;
use crate::rules::capacity::ReportedCapacity;
use crate::rules::target_choice;
use crate::spec::Resources;
use crate::Millis;

use super::target::Target;
use super::TargetLeases;

/// The capacity that a target has reported.
#[derive(Debug)]
pub(super) struct Capacity {
    reported: ReportedCapacity,
    /// True if the last listing held a capacity that can't be read.
    is_unusable: bool,
}

impl Capacity {
    pub(super) fn new(entry: Resources) -> Self {
        Self {
            reported: ReportedCapacity::new(entry),
            is_unusable: false,
        }
    }
}

/// How an update affected a target's capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CapacityChange {
    /// The capacity in force stays the same.
    Unchanged,
    /// Another capacity is in force.
    Changed,
    /// The last listing holds a capacity that can't be read, unlike the one before.
    BecameUnusable,
}

impl Target {
    /// Replaces the target's entry by a newer one from the platform's list.
    pub(super) fn update_entry(&mut self, now: Millis, entry: TargetEntry) -> CapacityChange {
        if self.capacity.reported.record_entry(now, entry.capacity) {
            self.lease.next_renewal = now;
        }
        let before = std::mem::replace(&mut self.entry, entry).capacity;
        self.apply_capacity(before)
    }

    /// Applies the capacity in a listing that was requested at `requested`.
    pub(super) fn update_listed_capacity(
        &mut self,
        requested: Millis,
        capacity: Option<Result<Resources, EntryFault>>,
    ) -> CapacityChange {
        let is_unusable = matches!(capacity, Some(Err(_)));
        let was_unusable = std::mem::replace(&mut self.capacity.is_unusable, is_unusable);
        let usable = capacity.and_then(Result::ok);
        self.capacity.reported.record_listing(requested, usable);
        let change = self.apply_capacity(self.entry.capacity);
        if is_unusable && !was_unusable {
            return CapacityChange::BecameUnusable;
        }
        change
    }

    /// Discards the capacity that listings reported; the entry's is in force again.
    pub(super) fn clear_listed_capacity(&mut self) {
        self.capacity.reported.discard_listings();
        self.capacity.is_unusable = false;
        self.apply_capacity(self.entry.capacity);
    }

    fn apply_capacity(&mut self, before: Resources) -> CapacityChange {
        self.entry.capacity = self.capacity.reported.in_force();
        if self.entry.capacity == before {
            CapacityChange::Unchanged
        } else {
            CapacityChange::Changed
        }
    }

    /// Returns true if the target could run the task, now or once its resources are free. An entry
    /// that isn't current rules out no task of its pool: the running incarnation may suit it.
    pub(super) fn could_run(&self, order: &TaskOrder) -> bool {
        if !self.is_entry_current() {
            let is_avoided = order.avoid.contains(&self.entry.id);
            return self.entry.pool == order.pool && !is_avoided;
        }
        target_choice::could_run(&self.entry, &self.capacity.reported.maximum(), order)
    }

    /// Returns the resources of all attempts, including those being stopped.
    fn used_resources(&self) -> Resources {
        let attempts = self.attempts.values();
        attempts.fold(Resources::default(), |used, attempt| {
            used.saturating_add(&attempt.resources)
        })
    }
}

impl TargetLeases {
    /// Records a change of a target's capacity, if this host holds or acquires the lease.
    pub(super) fn record_capacity(&mut self, id: &Name, change: CapacityChange, by: StateSource) {
        if !self.leased.contains(id) {
            return;
        }
        match change {
            CapacityChange::Unchanged => {}
            CapacityChange::BecameUnusable => {
                self.record_target(id, TargetState::CapacityUnusable, by)
            }
            CapacityChange::Changed => {
                let target = &self.targets[id];
                self.actions.push(Action::Record(Decision::TargetCapacity {
                    target: id.clone(),
                    capacity: target.entry.capacity,
                    used: target.used_resources(),
                    by,
                }));
            }
        }
    }
}
