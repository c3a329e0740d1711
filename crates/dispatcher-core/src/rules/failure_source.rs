//! Decides whether a failed attempt counts against its target or against its kind of task.
//!
//! **Rule.** For each kind of task ([`super::running_time`]) the outcome of its last attempt is
//! kept for each of the last `MAX_TARGETS` targets. A failure doesn't count against its target if
//! the kind also failed on most of the other targets with an outcome within `OUTCOME_VALIDITY_MS`,
//! given at least `MIN_OTHER_TARGETS` of these.
//!
//! **Inputs.** Ends of attempts as targets list them, ms. **Reason.** A queue whose tasks fail
//! everywhere would suspend one target after the other, and with them the work of all other queues
//! of the pool; a faulty target has others beside it on which the kind succeeds. Targets are
//! counted rather than attempts, since a target that fails at once gets the most attempts.
//! **Trade-off.** The first targets on which a queue starts to fail are suspended once; if most
//! targets fail at the same time, the failures are attributed to the queue.

use gannetridge_wire::Name;

use crate::Millis;

/// The number of targets whose last outcome is kept.
const MAX_TARGETS: usize = 8;
/// The least number of other targets to compare with: of two, both might be faulty.
const MIN_OTHER_TARGETS: usize = 3;
/// How long an outcome is considered, in ms: about as long as a target's trouble lasts.
const OUTCOME_VALIDITY_MS: Millis = 5_000;

/// The outcome of the last attempt of a kind on one target.
#[derive(Clone, Debug)]
struct LastOutcome {
    target: Name,
    at: Millis,
    failed: bool,
}

/// The last outcomes of a kind of task, one per target.
#[derive(Clone, Debug, Default)]
pub struct RecentOutcomes(Vec<LastOutcome>);

impl RecentOutcomes {
    /// Records the outcome of an attempt on a target.
    pub fn record(&mut self, now: Millis, target: &Name, failed: bool) {
        let outcome = LastOutcome {
            target: target.clone(),
            at: now,
            failed,
        };
        if let Some(known) = self.0.iter_mut().find(|known| known.target == *target) {
            *known = outcome;
            return;
        }
        if self.0.len() == MAX_TARGETS {
            let oldest = self
                .0
                .iter()
                .enumerate()
                .min_by_key(|(_, outcome)| outcome.at);
            let oldest = oldest.map_or(0, |(position, _)| position);
            self.0.swap_remove(oldest);
        }
        self.0.push(outcome);
    }

    /// Returns whether a failure on a target counts against the target.
    #[must_use]
    pub fn counts_against(&self, now: Millis, target: &Name) -> bool {
        let others = self.0.iter();
        let others = others
            .filter(|outcome| outcome.target != *target && outcome.at + OUTCOME_VALIDITY_MS > now);
        let (mut all, mut failed) = (0, 0);
        for other in others {
            all += 1;
            failed += usize::from(other.failed);
        }
        all < MIN_OTHER_TARGETS || failed * 2 <= all
    }
}
