//! The peers that get a task, and those to which a demand is advertised.
//!
//! Brings together what is known of each peer and [`crate::rules::peer_choice`].

use std::collections::BTreeMap;

use gannetridge_wire::Name;

use super::{Peer, Peers};
use crate::message::{PoolLoad, Priority, TaskOrder};
use crate::rules::backlog::max_wait_ms;
use crate::rules::hall_load::HallLoad;
use crate::rules::holder_choice::{
    choose_holder, Availability, ExpectedStart, HolderView, TaskView,
};
use crate::rules::peer_choice::{freer_of_two, Preference, MAX_ADVERTISED_PEERS};
use crate::spec::Resources;
use crate::Millis;

/// How long a message takes to a host of the same hall, in ms, with its handling there.
const HALL_WAY_MS: Millis = 1;
/// How long a message takes to a host of another hall, in ms, with its handling there.
const OTHER_HALL_WAY_MS: Millis = 2;

/// A peer that is believed to have the resources for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenPeer {
    /// The peer.
    pub name: Name,
    /// Whether a task may be handed to it now; else its clock has to be heard
    /// first.
    pub has_fresh_clock: bool,
}

/// The holder that was chosen for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChosenHolder {
    /// This host.
    Own {
        /// Whether the task waits here.
        waits: bool,
    },
    /// A peer.
    Peer(ChosenPeer),
}

impl Peers {
    /// Returns whether any peer is believed to have such resources.
    #[must_use]
    pub fn may_fit(&self, now: Millis, resources: &Resources) -> bool {
        let peers = self.peers.values();
        let mut open = peers.filter(|peer| peer.accepts_tasks(now));
        open.any(|peer| peer.may_fit(resources))
    }

    /// Returns whether any peer is believed to take a task with such needs, now or to wait.
    #[must_use]
    pub fn may_accept(&self, now: Millis, resources: &Resources) -> bool {
        let peers = self.peers.values();
        let mut open = peers.filter(|peer| peer.accepts_tasks(now));
        open.any(|peer| peer.may_accept(resources))
    }

    /// Returns what living peers' targets have to do, each with the age of the news in ms.
    pub fn loads(&self, now: Millis) -> impl Iterator<Item = (&PoolLoad, Millis)> {
        let peers = self.peers.values();
        let open = peers.filter(move |peer| peer.accepts_tasks(now));
        open.flat_map(move |peer| peer.loads(now))
    }

    /// Adds what living peers' targets have to do to the loads of their halls.
    pub fn add_hall_loads(&self, now: Millis, halls: &mut BTreeMap<Name, HallLoad>) {
        for peer in self.peers.values().filter(|peer| peer.accepts_tasks(now)) {
            for (load, age_ms) in peer.loads(now) {
                let hall = halls.entry(peer.info.hall.clone()).or_default();
                hall.add(load, age_ms);
            }
        }
    }

    /// Returns whether a peer that was heard within a heartbeat had the resources for an order.
    #[must_use]
    pub fn has_free_capacity(&self, now: Millis, order: &TaskOrder) -> bool {
        let peers = self.peers.values();
        let mut heard = peers.filter(|peer| {
            peer.accepts_tasks(now) && now <= peer.free_received_at + peer.intervals.heartbeat
        });
        heard.any(|peer| peer.has_resources(order) || peer.has_free_capacity(order))
    }

    /// Chooses a peer that is believed to have the resources for an order, and
    /// takes them off that belief; see [`crate::rules::peer_choice`].
    ///
    /// `is_asked` tells whether a request goes to a peer anyway.
    pub fn choose_peer(
        &mut self,
        now: Millis,
        order: &TaskOrder,
        is_asked: impl Fn(&Name) -> bool,
    ) -> Option<ChosenPeer> {
        let preference = |peer: &Peer| Preference {
            other_hall: peer.info.hall != self.own.hall,
            extra_request: !is_asked(&peer.info.name),
            stale_clock: !peer.has_fresh_clock(now),
        };
        let open = self.peers.values();
        let open = open.filter(|peer| peer.accepts_tasks(now) && peer.has_resources(order));
        let ranked: Vec<(Preference, &Peer)> = open.map(|peer| (preference(peer), peer)).collect();
        let best = ranked.iter().map(|(preference, _)| *preference).min()?;
        let best: Vec<&Peer> = ranked
            .iter()
            .filter(|(preference, _)| *preference == best)
            .map(|(_, peer)| *peer)
            .collect();
        let picked = freer_of_two(&order.id.task, best.len(), |at| best[at].free_cpu());
        let chosen = ChosenPeer {
            name: best[picked].info.name.clone(),
            has_fresh_clock: best[picked].has_fresh_clock(now),
        };
        if let Some(peer) = self.peers.get_mut(&chosen.name) {
            peer.deduct(order);
        }
        Some(chosen)
    }

