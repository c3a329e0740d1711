//! The host's timers and the actions that they trigger.

use std::collections::BTreeSet;

use gannetridge_entry_wire::platform::TableOp;
use gannetridge_entry_wire::Time;
use rand::Rng;

use super::calls::CallPurpose;
use super::Host;
use crate::config_store::CONFIG_HEAD;
use crate::event::CallId;
use crate::keys::JobKey;
use crate::targets::TargetIndex;

/// Time between runs of the periodic maintenance, in ms.
const HOUSEKEEPING_MS: u64 = 250;
/// Time between reads of the other halls' rows, in ms.
const HALLS_POLL_MS: u64 = 5_000;

/// The action that a timer triggers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    Renew,
    ReadRow,
    Heartbeat,
    PollConfig,
    PollList,
    PollHalls,
    Housekeeping,
    FlushReturns,
    BorrowRequestsExpired,
    Unblock(TargetIndex),
    JobDeadline(JobKey),
    Requeue(JobKey, u32),
    Query(CallId),
    Straggler(CallId),
    Forward(u64),
    Handover,
    Update(u16, u32),
    Change(u64),
    /// Wakes a stopping host that couldn't hand over its shards in time.
    StopLimit,
}

/// The pending timers in the order of their time.
#[derive(Debug, Default)]
pub(super) struct Timers {
    set: BTreeSet<(Time, Timer)>,
}

impl Timers {
    pub(super) fn set(&mut self, at: Time, timer: Timer) {
        self.set.insert((at, timer));
    }

    pub(super) fn next(&self) -> Option<Time> {
        self.set.first().map(|(at, _)| *at)
    }

    pub(super) fn cancel(&mut self, at: Time, timer: Timer) {
        self.set.remove(&(at, timer));
    }

    fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let (at, timer) = *self.set.first()?;
        if at > now {
            return None;
        }
        self.set.pop_first();
        Some(timer)
    }
}

impl Host {
    /// Sets the periodic timers for the first time.
    pub(super) fn set_first_timers(&mut self) {
        let now = self.now;
        self.timers.set(now, Timer::Renew);
        self.timers.set(now, Timer::PollConfig);
        self.timers.set(now, Timer::PollList);
        self.timers.set(now, Timer::PollHalls);
        self.timers.set(now, Timer::Heartbeat);
        self.set_timer_in(HOUSEKEEPING_MS, Timer::Housekeeping);
    }

    /// Sets a timer that is due in `ms`.
    pub(super) fn set_timer_in(&mut self, ms: u64, timer: Timer) {
        self.timers.set(self.now.plus_millis(ms), timer);
    }

    /// Sets a periodic timer with random jitter, so that hosts that were started together
    /// don't stay synchronised.
    fn set_periodic_timer(&mut self, ms: u64, timer: Timer) {
        let jitter = self.rng.random_range(0..=ms / 10);
        self.set_timer_in(ms - ms / 20 + jitter, timer);
    }

    pub(super) fn run_timers(&mut self) {
        while let Some(timer) = self.timers.pop_due(self.now) {
            self.run_timer(timer);
        }
    }

    fn run_timer(&mut self, timer: Timer) {
        let tuning = &self.settings.tuning;
        match timer {
            Timer::Renew => {
                self.set_periodic_timer(tuning.renew_ms, Timer::Renew);
                self.read_row();
            }
            Timer::ReadRow => self.read_row(),
            Timer::Heartbeat => {
                self.set_periodic_timer(tuning.heartbeat_ms, Timer::Heartbeat);
                self.send_heartbeats();
            }
            Timer::PollConfig => {
                self.set_periodic_timer(tuning.config_poll_ms, Timer::PollConfig);
                let key = CONFIG_HEAD.into();
                self.call_table(CallPurpose::ReadHead, TableOp::Get { key });
            }
            Timer::PollList => {
                self.set_periodic_timer(tuning.list_poll_ms, Timer::PollList);
                self.read_list();
            }
            Timer::PollHalls => {
                self.set_periodic_timer(HALLS_POLL_MS, Timer::PollHalls);
                self.poll_halls();
            }
            Timer::Housekeeping => {
                self.set_timer_in(HOUSEKEEPING_MS, Timer::Housekeeping);
                self.run_housekeeping();
            }
            Timer::StopLimit => {}
            Timer::FlushReturns => self.flush_returns(),
            Timer::BorrowRequestsExpired => self.answer_expired_borrow_requests(),
            Timer::Unblock(target) => self.targets.update(target, |t| t.blocked -= 1),
            Timer::JobDeadline(job) => self.on_job_deadline(job),
            Timer::Requeue(job, index) => self.requeue(job, index),
            Timer::Query(call) => self.query_run(call),
            Timer::Straggler(call) => self.on_straggler(call),
            Timer::Forward(forward) => self.resume_forward(forward),
            Timer::Handover => self.continue_handover(),
            Timer::Update(shard, tries) => self.send_update(shard, tries),
            Timer::Change(change) => self.read_for_change(change),
        }
    }

    /// Runs the periodic maintenance.
    fn run_housekeeping(&mut self) {
        self.targets.probe_due_targets(self.now);
        self.lent.reclaim(&mut self.targets, self.now);
        self.ledger.remove_expired(self.now);
        self.fail_overdue_on_other_hosts();
        self.divide_targets();
        self.refresh_quotas();
        self.start_next_handover();
    }
}
