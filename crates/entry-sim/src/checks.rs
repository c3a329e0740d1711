//! What must always hold, seen from outside the hosts.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use gannetridge_entry_wire::{SubmissionId, TaskId, Time};
use gannetridge_wire::Name;

/// A promise that a run has found broken.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Violation {
    /// A task of an account that isn't repeatable was begun again.
    BegunTwice(String),
    /// A task was begun while an earlier run of it went on.
    BegunBesideItself(String),
    /// A complete answer lacks results or holds another request's.
    NotItsOwnAnswer(String),
    /// A request was refused as not run, and its submission had run.
    NotRunButRan(String),
    /// A submission ran though every request for it was refused as not run.
    RanAfterNotRun(String),
    /// A host whose shard had been taken over started a task under it.
    StartAfterTakeover(String),
    /// A request with an id's own contents was rejected as differing.
    FalseClash(String),
    /// A target that had been leaving for long got new work.
    StartOnLeaving(String),
    /// A configuration in force went back.
    ConfigReverted(String),
    /// A change was accepted that the table doesn't hold.
    AcceptedNotDurable(String),
    /// A change was reported as not written and yet was.
    DeniedButWritten(String),
    /// Some host doesn't have the last version after all faults are over.
    NotInForce(String),
    /// A host that stopped in order left a request without an answer.
    CutOffByStop(String),
    /// Two hosts believed in the right to one shard at the same time.
    TwoOwners(String),
    /// A job has no final answer after all faults are over.
    NoAnswer(String),
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{self:?}")
    }
}

#[derive(Debug)]
struct Begun {
    run: u32,
    over: bool,
}

/// Watches tasks begin and end.
#[derive(Debug, Default)]
pub struct Checks {
    tasks: HashMap<(Name, SubmissionId, u32), Vec<Begun>>,
    first_begun: HashMap<(Name, SubmissionId), Time>,
    /// What was found.
    pub violations: Vec<Violation>,
    /// How many of each kind would be too many to keep.
    counts: BTreeMap<String, u64>,
}

impl Checks {
    /// Notes a violation.
    pub fn violated(&mut self, violation: Violation) {
        const MOST_KEPT: usize = 50;
        let text = format!("{violation:?}");
        let kind = text.split('(').next().unwrap_or_default().to_owned();
        *self.counts.entry(kind).or_default() += 1;
        if self.violations.len() < MOST_KEPT {
            self.violations.push(violation);
        }
    }

    /// Returns violations by kind.
    #[must_use]
    pub fn counts(&self) -> &BTreeMap<String, u64> {
        &self.counts
    }

    /// Notes that a task began on a runner.
    pub fn begun(&mut self, id: &TaskId, repeatable: bool, now: Time) {
        let job = (id.account.clone(), id.submission.clone());
        self.first_begun.entry(job).or_insert(now);
        let key = (id.account.clone(), id.submission.clone(), id.index);
        let runs = self.tasks.entry(key).or_default();
        let beside = runs.iter().any(|run| !run.over);
        let again = !runs.is_empty() && !repeatable;
        runs.push(Begun {
            run: id.run,
            over: false,
        });
        if beside {
            self.violated(Violation::BegunBesideItself(format!("{id} at {now:?}")));
        }
        if again {
            self.violated(Violation::BegunTwice(format!("{id} at {now:?}")));
        }
    }

    /// Notes that a task's run is over.
    pub fn over(&mut self, id: &TaskId) {
        let key = (id.account.clone(), id.submission.clone(), id.index);
        let runs = self.tasks.get_mut(&key);
        for run in runs.into_iter().flatten() {
            run.over |= run.run == id.run;
        }
    }

    /// Tells when the first task of a submission began.
    #[must_use]
    pub fn first_begun(&self, account: &Name, id: &SubmissionId) -> Option<Time> {
        let key = (account.clone(), id.clone());
        self.first_begun.get(&key).copied()
    }
}
