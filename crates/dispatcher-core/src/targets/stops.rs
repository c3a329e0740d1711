//! Stops of attempts.
//!
//! A stop is sent until the target confirms it; the attempt counts as running until its end is
//! listed. An attempt that is stopped before its start is requested is never started.

use gannetridge_wire::Name;

use crate::action::{Action, TargetCall};
use crate::decision::{Decision, StopReason};
use crate::message::AttemptId;
use crate::Millis;

use super::{OwnerSession, Purpose, TargetLeases, REPLY_TIMEOUT_MS, SILENT_RETRY_INTERVAL_MS};

/// How long a stop of an unknown attempt is remembered, in ms: the request to start it may be in
/// flight.
const STOPPED_EARLY_RETENTION_MS: Millis = 3_000;

/// An attempt that is being stopped.
struct Stopping {
    target: Name,
    id: AttemptId,
}

impl TargetLeases {
    /// Stops attempts that their owner no longer wants. `report` is true if the owner wants reports
    /// of their ends.
    ///
    /// Returns the attempts that aren't here; they are never started.
    pub fn stop(
        &mut self,
        now: Millis,
        owner: &Name,
        ids: &[AttemptId],
        report: bool,
        reason: StopReason,
    ) -> Vec<AttemptId> {
        let mut missing = Vec::new();
        let mut stopping = Vec::new();
        for id in ids {
            let Some(target_id) = self.target_with(id, owner) else {
                self.stopped_early
                    .insert(id.clone(), now + STOPPED_EARLY_RETENTION_MS);
                missing.push(id.clone());
                continue;
            };
            let target = self.targets.get_mut(&target_id).expect("just found");
            if target.request_stop(id, report) {
                let id = id.clone();
                stopping.push(Stopping {
                    target: target_id,
                    id,
                });
            }
        }
        self.record_stops(stopping, reason);
        self.send_stops(now);
        missing
    }

    /// Returns the target that has an owner's attempt.
    fn target_with(&self, id: &AttemptId, owner: &Name) -> Option<Name> {
        let mut targets = self.active_targets();
        let found = targets.find(|(_, target)| {
            let attempt = target.attempts.get(id);
            attempt.is_some_and(|attempt| attempt.owner.host == *owner)
        });
        found.map(|(target_id, _)| target_id.clone())
    }

    /// Stops all attempts of an owner that belong to sessions before `session`, also those of an
    /// earlier incarnation with the same session number. Guards against two concurrent attempts of
    /// a task after the owner restarted within its lease and renewed it.
    pub fn stop_earlier_sessions(
        &mut self,
        now: Millis,
        owner: &Name,
        session: OwnerSession,
        reason: StopReason,
    ) {
        let mut stopping = Vec::new();
        for target_id in &self.active {
            let target = self.targets.get_mut(target_id);
            let target = target.expect("active targets are known");
            let attempts = target.attempts.iter();
            let theirs = attempts.filter(|(_, attempt)| {
                attempt.owner.host == *owner && attempt.owner.session < session
            });
            let ids: Vec<AttemptId> = theirs.map(|(id, _)| id.clone()).collect();
            for id in ids {
                if target.request_stop(&id, false) {
                    let target = target_id.clone();
                    stopping.push(Stopping { target, id });
                }
            }
        }
        self.record_stops(stopping, reason);
        self.send_stops(now);
    }

    /// Stops attempts that overrun or stall, and suspends the targets that they make suspect.
    pub(super) fn stop_stalled_or_overrunning(&mut self, now: Millis) {
        for target_id in self.active.clone() {
            let target = self.targets.get_mut(&target_id);
            let target = target.expect("active targets are known");
            let ending = target.stalled_or_overrunning(now);
            if ending.iter().any(|(id, _)| target.is_suspect_for(now, id)) {
                target.health.suspend(now);
            }
            for (id, reason) in ending {
                target.request_stop(&id, true);
                if let Some(times) = &mut self.learned_times {
                    times.record_overrun(now, &target.attempts[&id], target.slowdown(now));
                }
                self.actions.push(Action::Record(Decision::AttemptStopping {
                    id,
                    target: target_id.clone(),
                    reason,
                }));
            }
        }
    }

    fn record_stops(&mut self, stopping: Vec<Stopping>, reason: StopReason) {
        let records = stopping.into_iter().map(|stopping| {
            Action::Record(Decision::AttemptStopping {
                id: stopping.id,
                target: stopping.target,
                reason,
            })
        });
        self.actions.extend(records);
    }

    /// Sends pending stops. Targets that have been silent for a while are skipped: only renewals
    /// are sent to them.
    pub(super) fn send_stops(&mut self, now: Millis) {
        let mut stops = Vec::new();
        for (target_id, target) in self.active_targets() {
            let silent_since = target.health.silent_since();
            let silent = silent_since.is_some_and(|since| since + SILENT_RETRY_INTERVAL_MS < now);
            if target.lease.is_free() || silent {
                continue;
            }
            let ids = target.stops_to_send().into_iter();
            stops.extend(ids.map(|id| (target_id.clone(), id)));
        }
        for (target_id, id) in stops {
            if self.end_if_unsent(now, &target_id, &id) {
                continue;
            }
            let order = TargetCall::Stop(id.clone());
            let call = self.call(
                &target_id,
                Purpose::Stop(id.clone()),
                order,
                REPLY_TIMEOUT_MS,
            );
            if let Some(target) = self.targets.get_mut(&target_id) {
                target.record_stop_sent(now, &id, call);
            }
        }
    }
}
