//! Renewals of targets' leases. They keep attempts running, and their replies list running and
//! ended attempts.

use gannetridge_wire::Name;

use crate::action::TargetCall;
use crate::decision::EndEvidence;
use crate::rules::crashes::TargetLoss;
use crate::Millis;

use super::lease::LeaseStage;
use super::target::Target;
use super::{Purpose, TargetLeases, REPLY_TIMEOUT_MS};

/// How long a renewal may wait at the target for an end, in ms, while an end is awaited that a new
/// listing may show earlier.
const AWAITED_END_POLL_MS: Millis = 20;

impl TargetLeases {
    /// Ends attempts on targets whose lease has expired: none of them can run any more.
    pub fn end_expired(&mut self, now: Millis) {
        for id in &self.active {
            let latest_loss = self.latest_loss(now, &self.targets[id]);
            let target = self.targets.get_mut(id);
            let target = target.expect("active targets are known");
            let waits_for_lease = self.safeguards.silent_attempts_are_waited_for;
            let silent = target.health.silent_since().is_some();
            let expired = target.lease.have_attempts_expired(now) || (!waits_for_lease && silent);
            if !target.is_idle() && expired {
                let loss = if target.refuses_since.is_some() {
                    TargetLoss::ProcessGone
                } else {
                    TargetLoss::Silent
                };
                let reports =
                    target.end_all_attempts(now, loss, latest_loss, EndEvidence::LeaseExpired);
                self.reports.extend(reports);
                target.mark_incarnation_unconfirmed();
            }
        }
    }

    /// Sends due renewals to targets without one in flight.
    pub fn send_renewals(&mut self, now: Millis) {
        let leased = self.leased.iter();
        let due = leased.filter(|id| {
            let target = &self.targets[*id];
            target.lease.renewal.is_none() && is_renewal_due(target, now)
        });
        let due: Vec<Name> = due.cloned().collect();
        for id in due {
            self.send_renewal(now, &id);
        }
    }

    fn send_renewal(&mut self, now: Millis, id: &Name) {
        self.refresh_token(now, id);
        let target = &self.targets[id];
        // Extending the lease for other attempts would also extend it for the one whose stop isn't
        // confirmed.
        let extends = extends_lease(target) && !self.lets_lease_expire(target);
        let target = self.targets.get_mut(id).expect("the target was found");
        let until = if extends {
            target.extend_lease(now, &self.times)
        } else {
            None
        };
        let wait_ms = long_poll_ms(target, self.times.long_poll_ms);
        let order = TargetCall::Renew {
            until,
            acknowledged: acknowledged(target),
            wait_ms,
        };
        let purpose = Purpose::Renewal { requested: now };
        let call = self.call(id, purpose, order, wait_ms + REPLY_TIMEOUT_MS);
        let target = self.targets.get_mut(id).expect("the target was found");
        target.lease.renewal = Some(call);
    }

    /// Uses a fresh token for a call that acquires a target. The target may have restarted since
    /// the last call: its new incarnation would accept a token older than another holder's, and
    /// then that holder's as well.
    fn refresh_token(&mut self, now: Millis, id: &Name) {
        let lease = &self.targets[id].lease;
        if lease.stage != LeaseStage::Acquiring || !self.safeguards.acquiring_tokens_are_fresh {
            return;
        }
        let token = self.tokens.next(now);
        if let Some(target) = self.targets.get_mut(id) {
            target.lease.refresh_token(token);
        }
    }
}

/// Returns true if a renewal is to extend the lease, false if it only requests a listing.
///
/// A new holder doesn't extend the lease of attempts that it finds, nor of its own attempts until
/// it knows what other hosts run beside them. Each renewal to a silent target may have arrived, so
/// that extending its lease would delay the time at which its attempts have ended for certain
/// (`tests/target_leases.rs`).
///
/// After a call without reply the target may have restarted with a new clock. It would then take a
/// time on its previous clock for the longest lease that it grants. Guards against a holder that
/// takes attempts for ended while they run.
fn extends_lease(target: &Target) -> bool {
    let runs_any = !target.is_idle() && !target.has_unsent_starts();
    target.lease.is_held() && runs_any && target.is_incarnation_certain()
}

/// Returns the number up to which ends are acknowledged. After a call without reply the target may
/// have restarted and numbered its ends anew: acknowledging the earlier number would discard ends
/// that weren't received.
fn acknowledged(target: &Target) -> u64 {
    if target.is_incarnation_certain() {
        target.lease.acknowledged
    } else {
        0
    }
}

/// Returns how long a renewal may wait at the target for an end, in ms.
fn long_poll_ms(target: &Target, longest: Millis) -> Millis {
    let silent = target.health.silent_since().is_some();
    let acquiring = target.lease.stage == LeaseStage::Acquiring;
    let idle = target.lease.is_held() && target.is_idle();
    if silent || acquiring || idle || target.has_unsent_starts() {
        0
    } else if target.awaits_end() {
        AWAITED_END_POLL_MS
    } else {
        longest
    }
}

/// Returns true if a renewal is to be sent now.
///
/// A target that answers is renewed without delay while it has attempts or an end is awaited there,
/// unless it is being acquired. Others are renewed at their next renewal time.
fn is_renewal_due(target: &Target, now: Millis) -> bool {
    let busy = !target.is_idle() || target.awaits_end();
    let answers = target.health.silent_since().is_none();
    let acquiring = target.lease.stage == LeaseStage::Acquiring;
    target.lease.next_renewal <= now || (busy && answers && !acquiring)
}
