//! What is known of the platform's store: who reads it, and what hosts tell each other of
//! it. See [`crate::rules::store_readers`].

use gannetridge_wire::Name;

use crate::decision::{Decision, StoreReading};
use crate::event::{SendFailure, StoreTable};
use crate::message::{PlatformUpdate, Reply, ReplyBody, Request, StoreUpdate, TargetListUpdate};
use crate::rules::store_readers::{reader_to_ask, readers};
use crate::store_news::OwnState;
use crate::Millis;

use super::peer_calls::{body, Purpose};
use super::Dispatcher;

impl Dispatcher {
    /// Returns how this host learns what the platform's store holds.
    #[must_use]
    pub fn store_reading(&self, now: Millis) -> StoreReading {
        let hosts = self.peers.eligible_holders(now, self.stopping.is_none());
        let readers = readers(&hosts, &self.own.hall);
        if readers.is_empty() {
            StoreReading::Alone
        } else if readers.contains(&self.own.name) {
            StoreReading::Reader
        } else if self.store_news.is_stale(now) {
            StoreReading::Stale
        } else {
            StoreReading::FromPeers
        }
    }

    /// Returns the version up to which a table of the store is known, 0 for none.
    #[must_use]
    pub fn store_version(&self, table: StoreTable) -> u64 {
        self.store_news.version(table)
    }

    pub(super) fn store_reachable(&mut self, now: Millis, reachable: bool) {
        let changed = self.targets.is_store_reachable() != reachable;
        self.targets.set_store_reachable(now, reachable);
        if changed {
            self.record(Decision::Store { reachable });
        }
    }

    /// Returns whether the store itself brings a new configuration soon, so that it isn't
    /// asked of a peer as well: on a slow link two of them take each other's room.
    pub(super) fn awaits_configuration(&self, now: Millis) -> bool {
        let reads = matches!(
            self.store_reading(now),
            StoreReading::Alone | StoreReading::Reader
        );
        reads && self.targets.is_store_reachable() && !self.store_news.is_stale(now)
    }

    /// Asks another host for news of the store: where others are to tell them, and where
    /// the store gives this host no answer.
    pub(super) fn ask_for_store_news(&mut self, now: Millis) {
        if !self.store_news.take_due_ask(now) {
            return;
        }
        let reading = self.store_reading(now);
        self.note_reading(now, reading);
        let told = match reading {
            StoreReading::FromPeers | StoreReading::Stale => self.store_news.age(now).is_some(),
            StoreReading::Alone | StoreReading::Reader => false,
        };
        let wanted = told || !self.targets.is_store_reachable();
        if !wanted {
            return;
        }
        let hosts = self.peers.eligible_holders(now, false);
        let asked = reader_to_ask(&hosts, &self.own, self.store_news.asked_next());
        if let Some(name) = asked {
            let after = self.store_news.version(StoreTable::Targets);
            let purpose = Purpose::StoreUpdates { asked: now };
            self.call_peer(now, &name, Request::PlatformUpdates { after }, purpose);
        }
    }

    /// Logs how this host learns what the store holds, when that changed.
    fn note_reading(&mut self, now: Millis, reading: StoreReading) {
        if self.noted_reading.replace(reading) != Some(reading) {
            let age_ms = self.store_news.age(now);
            self.record(Decision::StoreReading { reading, age_ms });
        }
    }

    /// Returns what a peer is told that asks for news of the store.
    pub(super) fn tell_platform_news(&self, now: Millis, after: u64) -> Option<PlatformUpdate> {
        Some(PlatformUpdate {
            store: self.tell_store_news(now, after)?,
            draining: self.tell_draining(),
        })
    }

    /// Returns what a peer is told that asks for news of the list of targets.
    pub(super) fn tell_store_news(&self, now: Millis, after: u64) -> Option<StoreUpdate> {
        let settled = self.targets.list_is_settled(now) && !self.store_news.is_stale(now);
        let in_force = self.version();
        self.store_news
            .tell(now, after, OwnState { in_force, settled })
    }

    pub(super) fn store_news_replied(
        &mut self,
        now: Millis,
        name: &Name,
        asked: Millis,
        reply: Result<Reply, SendFailure>,
    ) {
        let PlatformUpdate {
            store: news,
            draining,
        } = match body(reply) {
            Some(ReplyBody::PlatformUpdates(Some(news))) => news,
            _ => return self.store_news.no_news(),
        };
        if let Some(draining) = draining {
            self.draining_told(now, draining);
        }
        if self.store_news.told(asked, &news) {
            match news.list.clone() {
                TargetListUpdate::Whole(targets) => self.targets.replace_list(now, targets.into()),
                TargetListUpdate::WholeWithUnusable(list) => self.targets.replace_list(now, list),
                TargetListUpdate::Changes(changes) => self.targets.apply_list_changes(now, changes),
            }
            self.targets.set_reported_settled(news.settled);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.version = peer.version.max(news.in_force);
        }
        // Where reading goes on from the version that was told, no draining hall may be
        // missing before it.
        let halls_known = self.draining.version() >= Some(news.configuration_version)
            || !self.settings.safeguards.draining_is_learned_from_peers;
        if news.in_force == self.version() && halls_known {
            self.store_news.told_configuration(asked, &news);
        }
        self.fetch_configuration(now, name);
        if self.store_news.is_stale(now) {
            self.store_news.no_news();
        }
    }
}
