//! Starts of tasks and status requests to runners, and the runners' reports.

use gannetridge_entry_core::SendFailure;
use gannetridge_entry_standins::runner::nominal_run_ms;
use gannetridge_entry_wire::hall::{hall_key, HallRow};
use gannetridge_entry_wire::target::{StartTask, TaskQuery, TaskReport};
use gannetridge_entry_wire::{TaskId, Time};

use crate::checks::Violation;
use crate::hosts::{add_offset, CallKind, OutgoingCall, ProcessId};
use crate::world::{SimEvent, World};

impl World {
    pub(crate) fn runner_index(&self, name_or_address: &str) -> usize {
        // A simulated runner's address is its name.
        self.runner_by_name[name_or_address]
    }

    pub(crate) fn send_to_runner(
        &mut self,
        from: OutgoingCall,
        runner: usize,
        ev: SimEvent,
        wait_ms: u64,
    ) {
        let wait_us = wait_ms * 1_000;
        self.hosts[from.process.host]
            .open_calls
            .insert(from.call, CallKind::Task);
        let hall = self.hosts[from.process.host].hall;
        let runner_hall = self.runners[runner].hall;
        if !self.halls_connected(hall, runner_hall) {
            return self.fail_call(from, CallKind::Task, wait_us);
        }
        let base = self.base_delay(hall, runner_hall);
        if !self.runners[runner].alive {
            let failure = SendFailure::NotSent;
            return self.schedule_failure(from, CallKind::Task, 2 * base, failure);
        }
        self.schedule_failure(from, CallKind::Task, wait_us, SendFailure::Unknown);
        if !self.sample_drop() {
            let delay = self.sample_delay(base);
            self.schedule(delay, ev);
        }
    }

    /// Sends a runner's report to a host, unless the message is lost.
    pub(crate) fn send_task_report(&mut self, runner: usize, to: OutgoingCall, report: TaskReport) {
        let sim_runner = &self.runners[runner];
        let replies_lost = sim_runner.replies_lost_until > self.now;
        let hall = self.hosts[to.process.host].hall;
        if replies_lost
            || self.sample_drop()
            || !self.halls_connected(hall, self.runners[runner].hall)
        {
            return;
        }
        let base = self.base_delay(hall, self.runners[runner].hall);
        let delay = self.sample_delay(base);
        self.schedule(delay, SimEvent::TaskReply(to, Ok(report)));
    }

    pub(crate) fn on_start(
        &mut self,
        runner: usize,
        incarnation: u32,
        from: OutgoingCall,
        start: StartTask,
    ) {
        let sim_runner = &mut self.runners[runner];
        // A connection ends with the process that accepted it.
        if !sim_runner.alive || sim_runner.incarnation != incarnation {
            let failure = SendFailure::Unknown;
            return self.schedule_failure(
                from,
                CallKind::Task,
                self.scenario.delays.within_hall_us,
                failure,
            );
        }
        if sim_runner.paused_until > self.now {
            let us = sim_runner.paused_until.micros_since(self.now);
            let start = Box::new(start);
            let ev = SimEvent::Start {
                runner,
                incarnation,
                from,
                start,
            };
            return self.schedule(us, ev);
        }
        let clock = add_offset(self.now, sim_runner.offset_us);
        if let Err(report) = sim_runner.tasks.start(&start, clock) {
            return self.send_task_report(runner, from, report);
        }
        sim_runner.open_calls.push(from);
        self.on_task_started(runner, &start);
        self.check_takeover(from.process, &start);
        // A task never outlives its lease: a runner that resumes first ends tasks with
        // expired leases.
        self.schedule(
            start.lease_ms * 1_000,
            SimEvent::LeaseExpired(start.task.clone()),
        );
        let sim_runner = &self.runners[runner];
        let full_run_ms = nominal_run_ms(&start.input) as f64 * sim_runner.slowdown;
        let ran_ms = (full_run_ms as u64).min(start.lease_ms);
        let report = if full_run_ms as u64 <= start.lease_ms {
            TaskReport::Done {
                output: start.input,
                ran_ms,
            }
        } else {
            TaskReport::Failed { ran_ms }
        };
        let end = SimEvent::TaskEnd {
            runner,
            incarnation: sim_runner.incarnation,
            task: start.task,
            lease_end: self.now.plus_millis(start.lease_ms),
            report,
            to: from,
        };
        self.schedule(ran_ms * 1_000, end);
    }

    pub(crate) fn on_task_started(&mut self, runner: usize, start: &StartTask) {
        self.report.tasks_started += u64::from(self.is_measured());
        let id = &start.task;
        let Some(job) = self.callers.find(&id.account, &id.submission) else {
            return;
        };
        let job = &self.callers.jobs[job];
        let repeatable = self.scenario.accounts[job.account].repeatable;
        if job.all_refused() {
            let text = format!("{id}");
            self.checks
                .record_violation(Violation::StartedAfterRefusal(text));
        }
        self.checks.record_start(id, repeatable, self.now);
        self.check_leaving(runner);
    }

