//! Which targets this host takes and gives up.

use super::*;

impl Keeper {
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
        self.share_out(hosts);
        let mut take = Vec::new();
        let mut give_up = Vec::new();
        for (id, target) in &self.targets {
            let ours = self.shares.contains(id);
            if ours {
                self.surplus.remove(id);
                let free = target.stage == Stage::Elsewhere && target.runs.is_empty();
                if free && may_take && target.barred_until <= now && !claimed(id) {
                    take.push(id.clone());
                }
            } else if target.stage != Stage::Elsewhere {
                self.surplus.entry(id.clone()).or_insert(now);
                if target.runs.is_empty() {
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
    pub(super) fn share_out(&mut self, hosts: &[HostInfo]) {
        if !self.unshared && self.shared_with == hosts {
            return;
        }
        let targets = self.targets.iter();
        let ours = targets.filter(|(id, target)| {
            let keeper = assignment::keeper(id, &target.entry.hall, hosts);
            keeper.is_some_and(|host| host.name == self.name)
        });
        self.shares = ours.map(|(id, _)| id.clone()).collect();
        self.shared_with = hosts.to_vec();
        self.unshared = false;
    }

    pub(super) fn take(&mut self, now: Millis, id: &Name) {
        let fence = self.next_fence(now);
        if let Some(target) = self.targets.get_mut(id) {
            target.take(now, fence);
            target.tokens_tried = 0;
            target.incumbent_since = None;
            self.ours.insert(id.clone());
            self.note_target(id, "taking", "assignment");
        }
    }

    pub(super) fn give_up(&mut self, id: &Name, by: &'static str) {
        self.surplus.remove(id);
        self.ours.remove(id);
        if let Some(target) = self.targets.get_mut(id) {
            target.leave_to_others();
            self.note_target(id, "left to others", by);
        }
    }

    /// Returns a token above all earlier ones that no other host has.
    pub(super) fn next_fence(&mut self, now: Millis) -> u64 {
        let by_time = (self.epoch_ms + now) / FENCE_UNIT_MS;
        let next = by_time.max(self.last_fence / UNIQUE + 1);
        self.last_fence = next * UNIQUE + self.unique;
        self.last_fence
    }

    /// Another host has taken the target, if the call had the present token.
    pub(super) fn fenced(&mut self, now: Millis, id: &Name, sent: u64) {
        let Some(target) = self.targets.get(id) else {
            return;
        };
        if sent != target.fence || target.stage == Stage::Elsewhere {
            return;
        }
        let settled = target.stage == Stage::Kept && target.kept_since + SETTLED_MS <= now;
        // Clocks differ: a token by the time may be below the last keeper's.
        let too_low = target.stage == Stage::Taking && target.tokens_tried < TOKENS_TRIED;
        if (settled || too_low) && !self.surplus.contains_key(id) {
            self.take_again(now, id, too_low);
            return;
        }
        let target = self.targets.get_mut(id).expect("just found");
        let barred = (BARRED_MS << target.losses.min(4)).min(LONGEST_BARRED_MS);
        target.losses += 1;
        target.leave_to_others();
        target.barred_until = now + barred;
        self.ours.remove(id);
        self.surplus.remove(id);
        self.note_target(id, "left to others", "fenced");
    }

    pub(super) fn take_again(&mut self, now: Millis, id: &Name, too_low: bool) {
        let tried = self.targets[id].tokens_tried;
        let raise = if too_low { TOKEN_RAISE_MS << tried } else { 0 };
        let fence = self.next_fence(now + raise);
        let target = self.targets.get_mut(id).expect("the target is kept");
        let held_long = target.stage == Stage::Kept && target.kept_since + FORGIVEN_MS <= now;
        if held_long {
            target.losses = 0;
        }
        // Who kept it for long has the better right, however often others
        // that don't see this host come.
        let since = target.kept_since;
        target.take(now, fence);
        target.tokens_tried = if too_low { tried + 1 } else { 0 };
        target.incumbent_since = (!too_low).then_some(since);
        self.note_target(id, "taking back", "fenced");
    }

    /// The target's process is another one by now.
    pub(super) fn life_over(&mut self, now: Millis, id: &Name) {
        if let Some(target) = self.targets.get_mut(id) {
            let reports = target.end_all(now, "other life");
            target.leave_to_others();
            target.barred_until = now + BARRED_MS;
            target.unlisted_since.get_or_insert(now);
            self.ours.remove(id);
            self.reports.extend(reports);
            self.note_target(id, "gone", "other life");
        }
    }
}
