//! The other hosts: who lives, what they have free, and the leases that depend on
//! their heartbeats.
//!
//! [`Peers`] owns what this host knows of each of them. It learns of hosts from
//! seeds, the store and other hosts, and forgets those that were silent for long.
//! What it decides by stands in [`crate::rules`]: liveness, heartbeat intervals, and,
//! for `choice`, peer choice. It relies on the dispatcher to send what is due.

mod choice;
mod demand;
mod load;
mod membership;
mod outbox;
mod owner_lease;
mod peer;
mod schedule;

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use gannetridge_wire::Name;

use crate::message::{HeartbeatReply, HostInfo, Reply};
use crate::rules::draining::HallSet;
use crate::rules::heartbeat_intervals::{first_far_heartbeat_delay_ms, HeartbeatIntervals};
use crate::rules::leases::Times;
use crate::rules::liveness::{is_in_minority, may_be_alive};
use crate::Millis;

pub use choice::ChosenHolder;
pub use load::KnownFreeTarget;
use membership::Membership;
pub use peer::{Peer, StopRequest};

/// Between heartbeats to a peer that doesn't answer, and to seeds, in ms.
const SILENT_HEARTBEAT_MS: Millis = 500;
/// Hosts that weren't heard for this long are forgotten, in ms.
const FORGET_MS: Millis = 60_000;

/// All other hosts.
pub struct Peers {
    own: HostInfo,
    times: Times,
    /// Towards peers of the own hall, and of others.
    near: HeartbeatIntervals,
    far: HeartbeatIntervals,
    membership: Membership,
    /// The position of the peer to which the next demand is advertised first.
    next_advertised: usize,
    /// The halls that get no new tasks.
    draining: HallSet,
    seeds: Vec<SocketAddr>,
    /// When seeds are asked next.
    next_seeds: Millis,
    peers: BTreeMap<Name, Peer>,
}

impl Peers {
    /// Knows no one but the seeds' addresses.
    #[must_use]
    pub fn new(own: HostInfo, seeds: &[SocketAddr], times: Times) -> Self {
        let mut peers = Self {
            seeds: Vec::new(),
            own,
            times,
            near: HeartbeatIntervals::near(&times, 0),
            far: HeartbeatIntervals::far(&times, 0),
            membership: Membership::default(),
            next_advertised: 0,
            draining: HallSet::default(),
            next_seeds: 0,
            peers: BTreeMap::new(),
        };
        peers.set_seeds(seeds);
        peers
    }

    /// Returns a peer, if it is known.
    #[must_use]
    pub fn get(&self, name: &Name) -> Option<&Peer> {
        self.peers.get(name)
    }

    /// Returns a peer, if it is known.
    pub fn get_mut(&mut self, name: &Name) -> Option<&mut Peer> {
        self.peers.get_mut(name)
    }

    /// Returns all peers, by name.
    pub fn iter(&self) -> impl Iterator<Item = (&Name, &Peer)> {
        self.peers.iter()
    }

