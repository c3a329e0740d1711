//! Callers' submissions, answers, deadlines and disconnects, and the probes after the load.

use gannetridge_dispatcher_core::{Answer, Event, Millis, RequestId};
use rand::Rng;

use crate::callers::Caller;

use super::model::SimEvent;
use super::{World, MAX_ATTEMPTS, MIN_ANSWER_MS, PROBES_PER_HOST};

impl World {
    /// Creates a caller with a random job, and schedules the next one while the load lasts.
    pub(super) fn submit_new_job(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let number = self.callers.len() as u64;
        let caller = Caller::random(&mut self.rng, number, self.now);
        let step = &caller.spec.steps[0];
        let work = (step.resources, step.estimate_ms);
        self.resources.insert(caller.id.clone(), work);
        let index = self.callers.len();
        self.schedule(caller.deadline, SimEvent::CallerDeadline(index));
        if self.rng.random_bool(0.1) {
            let after = self.rng.random_range(10..600);
            self.schedule(self.now + after, SimEvent::CallerLeaves(index));
        }
        self.callers.push(caller);
        self.outcome.jobs += 1;
        self.schedule(self.now, SimEvent::SubmitJob(index));
        let interval_ms = 1_000.0 / self.scenario.jobs_per_s;
        let interval_ms = self.rng.random_range(0.0..2.0 * interval_ms) as Millis;
        self.schedule(self.now + interval_ms.max(1), SimEvent::NewJob);
    }

    /// Submits a probe to a host after the load, when every host has to serve.
    pub(super) fn probe_host(&mut self, host: usize) {
        let number = self.callers.len() as u64;
        let caller = Caller::probe(&mut self.rng, host, number, self.now);
        let step = &caller.spec.steps[0];
        self.resources
            .insert(caller.id.clone(), (step.resources, step.estimate_ms));
        let index = self.callers.len();
        self.schedule(caller.deadline, SimEvent::CallerDeadline(index));
        self.callers.push(caller);
        self.schedule(self.now, SimEvent::SubmitJob(index));
    }

    /// Checks that every host has completed at least half of its probes.
    pub(super) fn check_recovery(&mut self) {
        for host in 0..self.hosts.len() {
            let callers = self.callers.iter();
            let probes = callers.filter(|caller| caller.probed_host == Some(host));
            let completed = probes.filter(|caller| caller.is_completed).count() as u64;
            if completed * 2 < PROBES_PER_HOST {
                let name = self.hosts[host].info.name.clone();
                self.checks.record_no_recovery(self.now, &name);
            }
        }
    }

    /// Submits a caller's job to a random host or its probed host; later if that is down.
    pub(super) fn submit_job(&mut self, index: usize) {
        let caller = &self.callers[index];
        if caller.is_finished || caller.deadline <= self.now {
            return;
        }
        let random_host = self.rng.random_range(0..self.hosts.len());
        let host = self.callers[index].probed_host.unwrap_or(random_host);
        if !self.hosts[host].is_up {
            self.schedule_resubmission(index);
            return;
        }
        self.request_ids += 1;
        let request_id = self.request_ids;
        let submit = self.callers[index].submit(self.now);
        self.callers[index].pending_request = Some((host, request_id));
        self.callers[index].last_sent = self.now;
        let host_state = &mut self.hosts[host];
        host_state.waiting_callers.insert(request_id, index);
        let instance = host_state.instance;
        let request_id = RequestId(request_id);
        self.deliver_event(host, instance, Event::Submit { request_id, submit });
    }

    pub(super) fn schedule_resubmission(&mut self, index: usize) {
        let resubmit_at = self.now + self.scenario.bounds.retransmit_ms;
        self.schedule(resubmit_at, SimEvent::SubmitJob(index));
    }

    pub(super) fn receive_answer(&mut self, host: usize, request_id: u64, answer: &Answer) {
        let Some(index) = self.hosts[host].waiting_callers.remove(&request_id) else {
            return;
        };
        self.callers[index].pending_request = None;
        if self.callers[index].is_finished {
            return;
        }
        let (id, tasks) = (self.callers[index].id.clone(), self.callers[index].tasks);
        let received = Some(answer);
        self.checks
            .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, received);
        let kind = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::Refused { .. } => "refused",
            Answer::NotReady => "not ready",
            Answer::Unfinished => "unfinished",
            _ => "other",
        };
        *self.outcome.answers.entry(kind).or_default() += 1;
        self.callers[index].is_completed = *answer == Answer::Completed;
        if *answer == Answer::Unfinished {
            self.schedule_resubmission(index);
        } else {
            self.callers[index].is_finished = true;
        }
    }

    /// Handles a connection that broke without an answer: the caller submits again.
    pub(super) fn connection_lost(&mut self, index: usize) {
        self.callers[index].pending_request = None;
        if !self.callers[index].is_finished {
            let (id, tasks) = (self.callers[index].id.clone(), self.callers[index].tasks);
            self.checks
                .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.schedule_resubmission(index);
        }
    }

    pub(super) fn reach_caller_deadline(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if let (false, Some((host, request_id))) = (caller.is_finished, caller.pending_request) {
            let (id, tasks) = (caller.id.clone(), caller.tasks);
            // A host that was suspended meanwhile may be late, and a submission just before the
            // deadline leaves no time for an answer.
            let host_state = &self.hosts[host];
            let was_suspended =
                host_state.is_suspended || host_state.resumed_at >= self.callers[index].last_sent;
            let was_sent_late = self.callers[index].last_sent + MIN_ANSWER_MS > self.now;
            if !was_suspended && !was_sent_late {
                self.checks.record_missed_deadline(self.now, &id);
            }
            self.checks
                .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.disconnect_caller(index, host, request_id);
        }
        self.callers[index].is_finished = true;
    }

    pub(super) fn leave_caller(&mut self, index: usize) {
        let caller = &self.callers[index];
        if let (false, Some((host, request_id))) = (caller.is_finished, caller.pending_request) {
            let (id, tasks) = (caller.id.clone(), caller.tasks);
            self.checks
                .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.disconnect_caller(index, host, request_id);
        }
        self.callers[index].is_finished = true;
    }

    /// Ends a caller's wait and notifies its host.
    pub(super) fn disconnect_caller(&mut self, index: usize, host: usize, request_id: u64) {
        self.callers[index].is_finished = true;
        self.callers[index].pending_request = None;
        self.hosts[host].waiting_callers.remove(&request_id);
        let request_id = RequestId(request_id);
        self.send_event(host, 1, Event::CallerGone { request_id });
    }
}
