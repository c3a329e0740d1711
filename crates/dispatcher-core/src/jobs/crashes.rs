//! Counts of target crashes per task.
//!
//! A task's owner counts the crashes over all attempts and reports them to the hosts of its
//! hall, since the caller may submit the job again to any of them. Counts are kept while the
//! job is in progress and as long as it may be submitted again. [`crate::rules::crashes`]
//! decides what follows from them.

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
use super::job::parse_task_name;
use super::{Jobs, Remembered};

/// The crashes of targets that ran one task.
#[derive(Clone, Copy, Debug, Default)]
struct CrashHistory {
    crashes: Crashes,
    /// The latest attempt that was counted, so that an end reported twice counts once.
    latest_attempt: u32,
    /// When the last crash became known, in ms of this host's clock.
    last_crash: Millis,
}

/// Tasks whose targets crashed, by task name.
#[derive(Debug, Default)]
pub(super) struct CrashedTasks {
    tasks: BTreeMap<Name, Remembered<CrashHistory>>,
    /// Tasks with counts that haven't been sent to the other hosts of the hall.
    unreported: BTreeSet<Name>,
}

impl CrashedTasks {
    /// Counts the crash that ended an attempt and returns the new counts; `None` if the attempt
    /// ended otherwise or was counted before.
    fn count(&mut self, now: Millis, end: &AttemptEnd) -> Option<Crashes> {
        let mut history = self.history(&end.id.task).unwrap_or_default();
        if end.id.attempt <= history.latest_attempt || !history.crashes.add(end.outcome) {
            return None;
        }
        history.latest_attempt = end.id.attempt;
        history.last_crash = now;
        remember(
            &mut self.tasks,
            &end.id.task,
            history,
            now + ANSWER_RETENTION_MS,
        );
        self.unreported.insert(end.id.task.clone());
        Some(history.crashes)
    }

    /// Merges the counts of another host; the higher of each count applies.
    fn merge(&mut self, now: Millis, record: &CrashRecord) {
        let known = self.history(&record.task).unwrap_or_default();
        let received = Crashes {
            alone: record.alone,
            beside_others: record.beside_others,
            perhaps: record.perhaps,
        };
        let crashes = known.crashes.elementwise_max(&received);
        let history = CrashHistory {
            crashes,
            latest_attempt: known.latest_attempt.max(record.attempt),
            last_crash: if crashes == known.crashes {
                known.last_crash
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

    fn history(&self, task: &str) -> Option<CrashHistory> {
        self.tasks.get(task).map(|remembered| remembered.value)
    }

    /// Returns what follows for a task from its crashes.
    fn decision(&self, now: Millis, task: &str) -> CrashDecision {
        let history = self.history(task).unwrap_or_default();
        history
            .crashes
            .decision(now.saturating_sub(history.last_crash))
    }

    /// Returns the tasks of a job whose targets crashed.
    fn of_job<'a>(&'a self, job: &'a str) -> impl Iterator<Item = (&'a Name, &'a CrashHistory)> {
        let tasks = self
            .tasks
            .range::<str, _>((Bound::Included(job), Bound::Unbounded));
        let tasks = tasks
            .take_while(move |(task, _)| parse_task_name(task).is_some_and(|name| name.job == job));
        tasks.map(|(task, remembered)| (task, &remembered.value))
    }

    /// Returns the highest number of a counted attempt among the tasks of a job.
    pub(super) fn latest_attempt(&self, job: &str) -> Option<u32> {
        self.of_job(job)
            .map(|(_, history)| history.latest_attempt)
            .max()
    }

    /// Returns why a job has to end, if one of its tasks is given up.
    fn end_cause(&self, job: &str) -> Option<EndCause> {
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

    /// Extends the retention of a submitted job's counts and marks them to be reported again.
    fn extend_retention(&mut self, now: Millis, job: &str) {
        let tasks: Vec<Name> = self.of_job(job).map(|(task, _)| task.clone()).collect();
        for task in tasks {
            if let Some(remembered) = self.tasks.get_mut(&task) {
                remembered.until = now + ANSWER_RETENTION_MS;
                self.unreported.insert(task);
            }
        }
    }

    /// Removes expired counts, except those of jobs for which `is_in_progress` holds.
    pub(super) fn remove_expired(&mut self, now: Millis, is_in_progress: impl Fn(&str) -> bool) {
        self.tasks.retain(|task, remembered| {
            let job = parse_task_name(task).map(|name| name.job);
            remembered.until > now || job.is_some_and(&is_in_progress)
        });
    }
}

impl Jobs {
    /// Counts the crash that ended an attempt, whether or not its job is in progress here, and
    /// ends the job if the task is given up.
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
        self.end_job_if_given_up(now, &end.id.task);
    }

    /// Merges counts received from another host of the hall, and ends jobs with tasks that are
    /// given up.
    pub fn merge_crash_records(&mut self, now: Millis, records: &[CrashRecord]) {
        for record in records {
            self.crashed.merge(now, record);
            self.end_job_if_given_up(now, &record.task);
        }
    }

    /// Removes and returns the counts that have to be sent to the other hosts of the hall.
    pub fn take_crash_updates(&mut self) -> Vec<CrashRecord> {
        let unreported = std::mem::take(&mut self.crashed.unreported);
        let records = unreported.into_iter().filter_map(|task| {
            let history = self.crashed.history(&task)?;
            Some(CrashRecord {
                task,
                attempt: history.latest_attempt,
                alone: history.crashes.alone,
                beside_others: history.crashes.beside_others,
                perhaps: history.crashes.perhaps,
            })
        });
        records.collect()
    }

    /// Removes the counts of a task that is done.
    pub(super) fn clear_suspicion(&mut self, task: &Name) {
        if let Some(cleared) = self.crashed.tasks.remove(task) {
            self.crashed.unreported.remove(task);
            self.record_suspicion(task, cleared.value.crashes, Suspicion::Cleared);
        }
    }

    /// Returns whether a task is quarantined: it has to run alone on a target.
    #[must_use]
    pub(super) fn is_quarantined(&self, now: Millis, task: impl FnOnce() -> Name) -> bool {
        // Avoids building the task's name in the usual case, without any crash.
        !self.crashed.tasks.is_empty()
            && self.crashed.decision(now, &task()) == CrashDecision::Quarantined
    }

    /// Applies the counts known for a job that was just accepted, which may be a resubmission.
    pub(super) fn apply_known_crashes(&mut self, now: Millis, job: &Name) {
        self.crashed.extend_retention(now, job);
        self.end_if_any_given_up(now, job);
    }

    /// Ends a job if any of its tasks is given up.
    fn end_if_any_given_up(&mut self, now: Millis, job: &Name) {
        if let Some(cause) = self.crashed.end_cause(job) {
            self.end(now, job, cause);
        }
    }

    /// Ends a task's job if it is in progress here and any of its tasks is given up.
    fn end_job_if_given_up(&mut self, now: Millis, task: &Name) {
        let job = parse_task_name(task).map(|name| Name::from(name.job));
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
