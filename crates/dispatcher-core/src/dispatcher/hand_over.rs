//! The owner's side of tasks that wait at holders: chooses a holder for each task, hands the task
//! over and handles the reply. See [`crate::rules::holder_choice`] and [`crate::rules::backlog`].

use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::decision::Decision;
use crate::event::SendFailure;
use crate::jobs::WaitingTask;
use crate::message::{AttemptId, HandedTask, Reply, ReplyBody, Request, TaskOrder};
use crate::peers::ChosenHolder;
use crate::rules::backlog::{latest_start, max_wait_ms, near_target_wait_ms};
use crate::rules::holder_choice::{Availability, HolderView, TaskView};
use crate::targets::Reach;
use crate::Millis;

use super::backlog::BacklogPass;
use super::peer_calls::{body, Purpose};
use super::Dispatcher;

impl Dispatcher {
    /// Starts an own task at this host, or chooses a peer that is expected to start it sooner.
    pub(super) fn place_own(&mut self, now: Millis, pass: &mut BacklogPass, task: WaitingTask) {
        let here = pass.may_start_here(&task.resources, |r| self.targets.may_fit(now, r));
        let at_peers = task.may_ask_peers
            && pass.may_hand_over(&task.resources, |r| self.peers.may_accept(now, r));
        if !here && !at_peers {
            pass.unplaced.push(task);
            return;
        }
        let order = self.jobs.order(&task.job, task.index);
        if task.runs_alone {
            return self.place_alone(now, pass, task, order, here);
        }
        let here = here && self.keeps_reserve_free(now, &task.size(), &order.pool);
        if here && self.start_own(now, &task, &order, Reach::Near) {
            return;
        }
        let own = self.own_holder_view(now, pass, &task, &order, here);
        let chosen = if at_peers {
            self.choose_holder(now, pass, &task, &order, own)
        } else {
            Some(ChosenHolder::Own {
                waits: own.near != Availability::None,
            })
        };
        match chosen {
            Some(ChosenHolder::Own { waits: false })
                if here && self.start_own(now, &task, &order, Reach::Anywhere) => {}
            Some(ChosenHolder::Peer(peer)) if peer.has_fresh_clock => {
                self.jobs
                    .record_handover(now, &task.job, task.index, &peer.name);
                let tasks = pass.batches.entry(peer.name).or_default();
                tasks.push((task, order));
            }
            Some(ChosenHolder::Peer(peer)) => {
                self.request_clock(now, &peer.name);
                pass.unplaced.push(task);
            }
            Some(ChosenHolder::Own { .. }) | None => pass.unplaced.push(task),
        }
    }

    /// Chooses the holder for a task among this host, described by `own`, and its peers.
    fn choose_holder(
        &mut self,
        now: Millis,
        pass: &BacklogPass,
        task: &WaitingTask,
        order: &TaskOrder,
        own: HolderView,
    ) -> Option<ChosenHolder> {
        let view = TaskView {
            name: &order.id.task,
            running_ms: order.estimate_ms,
            far_slowdown: self.settings.far_slowdown,
        };
        let is_asked = |name: &Name| pass.batches.contains_key(name);
        self.peers
            .choose_holder(now, &view, order, &task.priority, own, is_asked)
    }

    /// Starts a task that must run alone on a target, or asks a peer with an idle target to. Such a
    /// task never waits at a holder, which could start others beside it.
    fn place_alone(
        &mut self,
        now: Millis,
        pass: &mut BacklogPass,
        task: WaitingTask,
        order: TaskOrder,
        here: bool,
    ) {
        if here && self.start_own(now, &task, &order, Reach::Alone) {
            return;
        }
        let idle = self.peers.choose_with_idle_target(now, &order);
        match idle.filter(|_| task.may_ask_peers) {
            Some(peer) if peer.has_fresh_clock => {
                self.jobs
                    .record_handover(now, &task.job, task.index, &peer.name);
                self.send_place(now, &peer.name, vec![order], Request::PlaceAlone);
            }
            Some(peer) => {
                self.request_clock(now, &peer.name);
                pass.unplaced.push(task);
            }
            None => pass.unplaced.push(task),
        }
    }

