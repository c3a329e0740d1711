//! Finds room for tasks that wait, here and at peers.

use super::*;

/// Rooms for which there was no room in one pass; in its course room only
/// becomes less.
#[derive(Default)]
struct Unfit(Vec<Room>);

impl Unfit {
    /// Tells whether a room may fit: asks only if no smaller one was refused.
    fn may_fit(&mut self, room: &Room, ask: impl FnOnce(&Room) -> bool) -> bool {
        if self.0.iter().any(|unfit| room.fits(unfit)) {
            return false;
        }
        let fits = ask(room);
        if !fits {
            self.0.push(*room);
        }
        fits
    }
}

impl Dispatcher {
    /// Finds room for what waits, here and at peers, the most urgent first.
    pub(super) fn schedule(&mut self, now: Millis) {
        if self.jobs.none_waits() {
            return self.serve_wants(now, None);
        }
        let own = self.own.name.clone();
        let starts_here = self.starts_here(now);
        let mut left: Vec<WaitingTask> = Vec::new();
        let mut batches: BTreeMap<Name, Vec<TaskOrder>> = BTreeMap::new();
        let (mut full_here, mut full_there) = (Unfit::default(), Unfit::default());
        for task in self.jobs.waiting(now, MAX_LOOKED_AT) {
            self.serve_wants(now, Some(&task));
            let here =
                starts_here && full_here.may_fit(&task.room, |r| self.keeper.may_fit(now, r));
            let there =
                task.may_ask && full_there.may_fit(&task.room, |r| self.peers.may_fit(now, r));
            if !here && !there {
                left.push(task);
                continue;
            }
            let order = self.jobs.order(&task.job, task.index);
            if here && self.keeper.place(now, &own, 0, &order) {
                self.jobs.started(now, &task.job, task.index);
                continue;
            }
            let is_asked = |name: &Name| batches.contains_key(name);
            let peer = there.then(|| self.peers.with_room(now, &order, is_asked));
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
        self.serve_wants(now, None);
        for (peer, orders) in batches {
            self.send_place(now, &peer, orders);
        }
        self.tell_want(now, &left);
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
        let beat = Request::Beat(self.beat());
        self.call_peer(now, name, beat, Purpose::Beat);
    }

    /// Offers room to peers whose wants are more urgent than a task here.
    pub(super) fn serve_wants(&mut self, now: Millis, next: Option<&WaitingTask>) {
        let wanted = self.peers.all.values().any(|peer| peer.want.is_some());
        if self.stopping.is_some() || !wanted {
            return;
        }
        let pace = self.peers.pace();
        loop {
            let wants = self.peers.all.iter().filter_map(|(name, peer)| {
                let (want, heard, until) = peer.want.as_ref()?;
                let open = *until > now && peer.takes_tasks(now, &pace);
                let urge = Urge {
                    rank: want.urge.rank,
                    urgency: want.urge.urgency,
                    slack_ms: want.urge.slack_ms - now.saturating_sub(*heard) as i64,
                };
                open.then_some((urge, name, want))
            });
            let first =
                wants.min_by(|a, b| a.0.partial_cmp(&b.0).unwrap_or(std::cmp::Ordering::Equal));
            let Some((urge, name, want)) = first else {
                return;
            };
            if next.is_some_and(|task| task.urge <= urge) {
                return;
            }
            let (name, want) = (name.clone(), want.clone());
            let Some(free) = self.keeper.offer(now, &name, &want) else {
                return;
            };
            self.call_peer(now, &name, Request::Offer(free), Purpose::Offer);
            // The next offer to it waits until it says again what it wants.
            if let Some(peer) = self.peers.all.get_mut(&name) {
                if let Some((want, _, _)) = &mut peer.want {
                    want.count = want.count.saturating_sub(1);
                    if want.count == 0 {
                        peer.want = None;
                    }
                }
            }
        }
    }

    pub(super) fn tell_want(&mut self, now: Millis, left: &[WaitingTask]) {
        let Some(first) = left.first() else {
            return;
        };
        let pool = self.jobs.pool(&first.job).clone();
        let same_pool = left
            .iter()
            .filter(|task| *self.jobs.pool(&task.job) == pool);
        let same_pool: Vec<WaitingTask> = same_pool.cloned().collect();
        let Some(want) = jobs::want(&same_pool, &pool) else {
            return;
        };
        let told = self.want.as_ref().is_some_and(|(told, at)| {
            let more = want.urge.rank < told.urge.rank || want.count > 2 * told.count;
            let pause = if more {
                WANT_PAUSE_MS / 4
            } else {
                WANT_PAUSE_MS
            };
            at + pause > now
        });
        if told {
            return;
        }
        self.want = Some((want.clone(), now));
        for name in self.peers.to_be_asked(now) {
            self.call_peer(now, &name, Request::Want(Some(want.clone())), Purpose::Want);
        }
    }
}
