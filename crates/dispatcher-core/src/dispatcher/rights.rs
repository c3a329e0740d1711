//! Rights that lapse: vouches for peers' runs here, and our runs there.

use super::*;

impl Dispatcher {
    pub(super) fn expire_leases(&mut self, now: Millis) {
        let mut expired = Vec::new();
        let mut lost = Vec::new();
        let intervals = self.peers.intervals();
        for (name, peer) in &mut self.peers.all {
            if !peer.lease_expired && peer.lease_until <= now {
                peer.lease_expired = true;
                expired.push(name.clone());
            }
            let alive = peer.is_alive(now, &intervals);
            if peer.lived && !alive {
                lost.push(name.clone());
            }
            if peer.lived != alive {
                peer.lived = alive;
                self.out.push(Action::Record(Decision::Peer {
                    peer: name.clone(),
                    state: if alive { "lives" } else { "silent" },
                    silent_ms: now.saturating_sub(peer.heard),
                }));
            }
        }
        let lapses = self.settings.safeguards.owner_leases_expire;
        for name in expired.into_iter().filter(|_| lapses) {
            self.targets
                .stop_owner(now, &name, u64::MAX, "owner silent");
        }
        for name in lost {
            let heard = self.peers.all[&name].clock_heard_at;
            self.lose_session(now, &name, heard);
        }
    }

    /// Gives all runs at a peer up that was last heard at `heard`.
    pub(super) fn lose_session(&mut self, now: Millis, name: &Name, heard: Millis) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        let mut over = heard + self.times.over;
        if !self.settings.safeguards.lost_attempts_are_waited_for {
            over = now;
        }
        peer.session += 1;
        peer.stops.clear();
        peer.stopping = None;
        peer.free.clear();
        peer.used_since = None;
        let attempts = self.jobs.peer_lost(name, over);
        if attempts > 0 {
            self.out.push(Action::Record(Decision::SessionLost {
                peer: name.clone(),
                attempts,
                over_in_ms: over.saturating_sub(now),
            }));
        }
    }
}