    /// Checks that a host that was suspended while its shard was taken over starts nothing
    /// under that shard, not even tasks that it had decided to start before.
    pub(crate) fn check_takeover(&mut self, process: ProcessId, start: &StartTask) {
        if self.scenario.fault_every_ms == 0 || !self.is_current(process) {
            return;
        }
        let key = hall_key(&start.shard.hall);
        let text = self.platform.table.value(&key).unwrap_or_default();
        let Ok(row) = serde_json::from_str::<HallRow>(&text) else {
            return;
        };
        let shard = &row.shards[usize::from(start.shard.index)];
        let host = &self.hosts[process.host];
        // Jobs of a shard that was handed over gracefully stay with their host under the
        // old epoch; the host no longer holds the shard and isn't checked.
        let held = host.core.ownership().held_shards();
        let acts_as_owner = held.contains(&(start.shard.index, start.epoch));
        // A host that has taken its own shard back may still finish its older jobs.
        let own = shard.holder.as_ref() == Some(&host.core.settings().id);
        if acts_as_owner && !own && start.epoch < shard.fence {
            let host_view = host.core.ownership().describe_shard(start.shard.index);
            let text = format!(
                "{} by {} at {:?}, to begin by {:?} under {:?}; table {shard:?}; host {host_view}",
                start.task, host.name, self.now, start.latest_begin, start.epoch
            );
            self.checks
                .record_violation(Violation::StartAfterTakeover(text));
        }
    }

    /// Checks that a leaving target gets no new task once the hosts have had a few seconds
    /// without interfering faults to receive the update.
    pub(crate) fn check_leaving(&mut self, runner: usize) {
        const UPDATE_GRACE_MS: u64 = 6_000;
        let sim_runner = &self.runners[runner];
        let Some(since) = sim_runner.leaving_since else {
            return;
        };
        let must_know_by = since
            .max(self.undisturbed_since)
            .plus_millis(UPDATE_GRACE_MS);
        if self.now > must_know_by {
            let text = format!(
                "{} at {:?}, leaving since {since:?}",
                sim_runner.name, self.now
            );
            self.checks
                .record_violation(Violation::StartOnLeaving(text));
        }
    }

    pub(crate) fn on_task_query(&mut self, runner: usize, from: OutgoingCall, query: TaskQuery) {
        let sim_runner = &mut self.runners[runner];
        if !sim_runner.alive {
            let failure = SendFailure::Unknown;
            return self.schedule_failure(
                from,
                CallKind::Task,
                self.scenario.delays.within_hall_us,
                failure,
            );
        }
        if sim_runner.paused_until > self.now {
            let us = sim_runner.paused_until.micros_since(self.now);
            return self.schedule(
                us,
                SimEvent::TaskQuery {
                    runner,
                    from,
                    query,
                },
            );
        }
        let mut report = sim_runner.tasks.query(&query);
        if report == TaskReport::Running && query.stop {
            report = TaskReport::Failed { ran_ms: 0 };
            sim_runner.tasks.record_end(&query.task, report.clone());
            self.checks.record_end(&query.task);
            report = TaskReport::Running;
        }
        self.send_task_report(runner, from, report);
    }

    pub(crate) fn on_task_end(
        &mut self,
        runner: usize,
        incarnation: u32,
        task: TaskId,
        lease_end: Time,
        report: TaskReport,
        to: OutgoingCall,
    ) {
        let sim_runner = &mut self.runners[runner];
        if sim_runner.incarnation != incarnation {
            return;
        }
        if sim_runner.paused_until > self.now {
            let us = sim_runner.paused_until.micros_since(self.now);
            let end = SimEvent::TaskEnd {
                runner,
                incarnation,
                task,
                lease_end,
                report,
                to,
            };
            return self.schedule(us, end);
        }
        sim_runner.open_calls.retain(|call| *call != to);
        let stopped = sim_runner.tasks.end_report(&task);
        let lease_expired = self.now > lease_end;
        let report = match stopped {
            Some(report) => report,
            None if lease_expired => TaskReport::Failed { ran_ms: 0 },
            None => report,
        };
        sim_runner.tasks.record_end(&task, report.clone());
        self.checks.record_end(&task);
        self.send_task_report(runner, to, report);
    }

    /// Ends a runner's process with all its tasks.
    pub(crate) fn kill_runner(&mut self, runner: usize) {
        let sim_runner = &mut self.runners[runner];
        sim_runner.alive = false;
        sim_runner.incarnation += 1;
        for task in sim_runner.tasks.running_tasks() {
            self.checks.record_end(&task);
        }
        // Its connections break.
        let delay = self.scenario.delays.within_hall_us;
        let calls = std::mem::take(&mut self.runners[runner].open_calls);
        for call in calls {
            self.schedule_failure(call, CallKind::Task, delay, SendFailure::Unknown);
        }
    }

    pub(crate) fn restart_runner(&mut self, runner: usize) {
        let sim_runner = &mut self.runners[runner];
        if !sim_runner.alive {
            let clock = add_offset(self.now, sim_runner.offset_us);
            sim_runner.tasks.restart(clock);
            sim_runner.alive = true;
        }
    }
}
