//! Starts and ends of runs, and offers of room.

use super::*;

impl Keeper {
    /// Starts a task if there is room for it.
    pub fn place(&mut self, now: Millis, owner: &Name, session: u64, order: &TaskOrder) -> bool {
        let there = self.tasks.contains(&order.key.task);
        if there || self.ended_early.contains_key(&order.key) {
            return false;
        }
        let open = self.our_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| !target.is_offered_to_others(now, owner));
        let fitting = open.filter(|target| target.suits(order) && target.fits(order));
        let best = fitting.min_by(|a, b| a.cost(now, order).total_cmp(&b.cost(now, order)));
        let Some(id) = best.map(|target| target.entry.id.clone()) else {
            return false;
        };
        self.start(now, &id, owner, session, order);
        true
    }

    pub(super) fn start(
        &mut self,
        now: Millis,
        id: &Name,
        owner: &Name,
        session: u64,
        order: &TaskOrder,
    ) {
        let target = self.targets.get_mut(id).expect("the target was found");
        let until = target.admit(now, &self.times, owner, session, order);
        self.tasks.insert(order.key.task.clone());
        self.out.push(Action::Note(Note::Started {
            key: order.key.clone(),
            target: id.clone(),
            owner: owner.clone(),
            left_cpu: target.free().cpu,
        }));
        let purpose = Purpose::Start {
            target: id.clone(),
            key: order.key.clone(),
        };
        let start = TargetCall::Start(RunOrder {
            key: order.key.clone(),
            specification: order.specification.clone(),
            until,
        });
        self.call(id, purpose, start, START_WAIT_MS);
    }

    pub(super) fn call(
        &mut self,
        id: &Name,
        purpose: Purpose,
        order: TargetCall,
        wait_ms: Millis,
    ) -> CallId {
        self.last_call += 1;
        let call = CallId(self.last_call);
        let target = &self.targets[id];
        let fence = target.fence;
        self.out.push(Action::Target {
            call,
            id: id.clone(),
            address: target.entry.address.clone(),
            fence,
            order,
            wait_ms,
        });
        self.calls.insert(call, Sent { fence, purpose });
        call
    }

    /// Has runs ended that their owner no longer wants.
    ///
    /// Returns those that aren't there; they never will be.
    pub fn stop(
        &mut self,
        now: Millis,
        owner: &Name,
        keys: &[RunKey],
        report: bool,
        reason: &'static str,
    ) -> Vec<RunKey> {
        let mut missing = Vec::new();
        let mut stopped = Vec::new();
        for key in keys {
            let mut targets = self.targets.iter_mut();
            let found = targets.find(|(_, target)| {
                let run = target.runs.get(key);
                run.is_some_and(|run| run.owner == *owner)
            });
            match found {
                Some((id, target)) => {
                    if target.stop(key, report) {
                        stopped.push((id.clone(), key.clone()));
                    }
                }
                None => {
                    self.ended_early.insert(key.clone(), now + REMEMBER_MS);
                    missing.push(key.clone());
                }
            }
        }
        self.note_stops(stopped, reason);
        self.send_stops(now);
        missing
    }

    /// Has all runs of an owner ended that belong to sessions below `session`.
    pub fn stop_owner(&mut self, now: Millis, owner: &Name, session: u64, reason: &'static str) {
        let mut stopped = Vec::new();
        for (id, target) in &mut self.targets {
            let runs = target.runs.iter();
            let theirs = runs.filter(|(_, run)| run.owner == *owner && run.session < session);
            let keys: Vec<RunKey> = theirs.map(|(key, _)| key.clone()).collect();
            for key in keys {
                if target.stop(&key, false) {
                    stopped.push((id.clone(), key));
                }
            }
        }
        self.note_stops(stopped, reason);
        self.send_stops(now);
    }

    pub(super) fn note_stops(&mut self, stopped: Vec<(Name, RunKey)>, reason: &'static str) {
        for (target, key) in stopped {
            self.out.push(Action::Note(Note::Stopping {
                key,
                target,
                reason,
            }));
        }
    }

    pub(super) fn send_stops(&mut self, now: Millis) {
        let mut stops = Vec::new();
        for (id, target) in &self.targets {
            let keys = target.stops_to_send();
            // A target that doesn't answer is asked by its hold alone.
            let hopeless = target.silent_since.is_some_and(|at| at + RETRY_MS < now);
            if target.stage != Stage::Elsewhere && !hopeless {
                stops.extend(keys.into_iter().map(|key| (id.clone(), key)));
            }
        }
        for (target, key) in stops {
            let purpose = Purpose::Stop {
                target: target.clone(),
                key: key.clone(),
            };
            let order = TargetCall::Stop(key.clone());
            let call = self.call(&target, purpose, order, REPLY_WAIT_MS);
            if let Some(target) = self.targets.get_mut(&target) {
                target.stop_sent(&key, call);
            }
        }
    }

    /// Offers room to a host that wants it; the room is kept free meanwhile.
    pub fn offer(&mut self, now: Millis, host: &Name, want: &Want) -> Option<FreeRoom> {
        let open = self.our_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| target.offered.is_none());
        let fitting = open.filter(|t| t.entry.pool == want.pool && t.free().fits(&want.least));
        let best = fitting.max_by_key(|target| target.free().cpu)?;
        let id = best.entry.id.clone();
        let free = FreeRoom {
            pool: best.entry.pool.clone(),
            room: best.free(),
        };
        let target = self.targets.get_mut(&id).expect("the target was found");
        target.offered = Some((host.clone(), now + OFFER_MS));
        Some(free)
    }

    /// Ends what is kept free for a host.
    pub fn end_offers(&mut self, host: &Name) {
        for target in self.targets.values_mut() {
            if target.offered.as_ref().is_some_and(|(to, _)| to == host) {
                target.offered = None;
            }
        }
    }
}