    /// Returns a peer that is believed to have a target for a task on which nothing runs, the
    /// own hall's first.
    #[must_use]
    pub fn choose_with_idle_target(&self, now: Millis, order: &TaskOrder) -> Option<ChosenPeer> {
        let peers = self.peers.values();
        let idle = peers.filter(|peer| peer.accepts_tasks(now) && peer.has_idle_target(order));
        let chosen = idle.min_by_key(|peer| {
            let other_hall = peer.info.hall != self.own.hall;
            (other_hall, !peer.has_fresh_clock(now))
        })?;
        Some(ChosenPeer {
            name: chosen.info.name.clone(),
            has_fresh_clock: chosen.has_fresh_clock(now),
        })
    }

    /// Chooses the holder to which a task is handed, this host (`own`) among them, and takes
    /// the task off what is believed of a peer; see [`crate::rules::holder_choice`].
    ///
    /// `is_asked` tells whether a request goes to a peer anyway.
    pub fn choose_holder(
        &mut self,
        now: Millis,
        task: &TaskView<'_>,
        order: &TaskOrder,
        priority: &Priority,
        own: HolderView,
        is_asked: impl Fn(&Name) -> bool,
    ) -> Option<ChosenHolder> {
        let urgency = priority.urgency;
        let open = self.peers.values().filter(|peer| peer.accepts_tasks(now));
        let mut names: Vec<Option<&Name>> = vec![None];
        let mut views = vec![own];
        for peer in open {
            if let Some(view) = self.holder_view(now, peer, order, urgency, &is_asked) {
                names.push(Some(&peer.info.name));
                views.push(view);
            }
        }
        let choice = choose_holder(task, &views, max_wait_ms(priority))?;
        let Some(name) = names[choice.holder].cloned() else {
            return Some(ChosenHolder::Own {
                waits: choice.start == ExpectedStart::AfterWait,
            });
        };
        let has_fresh_clock = !views[choice.holder].stale_clock;
        if let Some(peer) = self.peers.get_mut(&name) {
            peer.deduct_handed(order, urgency);
        }
        Some(ChosenHolder::Peer(ChosenPeer {
            name,
            has_fresh_clock,
        }))
    }

    /// Returns what a peer offers a task, if it may take it.
    fn holder_view(
        &self,
        now: Millis,
        peer: &Peer,
        order: &TaskOrder,
        urgency: u8,
        is_asked: impl Fn(&Name) -> bool,
    ) -> Option<HolderView> {
        let places = peer.places(now, order, urgency);
        if places.near == Availability::None && places.far == Availability::None {
            return None;
        }
        let other_hall = peer.info.hall != self.own.hall;
        Some(HolderView {
            other_hall,
            transit_ms: if other_hall {
                OTHER_HALL_WAY_MS
            } else {
                HALL_WAY_MS
            },
            extra_request: !is_asked(&peer.info.name),
            stale_clock: !peer.has_fresh_clock(now),
            near: places.near,
            far: places.far,
            update_age_ms: places.age_ms,
        })
    }

    /// Returns the peers to which a demand is advertised, others each time if there
    /// are many: not those of draining halls, unless there are no others.
    pub fn next_demand_recipients(&mut self, now: Millis) -> Vec<Name> {
        let open = self.peers.iter();
        let open = open.filter(|(_, peer)| peer.accepts_tasks(now));
        let (drained, serving): (Vec<_>, Vec<_>) =
            open.partition(|(_, peer)| self.draining.contains(&peer.info.hall));
        let open = if serving.is_empty() { drained } else { serving };
        let open: Vec<&Name> = open.into_iter().map(|(name, _)| name).collect();
        let first = self.next_advertised % open.len().max(1);
        let count = MAX_ADVERTISED_PEERS.min(open.len());
        let chosen = open.iter().cycle().skip(first).take(count);
        let chosen: Vec<Name> = chosen.map(|name| (*name).clone()).collect();
        self.next_advertised = first + chosen.len();
        chosen
    }
}