    /// Starts an own task on a target of this host if possible; returns true if it was started.
    fn start_own(
        &mut self,
        now: Millis,
        task: &WaitingTask,
        order: &TaskOrder,
        reach: Reach,
    ) -> bool {
        let urgency = task.priority.urgency;
        let started = self
            .targets
            .start(now, &self.as_owner(), order, reach, urgency);
        if started {
            let slack_ms = Millis::try_from(task.priority.slack_ms).unwrap_or(0);
            self.long_tasks.record_arrival(now, &task.size(), slack_ms);
            let own_hall = self.own.hall.clone();
            self.count_start(now, &task.origin(&own_hall), order);
            self.jobs.record_local_start(now, &task.job, task.index);
        }
        started
    }

    /// Describes this host as a holder for an own task that found no free target near its data.
    fn own_holder_view(
        &self,
        now: Millis,
        pass: &BacklogPass,
        task: &WaitingTask,
        order: &TaskOrder,
        may_fit: bool,
    ) -> HolderView {
        let within_near_wait =
            task.age_ms < near_target_wait_ms(order.estimate_ms, self.settings.far_slowdown);
        let waits_near = (within_near_wait || order.rack.is_none())
            && self.targets.could_run_here(now, order, true);
        let near = match pass.own_wait_ms(order, task.priority.urgency) {
            Some(expected_ms) if waits_near => Availability::Wait {
                spare_cpu: order.resources.cpu,
                expected_ms,
            },
            Some(_) | None => Availability::None,
        };
        HolderView {
            other_hall: false,
            transit_ms: 0,
            extra_request: false,
            stale_clock: false,
            near,
            far: if may_fit && order.rack.is_some() {
                Availability::Free {
                    spare_cpu: order.resources.cpu,
                }
            } else {
                Availability::None
            },
            update_age_ms: 0,
        }
    }

    /// Hands tasks over to the peers chosen for them.
    pub(super) fn send_batches(
        &mut self,
        now: Millis,
        batches: BTreeMap<Name, Vec<(WaitingTask, TaskOrder)>>,
    ) {
        for (name, tasks) in batches {
            self.send_hand_over(now, &name, tasks);
        }
    }

    fn send_hand_over(&mut self, now: Millis, name: &Name, tasks: Vec<(WaitingTask, TaskOrder)>) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let clock = peer.echoed_clock.map_or(0, |echoed| echoed.clock);
        let clock_age_ms = now.saturating_sub(peer.clock_received_at());
        peer.start_use(now);
        let age_ms = now.saturating_sub(peer.free_received_at);
        let tasks: Vec<HandedTask> = tasks
            .into_iter()
            .map(|(task, order)| HandedTask {
                latest_start: latest_start(clock, clock_age_ms, max_wait_ms(&task.priority)),
                order,
                queue: task.queue,
                priority: task.priority,
            })
            .collect();
        let ids: Vec<AttemptId> = tasks.iter().map(|task| task.order.id.clone()).collect();
        if let Some(first) = ids.first() {
            self.record(Decision::TasksHandedOver {
                peer: name.clone(),
                first: first.clone(),
                tasks: ids.len(),
                age_ms,
            });
        }
        self.call_peer(now, name, Request::HandOver(tasks), Purpose::HandOver(ids));
    }

    /// Handles the reply of a holder to tasks that were handed over. The holder reports tasks that
    /// it queued when they end, or returns them.
    pub(super) fn handle_hand_over_reply(
        &mut self,
        now: Millis,
        name: &Name,
        ids: &[AttemptId],
        reply: Result<Reply, SendFailure>,
    ) {
        if let Err(SendFailure::Unknown) = reply {
            return self.stop_and_report(name, ids);
        }
        let (started, waiting) = match body(reply) {
            Some(ReplyBody::HandedOver { started, waiting }) => (started, waiting),
            _ => (Vec::new(), Vec::new()),
        };
        for (position, id) in ids.iter().enumerate() {
            let position = position as u32;
            if !waiting.contains(&position) {
                let started = started.contains(&position);
                self.jobs.record_placement(now, id, name, started);
            }
        }
    }
}
