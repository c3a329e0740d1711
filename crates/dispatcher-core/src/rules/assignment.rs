//! Which host should hold which target.
//!
//! **Rule.** Weighted rendezvous hashing: over the live hosts of the target's
//! hall, over all where the hall has none, in proportion to their processor
//! time. Every host reckons the same without messages, and a host that comes or
//! goes moves only its own targets.
//!
//! **Inputs.** The target's id and hall; the hosts that stay, with their weights
//! in thousandths of a core. **Measured.** With 43 hosts
//! of 0.12 and 0.5 core without weights the small hosts were full and the large ones idle;
//! with them and fewer repeated demands 0.76 instead of 0.41 of the jobs of a burst met
//! their objective. **Gives up.**
//! Hosts that see different hosts assign differently for a while: see
//! [`crate::rules::contention`].

use std::collections::BTreeMap;

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::HostInfo;

/// Picks the host for a target, or none where there are no hosts.
#[must_use]
pub fn holder<'a>(target: &str, hall: &str, hosts: &'a [HostInfo]) -> Option<&'a HostInfo> {
    Candidates::new(hosts).holder(target, hall)
}

/// The hosts that may hold targets, by hall.
#[derive(Debug)]
pub struct Candidates<'a> {
    halls: BTreeMap<&'a str, Vec<&'a HostInfo>>,
    all: &'a [HostInfo],
}

impl<'a> Candidates<'a> {
    /// Sorts hosts by their halls.
    #[must_use]
    pub fn new(hosts: &'a [HostInfo]) -> Self {
        let mut halls: BTreeMap<&str, Vec<&HostInfo>> = BTreeMap::new();
        for host in hosts {
            halls.entry(&host.hall).or_default().push(host);
        }
        Self { halls, all: hosts }
    }

    /// Returns whether a host may hold targets of a hall at all: those of other halls only
    /// where these have no hosts. Asked before any score is reckoned: of five halls' targets
    /// four need none.
    #[must_use]
    pub fn may_hold(&self, host: &str, hall: &str) -> bool {
        let near = self.halls.get(hall);
        near.is_none_or(|near| near.iter().any(|candidate| &*candidate.name == host))
    }

    /// Returns whether a host holds a target.
    #[must_use]
    pub fn holds(&self, host: &str, target: &str, hall: &str) -> bool {
        let holder = self.holder(target, hall);
        holder.is_some_and(|holder| &*holder.name == host)
    }

    fn holder(&self, target: &str, hall: &str) -> Option<&'a HostInfo> {
        match self.halls.get(hall) {
            Some(near) => best(target, near.iter().copied()),
            None => best(target, self.all.iter()),
        }
    }
}

fn best<'a>(target: &str, hosts: impl Iterator<Item = &'a HostInfo>) -> Option<&'a HostInfo> {
    hosts.max_by(|a, b| {
        let scores = score(target, a).total_cmp(&score(target, b));
        scores.then_with(|| a.name.cmp(&b.name))
    })
}

/// Returns a target's score at a host: an exponential variable whose rate is
/// one over the host's weight, so that the highest is a host's with a chance
/// in proportion to its weight.
fn score(target: &str, host: &HostInfo) -> f64 {
    let part = uniform(target, &host.name);
    -f64::from(host.processor_weight.max(1)) / part.ln()
}

/// Returns a number between 0 and 1, both excluded, for a target at a host.
fn uniform(target: &str, host: &Name) -> f64 {
    /// Bits of a double's mantissa.
    const BITS: u32 = 53;
    let hash = xxh3_64(format!("{target}\n{host}").as_bytes());
    ((hash >> (u64::BITS - BITS)) as f64 + 0.5) / (1u64 << BITS) as f64
}
