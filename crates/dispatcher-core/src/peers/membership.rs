//! Exchange of the known hosts with peers that know different ones; see
//! [`crate::rules::membership`].

use xxhash_rust::xxh3::xxh3_64;

use gannetridge_wire::Name;

use super::Peers;
use crate::message::HostInfo;
use crate::rules::membership::{
    hosts_to_send, HostsToSend, MAX_LISTED_HOSTS, WHOLE_LIST_INTERVAL_MS,
};
use crate::Millis;

/// State of the exchange of the known hosts.
#[derive(Debug, Default)]
pub(super) struct Membership {
    /// Cached hash of all known hosts and their incarnations; `None` after a change.
    hash: Option<u64>,
    /// Before this time the full list is sent only to peers that know no other host.
    next_full_list: Millis,
}

impl Membership {
    /// Invalidates the hash after a change of the known hosts.
    pub(super) fn hosts_changed(&mut self) {
        self.hash = None;
    }
}

impl Peers {
    /// Returns a hash of all known hosts, this one among them, with their incarnations.
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

    /// Returns all known hosts, this one among them, sorted by name.
    fn hosts(&self) -> Vec<HostInfo> {
        let others = self.peers.values().map(|peer| peer.info.clone());
        let mut hosts: Vec<HostInfo> = others.chain([self.own.clone()]).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// Returns the hosts that the reply to a peer's heartbeat lists; none if the `hash` in the
    /// heartbeat is this host's.
    ///
    /// `knows_nobody` is set if the peer found this host by the address of a seed.
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
        let may_send_full = self.membership.next_full_list <= now;
        match hosts_to_send(now.saturating_sub(since), knows_nobody, may_send_full) {
            HostsToSend::All => {
                peer.differs_since = Some(now);
                self.membership.next_full_list = now + WHOLE_LIST_INTERVAL_MS;
                self.hosts()
            }
            HostsToSend::LearntWithin(ms) => self.hosts_learnt_since(now.saturating_sub(ms), name),
        }
    }

    /// Returns the most recently learnt hosts since a time, without the recipient.
    fn hosts_learnt_since(&self, since: Millis, recipient: &Name) -> Vec<HostInfo> {
        let peers = self.peers.iter();
        let mut learnt: Vec<_> = peers
            .filter(|(name, peer)| peer.learnt_at >= since && *name != recipient)
            .map(|(_, peer)| peer)
            .collect();
        learnt.sort_by_key(|peer| std::cmp::Reverse(peer.learnt_at));
        learnt.truncate(MAX_LISTED_HOSTS);
        learnt.iter().map(|peer| peer.info.clone()).collect()
    }
}
