//! Draining halls: applies the changes that this host receives, and passes them to its parts. See
//! [`crate::rules::draining`].

use gannetridge_wire::Name;

use crate::decision::{ConfigurationSource, Decision, EndCause};
use crate::event::HallChange;
use crate::message::DrainingUpdate;
use crate::settings::Safeguards;
use crate::targets::Runnable;
use crate::Millis;

use super::Dispatcher;

impl Dispatcher {
    /// Applies the complete set of draining halls, as read from the store.
    pub(super) fn replace_draining_halls(&mut self, now: Millis, version: u64, halls: Vec<Name>) {
        if self.settings.safeguards.draining_is_read {
            let halls = self.with_halls_already_draining(halls);
            let changes = self.draining.replace(version, halls);
            self.publish_draining_changes(now, changes, ConfigurationSource::Store);
        }
    }

    /// Applies changes of the draining halls, as read from the store.
    pub(super) fn apply_draining_changes(
        &mut self,
        now: Millis,
        version: u64,
        changes: &[HallChange],
    ) {
        let Safeguards {
            draining_is_followed,
            draining_ends,
            ..
        } = self.settings.safeguards;
        let mut changes = changes.to_vec();
        changes.retain(|change| match change.draining {
            true => draining_is_followed,
            false => draining_ends,
        });
        let changes = self.draining.apply(version, &changes);
        self.publish_draining_changes(now, changes, ConfigurationSource::Store);
    }

    /// Applies the draining halls that a peer sent.
    pub(super) fn apply_draining_update(&mut self, now: Millis, update: DrainingUpdate) {
        if self.settings.safeguards.draining_is_learned_from_peers {
            let halls = self.with_halls_already_draining(update.halls);
            let changes = self.draining.replace(update.version, halls);
            self.publish_draining_changes(now, changes, ConfigurationSource::Peer);
        }
    }

    /// Adds the halls that are draining already if a test disables the end of draining.
    fn with_halls_already_draining(&self, mut halls: Vec<Name>) -> Vec<Name> {
        if !self.settings.safeguards.draining_ends {
            halls.extend(self.draining.halls().iter().cloned());
        }
        halls
    }

    /// Returns the draining halls to send to a peer, if they are known.
    pub(super) fn draining_update(&self) -> Option<DrainingUpdate> {
        let version = self.draining.version()?;
        Some(DrainingUpdate {
            version,
            halls: self.draining.halls().iter().cloned().collect(),
        })
    }

    fn publish_draining_changes(
        &mut self,
        now: Millis,
        changes: Vec<HallChange>,
        from: ConfigurationSource,
    ) {
        if changes.is_empty() {
            return;
        }
        for HallChange { hall, draining } in changes {
            self.record(Decision::HallDraining {
                hall,
                draining,
                version: self.draining.version().unwrap_or(0),
                age_ms: self.store_replica.age(now),
                from,
            });
        }
        self.targets.set_draining(self.draining.halls());
        self.peers.set_draining(self.draining.halls());
        self.end_jobs_blocked_by_draining(now);
    }

    /// Ends jobs that have waiting but no running tasks and could continue only in draining halls.
    pub(super) fn end_jobs_blocked_by_draining(&mut self, now: Millis) {
        if self.draining.halls().is_empty() {
            return;
        }
        for id in self.jobs.without_attempts() {
            let mut orders = self.jobs.first_orders(&id).into_iter();
            if orders.any(|order| self.targets.runnable(&order) == Runnable::InDrainingHalls) {
                self.jobs.end(now, &id, EndCause::Draining);
            }
        }
    }
}
