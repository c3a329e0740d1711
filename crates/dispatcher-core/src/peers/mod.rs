//! State of the other hosts: liveness, free resources, load, and the owner leases that
//! their heartbeats renew.
//!
//! [`Peers`] holds one [`Peer`] per known host. It learns of hosts from seeds, the store
//! and other hosts, and removes those that were silent for long. The rules that it applies
//! are in [`crate::rules`]: liveness, heartbeat intervals, membership, peer and holder
//! choice. The dispatcher has to send the messages that are due.

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

/// Interval between heartbeats to seeds, and the shortest one to a silent peer, in ms.
const SILENT_HEARTBEAT_INTERVAL_MS: Millis = 500;
/// A host that was silent for this long is removed, in ms.
const REMOVE_SILENT_AFTER_MS: Millis = 60_000;

/// All other known hosts.
pub struct Peers {
    own: HostInfo,
    times: Times,
    /// Intervals towards peers of the own hall.
    near: HeartbeatIntervals,
    /// Intervals towards peers of other halls.
    far: HeartbeatIntervals,
    membership: Membership,
    /// Position of the first peer to which the next demand is advertised.
    next_advertised: usize,
    /// The halls that are draining: they get no new tasks.
    draining: HallSet,
    seeds: Vec<SocketAddr>,
    /// When the next heartbeats go to seeds.
    next_seed_heartbeat: Millis,
    peers: BTreeMap<Name, Peer>,
}

impl Peers {
    /// Creates the state of a host that knows only the addresses of seeds.
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
            next_seed_heartbeat: 0,
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

    /// Invalidates the hash of the known hosts and updates the heartbeat intervals, after the
    /// known hosts or their incarnations changed.
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

    /// Returns by how much the first heartbeat to a host is delayed, in ms; 0 within a hall or
    /// among few hosts.
    fn first_heartbeat_delay(&self, info: &HostInfo) -> Millis {
        if info.hall == self.own.hall || self.near == self.far {
            0
        } else {
            first_far_heartbeat_delay_ms(&self.own.name, &info.name)
        }
    }

    /// Returns the heartbeat intervals towards a host.
    fn intervals_towards(&self, info: &HostInfo) -> HeartbeatIntervals {
        if info.hall == self.own.hall {
            self.near
        } else {
            self.far
        }
    }

    /// Sets the halls that get no new tasks.
    pub fn set_draining(&mut self, halls: &HallSet) {
        self.draining = HallSet::clone(halls);
    }

    /// Replaces the seeds; this host's own address is left out.
    pub fn set_seeds(&mut self, seeds: &[SocketAddr]) {
        let others = seeds.iter().filter(|seed| **seed != self.own.address);
        self.seeds = others.copied().collect();
    }

    /// Records a host; a higher incarnation replaces the known one.
    pub fn learn(&mut self, now: Millis, info: &HostInfo) {
        if info.name == self.own.name {
            return;
        }
        let intervals = self.intervals_towards(info);
        let first_delay_ms = self.first_heartbeat_delay(info);
        match self.peers.get_mut(&info.name) {
            None => {
                let peer = Peer::new(now, first_delay_ms, info.clone(), intervals);
                self.peers.insert(info.name.clone(), peer);
            }
            Some(peer) if info.incarnation > peer.info.incarnation => {
                peer.info = info.clone();
                peer.intervals = intervals;
                peer.learnt_at = now;
                peer.contact.refused = false;
                peer.schedule_first_heartbeat(now);
                peer.start_incarnation(info.incarnation);
            }
            Some(_) => return,
        }
        self.hosts_changed();
    }

    /// Returns the hosts that may hold targets: neither dead nor stopping. This host is among
    /// them if `include_own`.
    #[must_use]
    pub fn eligible_holders(&self, now: Millis, include_own: bool) -> Vec<HostInfo> {
        let others = self.peers.values();
        let others = others.filter(|peer| peer.may_hold_targets(now));
        let others = others.map(|peer| peer.info.clone());
        let own = include_own.then(|| self.own.clone());
        others.chain(own).collect()
    }

