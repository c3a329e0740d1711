//! Finds targets for the tasks that wait, here and at peers, and reserves resources
//! for peers' tasks. See [`crate::rules::target_choice`] and
//! [`crate::rules::peer_choice`].

use std::cmp::Ordering;
use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::jobs::{demand, WaitingTask};
use crate::message::{Demand, Request, TaskOrder};
use crate::rules::peer_choice::is_advertised;
use crate::rules::target_choice::NotFound;
use crate::targets::Owner;
use crate::Millis;

use super::peer_calls::{Purpose, PEER_RETRY_MS};
use super::Dispatcher;

/// The most waiting tasks that are looked at after one event: bounds its cost.
/// Chosen, not measured.
pub(super) const MAX_SCHEDULED: usize = 64;

/// The demand that was advertised last.
#[derive(Clone, Debug)]
pub(super) struct Advertised {
    demand: Demand,
    at: Millis,
}

/// A peer's demand that goes before others, as it is now.
struct FirstDemand {
    peer: Name,
    demand: Demand,
}

/// One pass over the waiting tasks.
#[derive(Default)]
struct Pass {
    /// Tasks for which nothing was found.
    left: Vec<WaitingTask>,
    /// Tasks to be handed to peers.
    batches: BTreeMap<Name, Vec<TaskOrder>>,
    not_here: NotFound,
    not_at_peers: NotFound,
}

impl Dispatcher {
    /// Finds targets for the tasks that wait, the first in priority first.
    pub(super) fn schedule(&mut self, now: Millis) {
        if self.jobs.none_waits() {
            return self.reserve_for_peers(now, None);
        }
        let mut pass = Pass::default();
        let starts_here = self.starts_here(now);
        for task in self.jobs.waiting(now, MAX_SCHEDULED) {
            self.reserve_for_peers(now, Some(&task));
            self.place(now, &mut pass, task, starts_here);
        }
        self.reserve_for_peers(now, None);
        for (peer, orders) in pass.batches {
            self.send_place(now, &peer, orders);
        }
        self.advertise(now, &pass.left);
    }

    /// Returns whether tasks may be started on this host's targets: not while it is
    /// stopping, unless no other host could.
    fn starts_here(&self, now: Millis) -> bool {
        self.stopping.is_none() || self.peers.staying(now, false).is_empty()
    }

    /// Starts a task here, or picks a peer for it.
    fn place(&mut self, now: Millis, pass: &mut Pass, task: WaitingTask, starts_here: bool) {
        let needed = task.resources;
        let here = starts_here
            && pass
                .not_here
                .may_find(&needed, |r| self.targets.may_fit(now, r));
        let at_peers = task.may_ask
            && pass
                .not_at_peers
                .may_find(&needed, |r| self.peers.may_fit(now, r));
        if !here && !at_peers {
            pass.left.push(task);
            return;
        }
        let order = self.jobs.order(&task.job, task.index);
        if here && self.targets.start(now, &self.as_owner(), &order) {
            self.jobs.started_here(now, &task.job, task.index);
            return;
        }
        let is_asked = |name: &Name| pass.batches.contains_key(name);
        let chosen = at_peers.then(|| self.peers.choose(now, &order, is_asked));
        match chosen.flatten() {
            Some(peer) if peer.has_fresh_clock => {
                self.jobs
                    .handed_over(now, &task.job, task.index, &peer.name);
                pass.batches.entry(peer.name).or_default().push(order);
            }
            Some(peer) => {
                self.ask_clock(now, &peer.name);
                pass.left.push(task);
            }
            None => pass.left.push(task),
        }
    }

    /// Returns this host as the owner of attempts on its own targets.
    fn as_owner(&self) -> Owner {
        Owner {
            host: self.own.name.clone(),
            session: 0,
        }
    }

    /// Asks a peer for its clock, so that tasks can be handed to it.
    fn ask_clock(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.get_mut(name);
        if peer.is_some_and(|peer| peer.ask_clock(now, PEER_RETRY_MS)) {
            let heartbeat = Request::Heartbeat(self.heartbeat());
            self.call_peer(now, name, heartbeat, Purpose::Heartbeat);
        }
    }

    /// Reserves resources for peers whose demands go before a task here; for all
    /// that there are resources for, without one.
    fn reserve_for_peers(&mut self, now: Millis, next: Option<&WaitingTask>) {
        let demanded = self.peers.iter().any(|(_, peer)| peer.has_demand());
        if self.stopping.is_some() || !demanded {
            return;
        }
        while let Some(first) = self.first_demand(now, next) {
            let Some(free) = self.targets.reserve(now, &first.peer, &first.demand) else {
                return;
            };
            let request = Request::Reservation(free);
            self.call_peer(now, &first.peer, request, Purpose::Reservation);
            if let Some(peer) = self.peers.get_mut(&first.peer) {
                peer.serve_demand();
            }
        }
    }

    /// Returns the peers' first demand, if it goes before the task `next` of this host.
    fn first_demand(&self, now: Millis, next: Option<&WaitingTask>) -> Option<FirstDemand> {
        let intervals = self.peers.intervals();
        let peers = self.peers.iter();
        let open =
            peers.filter_map(|(name, peer)| Some((name, peer.open_demand(now, &intervals)?)));
        let first = open.min_by(|(_, a), (_, b)| {
            a.priority
                .partial_cmp(&b.priority)
                .unwrap_or(Ordering::Equal)
        });
        let (name, open) = first?;
        // Most calls end here, so nothing is cloned before.
        if next.is_some_and(|task| task.priority <= open.priority) {
            return None;
        }
        Some(FirstDemand {
            peer: name.clone(),
            demand: open.demand.clone(),
        })
    }

    /// Advertises the tasks for which nothing was found: those of the first one's
    /// pool.
    fn advertise(&mut self, now: Millis, left: &[WaitingTask]) {
        let Some(first) = left.first() else {
            return;
        };
        let pool = self.jobs.pool(&first.job).clone();
        let same_pool = left.iter();
        let same_pool = same_pool.filter(|task| *self.jobs.pool(&task.job) == pool);
        let same_pool: Vec<&WaitingTask> = same_pool.collect();
        let Some(demand) = demand(&same_pool, &pool) else {
            return;
        };
        let last = self.advertised.as_ref();
        if !is_advertised(now, &demand, last.map(|last| (&last.demand, last.at))) {
            return;
        }
        self.advertised = Some(Advertised {
            demand: demand.clone(),
            at: now,
        });
        for name in self.peers.advertised_to(now) {
            let request = Request::Demand(Some(demand.clone()));
            self.call_peer(now, &name, request, Purpose::Demand);
        }
    }
}
