//! Finds targets for the tasks that wait, here and at peers, and reserves resources
//! for peers' tasks. See [`crate::rules::target_choice`] and
//! [`crate::rules::peer_choice`].

use std::cmp::Ordering;
use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::jobs::{demand, WaitingTask};
use crate::message::{Demand, Priority, Request, TaskOrder};
use crate::peers::Peers;
use crate::rules::peer_choice::should_advertise;
use crate::rules::target_choice::FailedSearches;
use crate::settings::WaitingAt;
use crate::targets::{Owner, OwnerSession, Reach, TargetLeases};
use crate::Millis;

use super::peer_calls::{Purpose, PEER_RETRY_MS};
use super::Dispatcher;

/// The most waiting tasks that are looked at after one event: bounds its cost.
pub(super) const MAX_SCHEDULED: usize = 64;
/// The urgency of tasks whose queue's isn't told with their orders: the most urgent.
pub(super) const URGENCY_NOT_TOLD: u8 = 0;

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
    priority: Priority,
}

/// The peers' first demand in one pass. It is looked for once, and again after each
/// reservation: looking for it before each waiting task takes far more processor time.
#[derive(Default)]
enum PeersFirst {
    /// It was not looked for since the last reservation.
    #[default]
    Unknown,
    Known(FirstDemand),
    /// There is none, or nothing is left for it. In the course of a pass resources only
    /// become fewer.
    NotServed,
}

/// One pass over the waiting tasks.
#[derive(Default)]
struct Pass {
    peers_first: PeersFirst,
    /// Tasks for which nothing was found.
    left: Vec<WaitingTask>,
    /// Tasks to be handed to peers.
    batches: BTreeMap<Name, Vec<TaskOrder>>,
    /// Those of them that are to run alone on a target.
    alone: BTreeMap<Name, Vec<TaskOrder>>,
    not_here: FailedSearches,
    not_at_peers: FailedSearches,
}

/// Returns whether a target that could run an order has room, here or at a peer that was heard
/// within a heartbeat.
pub(super) fn has_room(
    targets: &TargetLeases,
    peers: &Peers,
    now: Millis,
    order: &TaskOrder,
) -> bool {
    targets.has_free_resources(now, order) || peers.has_free_capacity(now, order)
}

impl Dispatcher {
    /// Finds targets for the tasks that wait, the first in priority first.
    pub(super) fn schedule(&mut self, now: Millis) {
        match self.settings.scheduling.waiting_at {
            WaitingAt::Owner => self.schedule_with_reservations(now),
            WaitingAt::Holder => self.schedule_with_backlog(now),
        }
    }

    fn schedule_with_reservations(&mut self, now: Millis) {
        let mut pass = Pass::default();
        if self.jobs.has_no_waiting_tasks() {
            return self.reserve_for_peers(now, &mut pass, None);
        }
        let starts_here = self.starts_here(now);
        for task in self.jobs.waiting(now, MAX_SCHEDULED) {
            self.reserve_for_peers(now, &mut pass, Some(&task));
            self.place(now, &mut pass, task, starts_here);
        }
        self.reserve_for_peers(now, &mut pass, None);
        for (peer, orders) in pass.batches {
            self.send_place(now, &peer, orders, Request::Place);
        }
        for (peer, orders) in pass.alone {
            self.send_place(now, &peer, orders, Request::PlaceAlone);
        }
        self.advertise(now, &pass.left);
    }

    /// Returns whether tasks may be started on this host's targets: not while it is
    /// stopping, unless no other host could.
    pub(super) fn starts_here(&self, now: Millis) -> bool {
        self.stopping.is_none() || self.peers.eligible_holders(now, false).is_empty()
    }

