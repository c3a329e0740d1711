//! Renewals of targets' leases: they keep attempts running, and bring back what
//! runs and what has ended.

use gannetridge_wire::Name;

use crate::action::TargetCall;
use crate::decision::EndEvidence;
use crate::rules::crashes::TargetLoss;
use crate::Millis;

use super::lease::LeaseStage;
use super::target::Target;
use super::{Purpose, TargetLeases, REPLY_TIMEOUT_MS};

/// How long a target may wait for an end before it answers a renewal, where an end is awaited that
/// other news may show, in ms.
const AWAITED_END_POLL_MS: Millis = 20;

impl TargetLeases {
    /// Ends attempts on targets whose lease expired: nothing of them can run any
    /// more.
    pub fn end_expired(&mut self, now: Millis) {
        for id in &self.active {
            let gone_by = self.gone_by(now, &self.targets[id]);
            let target = self.targets.get_mut(id);
            let target = target.expect("active targets are known");
            let waits = self.safeguards.silent_attempts_are_waited_for;
            let silent = target.health.silent_since().is_some();
            let expired = target.lease.have_attempts_expired(now) || (!waits && silent);
            if !target.is_idle() && expired {
                let loss = if target.refuses_since.is_some() {
                    TargetLoss::ProcessGone
                } else {
                    TargetLoss::Silent
                };
                let reports =
                    target.end_all_attempts(now, loss, gone_by, EndEvidence::LeaseExpired);
                self.reports.extend(reports);
                target.mark_incarnation_unconfirmed();
            }
        }
    }

    /// Renews leases and asks for news, where no such call is on its way.
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
        // What is left to the lease would run on with what runs beside it.
        let renews = extends_lease(target) && !self.lets_lease_expire(target);
        let target = self.targets.get_mut(id).expect("the target was found");
        let until = if renews {
            target.extend_lease(now, &self.times)
        } else {
            None
        };
        let wait_ms = long_poll_ms(target, self.times.long_poll);
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

    /// Has a call that acquires a target carry a token of its own time. The target may have started
    /// again since the last one was sent: its new life would take one that is older than another
    /// holder's, and then that holder's too.
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

/// Returns whether a renewal is to extend the lease on what runs at a target, or only
/// to ask for news.
///
/// What a new holder finds is nobody's: its lease isn't extended. Nor are this host's
/// own attempts as long as it doesn't know what others run beside them. Of a silent
/// target each renewal may have arrived, so that one that extends the lease puts off
/// the time at which its attempts are over for certain (`tests/target_leases.rs`).
///
/// After a call without reply the target may have started again with a clock that began anew: it
/// would take a time of the old clock for the longest lease that it grants, on all that it runs
/// from then on. Guards against a holder that takes such attempts for over while they run.
fn extends_lease(target: &Target) -> bool {
    let runs_any = !target.is_idle() && !target.has_unsent_starts();
    target.lease.is_held() && runs_any && target.is_incarnation_certain()
}

/// Returns up to which number ends are acknowledged. After a call without reply the target may
/// have started again, and number its ends anew: those of its new life that nobody has heard of
/// would be forgotten.
fn acknowledged(target: &Target) -> u64 {
    if target.is_incarnation_certain() {
        target.lease.acknowledged
    } else {
        0
    }
}

/// Returns how long a target may wait for an end before it answers, in ms.
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

/// Returns whether a renewal is to be sent now.
///
/// A target with attempts gets one as soon as nothing stands against it; only one
/// that doesn't answer, or is idle, has a time to wait for.
fn is_renewal_due(target: &Target, now: Millis) -> bool {
    let busy = !target.is_idle() || target.awaits_end();
    let answers = target.health.silent_since().is_none();
    let acquiring = target.lease.stage == LeaseStage::Acquiring;
    target.lease.next_renewal <= now || (busy && answers && !acquiring)
}
