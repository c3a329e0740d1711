//! Demand that a peer advertised: tasks that wait there, for which this host may reserve
//! resources. See [`crate::rules::peer_choice`].

use crate::message::{Demand, Priority};
use crate::rules::peer_choice::{aged, DEMAND_TTL_MS};
use crate::Millis;

use super::peer::Peer;

/// A peer's demand as received; times in ms of this host's clock.
#[derive(Clone, Debug)]
pub(super) struct ReceivedDemand {
    demand: Demand,
    received_at: Millis,
    expires_at: Millis,
}

/// A peer's demand that hasn't expired.
#[derive(Clone, Copy, Debug)]
pub struct OpenDemand<'a> {
    /// The demand as received, less the reservations made for it.
    pub demand: &'a Demand,
    /// Its priority, adjusted by the time since it was received.
    pub priority: Priority,
}

impl Peer {
    /// Replaces its demand.
    pub fn set_demand(&mut self, now: Millis, demand: Option<Demand>) {
        self.demand = demand.map(|demand| ReceivedDemand {
            demand,
            received_at: now,
            expires_at: now + DEMAND_TTL_MS,
        });
    }

    /// Returns whether it has a demand, expired or not.
    #[must_use]
    pub fn has_demand(&self) -> bool {
        self.demand.is_some()
    }

    /// Returns its demand if that hasn't expired and the peer is alive and not stopping.
    #[must_use]
    pub fn open_demand(&self, now: Millis) -> Option<OpenDemand<'_>> {
        let received = self.demand.as_ref()?;
        let open = received.expires_at > now && self.accepts_tasks(now);
        open.then(|| OpenDemand {
            demand: &received.demand,
            priority: aged(
                &received.demand.priority,
                now.saturating_sub(received.received_at),
            ),
        })
    }

    /// Deducts one task, for which resources were reserved, from its demand. Without tasks left
    /// nothing is reserved until the peer advertises again.
    pub fn deduct_from_demand(&mut self) {
        if let Some(received) = &mut self.demand {
            received.demand.tasks = received.demand.tasks.saturating_sub(1);
            if received.demand.tasks == 0 {
                self.demand = None;
            }
        }
    }
}
