//! Updates from the platform's store: decides whether this host reads the store, and exchanges
//! updates with peers. See [`crate::rules::store_readers`].

use gannetridge_wire::Name;

use crate::decision::{Decision, StoreReading};
use crate::event::{SendFailure, StoreTable};
use crate::message::{PlatformUpdate, Reply, ReplyBody, Request, StoreUpdate, TargetListUpdate};
use crate::rules::store_readers::{reader_to_ask, readers};
use crate::store_replica::LocalState;
use crate::Millis;

use super::peer_calls::{body, Purpose};
use super::Dispatcher;

impl Dispatcher {
    /// Returns the way in which this host learns the contents of the platform's store.
    #[must_use]
    pub fn store_reading(&self, now: Millis) -> StoreReading {
        let hosts = self.peers.eligible_holders(now, self.stopping.is_none());
        let readers = readers(&hosts, &self.own.hall);
        if readers.is_empty() {
            StoreReading::Alone
        } else if readers.contains(&self.own.name) {
            StoreReading::Reader
        } else if self.store_replica.is_stale(now) {
            StoreReading::Stale
        } else {
            StoreReading::FromPeers
        }
    }

    /// Returns the version up to which a table of the store is known, 0 for none.
    #[must_use]
    pub fn store_version(&self, table: StoreTable) -> u64 {
        self.store_replica.version(table)
    }

    pub(super) fn store_reachable(&mut self, now: Millis, reachable: bool) {
        let changed = self.targets.is_store_reachable() != reachable;
        self.targets.set_store_reachable(now, reachable);
        if changed {
            self.record(Decision::Store { reachable });
        }
    }

    /// Returns true if this host will soon read a new configuration from the store. It isn't
    /// requested from a peer then, as two transfers would compete on a slow link.
    pub(super) fn awaits_configuration(&self, now: Millis) -> bool {
        let reads = matches!(
            self.store_reading(now),
            StoreReading::Alone | StoreReading::Reader
        );
        reads && self.targets.is_store_reachable() && !self.store_replica.is_stale(now)
    }

    /// Requests updates from a peer if this host relies on peers for them, or if the store is
    /// unreachable.
    pub(super) fn request_store_updates(&mut self, now: Millis) {
        if !self.store_replica.take_due_request(now) {
            return;
        }
        let reading = self.store_reading(now);
        self.log_reading_change(now, reading);
        let relies_on_peers = match reading {
            StoreReading::FromPeers | StoreReading::Stale => self.store_replica.age(now).is_some(),
            StoreReading::Alone | StoreReading::Reader => false,
        };
        let wanted = relies_on_peers || !self.targets.is_store_reachable();
        if !wanted {
            return;
        }
        let hosts = self.peers.eligible_holders(now, false);
        let reader = reader_to_ask(&hosts, &self.own, self.store_replica.next_peer_index());
        if let Some(name) = reader {
            let after = self.store_replica.version(StoreTable::Targets);
            let purpose = Purpose::StoreUpdates { requested_at: now };
            self.call_peer(now, &name, Request::PlatformUpdates { after }, purpose);
        }
    }

    /// Logs the way in which this host learns the contents of the store, if it changed.
    fn log_reading_change(&mut self, now: Millis, reading: StoreReading) {
        if self.logged_reading.replace(reading) != Some(reading) {
            let age_ms = self.store_replica.age(now);
            self.record(Decision::StoreReading { reading, age_ms });
        }
    }

    /// Returns the reply to a peer's request for updates of the store; `after` is the version of
    /// the list of targets that the peer knows.
    pub(super) fn platform_update(&self, now: Millis, after: u64) -> Option<PlatformUpdate> {
        Some(PlatformUpdate {
            store: self.store_update(now, after)?,
            draining: self.draining_update(),
        })
    }

    /// Returns the part of [`Self::platform_update`] without the draining halls.
    pub(super) fn store_update(&self, now: Millis, after: u64) -> Option<StoreUpdate> {
        let settled = self.targets.list_is_settled(now) && !self.store_replica.is_stale(now);
        let in_force = self.version();
        self.store_replica
            .update_after(now, after, LocalState { in_force, settled })
    }

    pub(super) fn handle_store_updates_reply(
        &mut self,
        now: Millis,
        name: &Name,
        requested_at: Millis,
        reply: Result<Reply, SendFailure>,
    ) {
        let PlatformUpdate {
            store: update,
            draining,
        } = match body(reply) {
            Some(ReplyBody::PlatformUpdates(Some(update))) => update,
            _ => return self.store_replica.record_unsuccessful_request(),
        };
        if let Some(draining) = draining {
            self.apply_draining_update(now, draining);
        }
        if self.store_replica.apply_update(requested_at, &update) {
            match update.list.clone() {
                TargetListUpdate::Whole(targets) => self.targets.replace_list(now, targets.into()),
                TargetListUpdate::WholeWithUnusable(list) => self.targets.replace_list(now, list),
                TargetListUpdate::Changes(changes) => self.targets.apply_list_changes(now, changes),
            }
            self.targets.set_reported_settled(update.settled);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.version = peer.version.max(update.in_force);
        }
        // Later reads of the store continue from the confirmed version, so all draining halls up to
        // it must be known.
        let halls_known = self.draining.version() >= Some(update.configuration_version)
            || !self.settings.safeguards.draining_is_learned_from_peers;
        if update.in_force == self.version() && halls_known {
            self.store_replica
                .confirm_configuration(requested_at, &update);
        }
        self.fetch_configuration(now, name);
        if self.store_replica.is_stale(now) {
            self.store_replica.record_unsuccessful_request();
        }
    }
}