    /// Starts a task here, or picks a peer for it.
    fn place(&mut self, now: Millis, pass: &mut Pass, task: WaitingTask, starts_here: bool) {
        let needed = task.resources;
        let here = starts_here
            && pass
                .not_here
                .may_find(&needed, |r| self.targets.may_fit(now, r));
        let at_peers = task.may_ask_peers
            && pass
                .not_at_peers
                .may_find(&needed, |r| self.peers.may_fit(now, r));
        if !here && !at_peers {
            pass.left.push(task);
            return;
        }
        let order = self.jobs.order(&task.job, task.index);
        let reach = reach_of(&task);
        if here
            && self
                .targets
                .start(now, &self.as_owner(), &order, reach, URGENCY_NOT_TOLD)
        {
            self.jobs.record_local_start(now, &task.job, task.index);
            return;
        }
        let is_asked = |name: &Name| pass.batches.contains_key(name);
        let chosen = at_peers.then(|| self.peers.choose_peer(now, &order, is_asked));
        match chosen.flatten() {
            Some(peer) if peer.has_fresh_clock => {
                self.jobs
                    .record_handover(now, &task.job, task.index, &peer.name);
                let batches = if task.runs_alone {
                    &mut pass.alone
                } else {
                    &mut pass.batches
                };
                batches.entry(peer.name).or_default().push(order);
            }
            Some(peer) => {
                self.ask_clock(now, &peer.name);
                pass.left.push(task);
            }
            None => pass.left.push(task),
        }
    }

    /// Returns this host as the owner of attempts on its own targets.
    pub(super) fn as_owner(&self) -> Owner {
        Owner {
            host: self.own.name.clone(),
            session: OwnerSession {
                incarnation: self.own.incarnation,
                number: 0,
            },
        }
    }

    /// Asks a peer for its clock, so that tasks can be handed to it.
    pub(super) fn ask_clock(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.get_mut(name);
        if peer.is_some_and(|peer| peer.try_request_clock(now, PEER_RETRY_MS)) {
            let heartbeat = Request::Heartbeat(self.heartbeat());
            self.call_peer(now, name, heartbeat, Purpose::Heartbeat);
        }
    }

    /// Reserves resources for peers whose demands go before a task here; for all
    /// that there are resources for, without one.
    fn reserve_for_peers(&mut self, now: Millis, pass: &mut Pass, next: Option<&WaitingTask>) {
        if self.stopping.is_some() {
            return;
        }
        loop {
            if matches!(pass.peers_first, PeersFirst::Unknown) {
                pass.peers_first = self.peers_first(now);
            }
            let PeersFirst::Known(first) = &pass.peers_first else {
                return;
            };
            if next.is_some_and(|task| task.priority <= first.priority) {
                return;
            }
            let Some(free) = self.targets.reserve(now, &first.peer, &first.demand) else {
                pass.peers_first = PeersFirst::NotServed;
                return;
            };
            let request = Request::Reservation(free);
            self.call_peer(now, &first.peer, request, Purpose::Reservation);
            if let Some(peer) = self.peers.get_mut(&first.peer) {
                peer.deduct_from_demand();
            }
            pass.peers_first = PeersFirst::Unknown;
        }
    }

    /// Returns the peers' first demand.
    fn peers_first(&self, now: Millis) -> PeersFirst {
        let demanding = self.peers.iter().filter(|(_, peer)| peer.has_demand());
        let open = demanding.filter_map(|(name, peer)| Some((name, peer.open_demand(now)?)));
        let first = open.min_by(|(_, a), (_, b)| {
            a.priority
                .partial_cmp(&b.priority)
                .unwrap_or(Ordering::Equal)
        });
        first.map_or(PeersFirst::NotServed, |(name, open)| {
            PeersFirst::Known(FirstDemand {
                peer: name.clone(),
                demand: open.demand.clone(),
                priority: open.priority,
            })
        })
    }

    /// Advertises the tasks for which nothing was found: those of the first one's
    /// pool.
    pub(super) fn advertise(&mut self, now: Millis, left: &[WaitingTask]) {
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
        let added_ms = self.own_delay.extra_demand_interval_ms();
        let last = last.map(|last| (&last.demand, last.at + added_ms));
        if !should_advertise(now, &demand, last) {
            return;
        }
        self.advertised = Some(Advertised {
            demand: demand.clone(),
            at: now,
        });
        for name in self.peers.next_demand_recipients(now) {
            let request = Request::Demand(Some(demand.clone()));
            self.call_peer(now, &name, request, Purpose::Demand);
        }
    }
}

/// Returns on which targets a task may be started, wherever its data lies.
fn reach_of(task: &WaitingTask) -> Reach {
    if task.runs_alone {
        Reach::Alone
    } else {
        Reach::Anywhere
    }
}
