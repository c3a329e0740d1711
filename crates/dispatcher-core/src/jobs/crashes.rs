//! Tasks under which targets crashed, as far as this host knows.
//!
//! A task's owner counts them over its attempts, and tells the hosts of its hall: its caller
//! may send the job again to any of them. They are remembered for as long as that, and while
//! the job is under way. What follows is decided by [`crate::rules::crashes`].

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use gannetridge_wire::Name;

use crate::action::Action;
use crate::decision::{Decision, EndCause, Suspicion};
use crate::message::{AttemptEnd, CrashRecord};
use crate::rules::crashes::{CrashDecision, Crashes};
use crate::rules::retry::ANSWER_RETENTION_MS;
use crate::Millis;

use super::ending::remember;
use super::job::parse_task;
use super::{Jobs, Remembered};

/// What is known of one task.
#[derive(Clone, Copy, Debug, Default)]
struct History {
    crashes: Crashes,
    /// The latest attempt that was counted: an end may be told twice.
    attempt: u32,
    /// When the last crash became known, in ms of this host's clock.
    last: Millis,
}

/// The tasks under which targets crashed.
#[derive(Debug, Default)]
pub(super) struct CrashedTasks {
    tasks: BTreeMap<Name, Remembered<History>>,
    /// Those that others are to be told of.
    news: BTreeSet<Name>,
}

impl CrashedTasks {
    /// Counts a crash; returns what is known by then, if an attempt ended by one that wasn't
    /// counted yet.
    fn count(&mut self, now: Millis, end: &AttemptEnd) -> Option<Crashes> {
        let mut history = self.history(&end.id.task).unwrap_or_default();
        if end.id.attempt <= history.attempt || !history.crashes.add(end.outcome) {
            return None;
        }
        history.attempt = end.id.attempt;
        history.last = now;
        remember(
            &mut self.tasks,
            &end.id.task,
            history,
            now + ANSWER_RETENTION_MS,
        );
        self.news.insert(end.id.task.clone());
        Some(history.crashes)
    }

    /// Takes in what another host counted.
    fn told(&mut self, now: Millis, record: &CrashRecord) {
        let known = self.history(&record.task).unwrap_or_default();
        let theirs = Crashes {
            alone: record.alone,
            beside_others: record.beside_others,
            perhaps: record.perhaps,
        };
        let crashes = known.crashes.elementwise_max(&theirs);
        let history = History {
            crashes,
            attempt: known.attempt.max(record.attempt),
            last: if crashes == known.crashes {
                known.last
            } else {
                now
            },
        };
        remember(
            &mut self.tasks,
            &record.task,
            history,
            now + ANSWER_RETENTION_MS,
        );
    }

    fn history(&self, task: &str) -> Option<History> {
        self.tasks.get(task).map(|remembered| remembered.value)
    }

    /// Returns what becomes of a task.
    fn verdict(&self, now: Millis, task: &str) -> CrashDecision {
        let history = self.history(task).unwrap_or_default();
        history.crashes.decision(now.saturating_sub(history.last))
    }

    /// Returns the tasks of a job that are known.
    fn of_job<'a>(&'a self, job: &'a str) -> impl Iterator<Item = (&'a Name, &'a History)> {
        let tasks = self
            .tasks
            .range::<str, _>((Bound::Included(job), Bound::Unbounded));
        let tasks =
            tasks.take_while(move |(task, _)| parse_task(task).is_some_and(|name| name.job == job));
        tasks.map(|(task, remembered)| (task, &remembered.value))
    }

    /// Returns the latest attempt at any task of a job that was counted.
    pub(super) fn latest_attempt(&self, job: &str) -> Option<u32> {
        self.of_job(job).map(|(_, history)| history.attempt).max()
    }

    /// Returns why a job ends, if a task of it is given up.
    fn ends(&self, job: &str) -> Option<EndCause> {
        let mut cause = None;
        for (_, history) in self.of_job(job) {
            match history.crashes.decision(0) {
                CrashDecision::GivenUp => return Some(EndCause::Crashing),
                CrashDecision::GivenUpUnconfirmed => cause = Some(EndCause::PerhapsCrashing),
                CrashDecision::Trusted | CrashDecision::Quarantined => {}
            }
        }
        cause
    }

    /// Remembers the tasks of a job that came again for as long as from their last crash, and has
    /// others told of them again.
    fn came_again(&mut self, now: Millis, job: &str) {
        let tasks: Vec<Name> = self.of_job(job).map(|(task, _)| task.clone()).collect();
        for task in tasks {
            if let Some(remembered) = self.tasks.get_mut(&task) {
                remembered.until = now + ANSWER_RETENTION_MS;
                self.news.insert(task);
            }
        }
    }

    /// Forgets tasks whose callers come no more, but for those that `is_under_way`.
    pub(super) fn expire(&mut self, now: Millis, is_under_way: impl Fn(&str) -> bool) {
        self.tasks.retain(|task, remembered| {
            let job = parse_task(task).map(|name| name.job);
            remembered.until > now || job.is_some_and(&is_under_way)
        });
    }
}

