//! The other hosts: who lives, what they have free, and the rights that hang
//! on heartbeats.

mod peer;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::heartbeat_intervals::HeartbeatIntervals;
use crate::message::{HeartbeatReply, HostInfo, Reply, TaskOrder};
use crate::settings::Times;
use crate::spec::Resources;
use crate::Millis;

pub use peer::Peer;

/// Between heartbeats to a peer that doesn't answer.
const SILENT_HEARTBEAT_MS: Millis = 500;
/// Hosts that were never heard for this long are forgotten.
const FORGET_MS: Millis = 60_000;
/// A want that isn't renewed ends after this.
pub const DEMAND_TTL_MS: Millis = 300;
/// The most peers that are told of a want at a time.
const ADVERTISED_PEERS: usize = 8;

/// A peer that is believed to have room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The peer.
    pub name: Name,
    /// Whether a task may be handed to it now; else its clock is to be heard
    /// first.
    pub fresh: bool,
}

/// All other hosts.
pub struct Peers {
    own: HostInfo,
    times: Times,
    intervals: HeartbeatIntervals,
    /// A hash of the hosts that are known.
    hash: u64,
    /// Where in the list of peers the next want begins.
    next_advertised: usize,
    seeds: Vec<SocketAddr>,
    next_seeds: Millis,
    /// By name.
    pub all: BTreeMap<Name, Peer>,
}

impl Peers {
    /// Knows no one but the seeds' addresses.
    #[must_use]
    pub fn new(own: HostInfo, seeds: &[SocketAddr], times: Times) -> Self {
        let others = seeds.iter().filter(|seed| **seed != own.address);
        let mut peers = Self {
            seeds: others.copied().collect(),
            own,
            times,
            intervals: HeartbeatIntervals::new(&times, 0),
            hash: 0,
            next_advertised: 0,
            next_seeds: 0,
            all: BTreeMap::new(),
        };
        peers.count_anew();
        peers
    }

    /// Returns the times between hosts.
    #[must_use]
    pub fn intervals(&self) -> HeartbeatIntervals {
        self.intervals
    }

    /// Brings up to date what depends on which hosts are known.
    fn count_anew(&mut self) {
        self.intervals = HeartbeatIntervals::new(&self.times, self.all.len());
        let mut text = String::new();
        for host in self.hosts() {
            text.push_str(&format!("{} {}\n", host.name, host.incarnation));
        }
        self.hash = xxh3_64(text.as_bytes());
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let others = seeds.iter().filter(|seed| **seed != self.own.address);
        self.seeds = others.copied().collect();
    }

    /// Takes note of a host; a higher incarnation replaces what was known.
    pub fn learn(&mut self, now: Millis, info: &HostInfo) {
        if info.name == self.own.name {
            return;
        }
        match self.all.get_mut(&info.name) {
            None => {
                let peer = Peer::new(now, info.clone());
                self.all.insert(info.name.clone(), peer);
            }
            Some(peer) if info.incarnation > peer.info.incarnation => {
                peer.info = info.clone();
                peer.refused = false;
                peer.next_heartbeat = now;
                peer.begin_life(info.incarnation);
            }
            Some(_) => return,
        }
        self.count_anew();
    }

