//! Assigns targets to the hosts that should hold them.
//!
//! **Rule.** Weighted rendezvous hashing: over the live hosts of the target's hall, or over all
//! hosts where the hall has none, in proportion to their processor time. Every host computes the
//! same assignment without messages, and a host that joins or leaves moves only its own targets.
//!
//! **Inputs.** The target's id and hall; the hosts that stay, with their weights in thousandths of
//! a core. **Reason.** Without weights, with 43 hosts of 0.12 and 0.5 core, the small ones were
//! overloaded while the large ones were idle. **Trade-off.** Hosts that know different hosts assign
//! differently for a while; see [`crate::rules::contention`].

use std::collections::BTreeMap;

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::HostInfo;

/// Returns the host that should hold a target, or none if `hosts` is empty.
#[must_use]
pub fn holder<'a>(target: &str, hall: &str, hosts: &'a [HostInfo]) -> Option<&'a HostInfo> {
    Candidates::new(hosts).holder(target, hall)
}

/// The hosts that may hold targets, indexed by hall.
#[derive(Debug)]
pub struct Candidates<'a> {
    halls: BTreeMap<&'a str, Vec<&'a HostInfo>>,
    all: &'a [HostInfo],
}

impl<'a> Candidates<'a> {
    /// Groups hosts by hall.
    #[must_use]
    pub fn new(hosts: &'a [HostInfo]) -> Self {
        let mut halls: BTreeMap<&str, Vec<&HostInfo>> = BTreeMap::new();
        for host in hosts {
            halls.entry(&host.hall).or_default().push(host);
        }
        Self { halls, all: hosts }
    }

    /// Returns whether a host may hold targets of a hall at all: those of another hall only if that
    /// has no hosts. Computes no scores, so it is the cheap check to make first.
    #[must_use]
    pub fn may_hold(&self, host: &str, hall: &str) -> bool {
        let in_hall = self.halls.get(hall);
        in_hall.is_none_or(|in_hall| in_hall.iter().any(|candidate| &*candidate.name == host))
    }

    /// Returns whether a target is assigned to a host.
    #[must_use]
    pub fn holds(&self, host: &str, target: &str, hall: &str) -> bool {
        let holder = self.holder(target, hall);
        holder.is_some_and(|holder| &*holder.name == host)
    }

    fn holder(&self, target: &str, hall: &str) -> Option<&'a HostInfo> {
        match self.halls.get(hall) {
            Some(in_hall) => best(target, in_hall.iter().copied()),
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

/// Returns a target's score at a host: an exponential variable whose rate is the inverse of the
/// host's weight, so that a host has the highest score with a probability in proportion to its
/// weight.
fn score(target: &str, host: &HostInfo) -> f64 {
    let variate = uniform(target, &host.name);
    -f64::from(host.processor_weight.max(1)) / variate.ln()
}

/// Returns a hash of a target and a host as a number between 0 and 1, both excluded.
fn uniform(target: &str, host: &Name) -> f64 {
    /// Bits of the mantissa of an `f64`.
    const BITS: u32 = 53;
    let hash = xxh3_64(format!("{target}\n{host}").as_bytes());
    ((hash >> (u64::BITS - BITS)) as f64 + 0.5) / (1u64 << BITS) as f64
}
