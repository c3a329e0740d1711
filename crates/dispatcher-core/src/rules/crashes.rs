//! Decides how a task is treated after targets crashed while it ran there.
//!
//! **Rule.** *Crash.* A target crashed with its attempts if it has restarted under its id, or if
//! its address belongs to another process or to none, and it hadn't announced that it leaves. A
//! target that only stays silent until its lease has expired isn't taken for crashed: it can't be
//! told from one whose link is cut or that is suspended.
//!
//! *Confirmed attempts.* The end of an attempt just before the crash may never be received. So an
//! attempt counts as running at the crash only if the target was known to be gone before the
//! attempt can have been done: in less than `MIN_REMAINING_SHARE` of the time that its progress, or
//! its estimate, leaves.
//!
//! *Suspects.* All tasks that a crashed target had. One that was alone there is suspected more than
//! one that ran beside others.
//!
//! *Quarantine.* A suspect runs alone on a target. After one crash it runs beside others again if
//! no empty target was found in `QUARANTINE_WAIT_MS`; after more it waits for one. A task that is
//! done is cleared.
//!
//! *Giving up.* A task is given up once two targets crashed with it for certain while it was alone
//! on at least one of them, or after `MAX_CRASHES` crashes, confirmed or not. Its job fails if two
//! of them are confirmed; otherwise it ends unfinished, since the task may have had no part in the
//! crashes.
//!
//! **Inputs.** The number of targets that crashed with a task, alone and beside others; ms since
//! the last crash. **Reason.** Such a task must neither crash the targets of other tasks nor be
//! retried for ever, and a task that only ran beside one must still be done in time. **Trade-off.**
//! A task that was alone on two targets that crashed for other reasons fails. A short task on a
//! target whose crash is detected late stays unconfirmed: it crashes `MAX_CRASHES` targets, and its
//! job ends unfinished.

use crate::message::AttemptOutcome;
use crate::Millis;

/// A task is given up after this many crashes, confirmed or not.
const MAX_CRASHES: u32 = 3;
/// The number of confirmed crashes from which the job of a task that is given up fails, rather than
/// ends unfinished.
const CONFIRMED_CRASHES_TO_FAIL: u32 = 2;
/// How long a task waits for an empty target after one crash, in ms: a longer wait would make short
/// jobs late where many targets crash and none is empty.
const QUARANTINE_WAIT_MS: Millis = 50;

/// The share of the expected remaining time in which an attempt may be done at the earliest:
/// running times vary, and a slow target may become quicker.
const MIN_REMAINING_SHARE: f64 = 0.5;

/// Returns the least remaining running time of an attempt, in ms. `total_ms` is the expected time
/// of all its work, `percent` the part of it that is done.
#[must_use]
pub fn least_remaining_ms(total_ms: f64, percent: u8) -> Millis {
    let left = 1.0 - f64::from(percent.min(100)) / 100.0;
    (total_ms * left * MIN_REMAINING_SHARE) as Millis
}

/// How a target was lost while attempts ran there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetLoss {
    /// It stopped answering.
    Silent,
    /// Its process is gone: nothing listens at its address, or another process does.
    ProcessGone,
    /// It has started again under its id.
    Restarted,
}

/// Whether an attempt ran on a target when the target was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunState {
    /// The target had confirmed the attempt, no stop was due, and it can't have been done.
    Confirmed,
    /// Its start had no reply, it was being stopped, or it may have been done.
    Unconfirmed,
    /// Its start hadn't been sent, or the target had stopped it.
    NotRunning,
}

/// Returns the outcome of an attempt on a target that was lost. `leaving` is set if the target had
/// announced that it leaves; `others` counts the other attempts that may have run there.
#[must_use]
pub fn outcome(loss: TargetLoss, leaving: bool, state: RunState, others: usize) -> AttemptOutcome {
    if loss == TargetLoss::Silent || leaving {
        return AttemptOutcome::Lost;
    }
    match state {
        RunState::NotRunning => AttemptOutcome::Lost,
        RunState::Unconfirmed => AttemptOutcome::PerhapsCrashed,
        RunState::Confirmed if others == 0 => AttemptOutcome::CrashedAlone,
        RunState::Confirmed => AttemptOutcome::CrashedBesideOthers,
    }
}

/// The number of targets that crashed while a task ran there.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Crashes {
    /// Crashes while the task was alone there.
    pub alone: u32,
    /// Crashes while other attempts ran there too.
    pub beside_others: u32,
    /// Crashes at which the task may not have run.
    pub perhaps: u32,
}

/// How a task is treated after its crashes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashDecision {
    /// It may run beside others.
    Trusted,
    /// It runs alone on a target.
    Quarantined,
    /// It is given up, and its job fails.
    GivenUp,
    /// It is given up, and its job ends unfinished.
    GivenUpUnconfirmed,
}

impl Crashes {
    /// Counts an outcome if it is a crash; returns whether it is.
    pub fn add(&mut self, outcome: AttemptOutcome) -> bool {
        match outcome {
            AttemptOutcome::CrashedAlone => self.alone += 1,
            AttemptOutcome::CrashedBesideOthers => self.beside_others += 1,
            AttemptOutcome::PerhapsCrashed => self.perhaps += 1,
            AttemptOutcome::Done
            | AttemptOutcome::Failed
            | AttemptOutcome::Lost
            | AttemptOutcome::StaleAttempt
            | AttemptOutcome::NotStarted => return false,
        }
        true
    }

    /// Returns the larger of each count of two independent observers.
    #[must_use]
    pub fn elementwise_max(&self, other: &Self) -> Self {
        Self {
            alone: self.alone.max(other.alone),
            beside_others: self.beside_others.max(other.beside_others),
            perhaps: self.perhaps.max(other.perhaps),
        }
    }

    /// Returns how the task is treated `since_ms` after its last crash.
    #[must_use]
    pub fn decision(&self, since_ms: Millis) -> CrashDecision {
        let confirmed = self.alone + self.beside_others;
        let all = confirmed + self.perhaps;
        let proven = self.alone > 0 && confirmed >= CONFIRMED_CRASHES_TO_FAIL;
        if proven || (all >= MAX_CRASHES && confirmed >= CONFIRMED_CRASHES_TO_FAIL) {
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
