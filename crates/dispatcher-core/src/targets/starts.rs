//! Starts of attempts, and reservations of resources for peers.

use gannetridge_wire::Name;

use crate::action::{Action, StartOrder, TargetCall};
use crate::decision::Decision;
use crate::message::{AttemptId, Demand, FreeResources, TaskOrder};
use crate::rules::target_choice;
use crate::{Millis, Urgency};

use super::target::Target;
use super::{Owner, Purpose, TargetLeases};

/// The longest reservation of resources for a peer, in ms.
const MAX_RESERVATION_MS: Millis = 30;

/// The targets on which a task may be started.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    /// Targets near the task's data.
    Near,
    /// Any target.
    Anywhere,
    /// Targets on which nothing else runs, and nothing is started beside the task; see
    /// [`crate::rules::crashes`].
    Alone,
}

impl TargetLeases {
    /// Returns true if a task may be started here: it has no attempt here, and this attempt wasn't
    /// stopped before its start was requested.
    #[must_use]
    pub fn may_start(&self, order: &TaskOrder) -> bool {
        let has_attempt = self.tasks.contains(&order.id.task);
        !has_attempt && !self.stopped_early.contains_key(&order.id)
    }

    /// Starts a task on a target with the resources for it; see [`target_choice`]. Returns false if
    /// there is none.
    ///
    /// `urgency` is that of the task's queue, as far as it is known.
    pub fn start(
        &mut self,
        now: Millis,
        owner: &Owner,
        order: &TaskOrder,
        reach: Reach,
        urgency: Urgency,
    ) -> bool {
        if !self.may_start(order) {
            return false;
        }
        let fitting = self.usable_targets(now).filter(|target| {
            let allowed = match reach {
                Reach::Near => !target_choice::is_far(&target.entry, order),
                Reach::Anywhere => true,
                Reach::Alone => target.is_idle(),
            };
            allowed
                && !target.is_reserved_for_others(now, &owner.host)
                && target.suits(order)
                && target.fits(order)
        });
        let cost = |target: &&Target| target.cost(now, order, self.far_slowdown);
        let best = fitting.min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some(id) = best.map(|target| target.entry.id.clone()) else {
            return false;
        };
        self.start_on(now, &id, owner, order);
        let target = self.targets.get_mut(&id).expect("the target was found");
        target.set_urgency(&order.id, urgency);
        if reach == Reach::Alone {
            target.quarantine(&order.id);
        }
        true
    }

    fn start_on(&mut self, now: Millis, id: &Name, owner: &Owner, order: &TaskOrder) {
        let must_reply_first = self.must_reply_first(now, &self.targets[id]);
        let target = self.targets.get_mut(id).expect("the target was found");
        target.add_attempt(now, &self.times, owner, order);
        self.tasks.insert(order.id.task.clone());
        self.actions.push(Action::Record(Decision::AttemptStarted {
            id: order.id.clone(),
            target: id.clone(),
            owner: owner.host.clone(),
            left_cpu: target.free().cpu,
        }));
        if !must_reply_first {
            self.send_start(now, id, &order.id);
        }
    }

    /// Sends the start of an attempt, unless it was sent before.
    pub(super) fn send_start(&mut self, now: Millis, target_id: &Name, id: &AttemptId) {
        let extends = !self.lets_lease_expire(&self.targets[target_id]);
        let target = self
            .targets
            .get_mut(target_id)
            .expect("the target was found");
        let latest_start = now + self.times.target_lease_true_ms;
        let attempt = target.attempts.get_mut(id);
        let specification = attempt.and_then(|attempt| attempt.mark_sent(now, latest_start));
        let Some(specification) = specification else {
            return;
        };
        let start = TargetCall::Start(StartOrder {
            id: id.clone(),
            specification,
            until: target.start_deadline(now, &self.times, extends),
        });
        let wait_ms = self.start_replies.timeout_ms();
        self.call(target_id, Purpose::Start(id.clone()), start, wait_ms);
    }

    /// Reserves the free resources of one target for a peer with a demand. Returns the reserved
    /// resources.
    pub fn reserve(&mut self, now: Millis, peer: &Name, demand: &Demand) -> Option<FreeResources> {
        let fitting = self.usable_targets(now).filter(|target| {
            let is_in_pool = target.entry.pool == demand.pool;
            !target.is_reserved() && is_in_pool && target.free().fits(&demand.smallest)
        });
        let freest = fitting.max_by_key(|target| target.free().cpu)?;
        let (id, free) = (freest.entry.id.clone(), freest.free_in_pool());
        let target = self.targets.get_mut(&id).expect("the target was found");
        target.reserve(peer, now + MAX_RESERVATION_MS + self.added_wait_ms);
        Some(free)
    }

    /// Cancels the reservations for a peer.
    pub fn cancel_reservations(&mut self, peer: &Name) {
        self.for_each_active(|target| target.end_reservation(peer));
    }
}
