//! Which targets this host takes and gives up.

use super::*;

impl TargetLeases {
    /// Takes and gives up targets, as the hosts that live now share them.
    ///
    /// `hosts` are those that may look after targets, `claimed` tells whether
    /// another living host looks after a target.
    pub fn assign(
        &mut self,
        now: Millis,
        hosts: &[HostInfo],
        claimed: impl Fn(&Name) -> bool,
        may_take: bool,
    ) {
        self.update_assignment(hosts);
        let mut take = Vec::new();
        let mut give_up = Vec::new();
        for (id, target) in &self.targets {
            let leased = self.assigned.contains(id);
            if leased {
                self.misassigned.remove(id);
                let free = target.stage == LeaseStage::NotHeld && target.attempts.is_empty();
                if free && may_take && target.backoff_until <= now && !claimed(id) {
                    take.push(id.clone());
                }
            } else if target.stage != LeaseStage::NotHeld {
                self.misassigned.entry(id.clone()).or_insert(now);
                if target.attempts.is_empty() {
                    give_up.push(id.clone());
                }
            }
        }
        for id in take {
            self.take(now, &id);
        }
        for id in give_up {
            self.give_up(&id, "another host's");
        }
    }

    /// Finds this host's share of the targets, if hosts or targets changed.
    pub(super) fn update_assignment(&mut self, hosts: &[HostInfo]) {
        if !self.assignment_stale && self.assigned_among == hosts {
            return;
        }
        let targets = self.targets.iter();
        let leased = targets.filter(|(id, target)| {
            let targets = assignment::targets(id, &target.entry.hall, hosts);
            targets.is_some_and(|host| host.name == self.name)
        });
        self.assigned = leased.map(|(id, _)| id.clone()).collect();
        self.assigned_among = hosts.to_vec();
        self.assignment_stale = false;
    }

    pub(super) fn take(&mut self, now: Millis, id: &Name) {
        let token = self.next_token(now);
        if let Some(target) = self.targets.get_mut(id) {
            target.take(now, token);
            target.tokens_tried = 0;
            target.incumbent_since = None;
            self.leased.insert(id.clone());
            self.record_target(id, "taking", "assignment");
        }
    }

    pub(super) fn give_up(&mut self, id: &Name, by: &'static str) {
        self.misassigned.remove(id);
        self.leased.remove(id);
        if let Some(target) = self.targets.get_mut(id) {
            target.leave_to_others();
            self.record_target(id, "left to others", by);
        }
    }

    /// Returns a token above all earlier ones that no other host has.
    pub(super) fn next_token(&mut self, now: Millis) -> u64 {
        let by_time = (self.epoch_ms + now) / TOKEN_UNIT_MS;
        let next = by_time.max(self.last_token / UNIQUE + 1);
        self.last_token = next * UNIQUE + self.unique;
        self.last_token
    }

    /// Another host has taken the target, if the call had the present token.
    pub(super) fn token_superseded(&mut self, now: Millis, id: &Name, sent: u64) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if sent != target.token || target.stage == LeaseStage::NotHeld {
            return;
        }
        let settled = target.stage == LeaseStage::Held && target.held_since + SETTLED_MS <= now;
        // Clocks differ: a token by the time may be below the last keeper's.
        let too_low = target.stage == LeaseStage::Acquiring && target.tokens_tried < TOKENS_TRIED;
        if (settled || too_low) && !self.misassigned.contains_key(id) {
            self.take_again(now, id, too_low);
            return;
        }
        let target = self.targets.get_mut(id).expect("just found");
        let backoff = (BACKOFF_MS << target.claims_lost.min(4)).min(LONGEST_BACKOFF_MS);
        target.claims_lost += 1;
        target.leave_to_others();
        target.backoff_until = now + backoff;
        self.leased.remove(id);
        self.misassigned.remove(id);
        self.record_target(id, "left to others", "fenced");
    }

    pub(super) fn take_again(&mut self, now: Millis, id: &Name, too_low: bool) {
        let tried = self.targets[id].tokens_tried;
        let raise = if too_low { TOKEN_RAISE_MS << tried } else { 0 };
        let token = self.next_token(now + raise);
        let target = self.targets.get_mut(id).expect("the target is kept");
        let held_long =
            target.stage == LeaseStage::Held && target.held_since + BACKOFF_RESET_MS <= now;
        if held_long {
            target.claims_lost = 0;
        }
        // Who kept it for long has the better right, however often others
        // that don't see this host come.
        let since = target.held_since;
        target.take(now, token);
        target.tokens_tried = if too_low { tried + 1 } else { 0 };
        target.incumbent_since = (!too_low).then_some(since);
        self.record_target(id, "taking back", "fenced");
    }

    /// The target's process is another one by now.
    pub(super) fn incarnation_over(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            let reports = target.end_all(now, "other life");
            target.leave_to_others();
            target.backoff_until = now + BACKOFF_MS;
            target.unlisted_since.get_or_insert(now);
            self.leased.remove(id);
            self.reports.extend(reports);
            self.record_target(id, "gone", "other life");
        }
    }
}
