//! Which hosts are known, and what a peer that knows others is told; see
//! [`crate::rules::membership`].

use xxhash_rust::xxh3::xxh3_64;

use gannetridge_wire::Name;

use super::Peers;
use crate::message::HostInfo;
use crate::rules::membership::{
    hosts_to_send, HostsToSend, MAX_LISTED_HOSTS, WHOLE_LIST_INTERVAL_MS,
};
use crate::Millis;

/// What was told of the known hosts, and a hash of them.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// A hash of all known hosts and their incarnations; none if they have changed since.
    hash: Option<u64>,
    /// The whole list isn't told again before this time.
    next_whole: Millis,
}

impl Membership {
    /// Records that other hosts are known than before.
    pub(super) fn hosts_changed(&mut self) {
        self.hash = None;
    }
}

impl Peers {
    /// Returns a hash of all known hosts.
    pub fn hosts_hash(&mut self) -> u64 {
        if let Some(hash) = self.membership.hash {
            return hash;
        }
        let mut text = String::new();
        for host in self.hosts() {
            text.push_str(&format!("{} {}\n", host.name, host.incarnation));
        }
        let hash = xxh3_64(text.as_bytes());
        self.membership.hash = Some(hash);
        hash
    }

    /// Returns all known hosts, this one among them, by name.
    fn hosts(&self) -> Vec<HostInfo> {
        let others = self.peers.values().map(|peer| peer.info.clone());
        let mut hosts: Vec<HostInfo> = others.chain([self.own.clone()]).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// Returns the hosts that a peer is told whose heartbeat carries a hash.
    ///
    /// `knows_nobody` says that it found this host by the address of a seed.
    pub fn hosts_to_send(
        &mut self,
        now: Millis,
        name: &Name,
        hash: u64,
        knows_nobody: bool,
    ) -> Vec<HostInfo> {
        let differs = hash != self.hosts_hash();
        let Some(peer) = self.peers.get_mut(name) else {
            return Vec::new();
        };
        if !differs {
            peer.differs_since = None;
            return Vec::new();
        }
        let since = *peer.differs_since.get_or_insert(now);
        let may_tell_whole = self.membership.next_whole <= now;
        match hosts_to_send(now.saturating_sub(since), knows_nobody, may_tell_whole) {
            HostsToSend::All => {
                peer.differs_since = Some(now);
                self.membership.next_whole = now + WHOLE_LIST_INTERVAL_MS;
                self.hosts()
            }
            HostsToSend::LearntWithin(ms) => self.hosts_learnt_since(now.saturating_sub(ms), name),
        }
    }

    /// Returns hosts that were heard of since a time, the newest, but not the one that is
    /// told.
    fn hosts_learnt_since(&self, since: Millis, told: &Name) -> Vec<HostInfo> {
        let peers = self.peers.iter();
        let mut learnt: Vec<_> = peers
            .filter(|(name, peer)| peer.learnt >= since && *name != told)
            .map(|(_, peer)| peer)
            .collect();
        learnt.sort_by_key(|peer| std::cmp::Reverse(peer.learnt));
        learnt.truncate(MAX_LISTED_HOSTS);
        learnt.iter().map(|peer| peer.info.clone()).collect()
    }
}