    /// Returns the hosts among which the targets are divided: those that may hold targets, and
    /// those that had no time to answer since this host learnt of them; see
    /// [`crate::rules::liveness::may_be_alive`].
    #[must_use]
    pub fn hosts_sharing_targets(&self, now: Millis, include_own: bool) -> Vec<HostInfo> {
        let unconfirmed = self.peers.values();
        let unconfirmed =
            unconfirmed.filter(|peer| may_be_alive(now, peer.learnt_at, &peer.contact));
        let unconfirmed = unconfirmed.map(|peer| peer.info.clone());
        let eligible = self.eligible_holders(now, include_own);
        eligible.into_iter().chain(unconfirmed).collect()
    }

    /// Returns whether there may be other hosts and none of them has replied yet.
    #[must_use]
    pub fn awaits_first_reply(&self) -> bool {
        let mut contacts = self.peers.values().map(|peer| &peer.contact);
        let may_have_peers = !self.peers.is_empty() || !self.seeds.is_empty();
        may_have_peers && contacts.all(|contact| contact.acknowledged.is_none())
    }

    /// Returns whether a peer holds a target's lease and keeps it: the peer isn't dead, or it
    /// was silent only recently and this host is probably cut off.
    #[must_use]
    pub fn is_leased_elsewhere(&self, now: Millis, target: &Name) -> bool {
        let contacts = self.peers.values().map(|peer| &peer.contact);
        // The intervals of the own hall apply to all peers: that this host is cut off has to
        // show before targets of silent peers of its own hall can be acquired.
        let in_minority = is_in_minority(now, &self.near, contacts);
        let mut peers = self.peers.values();
        peers.any(|peer| {
            let unreachable = in_minority && peer.contact.was_recently_alive(now);
            let keeps = peer.contact.retains_targets(now, &peer.intervals) || unreachable;
            keeps && peer.has_leased(target)
        })
    }

    /// Returns the number of peers that are alive as far as known.
    #[must_use]
    pub fn alive_count(&self, now: Millis) -> usize {
        let peers = self.peers.values();
        let alive = peers.filter(|peer| peer.is_alive(now));
        alive.count()
    }

    /// Handles the fields that every reply has. Returns whether the reply comes from a newer
    /// incarnation than the one whose clock was known.
    pub fn handle_reply(&mut self, now: Millis, name: &Name, reply: &Reply) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        if reply.incarnation < peer.info.incarnation {
            return false;
        }
        let known = peer.echoed_clock;
        let restarted = known.is_some_and(|known| known.incarnation != reply.incarnation);
        peer.handle_reply(now, reply);
        if reply.incarnation > peer.info.incarnation {
            peer.start_incarnation(reply.incarnation);
            peer.learnt_at = now;
            self.hosts_changed();
        }
        restarted
    }

    /// Handles the reply to a heartbeat.
    pub fn handle_heartbeat_reply(&mut self, now: Millis, name: &Name, reply: &HeartbeatReply) {
        for host in &reply.hosts {
            self.learn(now, host);
        }
        if let Some(peer) = self.peers.get_mut(name) {
            peer.handle_heartbeat_reply(reply);
        }
    }

    /// Returns the peers to which a heartbeat is due, and schedules their next ones.
    pub fn heartbeats_due(&mut self, now: Millis) -> Vec<Name> {
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            if peer.take_due_heartbeat(now, SILENT_HEARTBEAT_INTERVAL_MS) {
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

    /// Returns the seeds to which a heartbeat is due: those whose address no known host has.
    pub fn seeds_due(&mut self, now: Millis) -> Vec<SocketAddr> {
        if self.next_seed_heartbeat > now {
            return Vec::new();
        }
        self.next_seed_heartbeat = now + SILENT_HEARTBEAT_INTERVAL_MS;
        let known: HashSet<SocketAddr> = self.peers.values().map(|p| p.info.address).collect();
        let seeds = self.seeds.iter().filter(|seed| !known.contains(seed));
        seeds.copied().collect()
    }

    /// Removes hosts that were silent for long.
    pub fn remove_silent(&mut self, now: Millis) {
        let before = self.peers.len();
        self.peers
            .retain(|_, peer| peer.contact.last_contact + REMOVE_SILENT_AFTER_MS > now);
        if self.peers.len() != before {
            self.hosts_changed();
        }
    }
}
