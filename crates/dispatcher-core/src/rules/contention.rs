//! Decides what a host does when another host took a target that it holds or acquires.
//!
//! **Rule.** The target decides: the host with the higher fencing token holds it. A host that
//! learns by a stale token that it lost the target
//!
//! 1. takes it back at once with a higher token if it had held it for `MIN_HELD_MS` or more: a
//!    long-time holder has precedence over hosts that don't see it;
//! 2. raises its token at once, up to `MAX_TOKEN_RAISES` times, if it was still acquiring the
//!    target: its clock may be behind the last holder's;
//! 3. otherwise backs off for [`BACKOFF_MS`], doubling with each loss, so that two hosts that both
//!    claim the target don't take it in turn for ever.
//!
//! A target that is assigned to another host is never taken back.
//!
//! **Inputs.** The state of this host's claim and since when, in ms. **Trade-off.** A target is
//! without a holder for 2 to 16 s if two hosts claim it in turn within 3 s.

use crate::Millis;

/// A host that held a target for this long takes it back, in ms.
const MIN_HELD_MS: Millis = 3_000;
/// How many times a token that was too low is raised at once. Backing off instead leaves a fifth of
/// the targets idle in an overload.
const MAX_TOKEN_RAISES: u32 = 4;
/// The first raise of a token that was too low, in ms of the clock that tokens follow; doubles with
/// each try.
const FIRST_TOKEN_RAISE_MS: Millis = 250;
/// The first back-off from a target that another host took, in ms.
pub const BACKOFF_MS: Millis = 2_000;
/// The longest back-off, in ms.
const MAX_BACKOFF_MS: Millis = 16_000;
/// The most doublings of a back-off.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// The count of lost claims is reset once a target was held for this long, in ms.
const BACKOFF_RESET_MS: Millis = 10_000;

/// The state of a host's claim when another host took the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It held the target's lease.
    Held {
        /// When it acquired the lease, in ms of this host's clock.
        since: Millis,
    },
    /// It was acquiring the lease.
    Acquiring {
        /// How many tokens have been too low so far.
        tokens_tried: u32,
    },
    /// Its token had been accepted by the target, but attempts of other hosts still ran there.
    Settling,
}

/// The reaction to another host's claim of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// Take the target back.
    TakeBack {
        /// Whether the count of lost claims is reset.
        reset_lost_claims: bool,
    },
    /// Retry with a higher token.
    RaiseToken {
        /// The raise in ms of the clock that tokens follow.
        by_ms: Millis,
    },
    /// Leave the target to the other host for the time of the back-off.
    BackOff,
}

/// Decides how to react to another host's claim of a target.
#[must_use]
pub fn respond(now: Millis, claim: Claim, assigned_elsewhere: bool) -> Response {
    match claim {
        _ if assigned_elsewhere => Response::BackOff,
        Claim::Held { since } if since + MIN_HELD_MS <= now => Response::TakeBack {
            reset_lost_claims: since + BACKOFF_RESET_MS <= now,
        },
        Claim::Acquiring { tokens_tried } if tokens_tried < MAX_TOKEN_RAISES => {
            Response::RaiseToken {
                by_ms: FIRST_TOKEN_RAISE_MS << tokens_tried,
            }
        }
        Claim::Held { .. } | Claim::Acquiring { .. } | Claim::Settling => Response::BackOff,
    }
}

/// Returns the back-off after this many lost claims, in ms.
#[must_use]
pub fn backoff_ms(claims_lost: u32) -> Millis {
    (BACKOFF_MS << claims_lost.min(MAX_BACKOFF_DOUBLINGS)).min(MAX_BACKOFF_MS)
}
