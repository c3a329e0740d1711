//! A host's lease on one target: its stage, fencing token and renewals.
//!
//! The stages are those of the state chart `charts/target-lease.toml`. The target itself keeps the
//! lease; this is the host's view of it.

use std::sync::LazyLock;

use gannetridge_state_chart::{chart_names, Chart};

use crate::event::CallId;
use crate::rules::contention::{self, Claim};
use crate::Millis;

chart_names! {
    /// The stage of a host's lease on a target; see `charts/target-lease.toml`.
    LeaseStage {
        /// Held by another host or by none.
        NotHeld = "not-held",
        /// The target may not know this host's token yet.
        Acquiring = "acquiring",
        /// The target knows the token, but runs attempts that this host didn't start. They may run
        /// until their leases expire, and nothing is started beside them.
        Settling = "settling",
        /// Held: tasks may be started.
        Held = "held",
    }
}

chart_names! {
    /// An event of a host's lease on a target.
    LeaseEvent {
        /// The host sends a new token.
        Acquire = "acquire",
        /// The target knows the token and runs only what this host started.
        OwnOnly = "own-only",
        /// The target knows the token and runs attempts that this host didn't start.
        ForeignRuns = "foreign-runs",
        /// The host releases or loses the target.
        Leave = "leave",
    }
}

static LEASE: LazyLock<Chart<LeaseStage, LeaseEvent>> = LazyLock::new(|| {
    Chart::parse(include_str!("../../charts/target-lease.toml"))
        .expect("the chart is part of the program and read by each test of a lease")
});

/// A host's lease on one target. Times are in ms of this host's clock.
#[derive(Debug)]
pub(super) struct Lease {
    pub(super) stage: LeaseStage,
    /// Carried by this host's calls.
    pub(super) token: u64,
    held_since: Millis,
    /// While the target is taken back: since when it had been held before another host took it.
    incumbent_since: Option<Millis>,
    /// The number of tokens that were too low in the present acquisition.
    tokens_tried: u32,
    /// How often the target was lost to another host.
    claims_lost: u32,
    /// The target isn't acquired before this time.
    pub(super) backoff_until: Millis,
    /// The renewal in flight.
    pub(super) renewal: Option<CallId>,
    /// The earliest time of the next renewal.
    pub(super) next_renewal: Millis,
    /// The number of the last end that the next renewal acknowledges.
    pub(super) acknowledged: u64,
    /// The time by which all attempts at the target have ended if no renewal follows.
    attempts_expire_at: Millis,
}

impl Lease {
    /// Creates a lease that this host doesn't hold.
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

    pub(super) fn is_held(&self) -> bool {
        self.stage == LeaseStage::Held
    }

    /// Returns true if this host neither holds nor acquires the lease.
    pub(super) fn is_free(&self) -> bool {
        self.stage == LeaseStage::NotHeld
    }

    /// Starts to acquire the lease.
    pub(super) fn acquire(&mut self, now: Millis, token: u64) {
        self.restart_acquisition(now, token);
        self.tokens_tried = 0;
        self.incumbent_since = None;
    }

    /// Starts to take the lease back from the host that took the target.
    pub(super) fn take_back(&mut self, now: Millis, token: u64, reset_lost_claims: bool) {
        if reset_lost_claims {
            self.claims_lost = 0;
        }
        self.incumbent_since = Some(self.held_since);
        self.tokens_tried = 0;
        self.restart_acquisition(now, token);
    }

    /// Starts to acquire the lease of a new incarnation of the target.
    pub(super) fn reacquire_after_restart(&mut self, now: Millis, token: u64) {
        self.incumbent_since = self.is_held().then_some(self.held_since);
        self.tokens_tried = 0;
        self.restart_acquisition(now, token);
    }

    /// Uses a later token from now on, while the target may not know the present one.
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
        // The reply to an earlier call shows nothing about the new token.
        self.renewal = None;
        // The target may have restarted and numbered its ends anew for another host, so that
        // acknowledging the earlier number could discard unreported ends.
        self.acknowledged = 0;
    }

    /// Releases the lease.
    pub(super) fn release(&mut self) {
        LEASE.advance(&mut self.stage, LeaseEvent::Leave);
        self.renewal = None;
    }

    /// Records the loss of the lease to another host, and backs off.
    pub(super) fn lose(&mut self, now: Millis) {
        self.backoff_until = now + contention::backoff_ms(self.claims_lost);
        self.claims_lost += 1;
        self.release();
    }

    /// Records that the target has this host's token. `settled` is true if it runs nothing that
    /// this host didn't start.
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

    /// Returns the state of the claim, if this host holds or acquires the lease.
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

    /// Records that attempts at the target may run until this time.
    pub(super) fn extend(&mut self, attempts_expire_at: Millis) {
        self.attempts_expire_at = self.attempts_expire_at.max(attempts_expire_at);
    }

    /// Returns true if all attempts at the target have ended.
    pub(super) fn have_attempts_expired(&self, now: Millis) -> bool {
        self.attempts_expire_at < now
    }
}

/// Generates fencing tokens that grow with time and differ between hosts.
#[derive(Debug)]
pub(super) struct TokenGenerator {
    /// Wall-clock time at zero of this host's clock, in ms since 1970.
    epoch_ms: u64,
    /// Distinguishes this host's tokens from other hosts'.
    host_part: u64,
    last: u64,
}

/// Tokens grow by one step per this time, in ms. With [`HOST_PARTS`] they stay below 2^53, the
/// largest integer that a double holds exactly, until the year 2109.
const TOKEN_STEP_MS: u64 = 4;
/// The number of distinct host parts; a few dozen hosts share a hall.
const HOST_PARTS: u64 = 1 << 13;

impl TokenGenerator {
    pub(super) fn new(epoch_ms: u64, host: &str) -> Self {
        Self {
            epoch_ms,
            host_part: xxhash_rust::xxh3::xxh3_64(host.as_bytes()) % HOST_PARTS,
            last: 0,
        }
    }

    /// Returns a token for a time, above all earlier ones of this host.
    pub(super) fn next(&mut self, time: Millis) -> u64 {
        let by_time = (self.epoch_ms + time) / TOKEN_STEP_MS;
        let next = by_time.max(self.last / HOST_PARTS + 1);
        self.last = next * HOST_PARTS + self.host_part;
        self.last
    }
}
