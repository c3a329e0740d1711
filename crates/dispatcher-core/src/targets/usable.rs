//! Selects the targets that may run tasks now, and reports their free resources.
//!
//! A target is usable if everything known of it allows a start: its entry, its hall, its lease, its
//! health and the assignment. All starts, reservations and reports of free resources to peers go
//! through this check.

use std::cmp::Reverse;
use std::sync::Arc;

use gannetridge_wire::Name;

use crate::decision::{StateSource, TargetState};
use crate::message::{FreeResources, TaskOrder};
use crate::rules::draining::HallSet;
use crate::spec::Resources;
use crate::Millis;

use super::target::Target;
use super::TargetLeases;

/// How long a host waits, in ms, for a target assigned to another host to become empty before it
/// starts nothing more there.
const RELEASE_DELAY_MS: Millis = 1_000;
/// The least remaining lease, in ms, for starts on a target whose lease isn't extended until a stop
/// is confirmed: the confirmation and a renewal have to arrive within it.
const MIN_REMAINING_LEASE_MS: Millis = 200;
/// The most targets with free resources in a reply. A peer hands over what finds no target in its
/// own hall, and its next request brings an update. Each entry takes about 20 bytes of every reply.
const MAX_FREE_ENTRIES: usize = 4;

/// Where a task could run once its resources are free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Runnable {
    /// On a known target whose hall isn't draining, or no target is known yet.
    Yes,
    /// Only on targets of draining halls.
    InDrainingHalls,
    /// On no known target.
    Nowhere,
}

impl TargetLeases {
    /// Returns the free resources of the usable targets without a reservation, those with the most
    /// first, at most [`MAX_FREE_ENTRIES`].
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

    /// Returns true if a usable target has these resources free.
    #[must_use]
    pub fn may_fit(&self, now: Millis, resources: &Resources) -> bool {
        let mut leased = self.leased_targets();
        leased.any(|target| target.free().fits(resources) && self.is_usable(now, target))
    }

    /// Returns true if a usable target suits the task and has its resources free.
    #[must_use]
    pub fn has_free_resources(&self, now: Millis, order: &TaskOrder) -> bool {
        let mut leased = self.leased_targets();
        leased.any(|target| {
            target.suits(order)
                && target.free().fits(&order.resources)
                && self.is_usable(now, target)
        })
    }

    /// Returns the thousandths of a core of all listed targets of a pool, whichever host holds
    /// them, except in draining halls.
    #[must_use]
    pub fn listed_cpu(&self, pool: &Name) -> u64 {
        let targets = self.targets.values().map(|target| &target.entry);
        let listed = targets.filter(|entry| entry.pool == *pool && !self.is_draining(&entry.hall));
        listed.map(|entry| u64::from(entry.capacity.cpu)).sum()
    }

    /// Returns where a task could run once its resources are free.
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

    /// Sets the halls that get no new tasks from now on.
    pub fn set_draining(&mut self, halls: &HallSet) {
        let before = std::mem::replace(&mut self.draining, Arc::clone(halls));
        for id in self.leased.clone() {
            let target = self.targets.get_mut(&id).expect("leased targets are known");
            let hall = &target.entry.hall;
            let state = match (before.contains(hall), halls.contains(hall)) {
                (false, true) => TargetState::HallDraining,
                (true, false) => TargetState::HallServing,
                (true, true) | (false, false) => continue,
            };
            target.drop_reservation();
            self.record_target(&id, state, StateSource::Operator);
        }
    }

    fn is_draining(&self, hall: &Name) -> bool {
        self.safeguards.draining_halls_are_skipped && self.draining.contains(hall)
    }

    /// Returns this host's targets on which tasks may be started.
    pub(super) fn usable_targets(&self, now: Millis) -> impl Iterator<Item = &Target> {
        let leased = self.leased_targets();
        leased.filter(move |target| self.is_usable(now, target))
    }

    /// Returns true if tasks may be started on a target: it wasn't removed from the list, its entry
    /// is usable and current, neither it nor its hall is being drained, it answers and is healthy,
    /// its lease lasts long enough, and it isn't to be released to another host.
    fn is_usable(&self, now: Millis, target: &Target) -> bool {
        // While the list isn't settled, the entry of a new incarnation may be missing for long.
        let is_settled = self.store.list_is_settled(now);
        let is_listed = target.unlisted_since.is_none() || !is_settled;
        let is_described = target.is_entry_current() || !is_settled;
        let is_leaving = target.entry.leaving && self.safeguards.leaving_targets_are_skipped;
        let is_staying =
            !is_leaving && !target.is_entry_unusable && !self.is_draining(&target.entry.hall);
        let lease_lasts = !self.lets_lease_expire(target)
            || target.remaining_lease_ms(now) >= MIN_REMAINING_LEASE_MS;
        let may_start = lease_lasts && !self.is_release_due(now, target);
        is_listed && is_described && is_staying && may_start && target.accepts_tasks(now)
    }

    /// Returns true if the target's lease must expire unless its pending stops are confirmed first.
    pub(super) fn lets_lease_expire(&self, target: &Target) -> bool {
        self.safeguards.unconfirmed_stops_end_leases && target.has_unconfirmed_stop()
    }

    fn is_release_due(&self, now: Millis, target: &Target) -> bool {
        let since = self.assignment.misassigned_since(&target.entry.id);
        since.is_some_and(|since| since + RELEASE_DELAY_MS <= now)
    }
}
