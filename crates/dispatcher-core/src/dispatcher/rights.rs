//! Rights that lapse: vouches for peers' runs here, and our runs there.

use super::*;

impl Dispatcher {
    pub(super) fn lose_lapsed(&mut self, now: Millis) {
        let mut unvouched = Vec::new();
        let mut lost = Vec::new();
        let pace = self.peers.pace();
        for (name, peer) in &mut self.peers.all {
            if !peer.lapsed && peer.vouched_until <= now {
                peer.lapsed = true;
                unvouched.push(name.clone());
            }
            let alive = peer.is_alive(now, &pace);
            if peer.lived && !alive {
                lost.push(name.clone());
            }
            if peer.lived != alive {
                peer.lived = alive;
                self.out.push(Action::Note(Note::Peer {
                    peer: name.clone(),
                    state: if alive { "lives" } else { "silent" },
                    silent_ms: now.saturating_sub(peer.heard),
                }));
            }
        }
        let lapses = self.settings.safeguards.vouches_lapse;
        for name in unvouched.into_iter().filter(|_| lapses) {
            self.keeper.stop_owner(now, &name, u64::MAX, "owner silent");
        }
        for name in lost {
            let heard = self.peers.all[&name].echoed;
            self.lose_session(now, &name, heard);
        }
    }

    /// Gives all runs at a peer up that was last heard at `heard`.
    pub(super) fn lose_session(&mut self, now: Millis, name: &Name, heard: Millis) {
        let Some(peer) = self.peers.all.get_mut(name) else {
            return;
        };
        let mut over = heard + self.times.over;
        if !self.settings.safeguards.lost_runs_are_waited_for {
            over = now;
        }
        peer.session += 1;
        peer.stops.clear();
        peer.stopping = None;
        peer.free.clear();
        peer.used_since = None;
        let runs = self.jobs.peer_lost(name, over);
        if runs > 0 {
            self.out.push(Action::Note(Note::SessionLost {
                peer: name.clone(),
                runs,
                over_in_ms: over.saturating_sub(now),
            }));
        }
    }
}
