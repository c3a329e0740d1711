//! Selects the peers that get a task, and those to which a demand is advertised.
//!
//! Applies [`crate::rules::peer_choice`] and [`crate::rules::holder_choice`] to the known
//! state of each peer.

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
use crate::{Millis, Urgency};

/// One-way delay to a host of the same hall, with the handling there, in ms.
const SAME_HALL_DELAY_MS: Millis = 1;
/// One-way delay to a host of another hall, with the handling there, in ms.
const OTHER_HALL_DELAY_MS: Millis = 2;

/// A peer that has, as far as known, the resources for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ChosenPeer {
    /// The peer's name.
    pub name: Name,
    /// Whether a task may be handed over to it now; otherwise its clock has to be requested first.
    pub has_fresh_clock: bool,
}

/// The holder chosen for a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChosenHolder {
    /// This host.
    Own {
        /// Whether the task waits here instead of starting at once.
        waits: bool,
    },
    /// A peer.
    Peer(ChosenPeer),
}

impl Peers {
    /// Returns whether any peer that accepts tasks has, as far as known, these resources free.
    #[must_use]
    pub fn may_fit(&self, now: Millis, resources: &Resources) -> bool {
        let peers = self.peers.values();
        let mut open = peers.filter(|peer| peer.accepts_tasks(now));
        open.any(|peer| peer.may_fit(resources))
    }

    /// Returns whether any peer would, as far as known, start or queue a task with these needs.
    #[must_use]
    pub fn may_accept(&self, now: Millis, resources: &Resources) -> bool {
        let peers = self.peers.values();
        let mut open = peers.filter(|peer| peer.accepts_tasks(now));
        open.any(|peer| peer.may_accept(resources))
    }

    /// Returns the pool loads of the peers that accept tasks, each with its age in ms.
    pub fn loads(&self, now: Millis) -> impl Iterator<Item = (&PoolLoad, Millis)> {
        let peers = self.peers.values();
        let open = peers.filter(move |peer| peer.accepts_tasks(now));
        open.flat_map(move |peer| peer.loads(now))
    }

    /// Adds the pool loads of the peers that accept tasks to the loads of their halls.
    pub fn add_hall_loads(&self, now: Millis, halls: &mut BTreeMap<Name, HallLoad>) {
        for peer in self.peers.values().filter(|peer| peer.accepts_tasks(now)) {
            for (load, age_ms) in peer.loads(now) {
                let hall = halls.entry(peer.info.hall.clone()).or_default();
                hall.add(load, age_ms);
            }
        }
    }

    /// Returns whether a peer that replied within a heartbeat interval had the resources for an
    /// order.
    #[must_use]
    pub fn has_free_resources(&self, now: Millis, order: &TaskOrder) -> bool {
        let peers = self.peers.values();
        let mut recent = peers.filter(|peer| {
            peer.accepts_tasks(now) && now <= peer.free_received_at + peer.intervals.heartbeat_ms
        });
        recent.any(|peer| peer.has_free_resources(order) || peer.has_free_target(order))
    }

    /// Chooses a peer that has, as far as known, the resources for an order, and deducts them
    /// from its known free resources; see [`crate::rules::peer_choice`].
    ///
    /// `is_asked` returns whether a request goes to a peer anyway.
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
        let open = open.filter(|peer| peer.accepts_tasks(now) && peer.has_free_resources(order));
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

    /// Chooses a peer that has, as far as known, an idle target for a task; peers of the own
    /// hall come first, then those whose clock is fresh.
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

    /// Chooses the holder to which a task is handed over, among the peers and this host (`own`). If
    /// it is a peer, the task is deducted from the peer's known free capacity; see
    /// [`crate::rules::holder_choice`].
    ///
    /// `is_asked` returns whether a request goes to a peer anyway.
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
            peer.deduct_handed_over(order, urgency);
        }
        Some(ChosenHolder::Peer(ChosenPeer {
            name,
            has_fresh_clock,
        }))
    }

    /// Returns a peer as a candidate holder for a task; `None` if it can't accept the task.
    fn holder_view(
        &self,
        now: Millis,
        peer: &Peer,
        order: &TaskOrder,
        urgency: Urgency,
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
                OTHER_HALL_DELAY_MS
            } else {
                SAME_HALL_DELAY_MS
            },
            extra_request: !is_asked(&peer.info.name),
            stale_clock: !peer.has_fresh_clock(now),
            near: places.near,
            far: places.far,
            update_age_ms: places.age_ms,
        })
    }

    /// Returns the peers to which the next demand is advertised. They rotate over all peers
    /// that accept tasks; peers of draining halls are left out unless there are no others.
    pub fn next_demand_recipients(&mut self, now: Millis) -> Vec<Name> {
        let open = self.peers.iter();
        let open = open.filter(|(_, peer)| peer.accepts_tasks(now));
        let (draining, serving): (Vec<_>, Vec<_>) =
            open.partition(|(_, peer)| self.draining.contains(&peer.info.hall));
        let open = if serving.is_empty() {
            draining
        } else {
            serving
        };
        let open: Vec<&Name> = open.into_iter().map(|(name, _)| name).collect();
        let first = self.next_advertised % open.len().max(1);
        let count = MAX_ADVERTISED_PEERS.min(open.len());
        let chosen = open.iter().cycle().skip(first).take(count);
        let chosen: Vec<Name> = chosen.map(|name| (*name).clone()).collect();
        self.next_advertised = first + chosen.len();
        chosen
    }
}