    /// Returns a hash of the hosts that are known.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.hash
    }

    /// Returns all known hosts, this one among them, by name.
    #[must_use]
    pub fn hosts(&self) -> Vec<HostInfo> {
        let others = self.all.values().map(|peer| peer.info.clone());
        let mut hosts: Vec<HostInfo> = others.chain([self.own.clone()]).collect();
        hosts.sort_by(|a, b| a.name.cmp(&b.name));
        hosts
    }

    /// Returns the hosts that live and stay.
    #[must_use]
    pub fn staying(&self, now: Millis, own_stays: bool) -> Vec<HostInfo> {
        let others = self.all.values();
        let others = others.filter(|p| !p.leaving && p.may_hold_targets(now, &self.intervals));
        let others = others.map(|peer| peer.info.clone());
        let own = own_stays.then(|| self.own.clone());
        others.chain(own).collect()
    }

    /// Tells whether another host looks after a target: one that lives, or one
    /// that this host may only not hear.
    #[must_use]
    pub fn is_leased_elsewhere(&self, now: Millis, target: &Name) -> bool {
        let isolated = self.is_isolated(now);
        let mut peers = self.all.values();
        peers.any(|peer| {
            let unheard = isolated && peer.was_there(now);
            let there = peer.may_hold_targets(now, &self.intervals) || unheard;
            there && peer.leased.contains(target)
        })
    }

    /// Tells whether less than half of the hosts that were there of late are
    /// heard. Hosts whose address refuses connections are gone, not unheard.
    fn is_isolated(&self, now: Millis) -> bool {
        let peers = self.all.values().filter(|peer| peer.was_there(now));
        let (mut heard, mut all) = (1, 1);
        for peer in peers {
            all += 1;
            heard += usize::from(peer.may_hold_targets(now, &self.intervals));
        }
        2 * heard < all
    }

    /// Takes what every reply says; returns whether the peer's process is
    /// another one than before.
    pub fn replied(&mut self, now: Millis, name: &Name, reply: &Reply) -> bool {
        let Some(peer) = self.all.get_mut(name) else {
            return false;
        };
        if reply.incarnation < peer.info.incarnation {
            return false;
        }
        let another = peer
            .echoed_clock
            .is_some_and(|echoed_clock| echoed_clock.incarnation != reply.incarnation);
        peer.hear_clock(now, reply.incarnation, reply.clock);
        peer.heard = now;
        peer.refused = false;
        peer.free = reply.free.clone();
        peer.free_at = now;
        if reply.incarnation > peer.info.incarnation {
            peer.begin_life(reply.incarnation);
            self.count_anew();
        }
        another
    }

    /// Takes what the reply to a heartbeat says.
    pub fn heartbeat_replied(&mut self, now: Millis, name: &Name, reply: &HeartbeatReply) {
        for host in &reply.hosts {
            self.learn(now, host);
        }
        if let Some(peer) = self.all.get_mut(name) {
            peer.leaving = reply.leaving;
            peer.version = reply.version;
            peer.leased = reply.leased.iter().cloned().collect();
        }
    }

    /// Tells whether any peer is believed to have such room.
    #[must_use]
    pub fn may_fit(&self, now: Millis, resources: &Resources) -> bool {
        let peers = self.all.values();
        let mut open = peers.filter(|peer| peer.takes_tasks(now, &self.intervals));
        open.any(|peer| peer.free.iter().any(|free| free.resources.fits(resources)))
    }

    /// Picks a peer that is believed to have room, its own hall first, and
    /// takes the room off that belief.
    ///
    /// Peers that `is_asked` tells to be asked at the same time go before
    /// others, so that one request carries many tasks. Of the others the freer
    /// of two is taken: with the freest of all, all hosts would ask the same.
    pub fn choose(
        &mut self,
        now: Millis,
        order: &TaskOrder,
        is_asked: impl Fn(&Name) -> bool,
    ) -> Option<Candidate> {
        let intervals = self.intervals;
        let rank = |peer: &Peer| {
            let far = peer.info.hall != self.own.hall;
            let asked = is_asked(&peer.info.name);
            (far, !asked, !peer.has_fresh_clock(now, &intervals))
        };
        let open = self.all.values();
        let open =
            open.filter(|peer| peer.takes_tasks(now, &intervals) && peer.has_resources(order));
        let ranked: Vec<_> = open.map(|peer| (rank(peer), peer)).collect();
        let best = ranked.iter().map(|(rank, _)| *rank).min()?;
        let best = ranked.iter().filter(|(rank, _)| *rank == best);
        let best: Vec<&Peer> = best.map(|(_, peer)| *peer).collect();
        let picked = freer_of_two(&best, &order.key.task);
        let candidate = Candidate {
            name: picked.info.name.clone(),
            fresh: picked.has_fresh_clock(now, &intervals),
        };
        if let Some(peer) = self.all.get_mut(&candidate.name) {
            peer.reserve(order);
        }
        Some(candidate)
    }

    /// Returns the peers that a heartbeat is due to.
    pub fn heartbeats_due(&mut self, now: Millis) -> Vec<Name> {
        let intervals = self.intervals;
        let due = self
            .all
            .values_mut()
            .filter(|peer| peer.next_heartbeat <= now);
        due.map(|peer| {
            let alive = peer.is_alive(now, &intervals);
            let pause = match (alive, peer.used_since) {
                (true, Some(_)) => intervals.heartbeat,
                (true, None) => intervals.idle,
                (false, _) => SILENT_HEARTBEAT_MS.max(intervals.idle),
            };
            peer.next_heartbeat = now + pause;
            peer.last_heartbeat = now;
            peer.info.name.clone()
        })
        .collect()
    }

    /// Takes note of the peers at which runs of this host may be.
    pub fn set_used(&mut self, now: Millis, used: &HashSet<Name>) {
        for (name, peer) in &mut self.all {
            if !used.contains(name) {
                peer.used_since = None;
            } else if peer.used_since.is_none() {
                peer.begin_use(now, &self.intervals);
            }
        }
    }

    /// Returns the peers to be told of a want, others each time if there are
    /// many: what it costs doesn't grow with their number.
    pub fn to_be_asked(&mut self, now: Millis) -> Vec<Name> {
        let open = self.all.iter();
        let open = open.filter(|(_, peer)| peer.takes_tasks(now, &self.intervals));
        let open: Vec<&Name> = open.map(|(name, _)| name).collect();
        let first = self.next_advertised % open.len().max(1);
        let asked = open
            .iter()
            .cycle()
            .skip(first)
            .take(ADVERTISED_PEERS.min(open.len()));
        let asked: Vec<Name> = asked.map(|name| (*name).clone()).collect();
        self.next_advertised = first + asked.len();
        asked
    }

    /// Returns the seeds that no known host has as its address.
    pub fn seeds_due(&mut self, now: Millis) -> Vec<SocketAddr> {
        if self.next_seeds > now {
            return Vec::new();
        }
        self.next_seeds = now + SILENT_HEARTBEAT_MS;
        let known: HashSet<SocketAddr> = self.all.values().map(|p| p.info.address).collect();
        let seeds = self.seeds.iter().filter(|seed| !known.contains(seed));
        seeds.copied().collect()
    }

    /// Forgets hosts that haven't been heard for long.
    pub fn forget(&mut self, now: Millis) {
        let before = self.all.len();
        self.all.retain(|_, peer| peer.heard + FORGET_MS > now);
        if self.all.len() != before {
            self.count_anew();
        }
    }
}

/// Returns the freer of two peers that a task's name picks.
fn freer_of_two<'a>(peers: &[&'a Peer], task: &str) -> &'a Peer {
    let hash = xxh3_64(task.as_bytes());
    let at = |part: u64| peers[(part % peers.len() as u64) as usize];
    let (first, second) = (at(hash >> 32), at(hash & 0xffff_ffff));
    if second.total_free() > first.total_free() {
        second
    } else {
        first
    }
}
