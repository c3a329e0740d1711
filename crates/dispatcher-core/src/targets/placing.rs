//! Starts and ends of runs, and offers of room.

use super::*;

impl TargetLeases {
    /// Starts a task if there is room for it.
    pub fn place(&mut self, now: Millis, owner: &Name, session: u64, order: &TaskOrder) -> bool {
        let there = self.tasks.contains(&order.key.task);
        if there || self.ended_early.contains_key(&order.key) {
            return false;
        }
        let open = self.leased_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| !target.is_reserved_for_others(now, owner));
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
        self.out.push(Action::Record(Decision::Started {
            key: order.key.clone(),
            target: id.clone(),
            owner: owner.clone(),
            left_cpu: target.free().cpu,
        }));
        let purpose = Purpose::Start {
            target: id.clone(),
            key: order.key.clone(),
        };
        let start = TargetCall::Start(StartOrder {
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
        let token = target.token;
        self.out.push(Action::Target {
            call,
            id: id.clone(),
            address: target.entry.address.clone(),
            token,
            order,
            wait_ms,
        });
        self.calls.insert(call, Sent { token, purpose });
        call
    }

    /// Has runs ended that their owner no longer wants.
    ///
    /// Returns those that aren't there; they never will be.
    pub fn stop(
        &mut self,
        now: Millis,
        owner: &Name,
        keys: &[AttemptId],
        report: bool,
        reason: &'static str,
    ) -> Vec<AttemptId> {
        let mut missing = Vec::new();
        let mut stopped = Vec::new();
        for key in keys {
            let mut targets = self.targets.iter_mut();
            let found = targets.find(|(_, target)| {
                let attempt = target.attempts.get(key);
                attempt.is_some_and(|attempt| attempt.owner == *owner)
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
        self.record_stops(stopped, reason);
        self.send_stops(now);
        missing
    }

    /// Has all runs of an owner ended that belong to sessions below `session`.
    pub fn stop_owner(&mut self, now: Millis, owner: &Name, session: u64, reason: &'static str) {
        let mut stopped = Vec::new();
        for (id, target) in &mut self.targets {
            let attempts = target.attempts.iter();
            let theirs = attempts
                .filter(|(_, attempt)| attempt.owner == *owner && attempt.session < session);
            let keys: Vec<AttemptId> = theirs.map(|(key, _)| key.clone()).collect();
            for key in keys {
                if target.stop(&key, false) {
                    stopped.push((id.clone(), key));
                }
            }
        }
        self.record_stops(stopped, reason);
        self.send_stops(now);
    }

    pub(super) fn record_stops(&mut self, stopped: Vec<(Name, AttemptId)>, reason: &'static str) {
        for (target, key) in stopped {
            self.out.push(Action::Record(Decision::Stopping {
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
            if target.stage != LeaseStage::NotHeld && !hopeless {
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
    pub fn reserve(&mut self, now: Millis, host: &Name, demand: &Demand) -> Option<FreeResources> {
        let open = self.leased_targets();
        let open = open.filter(|target| self.is_usable(now, target));
        let open = open.filter(|target| target.reservation.is_none());
        let fitting = open.filter(|t| t.entry.pool == demand.pool && t.free().fits(&demand.least));
        let best = fitting.max_by_key(|target| target.free().cpu)?;
        let id = best.entry.id.clone();
        let free = FreeResources {
            pool: best.entry.pool.clone(),
            resources: best.free(),
        };
        let target = self.targets.get_mut(&id).expect("the target was found");
        target.reservation = Some((host.clone(), now + RESERVATION_MS));
        Some(free)
    }

    /// Ends what is kept free for a host.
    pub fn end_reservations(&mut self, host: &Name) {
        for target in self.targets.values_mut() {
            if target
                .reservation
                .as_ref()
                .is_some_and(|(to, _)| to == host)
            {
                target.reservation = None;
            }
        }
    }
}
