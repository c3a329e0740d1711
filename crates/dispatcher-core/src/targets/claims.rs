//! Acquires, releases and takes back targets.
//!
//! Owns the assignment that this host computes ([`crate::rules::assignment`]).
//! [`crate::rules::contention`] decides what it does when another host takes a target.

use std::collections::{BTreeSet, HashMap, HashSet};

use gannetridge_wire::Name;

use crate::decision::{EndEvidence, StateSource, TargetState};
use crate::message::HostInfo;
use crate::rules::assignment::Candidates;
use crate::rules::contention::{self, Response};
use crate::rules::crashes::TargetLoss;
use crate::Millis;

use super::TargetLeases;

/// The targets assigned to this host, computed from the hosts that are alive.
#[derive(Debug)]
pub(super) struct Assignment {
    own_name: Name,
    assigned: BTreeSet<Name>,
    /// The hosts for which the assignment was computed.
    hosts: Vec<HostInfo>,
    /// True if targets were added since.
    is_stale: bool,
    /// Targets that this host holds although they are assigned to another host, and since when.
    misassigned: HashMap<Name, Millis>,
}

impl Assignment {
    pub(super) fn new(own_name: Name) -> Self {
        Self {
            own_name,
            assigned: BTreeSet::new(),
            hosts: Vec::new(),
            is_stale: true,
            misassigned: HashMap::new(),
        }
    }

    /// Records that the set of targets changed.
    pub(super) fn targets_changed(&mut self) {
        self.is_stale = true;
    }

    /// Removes a target that was deleted or that this host no longer holds.
    pub(super) fn remove(&mut self, target: &Name) {
        self.misassigned.remove(target);
    }

    /// Returns since when this host has held a target that is assigned to another host.
    pub(super) fn misassigned_since(&self, target: &Name) -> Option<Millis> {
        self.misassigned.get(target).copied()
    }

    fn is_misassigned(&self, target: &Name) -> bool {
        self.misassigned.contains_key(target)
    }
}

impl TargetLeases {
    /// Acquires and releases targets by their assignment to the hosts that are alive.
    ///
    /// `hosts` may hold targets; `claimed` returns true for a target that another live host holds;
    /// `may_acquire` is true if this host knows enough of the others.
    pub fn assign(
        &mut self,
        now: Millis,
        hosts: &[HostInfo],
        claimed: impl Fn(&Name) -> bool,
        may_acquire: bool,
    ) {
        self.update_assignment(hosts);
        let mut acquire = Vec::new();
        let mut release = Vec::new();
        for id in &self.assignment.assigned {
            self.assignment.misassigned.remove(id);
            let Some(target) = self.targets.get(id) else {
                continue;
            };
            let may_acquire = may_acquire && target.lease.backoff_until <= now;
            let is_free = target.lease.is_free() && target.is_idle();
            let usable = !target.is_entry_unusable && self.is_pool_named(&target.entry.pool);
            if is_free && usable && may_acquire && !claimed(id) {
                acquire.push(id.clone());
            }
        }
        for id in &self.leased {
            if self.assignment.assigned.contains(id) {
                continue;
            }
            self.assignment.misassigned.entry(id.clone()).or_insert(now);
            if self.targets[id].is_idle() {
                release.push(id.clone());
            }
        }
        for id in acquire {
            self.acquire(now, &id);
        }
        for id in release {
            self.release(&id);
        }
    }

    /// Computes the targets assigned to this host, if hosts or targets changed.
    fn update_assignment(&mut self, hosts: &[HostInfo]) {
        if !self.assignment.is_stale && self.assignment.hosts == hosts {
            return;
        }
        let own_name = &self.assignment.own_name;
        let candidates = Candidates::new(hosts);
        let targets = self.targets.iter();
        let own = targets.filter(|(id, target)| {
            let hall = &target.entry.hall;
            candidates.may_hold(own_name, hall) && candidates.holds(own_name, id, hall)
        });
        self.assignment.assigned = own.map(|(id, _)| id.clone()).collect();
        self.assignment.hosts = hosts.to_vec();
        self.assignment.is_stale = false;
    }

    /// Sets the pools that the configuration names.
    pub fn set_pools(&mut self, pools: HashSet<Name>) {
        self.pools = Some(pools);
    }

    /// Returns true if the configuration names the pool, or isn't known yet. Targets of other pools
    /// are never called.
    fn is_pool_named(&self, pool: &Name) -> bool {
        let pools = self.pools.as_ref();
        pools.is_none_or(|pools| pools.contains(pool))
    }

    fn acquire(&mut self, now: Millis, id: &Name) {
        let token = self.tokens.next(now);
        if let Some(target) = self.targets.get_mut(id) {
            target.lease.acquire(now, token);
            target.drop_reservation();
            self.leased.insert(id.clone());
            self.active.insert(id.clone());
            self.record_target(id, TargetState::Acquiring, StateSource::Assignment);
        }
    }

    fn release(&mut self, id: &Name) {
        self.assignment.remove(id);
        self.leased.remove(id);
        if let Some(target) = self.targets.get_mut(id) {
            target.lease.release();
            target.reset();
            let source = StateSource::AssignedElsewhere;
            self.record_target(id, TargetState::Released, source);
        }
    }

    /// Handles a reply that shows a higher token than `sent` at the target; see [`contention`].
    pub(super) fn token_superseded(&mut self, now: Millis, id: &Name, sent: u64) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        // A call with an earlier token shows nothing about the present one.
        let Some(claim) = target.lease.claim().filter(|_| sent == target.lease.token) else {
            return;
        };
        self.end_unsent(now, id);
        let misassigned = self.assignment.is_misassigned(id);
        match contention::respond(now, claim, misassigned) {
            Response::TakeBack { reset_lost_claims } => {
                let token = self.tokens.next(now);
                self.reacquire(id, |lease| lease.take_back(now, token, reset_lost_claims));
            }
            Response::RaiseToken { by_ms } => {
                let token = self.tokens.next(now + by_ms);
                self.reacquire(id, |lease| lease.raise_token(now, token));
            }
            Response::BackOff => {
                let target = self.targets.get_mut(id).expect("just found");
                target.lease.lose(now);
                target.reset();
                self.leased.remove(id);
                self.assignment.remove(id);
                self.record_target(id, TargetState::Released, StateSource::StaleToken);
            }
        }
    }

    fn reacquire(&mut self, id: &Name, acquire: impl FnOnce(&mut super::lease::Lease)) {
        let target = self.targets.get_mut(id).expect("the target is known");
        acquire(&mut target.lease);
        target.drop_reservation();
        self.record_target(id, TargetState::Reacquiring, StateSource::StaleToken);
    }

    /// Handles a reply that shows another process at the target's address.
    pub(super) fn handle_wrong_incarnation(&mut self, now: Millis, id: &Name) {
        let known = self.targets.get(id);
        let latest_loss = known.and_then(|target| self.latest_loss(now, target));
        if let Some(target) = self.targets.get_mut(id) {
            let (loss, by) = (TargetLoss::ProcessGone, EndEvidence::WrongIncarnation);
            let reports = target.end_all_attempts(now, loss, latest_loss, by);
            target.lease.release();
            target.reset();
            target.lease.backoff_until = now + contention::BACKOFF_MS;
            target.unlisted_since.get_or_insert(now);
            self.unlisted.insert(id.clone());
            self.leased.remove(id);
            self.reports.extend(reports);
            self.record_target(id, TargetState::Removed, StateSource::WrongIncarnation);
        }
    }
}
