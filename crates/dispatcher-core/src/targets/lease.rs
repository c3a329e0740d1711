//! A host's lease on one target: how far it has got, its fencing token, its renewals.
//!
//! The stages are those of `charts/target-lease.toml`, interpreted. The lease itself
//! lives at the target; this is what the host knows of it.

use std::sync::LazyLock;

use gannetridge_state_chart::{chart_names, Chart};

use crate::event::CallId;
use crate::rules::contention::{self, Claim};
use crate::Millis;

chart_names! {
    /// How far a host has got with a target's lease; see `charts/target-lease.toml`.
    LeaseStage {
        /// Another host's, or nobody's.
        NotHeld = "not-held",
        /// Its token may not be known at the target yet.
        Acquiring = "acquiring",
        /// Its token is known there, but attempts run that it didn't start. They are
        /// let run until their own leases end, and nothing is started beside them.
        Settling = "settling",
        /// Held: tasks may be started.
        Held = "held",
    }
}

chart_names! {
    /// What happens to a host's lease on a target.
    LeaseEvent {
        /// The host sends a new token.
        Acquire = "acquire",
        /// The target knows the token and runs only what this host started.
        OwnOnly = "own-only",
        /// The target knows the token and runs attempts that this host didn't start.
        ForeignRuns = "foreign-runs",
        /// The host gives the target up, or loses it.
        Leave = "leave",
    }
}

/// The chart of a target's lease, interpreted.
static LEASE: LazyLock<Chart<LeaseStage, LeaseEvent>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../charts/target-lease.toml"))
        .expect("the chart is part of the program and read by each test of a lease")
});

/// A host's lease on one target; times in ms of this host's clock.
#[derive(Debug)]
pub(super) struct Lease {
    pub(super) stage: LeaseStage,
    /// The fencing token that this host's calls carry.
    pub(super) token: u64,
    /// Since when it has been held.
    held_since: Millis,
    /// Since when it was held before another host took the target, while it is
    /// taken back.
    incumbent_since: Option<Millis>,
    /// Tokens that were too low since the target was to be acquired.
    tokens_tried: u32,
    /// How often the target was lost to another host.
    claims_lost: u32,
    /// The target is left alone before this time.
    pub(super) backoff_until: Millis,
    /// The renewal that is on its way.
    pub(super) renewal: Option<CallId>,
    /// The next renewal isn't sent before this time.
    pub(super) next_renewal: Millis,
    /// Ends up to this number are acknowledged with the next renewal.
    pub(super) acknowledged: u64,
    /// By then all attempts at the target are over if no renewal follows.
    attempts_expire_at: Millis,
}

impl Lease {
    /// A lease that this host doesn't hold.
    pub(super) fn not_held() -> Self {
        Self {
            stage: LEASE.initial(),
            token: 0,
            held_since: 0,
            incumbent_since: None,
            tokens_tried: 0,
            claims_lost: 0,
            backoff_until: 0,
            renewal: None,
            next_renewal: 0,
            acknowledged: 0,
            attempts_expire_at: 0,
        }
    }

    /// Returns whether this host holds it.
    pub(super) fn is_held(&self) -> bool {
        self.stage == LeaseStage::Held
    }

    /// Returns whether this host neither holds nor acquires it.
    pub(super) fn is_free(&self) -> bool {
        self.stage == LeaseStage::NotHeld
    }

    /// Begins to acquire it.
    pub(super) fn acquire(&mut self, now: Millis, token: u64) {
        self.restart_acquisition(now, token);
        self.tokens_tried = 0;
        self.incumbent_since = None;
    }

    /// Acquires it again from the host that took the target.
    pub(super) fn take_back(&mut self, now: Millis, token: u64, forget_losses: bool) {
        if forget_losses {
            self.claims_lost = 0;
        }
        self.incumbent_since = Some(self.held_since);
        self.tokens_tried = 0;
        self.restart_acquisition(now, token);
    }

    /// Acquires it of a new life of the target under the same id.
    pub(super) fn reacquire_after_restart(&mut self, now: Millis, token: u64) {
        self.incumbent_since = self.is_held().then_some(self.held_since);
        self.tokens_tried = 0;
        self.restart_acquisition(now, token);
    }

