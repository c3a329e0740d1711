//! The halls that the operator empties: what this host hears of them, and hands on to its
//! parts. See [`crate::rules::draining`].

use gannetridge_wire::Name;

use crate::decision::{ConfigurationSource, Decision, EndCause};
use crate::event::HallChange;
use crate::message::DrainingUpdate;
use crate::settings::Safeguards;
use crate::targets::Runnable;
use crate::Millis;

use super::Dispatcher;

impl Dispatcher {
    /// Handles the whole list of draining halls, as read from the store.
    pub(super) fn draining_read(&mut self, now: Millis, version: u64, halls: Vec<Name>) {
        if self.settings.safeguards.draining_is_read {
            let halls = self.with_those_that_stay(halls);
            let changes = self.draining.replace(version, halls);
            self.hand_on_draining(now, changes, ConfigurationSource::Store);
        }
    }

    /// Handles changes of the draining halls, as read from the store.
    pub(super) fn draining_changed(&mut self, now: Millis, version: u64, changes: &[HallChange]) {
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
        self.hand_on_draining(now, changes, ConfigurationSource::Store);
    }

    /// Handles what another host told of draining halls.
    pub(super) fn draining_told(&mut self, now: Millis, news: DrainingUpdate) {
        if self.settings.safeguards.draining_is_learned_from_peers {
            let halls = self.with_those_that_stay(news.halls);
            let changes = self.draining.replace(news.version, halls);
            self.hand_on_draining(now, changes, ConfigurationSource::Peer);
        }
    }

    /// Adds the halls that drain already, where a test takes out that draining ends.
    fn with_those_that_stay(&self, mut halls: Vec<Name>) -> Vec<Name> {
        if !self.settings.safeguards.draining_ends {
            halls.extend(self.draining.halls().iter().cloned());
        }
        halls
    }

    /// Returns what another host is told of draining halls, if anything is known.
    pub(super) fn tell_draining(&self) -> Option<DrainingUpdate> {
        let version = self.draining.version()?;
        Some(DrainingUpdate {
            version,
            halls: self.draining.halls().iter().cloned().collect(),
        })
    }

    fn hand_on_draining(
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
                age_ms: self.store_news.age(now),
                from,
            });
        }
        self.targets.set_draining(self.draining.halls());
        self.peers.set_draining(self.draining.halls());
        self.end_where_all_drain(now);
    }

    /// Ends jobs that stand still and could go on in draining halls only.
    pub(super) fn end_where_all_drain(&mut self, now: Millis) {
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
