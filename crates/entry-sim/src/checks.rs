//! Invariants that are checked from outside the hosts, and the record of violations.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use gannetridge_entry_wire::{SubmissionId, TaskId, Time};
use gannetridge_wire::Name;

/// A violated invariant, with a description of the case.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A task of a non-repeatable account was started again.
    StartedTwice(String),
    /// A task was started while an earlier run of it hadn't ended.
    StartedWhileRunning(String),
    /// A complete answer lacks results or holds those of other tasks.
    WrongResults(String),
    /// A request was refused as not run although a task of it had started.
    RefusedButStarted(String),
    /// A task started although every request for its submission had been refused as not
    /// run.
    StartedAfterRefusal(String),
    /// A host started a task under a shard that another host had taken over.
    StartAfterTakeover(String),
    /// A request was rejected for another reason than contents that really differ from an
    /// earlier request's.
    WronglyRejected(String),
    /// A task was started on a target that had been leaving for several seconds.
    StartOnLeaving(String),
    /// A host went back to an older version of the configuration.
    ConfigReverted(String),
    /// A change was reported as accepted, but the table doesn't hold it.
    AcceptedNotDurable(String),
    /// A change was reported as not written, but the table holds it.
    RejectedButWritten(String),
    /// A host lacks the latest configuration after all faults have ended.
    StaleConfig(String),
    /// A host shut down gracefully without answering a request that it had read.
    UnansweredAtStop(String),
    /// Two running hosts had the right to start tasks under one shard.
    TwoOwners(String),
    /// A job has no final answer after all faults have ended.
    NoAnswer(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

#[derive(Debug)]
struct TaskRun {
    run: u32,
    ended: bool,
}

/// Records starts and ends of tasks, and violations.
#[derive(Debug, Default)]
pub struct Checks {
    tasks: HashMap<(Name, SubmissionId, u32), Vec<TaskRun>>,
    first_start: HashMap<(Name, SubmissionId), Time>,
    /// The first violations, up to a limit; [`Checks::counts`] includes the others.
    pub violations: Vec<Violation>,
    /// Number of violations by kind, including those that `violations` doesn't hold.
    counts: BTreeMap<String, u64>,
}

impl Checks {
    /// Records a violation.
    pub fn record_violation(&mut self, violation: Violation) {
        const MAX_KEPT_VIOLATIONS: usize = 50;
        let text = format!("{violation:?}");
        let kind = text.split('(').next().unwrap_or_default().to_owned();
        *self.counts.entry(kind).or_default() += 1;
        if self.violations.len() < MAX_KEPT_VIOLATIONS {
            self.violations.push(violation);
        }
    }

    /// Returns the number of violations by the name of their variant.
    #[must_use]
    pub fn counts(&self) -> &BTreeMap<String, u64> {
        &self.counts
    }

    /// Records that a task started on a runner, and checks that it may.
    pub fn record_start(&mut self, id: &TaskId, repeatable: bool, now: Time) {
        let job = (id.account.clone(), id.submission.clone());
        self.first_start.entry(job).or_insert(now);
        let key = (id.account.clone(), id.submission.clone(), id.index);
        let runs = self.tasks.entry(key).or_default();
        let still_running = runs.iter().any(|run| !run.ended);
        let forbidden_repeat = !runs.is_empty() && !repeatable;
        runs.push(TaskRun {
            run: id.run,
            ended: false,
        });
        if still_running {
            self.record_violation(Violation::StartedWhileRunning(format!("{id} at {now:?}")));
        }
        if forbidden_repeat {
            self.record_violation(Violation::StartedTwice(format!("{id} at {now:?}")));
        }
    }

    /// Records that a run of a task has ended.
    pub fn record_end(&mut self, id: &TaskId) {
        let key = (id.account.clone(), id.submission.clone(), id.index);
        let runs = self.tasks.get_mut(&key);
        for run in runs.into_iter().flatten() {
            run.ended |= run.run == id.run;
        }
    }

    /// Returns the time at which the first task of a submission started.
    #[must_use]
    pub fn first_start(&self, account: &Name, id: &SubmissionId) -> Option<Time> {
        let key = (account.clone(), id.clone());
        self.first_start.get(&key).copied()
    }
}