    /// Carries a later token from here on, while the target may not know the present one.
    pub(super) fn refresh_token(&mut self, token: u64) {
        self.token = token;
    }

    /// Tries again with a higher token.
    pub(super) fn raise_token(&mut self, now: Millis, token: u64) {
        self.incumbent_since = None;
        self.tokens_tried += 1;
        self.restart_acquisition(now, token);
    }

    fn restart_acquisition(&mut self, now: Millis, token: u64) {
        LEASE.advance(&mut self.stage, LeaseEvent::Acquire);
        self.token = token;
        self.next_renewal = now;
        // A call that went out before tells nothing of what came since.
        self.renewal = None;
        // Nor is it known whose ends these are: the target may have started again, and numbered
        // them anew for another host (the simulator with targets that restart, seed 3).
        self.acknowledged = 0;
    }

    /// Gives it up.
    pub(super) fn release(&mut self) {
        LEASE.advance(&mut self.stage, LeaseEvent::Leave);
        self.renewal = None;
    }

    /// Loses it to another host, and backs off.
    pub(super) fn lose(&mut self, now: Millis) {
        self.backoff_until = now + contention::backoff_ms(self.claims_lost);
        self.claims_lost += 1;
        self.release();
    }

    /// Records that the target has this host's token; `settled` says that it
    /// runs nothing that this host didn't start.
    pub(super) fn confirm_token(&mut self, now: Millis, settled: bool) {
        let was_held = self.is_held();
        let event = if settled {
            LeaseEvent::OwnOnly
        } else {
            LeaseEvent::ForeignRuns
        };
        LEASE.advance(&mut self.stage, event);
        if self.is_held() && !was_held {
            self.held_since = self.incumbent_since.unwrap_or(now);
        }
    }

    /// Returns how far this host has got, if it holds or acquires the lease.
    pub(super) fn claim(&self) -> Option<Claim> {
        match self.stage {
            LeaseStage::NotHeld => None,
            LeaseStage::Acquiring => Some(Claim::Acquiring {
                tokens_tried: self.tokens_tried,
            }),
            LeaseStage::Settling => Some(Claim::Settling),
            LeaseStage::Held => Some(Claim::Held {
                since: self.held_since,
            }),
        }
    }

    /// Records that attempts at the target may run until then.
    pub(super) fn extend(&mut self, attempts_expire_at: Millis) {
        self.attempts_expire_at = self.attempts_expire_at.max(attempts_expire_at);
    }

    /// Returns whether all attempts at the target are over.
    pub(super) fn have_attempts_expired(&self, now: Millis) -> bool {
        self.attempts_expire_at < now
    }
}

/// Makes fencing tokens that grow with time and differ from host to host.
#[derive(Debug)]
pub(super) struct TokenGenerator {
    /// Wall-clock time in ms since 1970 at which this host's clock was 0.
    epoch_ms: u64,
    /// The part that tells this host's tokens from others'.
    host_part: u64,
    last: u64,
}

/// Tokens grow by one step in this time, in ms: together with [`HOST_PARTS`] it
/// keeps them below 2^53, the largest integer that a double holds exactly. They
/// reach it in the year 2109.
const TOKEN_STEP_MS: u64 = 4;
/// How many hosts' tokens differ; a few dozen share a hall. Chosen, not
/// measured.
const HOST_PARTS: u64 = 1 << 13;

impl TokenGenerator {
    pub(super) fn new(epoch_ms: u64, host: &str) -> Self {
        Self {
            epoch_ms,
            host_part: xxhash_rust::xxh3::xxh3_64(host.as_bytes()) % HOST_PARTS,
            last: 0,
        }
    }

    /// Returns a token above all earlier ones of this host, as it belongs to a
    /// time.
    pub(super) fn next(&mut self, time: Millis) -> u64 {
        let by_time = (self.epoch_ms + time) / TOKEN_STEP_MS;
        let next = by_time.max(self.last / HOST_PARTS + 1);
        self.last = next * HOST_PARTS + self.host_part;
        self.last
    }
}