impl Jobs {
    /// Counts a crash under a task, whether or not its job is under way here; of one that is
    /// given up the job ends.
    pub fn count_crash(&mut self, now: Millis, end: &AttemptEnd) {
        if !self.safeguards.crashes_are_counted {
            return;
        }
        let Some(crashes) = self.crashed.count(now, end) else {
            return;
        };
        let suspicion = match crashes.decision(0) {
            CrashDecision::GivenUp | CrashDecision::GivenUpUnconfirmed => Suspicion::GivenUp,
            CrashDecision::Trusted | CrashDecision::Quarantined => Suspicion::Suspect,
        };
        self.record_suspicion(&end.id.task, crashes, suspicion);
        self.end_if_given_up(now, &end.id.task);
    }

    /// Takes in what another host of the hall counted.
    pub fn merge_crash_records(&mut self, now: Millis, records: &[CrashRecord]) {
        for record in records {
            self.crashed.told(now, record);
            self.end_if_given_up(now, &record.task);
        }
    }

    /// Takes what the hosts of the hall are to be told.
    pub fn take_crash_updates(&mut self) -> Vec<CrashRecord> {
        let news = std::mem::take(&mut self.crashed.news);
        let records = news.into_iter().filter_map(|task| {
            let history = self.crashed.history(&task)?;
            Some(CrashRecord {
                task,
                attempt: history.attempt,
                alone: history.crashes.alone,
                beside_others: history.crashes.beside_others,
                perhaps: history.crashes.perhaps,
            })
        });
        records.collect()
    }

    /// Clears a task that is done.
    pub(super) fn clear_suspicion(&mut self, task: &Name) {
        if let Some(cleared) = self.crashed.tasks.remove(task) {
            self.crashed.news.remove(task);
            self.record_suspicion(task, cleared.value.crashes, Suspicion::Cleared);
        }
    }

    /// Returns whether a task is to run alone on a target.
    #[must_use]
    pub(super) fn runs_alone(&self, now: Millis, task: impl FnOnce() -> Name) -> bool {
        // Most of the time there is none.
        !self.crashed.tasks.is_empty()
            && self.crashed.verdict(now, &task()) == CrashDecision::Quarantined
    }

    /// Looks at what is known of a job that was accepted.
    pub(super) fn accepted_again(&mut self, now: Millis, job: &Name) {
        self.crashed.came_again(now, job);
        self.end_if_any_given_up(now, job);
    }

    /// Ends a job of which a task is known to be given up.
    fn end_if_any_given_up(&mut self, now: Millis, job: &Name) {
        if let Some(cause) = self.crashed.ends(job) {
            self.end(now, job, cause);
        }
    }

    fn end_if_given_up(&mut self, now: Millis, task: &Name) {
        let job = parse_task(task).map(|name| Name::from(name.job));
        if let Some(job) = job.filter(|job| self.jobs.contains_key(job)) {
            self.end_if_any_given_up(now, &job);
        }
    }

    fn record_suspicion(&mut self, task: &Name, crashes: Crashes, state: Suspicion) {
        self.actions.push(Action::Record(Decision::TaskSuspected {
            task: task.clone(),
            alone: crashes.alone,
            beside_others: crashes.beside_others,
            perhaps: crashes.perhaps,
            state,
        }));
    }
}
