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
    told: ToldCapacity,
    /// Whether its last listing told one that can't be read.
    unusable: bool,
}

impl Capacity {
    pub(super) fn new(entry: Resources) -> Self {
        Self {
            told: ToldCapacity::new(entry),
            unusable: false,
        }
    }
}

/// What news of a target's capacity changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CapacityNews {
    /// Nothing.
    Same,
    /// Another capacity is in force.
    Changed,
    /// The listings tell one that can't be read, from now on.
    Unusable,
}

impl Target {
    /// Takes in what the platform's list says of it.
    pub(super) fn take_entry(&mut self, now: Millis, entry: TargetEntry) -> CapacityNews {
        if self.capacity.told.entry_told(now, entry.capacity) {
            self.lease.next_renewal = now;
        }
        let before = std::mem::replace(&mut self.entry, entry).capacity;
        self.put_in_force(before)
    }

    /// Takes in the capacity that a listing tells which was asked for at `asked`.
    pub(super) fn take_listed_capacity(
        &mut self,
        asked: Millis,
        capacity: Option<Result<Resources, EntryFault>>,
    ) -> CapacityNews {
        let unusable = matches!(capacity, Some(Err(_)));
        let was_unusable = std::mem::replace(&mut self.capacity.unusable, unusable);
        let usable = capacity.and_then(Result::ok);
        self.capacity.told.listing_told(asked, usable);
        let news = self.put_in_force(self.entry.capacity);
        if unusable && !was_unusable {
            return CapacityNews::Unusable;
        }
        news
    }

    /// Forgets what listings told.
    pub(super) fn forget_listed_capacity(&mut self) {
        self.capacity.told.forget_listings();
        self.capacity.unusable = false;
        self.put_in_force(self.entry.capacity);
    }

    fn put_in_force(&mut self, before: Resources) -> CapacityNews {
        self.entry.capacity = self.capacity.told.in_force();
        if self.entry.capacity == before {
            CapacityNews::Same
        } else {
            CapacityNews::Changed
        }
    }

    /// Returns whether an order could run here, now or once there are the resources.
    pub(super) fn could_run(&self, order: &TaskOrder) -> bool {
        target_choice::could_run(&self.entry, &self.capacity.told.most(), order)
    }

    /// Returns what attempts take, those that are being stopped among them.
    fn used(&self) -> Resources {
        let attempts = self.attempts.values();
        attempts.fold(Resources::default(), |used, attempt| {
            used.plus(&attempt.resources)
        })
    }
}

impl TargetLeases {
    /// Records what news of a target's capacity changed, if this host looks after it.
    pub(super) fn record_capacity(&mut self, id: &Name, news: CapacityNews, by: BeliefSource) {
        if !self.leased.contains(id) {
            return;
        }
        match news {
            CapacityNews::Same => {}
            CapacityNews::Unusable => self.record_target(id, TargetBelief::CapacityUnusable, by),
            CapacityNews::Changed => {
                let target = &self.targets[id];
                self.actions.push(Action::Record(Decision::TargetCapacity {
                    target: id.clone(),
                    capacity: target.entry.capacity,
                    used: target.used(),
                    by,
                }));
            }
        }
    }
}
