//! How jobs end, and what is remembered of them.
//!
//! When and with which answer is decided by [`crate::rules::giving_up`]. Answers of
//! completed and cancelled jobs are remembered for callers that send them again; of
//! others the number from which their attempts are counted then.

use std::collections::BTreeMap;

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::decision::{Decision, EndCause};
use crate::event::RequestId;
use crate::message::TaskOrder;
use crate::rules::giving_up::{self, OpenJob};
use crate::rules::retry::ANSWER_RETENTION_MS;
use crate::settings::WaitingOrder;
use crate::Millis;

use super::job::{attempt_id, Job, TaskState};
use super::{AttemptToStop, Jobs, Remembered, MAX_REMEMBERED};

/// What decides about waiting jobs besides themselves.
pub struct TickContext<F> {
    /// Whether this host has just started.
    pub starting: bool,
    /// What decides first between waiting tasks.
    pub order: WaitingOrder,
    /// Returns whether a target that could run an order is known to have room.
    pub has_room: F,
}

impl Jobs {
    /// Does what is due.
    pub fn tick(&mut self, now: Millis, around: &TickContext<impl Fn(&TaskOrder) -> bool>) {
        self.answers.retain(|_, answer| answer.until > now);
        self.next_attempts.retain(|_, next| next.until > now);
        let jobs = &self.jobs;
        self.crashed.expire(now, |job| jobs.contains_key(job));
        let due = self.jobs.iter().filter(|(_, job)| job.next_due <= now);
        let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        let on_time = self.on_time_urgency();
        for id in due {
            self.do_due(now, &id, on_time, around);
        }
    }

    /// Does what is due for one job.
    fn do_due(
        &mut self,
        now: Millis,
        id: &Name,
        on_time: Option<u8>,
        around: &TickContext<impl Fn(&TaskOrder) -> bool>,
    ) {
        let job = self.jobs.get_mut(id).expect("the job was found");
        for task in &mut job.tasks {
            if matches!(task.state, TaskState::Lost(until) if until <= now) {
                task.attempt += 1;
                task.state = TaskState::Waiting;
            }
        }
        if let Some(cause) = self.end_due(now, id, on_time, around) {
            return self.end(now, id, cause);
        }
        let job = self.jobs.get_mut(id).expect("the job was found");
        job.next_due = job.earliest_due();
        self.update_ready(now, id);
    }

    /// Returns why a job is to be given up now, if it is.
    fn end_due(
        &self,
        now: Millis,
        id: &Name,
        on_time: Option<u8>,
        around: &TickContext<impl Fn(&TaskOrder) -> bool>,
    ) -> Option<EndCause> {
        let job = &self.jobs[id];
        let urgency = job.queue.urgency;
        let passed_over =
            job.is_late() && giving_up::is_passed_over(around.order, urgency, on_time);
        let open = job.open(passed_over, around.starting);
        let cause = giving_up::end_cause(now, &open, job.open_estimates())?;
        // Room is looked for last, and only where it matters: it costs a look at all targets.
        if around.order == WaitingOrder::Class || !giving_up::is_lack_of_resources(cause) {
            return Some(cause);
        }
        let has_room = self.first_waiting_orders(id).iter().any(&around.has_room);
        let open = OpenJob {
            has_free_target: has_room,
            ..open
        };
        giving_up::end_cause(now, &open, job.open_estimates())
    }

    /// The caller of a request is gone; its job ends unless others wait.
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

    /// Cancels a job; returns whether it is known.
    pub fn cancel(&mut self, now: Millis, id: &Name) -> bool {
        if self.jobs.contains_key(id) {
            self.end(now, id, EndCause::Cancelled);
            return true;
        }
        self.answers.contains_key(id)
    }

    /// Ends all jobs, since the host does.
    pub fn end_all(&mut self, now: Millis) {
        let ids: Vec<Name> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.end(now, &id, EndCause::Stopping);
        }
    }

    /// Returns the jobs of which tasks wait and nothing runs.
    #[must_use]
    pub fn without_attempts(&self) -> Vec<Name> {
        let waiting = self.ready.iter().map(|ready| &ready.job);
        let standing = waiting.filter(|id| !self.jobs[*id].runs());
        standing.cloned().collect()
    }

    /// Ends a job.
    pub fn end(&mut self, now: Millis, id: &Name, cause: EndCause) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let not_run = !job.may_have_begun() || !self.safeguards.begun_is_not_refused;
        let answer = giving_up::answer(cause, not_run, job.objective_ms);
        self.end_with(now, id, cause, answer);
    }

    /// Refuses a job that has just arrived; its caller may come back.
    ///
    /// # Panics
    ///
    /// Panics if a task of it may have begun: then it can't be said not to have run.
    pub fn refuse_on_arrival(&mut self, now: Millis, id: &Name, retry_after_ms: Millis) {
        assert!(!self.jobs[id].may_have_begun());
        let answer = Answer::Refused { retry_after_ms };
        self.end_with(now, id, EndCause::RefusedOnArrival, answer);
    }

    fn end_with(&mut self, now: Millis, id: &Name, cause: EndCause, answer: Answer) {
        let job = self.jobs.remove(id).expect("the job is known");
        if let Some(ready) = &job.ready {
            self.ready.remove(ready);
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
            done: job.done(),
            starts: job.starts,
            took_ms: now.saturating_sub(job.accepted),
            objective_ms: job.objective_ms,
        }));
    }

    fn stop_attempts(&mut self, id: &Name, job: &Job) {
        let mut within = vec![0; job.spec.steps.len()];
        for task in &job.tasks {
            let position = within[task.step];
            within[task.step] += 1;
            if let Some(place) = task.state.place() {
                let id = attempt_id(id, task.step, position, task.attempt);
                self.stops.push(AttemptToStop {
                    location: place,
                    id,
                });
            }
        }
    }

    /// Remembers a final answer; of a job that may be sent again, from where its
    /// attempts are counted then.
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
