//! The other hosts: who lives, what they have free, and the rights that hang
//! on heartbeats.

use std::collections::{BTreeMap, HashSet};
use std::net::SocketAddr;

use gannetridge_wire::Name;
use xxhash_rust::xxh3::xxh3_64;

use crate::event::CallId;
use crate::message::{BeatReply, Echo, FreeRoom, HostInfo, Reply, RunEnd, RunKey, TaskOrder, Want};
use crate::settings::Times;
use crate::spec::Room;
use crate::Millis;

/// A peer's targets are left to it for this many vouches since it was heard.
const DEAD_AFTER_VOUCHES: Millis = 2;
/// A host that hears less than half of the others may be the one that is cut
/// off: it leaves their targets to them for so long after it last heard them.
const ISOLATED_MS: Millis = 8_000;
/// Between heartbeats to a peer that doesn't answer.
const SILENT_BEAT_MS: Millis = 500;
/// Hosts that were never heard for this long are forgotten.
const FORGET_MS: Millis = 60_000;
/// A want that isn't renewed ends after this.
pub const WANT_MS: Millis = 300;

/// What is known of one other host.
#[derive(Debug)]
pub struct Peer {
    /// Its life as last heard.
    pub info: HostInfo,
    /// Its clock as last heard.
    pub echo: Option<Echo>,
    /// When it last acknowledged something.
    pub acked: Option<Millis>,
    /// When it was last heard, or first heard of.
    pub heard: Millis,
    /// Whether nothing listened there at the last try.
    pub refused: bool,
    /// Whether it was taken to live at the last look.
    pub lived: bool,
    /// Whether it stops in order.
    pub leaving: bool,
    /// The version of its configuration.
    pub version: u64,
    /// The targets that it looks after.
    pub kept: HashSet<Name>,
    /// What it was last heard to have free, less what was asked since.
    pub free: Vec<FreeRoom>,
    /// When that was heard.
    pub free_at: Millis,
    /// Our session with it: runs of lower ones are given up.
    pub session: u64,
    /// Its session with us.
    pub their_session: u64,
    /// Until when its runs here are vouched for.
    pub vouched_until: Millis,
    /// Whether its runs here were ended since the vouch lapsed.
    pub lapsed: bool,
    /// The heartbeat on its way.
    pub beat: Option<CallId>,
    /// When the next heartbeat is due.
    pub next_beat: Millis,
    /// The tasks that it wants room for, and until when that holds.
    pub want: Option<(Want, Millis, Millis)>,
    /// Ends to tell it.
    pub ends: Vec<RunEnd>,
    /// The ends on their way.
    pub telling: Option<(CallId, Vec<RunEnd>)>,
    /// Runs to be ended there, and whether their ends matter.
    pub stops: Vec<(RunKey, bool)>,
    /// The stops on their way.
    pub stopping: Option<(CallId, Vec<(RunKey, bool)>)>,
    /// Nothing of these is sent again before.
    pub retry_at: Millis,
}

impl Peer {
    fn new(now: Millis, info: HostInfo) -> Self {
        Self {
            info,
            echo: None,
            acked: None,
            heard: now,
            refused: false,
            lived: false,
            leaving: false,
            version: 0,
            kept: HashSet::new(),
            free: Vec::new(),
            free_at: 0,
            session: 1,
            their_session: 0,
            vouched_until: 0,
            lapsed: true,
            beat: None,
            next_beat: now,
            want: None,
            ends: Vec::new(),
            telling: None,
            stops: Vec::new(),
            stopping: None,
            retry_at: 0,
        }
    }

    /// Tells whether it is taken to live.
    #[must_use]
    pub fn is_alive(&self, now: Millis, times: &Times) -> bool {
        !self.refused && self.acked.is_some_and(|at| at + times.vouch > now)
    }

    /// Tells whether its targets are left to it: a host that is slow to answer
    /// keeps them, though no tasks are handed to it.
    #[must_use]
    pub fn holds_targets(&self, now: Millis, times: &Times) -> bool {
        let heard = self.acked.is_some() && self.heard + DEAD_AFTER_VOUCHES * times.vouch > now;
        heard && !self.refused
    }

    /// Tells whether it was heard of late and isn't known to be gone.
    fn was_there(&self, now: Millis) -> bool {
        self.acked.is_some() && !self.refused && self.heard + ISOLATED_MS > now
    }

    /// Tells whether tasks may be handed to it.
    #[must_use]
    pub fn takes_tasks(&self, now: Millis, times: &Times) -> bool {
        self.is_alive(now, times) && !self.leaving
    }

    /// Takes room off what it is believed to have free, if an order fits.
    fn reserve(&mut self, order: &TaskOrder) -> bool {
        let fitting = self.free.iter_mut();
        let fitting = fitting.filter(|f| f.pool == order.pool && f.room.fits(&order.room));
        let Some(free) = fitting.min_by_key(|free| free.room.cpu) else {
            return false;
        };
        free.room = free.room.less(&order.room);
        true
    }

    fn total_free(&self) -> u32 {
        self.free.iter().map(|free| free.room.cpu).sum()
    }
}

