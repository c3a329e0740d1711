//! What follows for a task from targets that crashed while it ran there.
//!
//! **Rule.** *What is a crash.* A target crashed under the attempts that it had, or may have had,
//! when it has started again under its id, when its address is another process's or nobody's, and
//! it hadn't said before that it leaves. One that only stays silent until its lease is over
//! isn't taken for crashed: nothing tells it from one whose link is cut, or that stands still.
//!
//! *Who surely ran.* The end of an attempt just before the crash may never be heard. So one that was
//! confirmed surely ran only if the target was known to be gone before it can have been done: in
//! less than `MIN_REMAINING_SHARE` of the time that its progress so far, or its estimate, leaves.
//!
//! *Who is suspect.* All tasks that a crashed target had. One that was alone there is blamed
//! more than one that ran beside others.
//!
//! *Quarantine.* A suspect runs alone on a target. After one crash it runs beside others again if
//! no empty target was found in `QUARANTINE_WAIT_MS`; after more it waits for one. A task that
//! is done is cleared.
//!
//! *Giving up.* A task is given up once two targets surely crashed under it while it was alone
//! on one of them at least, or once `MAX_CRASHES` did, surely or perhaps. Its job fails if two
//! of them are sure; else it ends unfinished, since the task may have been started there too
//! late, or stopped in time, to have had a part in it.
//!
//! **Inputs.** How many targets crashed under a task, alone and beside others; ms since the last
//! of them. Callers need that such a task neither takes their other tasks' targets with it nor
//! runs on and on, and that a task that was only beside one is done in its time. One task so
//! takes `MAX_CRASHES` targets at most, and neighbours with it on the first two at most.
//! **Gives up.** A task that was alone on a target that crashed by itself, and on another such
//! target before, fails. A short task whose target is found to be gone only later is in doubt: it
//! takes `MAX_CRASHES` targets, and its job ends unfinished.

use crate::message::AttemptOutcome;
use crate::Millis;

/// A task is given up after so many crashes, whoever ran beside it: the users allow none to be
/// started over and over after three.
const MAX_CRASHES: u32 = 3;
/// From so many sure crashes on the users let a job be shown as failed.
const CONFIRMED_CRASHES_TO_FAIL: u32 = 2;
/// How long a task waits for an empty target after one crash, in ms: where many targets crash
/// by themselves and none is empty, waiting for longer would make short jobs late.
const QUARANTINE_WAIT_MS: Millis = 50;

/// The least share of the time expected of it in which an attempt may be done: running times spread
/// around estimates, and a slow target may become quicker.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// Returns how long an attempt takes from now at the least, in ms. `total_ms` is the time expected of
/// all of its work, `percent` what is done of it.
#[must_use]
pub fn least_remaining_ms(total_ms: f64, percent: u8) -> Millis {
    let left = 1.0 - f64::from(percent.min(100)) / 100.0;
    (total_ms * left * MIN_REMAINING_SHARE) as Millis
}

/// How a target was lost while attempts ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetLoss {
    /// It doesn't answer.
    Silent,
    /// Its process is gone: nothing listens at its address, or another process does.
    ProcessGone,
    /// It has started again under its id.
    Restarted,
}

/// Whether an attempt ran on a target when that was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The target had said that it has it, nothing was to end it, and it can't have been done.
    Confirmed,
    /// Its start had no reply, it was being stopped, or it may have been done.
    Unconfirmed,
    /// The target had stopped it.
    NotRunning,
}

/// Returns how an attempt ended on a target that was lost. `leaving` tells whether the target
/// had said that it leaves, `others` how many other attempts may have run there.
#[must_use]
pub fn outcome(loss: TargetLoss, leaving: bool, ran: RunState, others: usize) -> AttemptOutcome {
    if loss == TargetLoss::Silent || leaving {
        return AttemptOutcome::Lost;
    }
    match ran {
        RunState::NotRunning => AttemptOutcome::Lost,
        RunState::Unconfirmed => AttemptOutcome::PerhapsCrashed,
        RunState::Confirmed if others == 0 => AttemptOutcome::CrashedAlone,
        RunState::Confirmed => AttemptOutcome::CrashedBesideOthers,
    }
}

/// How many targets crashed under a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// While it was alone there.
    pub alone: u32,
    /// While others ran there too.
    pub beside_others: u32,
    /// Where it isn't sure that the task ran.
    pub perhaps: u32,
}

/// What becomes of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// It may run beside others.
    Trusted,
    /// It runs alone.
    Quarantined,
    /// It is given up, and its job fails.
    GivenUp,
    /// It is given up, and its job ends unfinished.
    GivenUpUnconfirmed,
}

impl Crashes {
    /// Adds a crash, if an attempt ended by one; returns whether it did.
    pub fn add(&mut self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::CrashedAlone => self.alone += 1,
            AttemptOutcome::CrashedBesideOthers => self.beside_others += 1,
            AttemptOutcome::PerhapsCrashed => self.perhaps += 1,
            AttemptOutcome::Done
            | AttemptOutcome::Failed
            | AttemptOutcome::Lost
            | AttemptOutcome::StaleAttempt
            | AttemptOutcome::NotBegun => return false,
        }
        true
    }

    /// Returns what is known by either of two that counted for themselves.
    #[must_use]
    pub fn elementwise_max(&self, other: &Self) -> Self {
        Self {
            alone: self.alone.max(other.alone),
            beside_others: self.beside_others.max(other.beside_others),
            perhaps: self.perhaps.max(other.perhaps),
        }
    }

    /// Returns what becomes of the task, `since_ms` after the last crash.
    #[must_use]
    pub fn decision(&self, since_ms: Millis) -> CrashDecision {
        let sure = self.alone + self.beside_others;
        let all = sure + self.perhaps;
        let proven = self.alone > 0 && sure >= CONFIRMED_CRASHES_TO_FAIL;
        if proven || (all >= MAX_CRASHES && sure >= CONFIRMED_CRASHES_TO_FAIL) {
            CrashDecision::GivenUp
        } else if all >= MAX_CRASHES {
            CrashDecision::GivenUpUnconfirmed
        } else if all == 0 || (all == 1 && since_ms >= QUARANTINE_WAIT_MS) {
            CrashDecision::Trusted
        } else {
            CrashDecision::Quarantined
        }
    }
}
