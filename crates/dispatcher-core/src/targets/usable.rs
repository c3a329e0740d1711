//! Which targets may run tasks now, and what of them is free.
//!
//! A target is usable where everything that is known of it allows a start: its place in the list,
//! its hall, its lease, its health and the assignment. All starts, reservations and what peers are
//! told of free resources go through here.

use std::cmp::Reverse;
use std::sync::Arc;

use gannetridge_wire::Name;

use crate::decision::{BeliefSource, TargetBelief};
use crate::message::{FreeResources, TaskOrder};
use crate::rules::draining::Halls;
use crate::rules::target_choice;
use crate::spec::Resources;
use crate::Millis;

use super::target::Target;
use super::TargetLeases;

/// How long a host that should leave a target to another waits for it to be empty before it starts
/// nothing more there, in ms.
const RELEASE_DELAY_MS: Millis = 1_000;
/// How long the lease of a target has to last where it isn't extended before a stop is confirmed,
/// in ms: the confirmation and a renewal have to come within it.
const MIN_REMAINING_LEASE_MS: Millis = 200;
/// The most targets with free resources that a reply tells of: a peer hands over what finds
/// no target in its own hall, and hears again with its next request. Each takes some 20 bytes
/// of every reply.
const MAX_FREE_ENTRIES: usize = 4;

/// Where a task could be run, once there are the resources.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Runnable {
    /// On a known target whose hall isn't draining; or no target is known yet.
    Yes,
    /// On targets of draining halls only.
    InDrainingHalls,
    /// On no known target.
    Nowhere,
}

impl TargetLeases {
    /// Returns the free resources, an entry for each usable target with some, the freest
    /// [`FREE_TOLD`].
    #[must_use]
    pub fn free_resources(&self, now: Millis) -> Vec<FreeResources> {
        let usable = self.usable_targets(now);
        let unreserved = usable.filter(|target| !target.is_reserved());
        let free = unreserved.map(Target::free_in_pool);
        let mut free: Vec<FreeResources> = free.filter(|free| free.resources.cpu > 0).collect();
        free.sort_by_key(|free| Reverse(free.resources.cpu));
        free.truncate(MAX_FREE_ENTRIES);
        free
    }

    /// Returns whether any target of this host has such resources free.
    #[must_use]
    pub fn may_fit(&self, now: Millis, resources: &Resources) -> bool {
        let mut leased = self.leased_targets();
        leased.any(|target| target.free().fits(resources) && self.is_usable(now, target))
    }

    /// Returns whether a target of this host has the resources for an order free.
    #[must_use]
    pub fn has_free_resources(&self, now: Millis, order: &TaskOrder) -> bool {
        let mut leased = self.leased_targets();
        leased.any(|target| {
            target_choice::suits(&target.entry, order)
                && target.free().fits(&order.resources)
                && self.is_usable(now, target)
        })
    }

    /// Returns the thousandths of a core that a pool's targets have, all hosts' together.
    #[must_use]
    pub fn listed_cpu(&self, pool: &Name) -> u64 {
        let targets = self.targets.values().map(|target| &target.entry);
        let listed = targets.filter(|entry| entry.pool == *pool && !self.is_draining(&entry.hall));
        listed.map(|entry| u64::from(entry.capacity.cpu)).sum()
    }

    /// Returns where an order could be run, once there are the resources.
    #[must_use]
    pub fn runnable(&self, order: &TaskOrder) -> Runnable {
        if self.targets.is_empty() {
            return Runnable::Yes;
        }
        let mut only_draining = false;
        for target in self.targets.values() {
            if !target.could_run(order) {
                continue;
            }
            if !self.is_draining(&target.entry.hall) {
                return Runnable::Yes;
            }
            only_draining = true;
        }
        if only_draining {
            Runnable::InDrainingHalls
        } else {
            Runnable::Nowhere
        }
    }

    /// Takes note of the halls that get no new tasks from now on.
    pub fn set_draining(&mut self, halls: &Halls) {
        let before = std::mem::replace(&mut self.draining, Arc::clone(halls));
        for id in self.leased.clone() {
            let target = self.targets.get_mut(&id).expect("leased targets are known");
            let hall = &target.entry.hall;
            let state = match (before.contains(hall), halls.contains(hall)) {
                (false, true) => TargetBelief::HallDraining,
                (true, false) => TargetBelief::HallServing,
                (true, true) | (false, false) => continue,
            };
            target.drop_reservation();
            self.record_target(&id, state, BeliefSource::Operator);
        }
    }

    fn is_draining(&self, hall: &Name) -> bool {
        self.safeguards.draining_is_heeded && self.draining.contains(hall)
    }

    /// Returns the targets of this host on which tasks may be started.
    pub(super) fn usable_targets(&self, now: Millis) -> impl Iterator<Item = &Target> {
        let leased = self.leased_targets();
        leased.filter(move |target| self.is_usable(now, target))
    }

    /// Returns whether tasks may be started on a target: it is listed, its entry can be used, it
    /// stays, as does its hall, it answers and is well, its lease lasts, and it isn't to be left to
    /// another host.
    fn is_usable(&self, now: Millis, target: &Target) -> bool {
        let listed = target.unlisted_since.is_none() || !self.store.list_is_settled(now);
        let leaving = target.entry.leaving && self.safeguards.leaving_is_heeded;
        let stays = !leaving && !target.entry_unusable && !self.is_draining(&target.entry.hall);
        let lasts = !self.lets_lease_expire(target)
            || target.remaining_lease_ms(now) >= MIN_REMAINING_LEASE_MS;
        let open = lasts && !self.is_release_due(now, target);
        listed && stays && open && target.accepts_tasks(now)
    }

    /// Returns whether a target's lease is to run out unless stops are confirmed before.
    pub(super) fn lets_lease_expire(&self, target: &Target) -> bool {
        self.safeguards.unconfirmed_stops_end_leases && target.has_unconfirmed_stop()
    }

    fn is_release_due(&self, now: Millis, target: &Target) -> bool {
        let since = self.assignment.misassigned_since(&target.entry.id);
        since.is_some_and(|since| since + RELEASE_DELAY_MS <= now)
    }
}
