//! What a target has, as its entry and its listings tell it; see [`crate::rules::capacity`].
//!
//! A capacity that shrinks stops nothing: what runs goes on, and nothing is started until it
//! fits beside all that runs or is being stopped.

use gannetridge_wire::Name;

use crate::action::Action;
use crate::decision::{BeliefSource, Decision, EntryFault, TargetBelief};
use crate::event::TargetEntry;
use crate::message::TaskOrder;
use crate::rules::capacity::ToldCapacity;
use crate::rules::target_choice;
use crate::spec::Resources;
use crate::Millis;

use super::target::Target;
use super::TargetLeases;

/// What a target has told of its capacity.
#[derive(Debug)]
pub(super) struct Capacity {
    reported: ToldCapacity,
    /// Whether its last listing told one that can't be read.
    unusable: bool,
}

impl Capacity {
    pub(super) fn new(entry: Resources) -> Self {
        Self {
            reported: ToldCapacity::new(entry),
            unusable: false,
        }
    }
}

/// What news of a target's capacity changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CapacityChange {
    /// Nothing.
    Unchanged,
    /// Another capacity is in force.
    Changed,
    /// The listings tell one that can't be read, from now on.
    BecameUnusable,
}

impl Target {
    /// Takes in what the platform's list says of it.
    pub(super) fn update_entry(&mut self, now: Millis, entry: TargetEntry) -> CapacityChange {
        if self.capacity.reported.entry_told(now, entry.capacity) {
            self.lease.next_renewal = now;
        }
        let before = std::mem::replace(&mut self.entry, entry).capacity;
        self.apply_capacity(before)
    }

    /// Takes in the capacity that a listing tells which was asked for at `asked`.
    pub(super) fn update_listed_capacity(
        &mut self,
        requested: Millis,
        capacity: Option<Result<Resources, EntryFault>>,
    ) -> CapacityChange {
        let unusable = matches!(capacity, Some(Err(_)));
        let was_unusable = std::mem::replace(&mut self.capacity.unusable, unusable);
        let usable = capacity.and_then(Result::ok);
        self.capacity.reported.listing_told(requested, usable);
        let change = self.apply_capacity(self.entry.capacity);
        if unusable && !was_unusable {
            return CapacityChange::BecameUnusable;
        }
        change
    }

    /// Forgets what listings told.
    pub(super) fn clear_listed_capacity(&mut self) {
        self.capacity.reported.forget_listings();
        self.capacity.unusable = false;
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

    /// Returns whether an order could run here, now or once there are the resources.
    pub(super) fn could_run(&self, order: &TaskOrder) -> bool {
        target_choice::could_run(&self.entry, &self.capacity.reported.most(), order)
    }

    /// Returns what attempts take, those that are being stopped among them.
    fn used_resources(&self) -> Resources {
        let attempts = self.attempts.values();
        attempts.fold(Resources::default(), |used, attempt| {
            used.plus(&attempt.resources)
        })
    }
}

impl TargetLeases {
    /// Records what news of a target's capacity changed, if this host looks after it.
    pub(super) fn record_capacity(&mut self, id: &Name, change: CapacityChange, by: BeliefSource) {
        if !self.leased.contains(id) {
            return;
        }
        match change {
            CapacityChange::Unchanged => {}
            CapacityChange::BecameUnusable => {
                self.record_target(id, TargetBelief::CapacityUnusable, by)
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
