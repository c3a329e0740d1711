//! Ends of jobs, and what is kept of them for resubmissions.
//!
//! [`crate::rules::giving_up`] decides when a job ends and with which answer. Of completed
//! and cancelled jobs the answer is kept; of all others the number of the next attempt.

use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::decision::{Decision, EndCause};
use crate::event::RequestId;
use crate::message::TaskOrder;
use crate::rules::giving_up::{self, OpenJob};
use crate::rules::retry::ANSWER_RETENTION_MS;
use crate::settings::WaitingOrder;
use crate::{Millis, Urgency};

use super::job::{attempt_id, Job, TaskState};
use super::{AttemptToStop, Jobs, Remembered, MAX_REMEMBERED};

/// Inputs of a tick besides the jobs themselves.
pub struct TickContext<F> {
    /// Whether this host has just started and has held no target.
    pub host_is_starting: bool,
    /// The configured order of waiting tasks.
    pub order: WaitingOrder,
    /// Returns whether a target that could run an order is known to have free capacity.
    pub has_free_target: F,
}

impl Jobs {
    /// Removes expired entries, retries lost tasks and gives up jobs, as far as due.
    pub fn tick(&mut self, now: Millis, context: &TickContext<impl Fn(&TaskOrder) -> bool>) {
        self.answers.retain(|_, answer| answer.until > now);
        self.next_attempts.retain(|_, next| next.until > now);
        let jobs = &self.jobs;
        self.crashed
            .remove_expired(now, |job| jobs.contains_key(job));
        let due = self.jobs.iter().filter(|(_, job)| job.next_due <= now);
        let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        let on_time = self.on_time_urgency();
        for id in due {
            self.tick_job(now, &id, on_time, context);
        }
    }

    /// Applies a tick to one job.
    fn tick_job(
        &mut self,
        now: Millis,
        id: &Name,
        on_time: Option<Urgency>,
        context: &TickContext<impl Fn(&TaskOrder) -> bool>,
    ) {
        let job = self.jobs.get_mut(id).expect("the job was found");
        for task in &mut job.tasks {
            if matches!(task.state, TaskState::Lost(until) if until <= now) {
                task.attempt += 1;
                task.state = TaskState::Waiting;
            }
        }
        if let Some(cause) = self.due_end_cause(now, id, on_time, context) {
            return self.end(now, id, cause);
        }
        let job = self.jobs.get_mut(id).expect("the job was found");
        job.next_due = job.earliest_due();
        self.update_ready(now, id);
    }

    /// Returns why a job has to be given up now, or `None` if it goes on.
    fn due_end_cause(
        &self,
        now: Millis,
        id: &Name,
        on_time: Option<Urgency>,
        context: &TickContext<impl Fn(&TaskOrder) -> bool>,
    ) -> Option<EndCause> {
        let job = &self.jobs[id];
        let urgency = job.queue.urgency;
        let passed_over =
            job.is_late() && giving_up::is_passed_over(context.order, urgency, on_time);
        let open = job.open_job(passed_over, context.host_is_starting);
        let cause = giving_up::end_cause(now, &open, job.open_estimates())?;
        // The search for free capacity goes over all targets, so it runs only if its result can
        // change the decision.
        if context.order == WaitingOrder::Class || !giving_up::is_lack_of_resources(cause) {
            return Some(cause);
        }
        let has_free_target = self
            .first_waiting_orders(id)
            .iter()
            .any(&context.has_free_target);
        let open = OpenJob {
            has_free_target,
            ..open
        };
        giving_up::end_cause(now, &open, job.open_estimates())
    }

    /// Removes a request whose caller disconnected, and ends the job if no other request waits
    /// for its answer.
    pub fn remove_request(&mut self, now: Millis, request_id: RequestId) {
        let Some(id) = self.by_request.remove(&request_id) else {
            return;
        };
        if let Some(job) = self.jobs.get_mut(&id) {
            job.request_ids.retain(|other| *other != request_id);
            if job.request_ids.is_empty() {
                self.end(now, &id, EndCause::CallerGone);
            }
        }
    }

