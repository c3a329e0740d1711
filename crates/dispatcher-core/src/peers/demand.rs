//! A peer's demand: tasks that wait there, for which resources may be reserved here. See
//! [`crate::rules::peer_choice`].

use crate::message::{Demand, Priority};
use crate::rules::peer_choice::{aged, DEMAND_TTL_MS};
use crate::Millis;

use super::peer::Peer;

/// A peer's demand.
#[derive(Clone, Debug)]
pub(super) struct HeardDemand {
    demand: Demand,
    heard: Millis,
    until: Millis,
}

/// A peer's demand as it is at a time.
#[derive(Clone, Copy, Debug)]
pub struct OpenDemand<'a> {
    /// What is demanded.
    pub demand: &'a Demand,
    /// Its priority by now.
    pub priority: Priority,
}

impl Peer {
    /// Records its demand, or that it has none.
    pub fn set_demand(&mut self, now: Millis, demand: Option<Demand>) {
        self.demand = demand.map(|demand| HeardDemand {
            demand,
            heard: now,
            until: now + DEMAND_TTL_MS,
        });
    }

    /// Returns whether it has a demand, or had one that isn't looked at yet.
    #[must_use]
    pub fn has_demand(&self) -> bool {
        self.demand.is_some()
    }

    /// Returns its demand if that is open and tasks may be handed to it.
    #[must_use]
    pub fn open_demand(&self, now: Millis) -> Option<OpenDemand<'_>> {
        let heard = self.demand.as_ref()?;
        let open = heard.until > now && self.accepts_tasks(now);
        open.then(|| OpenDemand {
            demand: &heard.demand,
            priority: aged(&heard.demand.priority, now.saturating_sub(heard.heard)),
        })
    }

    /// Takes one task off its demand: resources were reserved for it. The next
    /// reservation after the last one waits until the peer advertises again.
    pub fn deduct_from_demand(&mut self) {
        if let Some(heard) = &mut self.demand {
            heard.demand.tasks = heard.demand.tasks.saturating_sub(1);
            if heard.demand.tasks == 0 {
                self.demand = None;
            }
        }
    }
}
