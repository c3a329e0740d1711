//! Starts and questions on their way to runners, and what runners say.

use gannetridge_entry_core::SendFailure;
use gannetridge_entry_standins::runner::nominal_run_ms;
use gannetridge_entry_wire::hall::{hall_key, HallRow};
use gannetridge_entry_wire::target::{AskTask, StartTask, TaskReport};
use gannetridge_entry_wire::{TaskId, Time};

use crate::checks::Violation;
use crate::hosts::{shift, CallKind, CallOf, RunOf};
use crate::world::{Ev, World};

impl World {
    pub(crate) fn runner(&self, name_or_address: &str) -> usize {
        // Runners' addresses are their names here.
        self.by_runner[name_or_address]
    }

    pub(crate) fn send_to_runner(&mut self, from: CallOf, runner: usize, ev: Ev, wait_ms: u64) {
        let wait_us = wait_ms * 1_000;
        self.hosts[from.run.host]
            .open
            .insert(from.call, CallKind::Task);
        let hall = self.hosts[from.run.host].hall;
        let place = self.runners[runner].hall;
        if !self.hall_reach(hall, place) {
            return self.fail_call(from, CallKind::Task, wait_us);
        }
        let base = self.base_delay(hall, place);
        if !self.runners[runner].alive {
            let failure = SendFailure::NotSent;
            return self.plan_failure(from, CallKind::Task, 2 * base, failure);
        }
        self.plan_failure(from, CallKind::Task, wait_us, SendFailure::Unknown);
        if !self.dropped() {
            let delay = self.delay(base);
            self.at(delay, ev);
        }
    }

    /// Tells a host what a runner says, unless that is lost.
    pub(crate) fn runner_says(&mut self, runner: usize, to: CallOf, report: TaskReport) {
        let place = &self.runners[runner];
        let mute = place.mute_until > self.now;
        let hall = self.hosts[to.run.host].hall;
        if mute || self.dropped() || !self.hall_reach(hall, self.runners[runner].hall) {
            return;
        }
        let base = self.base_delay(hall, self.runners[runner].hall);
        let delay = self.delay(base);
        self.at(delay, Ev::TaskReply(to, Ok(report)));
    }

    pub(crate) fn on_start(&mut self, runner: usize, life: u32, from: CallOf, start: StartTask) {
        let place = &mut self.runners[runner];
        // A connection leads to one process only.
        if !place.alive || place.life != life {
            let failure = SendFailure::Unknown;
            return self.plan_failure(from, CallKind::Task, self.scenario.delays.near, failure);
        }
        if place.frozen_until > self.now {
            let us = place.frozen_until.micros_since(self.now);
            let start = Box::new(start);
            let ev = Ev::Start {
                runner,
                life,
                from,
                start,
            };
            return self.at(us, ev);
        }
        let clock = shift(self.now, place.offset_us);
        if let Err(report) = place.book.start(&start, clock) {
            return self.runner_says(runner, from, report);
        }
        place.calls.push(from);
        self.begun(runner, &start);
        self.check_takeover(from.run, &start);
        // Whatever the runner does, the task is over when its lease is: a
        // runner that wakes ends lapsed tasks before anything else.
        self.at(start.lease_ms * 1_000, Ev::LeaseOver(start.task.clone()));
        let place = &self.runners[runner];
        let usual = nominal_run_ms(&start.input) as f64 * place.slower;
        let ran_ms = (usual as u64).min(start.lease_ms);
        let report = if usual as u64 <= start.lease_ms {
            TaskReport::Done {
                output: start.input,
                ran_ms,
            }
        } else {
            TaskReport::Failed { ran_ms }
        };
        let end = Ev::TaskEnd {
            runner,
            life: place.life,
            task: start.task,
            lease_end: self.now.plus_millis(start.lease_ms),
            report,
            to: from,
        };
        self.at(ran_ms * 1_000, end);
    }

    pub(crate) fn begun(&mut self, runner: usize, start: &StartTask) {
        self.report.tasks_started += u64::from(self.is_measured());
        let id = &start.task;
        let Some(job) = self.callers.find(&id.account, &id.submission) else {
            return;
        };
        let job = &self.callers.jobs[job];
        let repeatable = self.scenario.accounts[job.account].repeatable;
        if job.all_refused() {
            let text = format!("{id}");
            self.checks.violated(Violation::RanAfterNotRun(text));
        }
        self.checks.begun(id, repeatable, self.now);
        self.check_leaving(runner);
    }

