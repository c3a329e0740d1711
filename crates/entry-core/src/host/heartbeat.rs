//! Heartbeats between hosts: liveness, held shards, lendable slots, usage and promises.

use std::collections::BTreeSet;

use gannetridge_entry_wire::peer::{PeerReply, PeerRequest, PromiseRequest, Status};
use gannetridge_entry_wire::{HostId, Time};
use gannetridge_wire::Name;

use super::borrow::LenderState;
use super::calls::CallPurpose;
use super::Host;
use crate::event::{RequestToken, SendFailure};

/// A peer counts as alive for this long after its last status, in ms.
pub(super) const PEER_TIMEOUT_MS: u64 = 3_000;
/// Number of heartbeat rounds per heartbeat to a host of another hall.
const REMOTE_HEARTBEAT_INTERVAL: u64 = 3;
/// Timeout of the reply to a heartbeat, in ms.
const HEARTBEAT_TIMEOUT_MS: u64 = 1_000;

/// The state of another entry host.
#[derive(Clone, Debug)]
pub(super) struct Peer {
    /// Its last known incarnation; `None` before it is known.
    pub(super) id: Option<HostId>,
    /// Its hall; empty before it is known.
    pub(super) hall: Name,
    /// When its last status was received.
    pub(super) last_status: Time,
    /// When the last heartbeat that it initiated was received.
    pub(super) last_heartbeat: Time,
    /// Its state as a lender of slots.
    pub(super) lender: LenderState,
    /// The slots that accounts use through it.
    pub(super) usage: Vec<(Name, u32)>,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            id: None,
            hall: "".into(),
            last_status: Time::ZERO,
            last_heartbeat: Time::ZERO,
            lender: LenderState::default(),
            usage: Vec::new(),
        }
    }
}

impl Host {
    /// Adds the peers of the settings.
    pub(super) fn add_seed_peers(&mut self) {
        for address in self.settings.peers.clone() {
            if address != self.settings.address {
                self.peers.entry(address).or_default();
            }
        }
    }

    /// Returns this host's status for a host of `to_hall`.
    fn status(&self, to_hall: &Name) -> Status {
        let usage = if *to_hall == self.settings.hall {
            self.queue.usage()
        } else {
            self.hall_usage()
        };
        Status {
            host: self.settings.id.clone(),
            hall: self.settings.hall.clone(),
            address: self.settings.address.clone(),
            config_version: self.config.version(),
            shards: self.ownership.held_shards(),
            spare: self.lendable_slots(),
            usage,
            leaving: self.targets.leaving(),
            resigned: self.ownership.has_resigned(),
        }
    }

    /// Sends heartbeats to the hall's hosts and, every few rounds, to one of another hall.
    pub(super) fn send_heartbeats(&mut self) {
        self.heartbeat_rounds += 1;
        self.add_peers_from_rows();
        let mut addresses = BTreeSet::new();
        let mut remote = Vec::new();
        for (address, peer) in &self.peers {
            if peer.hall == self.settings.hall || peer.id.is_none() {
                if !self.can_skip_heartbeat_to(address, peer) {
                    addresses.insert(address.clone());
                }
            } else {
                remote.push(address.clone());
            }
        }
        if !remote.is_empty() && self.heartbeat_rounds % REMOTE_HEARTBEAT_INTERVAL == 0 {
            let turn = (self.heartbeat_rounds / REMOTE_HEARTBEAT_INTERVAL) as usize % remote.len();
            addresses.insert(remote.swap_remove(turn));
        }
        for address in addresses {
            self.send_heartbeat(address);
        }
    }

    /// Returns true if a peer's own heartbeats suffice, so that this host need not send any:
    /// of each pair, the host with the higher address relies on the other one's. With
    /// promises to request, both send.
    fn can_skip_heartbeat_to(&self, address: &Name, peer: &Peer) -> bool {
        let tuning = &self.settings.tuning;
        let recent = self.now.minus_millis(tuning.heartbeat_ms * 3 / 2);
        let served = *address < self.settings.address && peer.last_heartbeat >= recent;
        let soon = self.now.plus_millis(tuning.lease_ms / 2);
        served && !self.ownership.needs_promises(soon)
    }

    /// Sends a heartbeat to every host of the hall at once.
    pub(super) fn send_hall_heartbeats(&mut self) {
        let hall = self.settings.hall.clone();
        let hall_peers = self.peers.iter().filter(|(_, peer)| peer.hall == hall);
        let addresses: Vec<Name> = hall_peers.map(|(address, _)| address.clone()).collect();
        for address in addresses {
            self.send_heartbeat(address);
        }
    }

