//! Expiry of owner leases: those of peers for their attempts on this host's targets, and those of
//! this host at peers. See [`crate::rules::leases`].

use gannetridge_wire::Name;

use crate::decision::{Decision, PeerState, StopReason};
use crate::targets::OwnerSession;
use crate::Millis;

use super::Dispatcher;

impl Dispatcher {
    /// Stops the attempts of peers whose owner lease has expired, and gives up this host's attempts
    /// at peers that are no longer assumed to be alive.
    pub(super) fn expire_leases(&mut self, now: Millis) {
        let mut expired = Vec::new();
        let mut lost = Vec::new();
        for (name, peer) in self.peers.iter_mut() {
            if peer.owner_lease.expire_if_due(now) {
                expired.push(name.clone());
            }
            let alive = peer.is_alive(now);
            if peer.was_alive == alive {
                continue;
            }
            peer.was_alive = alive;
            if !alive {
                lost.push(name.clone());
            }
            let state = if alive {
                PeerState::Alive
            } else {
                PeerState::Silent
            };
            self.actions.push(crate::Action::Record(Decision::Peer {
                peer: name.clone(),
                state,
                silent_ms: now.saturating_sub(peer.contact.last_contact),
            }));
        }
        if self.settings.safeguards.owner_leases_expire {
            for name in expired {
                let reason = StopReason::OwnerSilent;
                self.backlog.drop_earlier_sessions(&name, OwnerSession::MAX);
                self.targets
                    .stop_earlier_sessions(now, &name, OwnerSession::MAX, reason);
            }
        }
        for name in lost {
            let clock_received_at = self
                .peers
                .get(&name)
                .map_or(0, |peer| peer.clock_received_at());
            self.lose_session(now, &name, clock_received_at);
        }
    }

    /// Gives up all attempts at a peer whose clock was last received at `clock_received_at`: the
    /// owner lease that the peer granted this host can't be newer.
    pub(super) fn lose_session(&mut self, now: Millis, name: &Name, clock_received_at: Millis) {
        let Some(peer) = self.peers.get_mut(name) else {
            return;
        };
        let mut ended_at = clock_received_at + self.times.lost_attempts_over_ms;
        if !self.settings.safeguards.lost_attempts_are_waited_for {
            ended_at = now;
        }
        peer.start_session();
        let attempts = self.jobs.mark_peer_lost(name, ended_at);
        if attempts > 0 {
            self.record(Decision::SessionLost {
                peer: name.clone(),
                attempts,
                over_in_ms: ended_at.saturating_sub(now),
            });
        }
    }
}
