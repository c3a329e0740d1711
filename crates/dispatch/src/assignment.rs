//! Which host looks after which target.

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::message::HostInfo;

/// Picks the host for a target: by rendezvous hashing over the hosts of its
/// hall, or over all where the hall has none. A change moves few targets.
#[must_use]
pub fn keeper<'a>(target: &str, hall: &str, hosts: &'a [HostInfo]) -> Option<&'a HostInfo> {
    let near = hosts.iter().filter(|host| &*host.hall == hall);
    near.max_by_key(|host| weight(target, &host.name))
        .or_else(|| hosts.iter().max_by_key(|host| weight(target, &host.name)))
}

fn weight(target: &str, host: &Name) -> (u64, Name) {
    (
        xxh3_64(format!("{target}\n{host}").as_bytes()),
        host.clone(),
    )
}
