//! Finds room for tasks that wait, here and at peers.

use super::*;

/// Rooms for which there was no room in one pass; in its course room only
/// becomes less.
#[derive(Default)]
struct Unfit(Vec<Resources>);

impl Unfit {
    /// Tells whether a room may fit: asks only if no smaller one was refused.
    fn may_fit(&mut self, resources: &Resources, ask: impl FnOnce(&Resources) -> bool) -> bool {
        if self.0.iter().any(|unfit| resources.fits(unfit)) {
            return false;
        }
        let fits = ask(resources);
        if !fits {
            self.0.push(*resources);
        }
        fits
    }
}

impl Dispatcher {
    /// Finds room for what waits, here and at peers, the most urgent first.
    pub(super) fn schedule(&mut self, now: Millis) {
        if self.jobs.none_waits() {
            return self.reserve_for_peers(now, None);
        }
        let own = self.own.name.clone();
        let starts_here = self.starts_here(now);
        let mut left: Vec<WaitingTask> = Vec::new();
        let mut batches: BTreeMap<Name, Vec<TaskOrder>> = BTreeMap::new();
        let (mut full_here, mut full_there) = (Unfit::default(), Unfit::default());
        for task in self.jobs.waiting(now, MAX_LOOKED_AT) {
            self.reserve_for_peers(now, Some(&task));
            let here =
                starts_here && full_here.may_fit(&task.resources, |r| self.targets.may_fit(now, r));
            let there =
                task.may_ask && full_there.may_fit(&task.resources, |r| self.peers.may_fit(now, r));
            if !here && !there {
                left.push(task);
                continue;
            }
            let order = self.jobs.order(&task.job, task.index);
            if here && self.targets.place(now, &own, 0, &order) {
                self.jobs.started(now, &task.job, task.index);
                continue;
            }
            let is_asked = |name: &Name| batches.contains_key(name);
            let peer = there.then(|| self.peers.choose(now, &order, is_asked));
            match peer.flatten() {
                Some(peer) if peer.fresh => {
                    self.jobs.asked(now, &task.job, task.index, &peer.name);
                    batches.entry(peer.name).or_default().push(order);
                }
                Some(peer) => {
                    self.ask_clock(now, &peer.name);
                    left.push(task);
                }
                None => left.push(task),
            }
        }
        self.reserve_for_peers(now, None);
        for (peer, orders) in batches {
            self.send_place(now, &peer, orders);
        }
        self.advertise_demand(now, &left);
    }

    /// Asks a peer for its clock, so that tasks can be handed to it.
    fn ask_clock(&mut self, now: Millis, name: &Name) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        if peer.clock_asked.is_some_and(|at| at + RETRY_MS > now) {
            return;
        }
        peer.clock_asked = Some(now);
        let heartbeat = Request::Heartbeat(self.heartbeat());
        self.call_peer(now, name, heartbeat, Purpose::Heartbeat);
    }

    /// Offers room to peers whose wants are more urgent than a task here.
    pub(super) fn reserve_for_peers(&mut self, now: Millis, next: Option<&WaitingTask>) {
        let wanted = self.peers.all.values().any(|peer| peer.demand.is_some());
        if self.stopping.is_some() || !wanted {
            return;
        }
        let intervals = self.peers.intervals();
        loop {
            let demands = self.peers.all.iter().filter_map(|(name, peer)| {
                let (demand, heard, until) = peer.demand.as_ref()?;
                let open = *until > now && peer.takes_tasks(now, &intervals);
                let priority = Priority {
                    rank: demand.priority.rank,
                    urgency: demand.priority.urgency,
                    slack_ms: demand.priority.slack_ms - now.saturating_sub(*heard) as i64,
                };
                open.then_some((priority, name, demand))
            });
            let first =
                demands.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
            let Some((priority, name, demand)) = first else {
                return;
            };
            if next.is_some_and(|task| task.priority <= priority) {
                return;
            }
            let (name, demand) = (name.clone(), demand.clone());
            let Some(free) = self.targets.reserve(now, &name, &demand) else {
                return;
            };
            self.call_peer(now, &name, Request::Reservation(free), Purpose::Reservation);
            // The next offer to it waits until it says again what it wants.
            if let Some(peer) = self.peers.all.get_mut(&name) {
                if let Some((demand, _, _)) = &mut peer.demand {
                    demand.count = demand.count.saturating_sub(1);
                    if demand.count == 0 {
                        peer.demand = None;
                    }
                }
            }
        }
    }

    pub(super) fn advertise_demand(&mut self, now: Millis, left: &[WaitingTask]) {
        let Some(first) = left.first() else {
            return;
        };
        let pool = self.jobs.pool(&first.job).clone();
        let same_pool = left
            .iter()
            .filter(|task| *self.jobs.pool(&task.job) == pool);
        let same_pool: Vec<WaitingTask> = same_pool.cloned().collect();
        let Some(demand) = jobs::demand(&same_pool, &pool) else {
            return;
        };
        let told = self.demand.as_ref().is_some_and(|(told, at)| {
            let more = demand.priority.rank < told.priority.rank || demand.count > 2 * told.count;
            let pause = if more {
                ADVERTISE_INTERVAL_MS / 4
            } else {
                ADVERTISE_INTERVAL_MS
            };
            at + pause > now
        });
        if told {
            return;
        }
        self.demand = Some((demand.clone(), now));
        for name in self.peers.to_be_asked(now) {
            self.call_peer(
                now,
                &name,
                Request::Demand(Some(demand.clone())),
                Purpose::Demand,
            );
        }
    }
}