    /// Returns all peers, by name.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (&Name, &mut Peer)> {
        self.peers.iter_mut()
    }

    /// Updates what depends on which hosts are known.
    fn hosts_changed(&mut self) {
        self.membership.hosts_changed();
        let known = self.peers.len();
        let (near, far) = (
            HeartbeatIntervals::near(&self.times, known),
            HeartbeatIntervals::far(&self.times, known),
        );
        if (near, far) == (self.near, self.far) {
            return;
        }
        (self.near, self.far) = (near, far);
        for peer in self.peers.values_mut() {
            let same_hall = peer.info.hall == self.own.hall;
            peer.intervals = if same_hall { near } else { far };
        }
    }

    /// Returns how long the first heartbeat to a host waits, in ms: no time within a hall.
    fn first_heartbeat(&self, info: &HostInfo) -> Millis {
        if info.hall == self.own.hall || self.near == self.far {
            0
        } else {
            first_far_heartbeat_delay_ms(&self.own.name, &info.name)
        }
    }

    /// Returns the times towards a host.
    fn intervals_towards(&self, info: &HostInfo) -> HeartbeatIntervals {
        if info.hall == self.own.hall {
            self.near
        } else {
            self.far
        }
    }

    /// Takes note of the halls that get no new tasks from now on.
    pub fn set_draining(&mut self, halls: &HallSet) {
        self.draining = HallSet::clone(halls);
    }

    /// Takes other seeds.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let others = seeds.iter().filter(|seed| **seed != self.own.address);
        self.seeds = others.copied().collect();
    }

    /// Records a host; a higher incarnation replaces what was known.
    pub fn learn(&mut self, now: Millis, info: &HostInfo) {
        if info.name == self.own.name {
            return;
        }
        let intervals = self.intervals_towards(info);
        let first_wait = self.first_heartbeat(info);
        match self.peers.get_mut(&info.name) {
            None => {
                let peer = Peer::new(now, first_wait, info.clone(), intervals);
                self.peers.insert(info.name.clone(), peer);
            }
            Some(peer) if info.incarnation > peer.info.incarnation => {
                peer.info = info.clone();
                peer.intervals = intervals;
                peer.learnt = now;
                peer.contact.refused = false;
                peer.greet(now);
                peer.begin_incarnation(info.incarnation);
            }
            Some(_) => return,
        }
        self.hosts_changed();
    }

    /// Returns the hosts that live and stay, this one if `own_stays`.
    #[must_use]
    pub fn eligible_holders(&self, now: Millis, own_stays: bool) -> Vec<HostInfo> {
        let others = self.peers.values();
        let others = others.filter(|peer| peer.stays(now));
        let others = others.map(|peer| peer.info.clone());
        let own = own_stays.then(|| self.own.clone());
        others.chain(own).collect()
    }

    /// Returns the hosts that share the targets: those that live and stay, and those that
    /// had no time to answer since this host heard of them; see
    /// [`crate::rules::liveness::may_be_alive`].
    #[must_use]
    pub fn hosts_sharing_targets(&self, now: Millis, own_stays: bool) -> Vec<HostInfo> {
        let unheard = self.peers.values();
        let unheard = unheard.filter(|peer| may_be_alive(now, peer.learnt, &peer.contact));
        let unheard = unheard.map(|peer| peer.info.clone());
        let staying = self.eligible_holders(now, own_stays);
        staying.into_iter().chain(unheard).collect()
    }

    /// Returns whether other hosts may be there and none was heard yet.
    #[must_use]
    pub fn awaits_first_reply(&self) -> bool {
        let mut heard = self.peers.values().map(|peer| &peer.contact);
        let others = !self.peers.is_empty() || !self.seeds.is_empty();
        others && heard.all(|heard| heard.acknowledged.is_none())
    }

    /// Returns whether another host holds a target: one that lives, or one that this
    /// host may only not hear.
    #[must_use]
    pub fn is_leased_elsewhere(&self, now: Millis, target: &Name) -> bool {
        let heard = self.peers.values().map(|peer| &peer.contact);
        // Peers of other halls are heard more rarely; whether this host is cut off has to
        // show as soon as targets of silent peers of its own hall could be taken.
        let minority = is_in_minority(now, &self.near, heard);
        let mut peers = self.peers.values();
        peers.any(|peer| {
            let unheard = minority && peer.contact.was_recently_alive(now);
            let keeps = peer.contact.retains_targets(now, &peer.intervals) || unheard;
            keeps && peer.has_leased(target)
        })
    }

    /// Returns how many peers are taken to live.
    #[must_use]
    pub fn alive_count(&self, now: Millis) -> usize {
        let peers = self.peers.values();
        let alive = peers.filter(|peer| peer.is_alive(now));
        alive.count()
    }

    /// Handles what every reply says; returns whether the peer's process is
    /// another one than before.
    pub fn handle_reply(&mut self, now: Millis, name: &Name, reply: &Reply) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        if reply.incarnation < peer.info.incarnation {
            return false;
        }
        let known = peer.echoed_clock;
        let another = known.is_some_and(|known| known.incarnation != reply.incarnation);
        peer.handle_reply(now, reply);
        if reply.incarnation > peer.info.incarnation {
            peer.begin_incarnation(reply.incarnation);
            peer.learnt = now;
            self.hosts_changed();
        }
        another
    }

    /// Handles what the reply to a heartbeat says.
    pub fn handle_heartbeat_reply(&mut self, now: Millis, name: &Name, reply: &HeartbeatReply) {
        for host in &reply.hosts {
            self.learn(now, host);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.handle_heartbeat_reply(reply);
        }
    }

    /// Returns the peers to which a heartbeat is due.
    pub fn heartbeats_due(&mut self, now: Millis) -> Vec<Name> {
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer.take_due_heartbeat(now, SILENT_HEARTBEAT_MS) {
                due.push(name.clone());
            }
        }
        due
    }

    /// Records the peers at which attempts of this host may run.
    pub fn set_peers_in_use(&mut self, now: Millis, used: &HashSet<Name>) {
        for (name, peer) in &mut self.peers {
            if !used.contains(name) {
                peer.end_use();
            } else if peer.contact.in_use_since.is_none() {
                peer.start_use(now);
            }
        }
    }

    /// Returns the seeds that are to be asked: those that no known host has as its
    /// address.
    pub fn seeds_due(&mut self, now: Millis) -> Vec<SocketAddr> {
        if self.next_seeds > now {
            return Vec::new();
        }
        self.next_seeds = now + SILENT_HEARTBEAT_MS;
        let known: HashSet<SocketAddr> = self.peers.values().map(|p| p.info.address).collect();
        let seeds = self.seeds.iter().filter(|seed| !known.contains(seed));
        seeds.copied().collect()
    }

    /// Forgets hosts that weren't heard for long.
    pub fn remove_silent(&mut self, now: Millis) {
        let before = self.peers.len();
        self.peers
            .retain(|_, peer| peer.contact.last_contact + FORGET_MS > now);
        if self.peers.len() != before {
            self.hosts_changed();
        }
    }
}
