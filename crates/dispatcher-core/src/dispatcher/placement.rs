//! Finds targets for waiting tasks at this host and at peers, and reserves resources for peers'
//! tasks. See [`crate::rules::target_choice`] and [`crate::rules::peer_choice`].

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
use crate::{Millis, Urgency};

use super::peer_calls::{Purpose, PEER_RETRY_MS};
use super::Dispatcher;

/// The most waiting tasks considered after one event; bounds its cost.
pub(super) const MAX_SCHEDULED: usize = 64;
/// The urgency assumed for tasks whose request doesn't carry it: the most urgent.
pub(super) const DEFAULT_URGENCY: Urgency = 0;

/// The last advertised demand.
#[derive(Clone, Debug)]
pub(super) struct Advertised {
    demand: Demand,
    at: Millis,
}

/// A peer's demand with its current priority.
struct PeerDemand {
    peer: Name,
    demand: Demand,
    priority: Priority,
}

/// The peers' demand of the highest priority within one pass. It is determined once and again after
/// each reservation, since doing so for each waiting task would be too expensive.
#[derive(Default)]
enum TopPeerDemand {
    /// Not determined since the last reservation.
    #[default]
    Unknown,
    Known(PeerDemand),
    /// There is no demand, or no resources for it. Within a pass, resources only decrease.
    NotServed,
}

/// The state of one scheduling pass over the waiting tasks.
#[derive(Default)]
struct Pass {
    top_peer_demand: TopPeerDemand,
    /// Tasks for which no target was found.
    unplaced: Vec<WaitingTask>,
    /// Tasks to send to peers, by peer.
    batches: BTreeMap<Name, Vec<TaskOrder>>,
    /// Tasks to send to peers that must run alone on a target, by peer.
    alone: BTreeMap<Name, Vec<TaskOrder>>,
    not_found_here: FailedSearches,
    not_found_at_peers: FailedSearches,
}

/// Returns true if a target that could run a task is free, at this host or at a peer that reported
/// its free resources within a heartbeat interval.
pub(super) fn has_free_target(
    targets: &TargetLeases,
    peers: &Peers,
    now: Millis,
    order: &TaskOrder,
) -> bool {
    targets.has_free_resources(now, order) || peers.has_free_resources(now, order)
}

impl Dispatcher {
    /// Finds targets for the waiting tasks.
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
        self.advertise(now, &pass.unplaced);
    }

    /// Returns true if tasks may be started on this host's targets: not during a shutdown, unless
    /// no other host could start them.
    pub(super) fn starts_here(&self, now: Millis) -> bool {
        self.stopping.is_none() || self.peers.eligible_holders(now, false).is_empty()
    }

    /// Starts a task at this host, or chooses a peer for it.
    fn place(&mut self, now: Millis, pass: &mut Pass, task: WaitingTask, starts_here: bool) {
        let needed = task.resources;
        let here = starts_here
            && pass
                .not_found_here
                .may_find(&needed, |r| self.targets.may_fit(now, r));
        let at_peers = task.may_ask_peers
            && pass
                .not_found_at_peers
                .may_find(&needed, |r| self.peers.may_fit(now, r));
        if !here && !at_peers {
            pass.unplaced.push(task);
            return;
        }
        let order = self.jobs.order(&task.job, task.index);
        let reach = reach_of(&task);
        if here
            && self
                .targets
                .start(now, &self.as_owner(), &order, reach, DEFAULT_URGENCY)
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
                self.request_clock(now, &peer.name);
                pass.unplaced.push(task);
            }
            None => pass.unplaced.push(task),
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

    /// Requests a peer's clock, without which no tasks can be sent to it.
    pub(super) fn request_clock(&mut self, now: Millis, name: &Name) {
        let peer = self.peers.get_mut(name);
        if peer.is_some_and(|peer| peer.try_request_clock(now, PEER_RETRY_MS)) {
            let heartbeat = Request::Heartbeat(self.heartbeat());
            self.call_peer(now, name, heartbeat, Purpose::Heartbeat);
        }
    }

    /// Reserves resources for demands of peers with a higher priority than `next`, or for all
    /// demands if `next` is `None`, as far as the resources suffice.
    fn reserve_for_peers(&mut self, now: Millis, pass: &mut Pass, next: Option<&WaitingTask>) {
        if self.stopping.is_some() {
            return;
        }
        loop {
            if matches!(pass.top_peer_demand, TopPeerDemand::Unknown) {
                pass.top_peer_demand = self.top_peer_demand(now);
            }
            let TopPeerDemand::Known(first) = &pass.top_peer_demand else {
                return;
            };
            if next.is_some_and(|task| task.priority <= first.priority) {
                return;
            }
            let Some(free) = self.targets.reserve(now, &first.peer, &first.demand) else {
                pass.top_peer_demand = TopPeerDemand::NotServed;
                return;
            };
            let request = Request::Reservation(free);
            self.call_peer(now, &first.peer, request, Purpose::Reservation);
            if let Some(peer) = self.peers.get_mut(&first.peer) {
                peer.deduct_from_demand();
            }
            pass.top_peer_demand = TopPeerDemand::Unknown;
        }
    }

    /// Returns the peers' demand of the highest priority.
    fn top_peer_demand(&self, now: Millis) -> TopPeerDemand {
        let demanding = self.peers.iter().filter(|(_, peer)| peer.has_demand());
        let open = demanding.filter_map(|(name, peer)| Some((name, peer.open_demand(now)?)));
        let first = open.min_by(|(_, a), (_, b)| {
            a.priority
                .partial_cmp(&b.priority)
                .unwrap_or(Ordering::Equal)
        });
        first.map_or(TopPeerDemand::NotServed, |(name, open)| {
            TopPeerDemand::Known(PeerDemand {
                peer: name.clone(),
                demand: open.demand.clone(),
                priority: open.priority,
            })
        })
    }

    /// Advertises tasks for which no target was found: those of the first task's pool.
    pub(super) fn advertise(&mut self, now: Millis, unplaced: &[WaitingTask]) {
        let Some(first) = unplaced.first() else {
            return;
        };
        let pool = self.jobs.pool(&first.job).clone();
        let same_pool = unplaced.iter();
        let same_pool = same_pool.filter(|task| *self.jobs.pool(&task.job) == pool);
        let same_pool: Vec<&WaitingTask> = same_pool.collect();
        let Some(demand) = demand(&same_pool, &pool) else {
            return;
        };
        let last = self.advertised.as_ref();
        let added_ms = self.local_delay.extra_demand_interval_ms();
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

/// Returns the targets on which a task may be started, wherever its data is.
fn reach_of(task: &WaitingTask) -> Reach {
    if task.runs_alone {
        Reach::Alone
    } else {
        Reach::Anywhere
    }
}
