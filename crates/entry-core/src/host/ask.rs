//! Queries targets about runs whose reply was lost, and stops stragglers.

use gannetridge_entry_wire::target::AskTask;
use gannetridge_entry_wire::FailureCause;

use super::run::{RunningTask, ASK_WAIT_MS, LAST_ASK_MS};
use super::timers::Timer;
use super::Host;
use crate::action::{Action, Waste};
use crate::charts::TaskEvent;
use crate::event::CallId;
use crate::retry::backoff_ms;

/// Base of the backoff between status queries, in ms.
const FIRST_ASK_MS: u64 = 20;

impl Host {
    /// Schedules a status query, unless the job has ended or the run's lease has expired.
    pub(super) fn ask_later(&mut self, call: CallId, task: &RunningTask) {
        let asked = match self.jobs.get_mut(&task.job) {
            Some(job) => {
                let asked = &mut job.tasks[task.index as usize].asked;
                *asked += 1;
                *asked
            }
            None => return self.end_run(call, task),
        };
        if let Some(running) = self.running.get_mut(&call) {
            running.asking = true;
        }
        if self.now > task.lease_past {
            return self.on_lease_past(call, task);
        }
        let wait_ms = backoff_ms(&mut self.rng, asked, FIRST_ASK_MS, LAST_ASK_MS);
        self.after(wait_ms, Timer::Ask(call));
    }

    /// Queries the target of a run about its state.
    pub(super) fn ask(&mut self, call: CallId) {
        let Some(task) = self.running.get(&call) else {
            return;
        };
        let ask = AskTask {
            task: task.id.clone(),
            sent: task.sent,
            stop: task.stopped,
        };
        let address = self.targets.get(task.target).address.clone();
        self.waste(Waste::AskedAgain);
        self.out.push(Action::Ask {
            call,
            address,
            ask,
            wait_ms: ASK_WAIT_MS,
        });
    }

    /// Handles a run whose lease has expired on every clock without the target having
    /// reported its end.
    pub(super) fn on_lease_past(&mut self, call: CallId, task: &RunningTask) {
        self.end_run(call, task);
        let job = self
            .jobs
            .get_mut(&task.job)
            .expect("asked only for running jobs");
        if job.account.repeatable {
            job.ran = true;
            job.advance(task.index, TaskEvent::LeasePast);
            self.send_again(task.job, task.index);
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
        if task.asking || task.stopped || !self.jobs.contains_key(&task.job) {
            return;
        }
        task.stopped = true;
        let ask = AskTask {
            task: task.id.clone(),
            sent: task.sent,
            stop: true,
        };
        let address = self.targets.get(task.target).address.clone();
        // The reply to the start reports how the run ended, so this one isn't awaited.
        let call = self.new_call();
        self.out.push(Action::Ask {
            call,
            address,
            ask,
            wait_ms: ASK_WAIT_MS,
        });
    }
}