    /// A host that wakes after its shard was taken over must start nothing
    /// under it, even what it had decided before.
    pub(crate) fn check_takeover(&mut self, run: RunOf, start: &StartTask) {
        if self.scenario.fault_every_ms == 0 || !self.is_run(run) {
            return;
        }
        let key = hall_key(&start.shard.hall);
        let text = self.platform.table.value(&key).unwrap_or_default();
        let Ok(row) = serde_json::from_str::<HallRow>(&text) else {
            return;
        };
        let shard = &row.shards[usize::from(start.shard.index)];
        let host = &self.hosts[run.host];
        // Jobs of a shard that was handed over in order stay with their host,
        // under the epoch of then.
        let held = host.core.ownership().held_shards();
        let believes = held.contains(&(start.shard.index, start.epoch));
        // A host that has taken its own shard back ends its older jobs.
        let own = shard.holder.as_ref() == Some(&host.core.settings().id);
        if believes && !own && start.epoch < shard.fence {
            let its = host.core.ownership().describe(start.shard.index);
            let text = format!(
                "{} by {} at {:?}, to begin by {:?} under {:?}; table {shard:?}; host {its}",
                start.task, host.name, self.now, start.latest_begin, start.epoch
            );
            self.checks.violated(Violation::StartAfterTakeover(text));
        }
    }

    /// A leaving target gets no new work within a few seconds, when nothing
    /// keeps the news from the hosts.
    pub(crate) fn check_leaving(&mut self, runner: usize) {
        const FEW_SECONDS_MS: u64 = 6_000;
        let place = &self.runners[runner];
        let Some(since) = place.leaving_since else {
            return;
        };
        let news_since = since.max(self.calm_since).plus_millis(FEW_SECONDS_MS);
        if self.now > news_since {
            let text = format!("{} at {:?}, leaving since {since:?}", place.name, self.now);
            self.checks.violated(Violation::StartOnLeaving(text));
        }
    }

    pub(crate) fn on_ask(&mut self, runner: usize, from: CallOf, ask: AskTask) {
        let place = &mut self.runners[runner];
        if !place.alive {
            let failure = SendFailure::Unknown;
            return self.plan_failure(from, CallKind::Task, self.scenario.delays.near, failure);
        }
        if place.frozen_until > self.now {
            let us = place.frozen_until.micros_since(self.now);
            return self.at(us, Ev::Ask { runner, from, ask });
        }
        let mut report = place.book.query(&ask);
        if report == TaskReport::Running && ask.stop {
            report = TaskReport::Failed { ran_ms: 0 };
            place.book.record_end(&ask.task, report.clone());
            self.checks.over(&ask.task);
            report = TaskReport::Running;
        }
        self.runner_says(runner, from, report);
    }

    pub(crate) fn on_task_end(
        &mut self,
        runner: usize,
        life: u32,
        task: TaskId,
        lease_end: Time,
        report: TaskReport,
        to: CallOf,
    ) {
        let place = &mut self.runners[runner];
        if place.life != life {
            return;
        }
        if place.frozen_until > self.now {
            let us = place.frozen_until.micros_since(self.now);
            let end = Ev::TaskEnd {
                runner,
                life,
                task,
                lease_end,
                report,
                to,
            };
            return self.at(us, end);
        }
        place.calls.retain(|call| *call != to);
        let stopped = place.book.end_report(&task);
        let lapsed = self.now > lease_end;
        let report = match stopped {
            Some(report) => report,
            None if lapsed => TaskReport::Failed { ran_ms: 0 },
            None => report,
        };
        place.book.record_end(&task, report.clone());
        self.checks.over(&task);
        self.runner_says(runner, to, report);
    }

    /// Ends a runner's process with all its tasks.
    pub(crate) fn kill_runner(&mut self, runner: usize) {
        let place = &mut self.runners[runner];
        place.alive = false;
        place.life += 1;
        for task in place.book.running_tasks() {
            self.checks.over(&task);
        }
        // Its connections break.
        let delay = self.scenario.delays.near;
        let calls = std::mem::take(&mut self.runners[runner].calls);
        for call in calls {
            self.plan_failure(call, CallKind::Task, delay, SendFailure::Unknown);
        }
    }

    pub(crate) fn revive_runner(&mut self, runner: usize) {
        let place = &mut self.runners[runner];
        if !place.alive {
            let clock = shift(self.now, place.offset_us);
            place.book.restart(clock);
            place.alive = true;
        }
    }
}
