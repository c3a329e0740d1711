//! Queries targets about runs whose reply was lost, and stops stragglers.

use gannetridge_entry_wire::target::TaskQuery;
use gannetridge_entry_wire::FailureCause;

use super::run::{RunningTask, QUERY_MAX_BACKOFF_MS, QUERY_TIMEOUT_MS};
use super::timers::Timer;
use super::Host;
use crate::action::{Action, WastedMessage};
use crate::charts::TaskEvent;
use crate::event::CallId;
use crate::retry::backoff_ms;

/// Base of the backoff between status queries, in ms.
const QUERY_BACKOFF_BASE_MS: u64 = 20;

impl Host {
    /// Schedules a status query, unless the job has ended or the run's lease has expired.
    pub(super) fn schedule_query(&mut self, call: CallId, task: &RunningTask) {
        let status_queries = match self.jobs.get_mut(&task.job) {
            Some(job) => {
                let status_queries = &mut job.tasks[task.index as usize].status_queries;
                *status_queries += 1;
                *status_queries
            }
            None => return self.release_run(call, task),
        };
        if let Some(running) = self.running.get_mut(&call) {
            running.queried = true;
        }
        if self.now > task.lease_expired_at {
            return self.on_lease_expired(call, task);
        }
        let wait_ms = backoff_ms(
            &mut self.rng,
            status_queries,
            QUERY_BACKOFF_BASE_MS,
            QUERY_MAX_BACKOFF_MS,
        );
        self.set_timer_in(wait_ms, Timer::Query(call));
    }

    /// Queries the target of a run about its state.
    pub(super) fn query_run(&mut self, call: CallId) {
        let Some(task) = self.running.get(&call) else {
            return;
        };
        let query = TaskQuery {
            task: task.id.clone(),
            sent: task.sent,
            stop: task.stop_requested,
        };
        let address = self.targets.get(task.target).address.clone();
        self.record_wasted(WastedMessage::RunQueried);
        self.actions.push(Action::Query {
            call,
            address,
            query,
            wait_ms: QUERY_TIMEOUT_MS,
        });
    }

    /// Handles a run whose lease has expired on every clock without the target having
    /// reported its end.
    pub(super) fn on_lease_expired(&mut self, call: CallId, task: &RunningTask) {
        self.release_run(call, task);
        let job = self
            .jobs
            .get_mut(&task.job)
            .expect("only runs of existing jobs are queried");
        if job.account.repeatable {
            job.has_run = true;
            job.advance(task.index, TaskEvent::LeasePast);
            self.retry_task(task.job, task.index);
        } else {
            job.advance(task.index, TaskEvent::GivenUp);
            self.fail_job(task.job, FailureCause::TargetLost);
        }
    }

    /// Requests the stop of a repeatable task that runs far longer than expected. It is
    /// started again once the target reports the end of the run.
    pub(super) fn on_straggler(&mut self, call: CallId) {
        let Some(task) = self.running.get_mut(&call) else {
            return;
        };
        if task.queried || task.stop_requested || !self.jobs.contains_key(&task.job) {
            return;
        }
        task.stop_requested = true;
        let query = TaskQuery {
            task: task.id.clone(),
            sent: task.sent,
            stop: true,
        };
        let address = self.targets.get(task.target).address.clone();
        // The reply to the start reports how the run ended, so this one isn't awaited.
        let call = self.new_call();
        self.actions.push(Action::Query {
            call,
            address,
            query,
            wait_ms: QUERY_TIMEOUT_MS,
        });
    }
}