/// All other hosts.
pub struct Peers {
    own: HostInfo,
    times: Times,
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
        Self {
            seeds: others.copied().collect(),
            own,
            times,
            next_seeds: 0,
            all: BTreeMap::new(),
        }
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
                self.all
                    .insert(info.name.clone(), Peer::new(now, info.clone()));
            }
            Some(peer) if info.incarnation > peer.info.incarnation => {
                peer.info = info.clone();
                peer.refused = false;
                peer.next_beat = now;
                peer.their_session = 0;
            }
            Some(_) => {}
        }
    }

    /// Returns a hash of the hosts that are known.
    #[must_use]
    pub fn hash(&self) -> u64 {
        let mut text = String::new();
        for host in self.hosts() {
            text.push_str(&format!("{} {}\n", host.name, host.incarnation));
        }
        xxh3_64(text.as_bytes())
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
        let others = others.filter(|p| !p.leaving && p.holds_targets(now, &self.times));
        let others = others.map(|peer| peer.info.clone());
        let own = own_stays.then(|| self.own.clone());
        others.chain(own).collect()
    }

    /// Tells whether another host looks after a target: one that lives, or one
    /// that this host may only not hear.
    #[must_use]
    pub fn is_kept(&self, now: Millis, target: &Name) -> bool {
        let isolated = self.is_isolated(now);
        let mut peers = self.all.values();
        peers.any(|peer| {
            let unheard = isolated && peer.was_there(now);
            let there = peer.holds_targets(now, &self.times) || unheard;
            there && peer.kept.contains(target)
        })
    }

    /// Tells whether less than half of the hosts that were there of late are
    /// heard. Hosts whose address refuses connections are gone, not unheard.
    fn is_isolated(&self, now: Millis) -> bool {
        let peers = self.all.values().filter(|peer| peer.was_there(now));
        let (mut heard, mut all) = (1, 1);
        for peer in peers {
            all += 1;
            heard += usize::from(peer.holds_targets(now, &self.times));
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
        let known = peer
            .echo
            .is_some_and(|echo| echo.incarnation != reply.incarnation);
        if peer
            .echo
            .is_none_or(|echo| echo.incarnation != reply.incarnation || echo.clock <= reply.clock)
        {
            peer.echo = Some(Echo {
                incarnation: reply.incarnation,
                clock: reply.clock,
            });
        }
        peer.info.incarnation = reply.incarnation;
        peer.heard = now;
        peer.refused = false;
        peer.free = reply.free.clone();
        peer.free_at = now;
        known
    }

    /// Takes what the reply to a heartbeat says.
    pub fn beat_replied(&mut self, now: Millis, name: &Name, reply: &BeatReply) {
        for host in &reply.hosts {
            self.learn(now, host);
        }
        if let Some(peer) = self.all.get_mut(name) {
            peer.leaving = reply.leaving;
            peer.version = reply.version;
            peer.kept = reply.kept.iter().cloned().collect();
        }
    }

    /// Tells whether any peer is believed to have such room.
    #[must_use]
    pub fn may_fit(&self, now: Millis, room: &Room) -> bool {
        let peers = self.all.values();
        let mut open = peers.filter(|peer| peer.takes_tasks(now, &self.times));
        open.any(|peer| peer.free.iter().any(|free| free.room.fits(room)))
    }

    /// Picks a peer that is believed to have room, its own hall first.
    pub fn with_room(&mut self, now: Millis, order: &TaskOrder) -> Option<Name> {
        let times = self.times;
        let own_hall = self.own.hall.clone();
        let open = self.all.values_mut();
        let open = open.filter(|peer| peer.takes_tasks(now, &times));
        let mut open: Vec<&mut Peer> = open.collect();
        open.sort_by_key(|peer| (peer.info.hall != own_hall, u32::MAX - peer.total_free()));
        let mut found = open.into_iter().filter_map(|peer| {
            let fits = peer.reserve(order);
            fits.then(|| peer.info.name.clone())
        });
        found.next()
    }

    /// Returns the peers that a heartbeat is due to.
    pub fn beats_due(&mut self, now: Millis) -> Vec<Name> {
        let times = self.times;
        let due = self.all.values_mut().filter(|peer| peer.next_beat <= now);
        due.map(|peer| {
            let alive = peer.is_alive(now, &times);
            let pause = if alive { times.beat } else { SILENT_BEAT_MS };
            peer.next_beat = now + pause;
            peer.info.name.clone()
        })
        .collect()
    }

    /// Returns the seeds that no known host has as its address.
    pub fn seeds_due(&mut self, now: Millis) -> Vec<SocketAddr> {
        if self.next_seeds > now {
            return Vec::new();
        }
        self.next_seeds = now + SILENT_BEAT_MS;
        let known: HashSet<SocketAddr> = self.all.values().map(|p| p.info.address).collect();
        let seeds = self.seeds.iter().filter(|seed| !known.contains(seed));
        seeds.copied().collect()
    }

    /// Forgets hosts that haven't been heard for long.
    pub fn forget(&mut self, now: Millis) {
        self.all.retain(|_, peer| peer.heard + FORGET_MS > now);
    }
}
