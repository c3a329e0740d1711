//! Which host looks after which target.

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::HostInfo;

/// Picks the host for a target: by rendezvous hashing over the hosts of its
/// hall, or over all where the hall has none. A change moves few targets.
///
/// Hosts get targets in proportion to their processor time.
#[must_use]
pub fn targets<'a>(target: &str, hall: &str, hosts: &'a [HostInfo]) -> Option<&'a HostInfo> {
    let near = hosts.iter().filter(|host| &*host.hall == hall);
    best(target, near).or_else(|| best(target, hosts.iter()))
}

fn best<'a>(target: &str, hosts: impl Iterator<Item = &'a HostInfo>) -> Option<&'a HostInfo> {
    hosts.max_by(|a, b| {
        let scores = score(target, a).total_cmp(&score(target, b));
        scores.then_with(|| a.name.cmp(&b.name))
    })
}

/// Returns a target's score at a host: an exponential variable whose rate is
/// one over the host's power, so that the highest is a host's with a chance
/// in proportion to its power.
fn score(target: &str, host: &HostInfo) -> f64 {
    let part = uniform(target, &host.name);
    -f64::from(host.processor_weight.max(1)) / part.ln()
}

/// Returns a number between 0 and 1, both excluded, for a target at a host.
fn uniform(target: &str, host: &Name) -> f64 {
    const BITS: u32 = 53;
    let hash = xxh3_64(format!("{target}\n{host}").as_bytes());
    ((hash >> (u64::BITS - BITS)) as f64 + 0.5) / (1u64 << BITS) as f64
}
