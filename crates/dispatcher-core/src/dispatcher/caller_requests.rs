//! What callers ask of a host: submits, queries, cancels.
//!
//! Rejects what [`crate::rules::admission`] rejects, and hands the rest to
//! [`crate::jobs`], which answers later.

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::decision::{Decision, EndCause, Rejection};
use crate::event::{RequestId, Submit};
use crate::jobs::Checked;
use crate::rules::admission::{self, Addressed, Rejected};
use crate::rules::giving_up::refused_when_stopping;
use crate::targets::Runnable;
use crate::Millis;

use super::Dispatcher;

impl Dispatcher {
    fn answer(&mut self, request_id: RequestId, answer: Answer) {
        self.actions.push(Action::Answer { request_id, answer });
    }

    fn reject(&mut self, request_id: RequestId, path: &Name, rejected: Rejected) {
        self.record(Decision::JobRejected {
            path: path.clone(),
            reason: rejected.reason,
            version: self.version(),
        });
        self.answer(request_id, rejected.answer);
    }

    pub(super) fn submit(&mut self, now: Millis, request_id: RequestId, mut submit: Submit) {
        submit.spec.bound_estimates();
        let path = submit.path.clone();
        let (queue, id) = match admission::check(self.configuration.as_ref(), &submit) {
            Ok(Addressed { queue, id }) => (queue.clone(), id),
            Err(rejected) => return self.reject(request_id, &path, rejected),
        };
        let objective_ms = queue.latency_objective(submit.spec.chain_ms());
        if self.jobs.state(&id).is_none() && self.stops_before(now, objective_ms) {
            let grace_period_ms = self.settings.bounds.grace_period_ms;
            let rejected = Rejected {
                reason: Rejection::Stopping,
                answer: refused_when_stopping(grace_period_ms),
            };
            return self.reject(request_id, &path, rejected);
        }
        let checked = Checked {
            request_id,
            id: id.clone(),
            submit,
            queue: &queue,
            version: self.version(),
        };
        self.jobs.submit(now, checked);
        self.end_if_not_runnable(now, &id);
    }

    /// Ends a job that no known target could ever run, or only targets of draining halls.
    fn end_if_not_runnable(&mut self, now: Millis, id: &Name) {
        for order in self.jobs.first_orders(id) {
            match self.targets.runnable(&order) {
                Runnable::Yes => {}
                Runnable::InDrainingHalls => return self.jobs.end(now, id, EndCause::Draining),
                Runnable::Nowhere => return self.jobs.end(now, id, EndCause::TooLarge),
            }
        }
    }

    /// Returns whether the host stops before a job with this objective ends.
    fn stops_before(&self, now: Millis, objective_ms: Millis) -> bool {
        let grace_period_ms = self.settings.bounds.grace_period_ms;
        self.stopping.as_ref().is_some_and(|stopping| {
            admission::stops_before(now, objective_ms, stopping.since, grace_period_ms)
        })
    }

    /// Answers a question about a job or a queue.
    pub(super) fn query(&mut self, request_id: RequestId, host: &Name, path: &Name) {
        let answer = match admission::address(self.configuration.as_ref(), host, path) {
            Err(rejected) => rejected.answer,
            Ok(Addressed { queue, id }) if id.is_empty() => {
                Answer::Pending(self.jobs.pending(&queue.name))
            }
            Ok(Addressed { id, .. }) => self.jobs.state(&id).unwrap_or(Answer::NoJob),
        };
        self.answer(request_id, answer);
    }

    pub(super) fn cancel(&mut self, now: Millis, request_id: RequestId, host: &Name, path: &Name) {
        let answer = match admission::address(self.configuration.as_ref(), host, path) {
            Err(rejected) => rejected.answer,
            Ok(Addressed { id, .. }) if self.jobs.cancel(now, &id) => Answer::Cancelled,
            Ok(_) => Answer::NoJob,
        };
        self.answer(request_id, answer);
    }
}