    /// Cancels a job in progress. Returns whether the job is in progress or its final answer
    /// is kept.
    pub fn cancel(&mut self, now: Millis, id: &Name) -> bool {
        if self.jobs.contains_key(id) {
            self.end(now, id, EndCause::Cancelled);
            return true;
        }
        self.answers.contains_key(id)
    }

    /// Ends all jobs because the host stops.
    pub fn end_all(&mut self, now: Millis) {
        let ids: Vec<Name> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.end(now, &id, EndCause::Stopping);
        }
    }

    /// Returns the jobs with waiting tasks of which no attempt runs and no peer was asked to start
    /// one.
    #[must_use]
    pub fn without_attempts(&self) -> Vec<Name> {
        let waiting = self.ready.iter().map(|key| &key.job);
        let without_attempts = waiting.filter(|id| !self.jobs[*id].has_attempts());
        without_attempts.cloned().collect()
    }

    /// Ends a job, if it is in progress, with the answer that follows from the cause.
    pub fn end(&mut self, now: Millis, id: &Name, cause: EndCause) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let not_run = !job.may_have_started() || !self.safeguards.started_jobs_are_not_refused;
        let answer = giving_up::answer(cause, not_run, job.objective_ms);
        self.end_with(now, id, cause, answer);
    }

    /// Refuses a job that has just arrived; its caller may submit it again.
    ///
    /// # Panics
    ///
    /// Panics if the job is not in progress, or if one of its tasks may have started: a refusal
    /// says that nothing has run.
    pub fn refuse_on_arrival(&mut self, now: Millis, id: &Name, retry_after_ms: Millis) {
        assert!(!self.jobs[id].may_have_started());
        let answer = Answer::Refused { retry_after_ms };
        self.end_with(now, id, EndCause::RefusedOnArrival, answer);
    }

    fn end_with(&mut self, now: Millis, id: &Name, cause: EndCause, answer: Answer) {
        let job = self.jobs.remove(id).expect("the job is known");
        self.memory.used -= job.bytes;
        if let Some(key) = &job.ready_key {
            self.ready.remove(key);
        }
        self.stop_attempts(id, &job);
        for request_id in &job.request_ids {
            self.by_request.remove(request_id);
            self.actions.push(Action::Answer {
                request_id: *request_id,
                answer: answer.clone(),
            });
        }
        self.remember_end(now, id, &job, answer);
        self.actions.push(Action::Record(Decision::JobEnded {
            job: id.clone(),
            queue: job.queue.name.clone(),
            cause,
            done: job.done_count(),
            starts: job.starts,
            took_ms: now.saturating_sub(job.accepted),
            objective_ms: job.objective_ms,
        }));
    }

    fn stop_attempts(&mut self, id: &Name, job: &Job) {
        let mut tasks_seen = vec![0; job.spec.steps.len()];
        for task in &job.tasks {
            let index_in_step = tasks_seen[task.step];
            tasks_seen[task.step] += 1;
            if let Some(location) = task.state.location() {
                let id = attempt_id(id, task.step, index_in_step, task.attempt);
                self.stops.push(AttemptToStop { location, id });
            }
        }
    }

    /// Keeps a completed or cancelled job's answer; for any other job, the number of the first
    /// attempt of a resubmission.
    fn remember_end(&mut self, now: Millis, id: &Name, job: &Job, answer: Answer) {
        let until = now + ANSWER_RETENTION_MS;
        if matches!(answer, Answer::Completed | Answer::Cancelled) {
            remember(&mut self.answers, id, answer, until);
        } else {
            let last = job.tasks.iter().map(|task| task.attempt).max();
            remember(&mut self.next_attempts, id, last.unwrap_or(0) + 1, until);
        }
    }
}

/// Inserts a value to be kept until a time; a full map loses its first entry by name.
pub(super) fn remember<T>(
    remembered: &mut BTreeMap<Name, Remembered<T>>,
    id: &Name,
    value: T,
    until: Millis,
) {
    if remembered.len() >= MAX_REMEMBERED {
        remembered.pop_first();
    }
    remembered.insert(id.clone(), Remembered { value, until });
}
