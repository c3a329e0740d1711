//! Requests of callers: submissions, queries and cancellations.
//!
//! Rejects requests by [`crate::rules::admission`] and passes accepted jobs to [`crate::jobs`],
//! which answers later. Where tasks wait by urgency and shares, [`crate::rules::arrival`] refuses a
//! job at once that can't be served in time.

use gannetridge_wire::Name;

use crate::action::{Action, Answer};
use crate::configuration::Queue;
use crate::decision::{Decision, EndCause, Forecast, Rejection};
use crate::event::{RequestId, Submit};
use crate::jobs::CheckedSubmission;
use crate::message::PoolLoad;
use crate::rules::admission::{self, Rejected, ResolvedRequest};
use crate::rules::arrival::{self, Arrival, KnownPoolLoad};
use crate::rules::giving_up::refused_when_stopping;
use crate::settings::WaitingOrder;
use crate::targets::Runnable;
use crate::Millis;

use super::placement::has_free_target;
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
            Ok(ResolvedRequest { queue, id }) => (queue.clone(), id),
            Err(rejected) => return self.reject(request_id, &path, rejected),
        };
        let objective_ms = queue.latency_objective(submit.spec.chain_ms());
        let is_new = self.jobs.state(&id).is_none();
        if is_new && self.stops_before(now, objective_ms) {
            let grace_period_ms = self.settings.bounds.grace_period_ms;
            let rejected = Rejected {
                reason: Rejection::Stopping,
                answer: refused_when_stopping(grace_period_ms),
            };
            return self.reject(request_id, &path, rejected);
        }
        let checked = CheckedSubmission {
            request_id,
            id: id.clone(),
            submit,
            queue: &queue,
            version: self.version(),
        };
        let needs_forecast = is_new && self.settings.scheduling.order == WaitingOrder::Shares;
        let own_loads_before = needs_forecast.then(|| self.pool_loads(now));
        self.jobs.submit(now, checked);
        self.end_if_not_runnable(now, &id);
        if let Some(own_loads) = own_loads_before {
            self.refuse_on_arrival(now, &id, &own_loads);
        }
    }

    /// Refuses a job that was just accepted, if it can't be served in time. `own_loads` is the load
    /// of this host's targets without the job.
    fn refuse_on_arrival(&mut self, now: Millis, id: &Name, own_loads: &[PoolLoad]) {
        let Some(queue) = self.jobs.queue(id).cloned() else {
            return;
        };
        let listed_cpu = self.targets.listed_cpu(&queue.pool);
        let own = own_loads.iter().map(|load| (load, 0));
        let loads = own.chain(self.peers.loads(now));
        let loads = loads.filter(|(load, _)| load.pool == queue.pool);
        let pool = KnownPoolLoad::new(loads, listed_cpu, self.times.heartbeat_ms);
        let mut orders = self.jobs.first_waiting_orders(id).into_iter();
        let target_is_free =
            orders.any(|order| has_free_target(&self.targets, &self.peers, now, &order));
        let arrival = arrival::decide(&pool, &self.jobs.arriving(now, id, target_is_free));
        self.record_forecast(id, &queue, &pool, &arrival);
        if let Some(retry_after_ms) = arrival.retry_after_ms {
            self.jobs.refuse_on_arrival(now, id, retry_after_ms);
        }
    }

    fn record_forecast(
        &mut self,
        id: &Name,
        queue: &Queue,
        pool: &KnownPoolLoad,
        arrival: &Arrival,
    ) {
        if arrival.forecast == Forecast::OnTime {
            return;
        }
        self.record(Decision::JobForecast {
            job: id.clone(),
            queue: queue.name.clone(),
            forecast: arrival.forecast,
            wait_ms: arrival.wait_ms,
            free_cpu: pool.free_cpu(),
            known_cpu: pool.known_cpu(),
            age_ms: pool.age_ms(),
            retry_after_ms: arrival.retry_after_ms,
        });
    }

    /// Ends a job if no known target could ever run it, or only targets in draining halls.
    fn end_if_not_runnable(&mut self, now: Millis, id: &Name) {
        for order in self.jobs.first_orders(id) {
            match self.targets.runnable(&order) {
                Runnable::Yes => {}
                Runnable::InDrainingHalls => return self.jobs.end(now, id, EndCause::Draining),
                Runnable::Nowhere => return self.jobs.end(now, id, EndCause::TooLarge),
            }
        }
    }

    /// Returns true if the host is shutting down and will have stopped before a job with this
    /// latency objective ends.
    fn stops_before(&self, now: Millis, objective_ms: Millis) -> bool {
        let grace_period_ms = self.settings.bounds.grace_period_ms;
        self.stopping.as_ref().is_some_and(|stopping| {
            admission::stops_before(now, objective_ms, stopping.since, grace_period_ms)
        })
    }

    /// Answers a query about a job, or about a queue if the path names no job.
    pub(super) fn query(&mut self, request_id: RequestId, host: &Name, path: &Name) {
        let answer = match admission::resolve(self.configuration.as_ref(), host, path) {
            Err(rejected) => rejected.answer,
            Ok(ResolvedRequest { queue, id }) if id.is_empty() => {
                Answer::Pending(self.jobs.pending(&queue.name))
            }
            Ok(ResolvedRequest { id, .. }) => self.jobs.state(&id).unwrap_or(Answer::NoJob),
        };
        self.answer(request_id, answer);
    }

    pub(super) fn cancel(&mut self, now: Millis, request_id: RequestId, host: &Name, path: &Name) {
        let answer = match admission::resolve(self.configuration.as_ref(), host, path) {
            Err(rejected) => rejected.answer,
            Ok(ResolvedRequest { id, .. }) if self.jobs.cancel(now, &id) => Answer::Cancelled,
            Ok(_) => Answer::NoJob,
        };
        self.answer(request_id, answer);
    }
}