    fn send_heartbeat(&mut self, address: Name) {
        let hall = self.peers.get(&address).map(|p| p.hall.clone());
        let hall = hall.unwrap_or_default();
        let promises = if hall == self.settings.hall {
            self.ownership.promises_to_request(self.now)
        } else {
            Vec::new()
        };
        let status = self.status(&hall);
        let request = PeerRequest::Heartbeat { status, promises };
        let purpose = CallPurpose::Heartbeat {
            address: address.clone(),
        };
        self.call_peer(purpose, address, request, HEARTBEAT_TIMEOUT_MS);
    }

    /// Adds the hosts that the halls' rows name, and removes silent ones that neither the
    /// rows nor the settings name.
    fn add_peers_from_rows(&mut self) {
        let halls: Vec<Name> = self.directory.halls().cloned().collect();
        let mut named: BTreeSet<Name> = self.settings.peers.iter().cloned().collect();
        for hall in halls {
            for (id, address) in self.directory.hosts_of(&hall) {
                if address == self.settings.address {
                    continue;
                }
                named.insert(address.clone());
                let peer = self.peers.entry(address).or_default();
                if peer.id.is_none() {
                    peer.id = Some(id);
                    peer.hall = hall.clone();
                }
            }
        }
        let alive_since = self.now.minus_millis(PEER_TIMEOUT_MS);
        self.peers
            .retain(|address, p| named.contains(address) || p.last_status >= alive_since);
    }

    pub(super) fn on_heartbeat(
        &mut self,
        token: RequestToken,
        status: Status,
        wanted: &[PromiseRequest],
    ) {
        let hall = status.hall.clone();
        let address = status.address.clone();
        self.apply_status(status);
        if let Some(peer) = self.peers.get_mut(&address) {
            peer.last_heartbeat = self.now;
        }
        let promised = self.ownership.grant_promises(wanted, self.now);
        let status = self.status(&hall);
        self.reply(token, PeerReply::Heartbeat { status, promised });
    }

    pub(super) fn on_heartbeat_reply(
        &mut self,
        address: &Name,
        reply: Result<PeerReply, SendFailure>,
    ) {
        match reply {
            Ok(PeerReply::Heartbeat { status, promised }) => {
                let id = status.host.clone();
                self.apply_status(status);
                self.ownership.record_promises(&id, &promised, self.now);
            }
            _ => {
                if let Some(peer) = self.peers.get_mut(address) {
                    peer.lender.clear_lendable();
                }
            }
        }
    }

    /// Applies the status of a peer.
    fn apply_status(&mut self, status: Status) {
        if status.address == self.settings.address {
            return;
        }
        let now = self.now;
        let peer = self.peers.entry(status.address.clone()).or_default();
        peer.id = Some(status.host.clone());
        peer.hall = status.hall.clone();
        peer.last_status = now;
        peer.lender.update(status.spare);
        if status.hall == self.settings.hall {
            peer.usage.clone_from(&status.usage);
        } else {
            self.record_remote_usage(&status);
        }
        self.directory.record_status(&status);
        self.ownership
            .record_incarnation(&status.host, &status.address, now);
        if status.resigned {
            self.ownership.record_resignation(&status.host, now);
        }
        for name in &status.leaving {
            if let Some(index) = self.targets.find(name) {
                self.mark_target_leaving(index);
            }
        }
        let behind = status.config_version > self.config.version();
        if behind || self.targets.is_empty() {
            self.pull_config(status.address);
        }
    }

    /// Divides the targets' slots among the hosts of the hall that are alive.
    pub(super) fn divide_targets(&mut self) {
        let alive_since = self.now.minus_millis(PEER_TIMEOUT_MS);
        let hall = &self.settings.hall;
        let is_alive = |p: &&Peer| p.hall == *hall && p.last_status >= alive_since;
        let row = self.ownership.row();
        let mut members = Vec::new();
        for peer in self.peers.values().filter(is_alive) {
            let Some(id) = &peer.id else { continue };
            if row.member(id).is_some() {
                members.push(id.name.clone());
            }
        }
        let leased = row.members.iter().filter(|m| m.until >= self.now);
        members.extend(leased.map(|m| m.id.name.clone()));
        members.push(self.settings.id.name.clone());
        self.targets.set_members(members);
    }
}
