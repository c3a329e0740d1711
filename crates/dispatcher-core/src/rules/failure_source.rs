//! Whether a failed attempt speaks against its target, or against its kind of task.
//!
//! **Rule.** For each kind of task ([`super::running_time`]) it is kept how its last attempt ended
//! on each of the last `MAX_TARGETS` targets. A failure doesn't count against its target while, of at
//! least `MIN_OTHER_TARGETS` other targets that showed it within `OUTCOME_VALIDITY_MS`, most had the kind fail
//! too.
//!
//! **Inputs.** Ends as targets list them, ms. **Reason.** A queue whose tasks fail anywhere
//! would suspend one target after the other, and with them the work of all other queues of the
//! pool; a target that fails all it starts has others beside it on which the kind is done.
//! Targets are counted and not attempts, since one that fails at once gets the most of them.
//! **Gives up.** The first targets on which a queue begins to fail are suspended once; where most
//! targets fail at once, it is taken for the queue's.

use gannetridge_wire::Name;

use crate::Millis;

/// Of how many targets the last end is kept.
const MAX_TARGETS: usize = 8;
/// How many other targets it takes to tell: with two, two faulty ones would do.
const MIN_OTHER_TARGETS: usize = 3;
/// An end says something for so long, in ms: as long as targets' troubles last.
const OUTCOME_VALIDITY_MS: Millis = 5_000;

/// How an attempt of a kind ended on a target.
#[derive(Clone, Debug)]
struct LastOutcome {
    target: Name,
    at: Millis,
    failed: bool,
}

/// How the last attempts of a kind ended on several targets.
#[derive(Clone, Debug, Default)]
pub struct RecentOutcomes(Vec<LastOutcome>);

impl RecentOutcomes {
    /// Records how an attempt ended on a target.
    pub fn record(&mut self, now: Millis, target: &Name, failed: bool) {
        let end = LastOutcome {
            target: target.clone(),
            at: now,
            failed,
        };
        if let Some(known) = self.0.iter_mut().find(|known| known.target == *target) {
            *known = end;
            return;
        }
        if self.0.len() == MAX_TARGETS {
            let oldest = self.0.iter().enumerate().min_by_key(|(_, end)| end.at);
            let oldest = oldest.map_or(0, |(place, _)| place);
            self.0.swap_remove(oldest);
        }
        self.0.push(end);
    }

    /// Returns whether a failure on a target speaks against it.
    #[must_use]
    pub fn counts_against(&self, now: Millis, target: &Name) -> bool {
        let others = self.0.iter();
        let others =
            others.filter(|end| end.target != *target && end.at + OUTCOME_VALIDITY_MS > now);
        let (mut all, mut failed) = (0, 0);
        for other in others {
            all += 1;
            failed += usize::from(other.failed);
        }
        all < MIN_OTHER_TARGETS || failed * 2 <= all
    }
}
