//! Halls that the operator empties and takes back, and the check that nothing starts there.
//!
//! Chances are drawn from a generator of its own, so that a seed's other faults are the same
//! with and without.

use gannetridge_dispatcher_core::event::HallChange;
use gannetridge_dispatcher_core::{Event, Millis};
use gannetridge_wire::Name;
use rand::Rng;

use super::parts::Happening;
use super::{World, NEWS_MS, QUIET_MS};

/// From the store's acknowledgement until no host may start a task in a draining hall, in
/// ms: the users' bound.
const DRAINED_MS: Millis = 5_000;
/// A host to which something happened is bound again after this, in ms: the users' bound.
const CONTACT_MS: Millis = 4_000;
/// The shortest and the longest time for which a hall is drained, in ms: below a second and
/// beyond the bound. Chosen, not measured.
const LENGTH_MS: (Millis, Millis) = (100, 14_000);

/// What the operator has done to a hall.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HallState {
    /// Since when it has been draining, if it is.
    pub(super) draining_since: Option<Millis>,
    /// Whether it was ever drained, so that it has to serve again.
    pub(super) was_drained: bool,
    /// When a task last began there.
    pub(super) last_start: Millis,
}

impl World {
    /// Drains one hall, two, or all of them, and plans the next time.
    pub(super) fn drain(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let halls = self.scenario.halls;
        let count = match self.drain_rng.random_range(0..10) {
            0 => halls,
            1..=2 => 2.min(halls),
            _ => 1,
        };
        let first = self.drain_rng.random_range(0..halls);
        for hall in (0..count).map(|step| (first + step) % halls) {
            let length = self.drain_rng.random_range(LENGTH_MS.0..LENGTH_MS.1);
            self.drain_hall(hall, length);
        }
        let gap = self
            .drain_rng
            .random_range(0..2 * self.scenario.drain_gap_ms);
        self.at(self.now + gap, Happening::Drain);
    }

    fn drain_hall(&mut self, hall: usize, length: Millis) {
        let state = &mut self.halls[hall];
        if state.draining_since.is_some() {
            return;
        }
        state.draining_since = Some(self.now);
        state.was_drained = true;
        *self.outcome.faults.entry("drain hall").or_default() += 1;
        self.hall_news(hall, true);
        let end = (self.now + length).min(self.scenario.load_ms);
        self.at(end, Happening::TakeBack(hall));
    }

    /// Takes a hall back.
    pub(super) fn take_back(&mut self, hall: usize) {
        self.halls[hall].draining_since = None;
        self.hall_news(hall, false);
    }

    /// Tells hosts that read the store themselves.
    fn hall_news(&mut self, hall: usize, draining: bool) {
        self.store_version += 1;
        if self.scenario.verbose {
            println!("{:6} hall-{hall} draining {draining}", self.now);
        }
        if self.store_out > 0 || self.hosts_tell_each_other() {
            return;
        }
        let event = Event::DrainingHallsChanged {
            version: self.store_version,
            changes: vec![HallChange {
                hall: hall_name(hall),
                draining,
            }],
        };
        for host in 0..self.hosts.len() {
            self.tell(host, NEWS_MS, event.clone());
        }
    }

    /// Returns what the store tells of draining halls to a host that reads it whole.
    pub(super) fn draining_halls(&self) -> Event {
        let halls = self.halls.iter().enumerate();
        let draining = halls.filter(|(_, state)| state.draining_since.is_some());
        Event::DrainingHallsRead {
            version: self.store_version,
            halls: draining.map(|(hall, _)| hall_name(hall)).collect(),
        }
    }

    /// Notes a start, and checks that its hall wasn't to be empty by then.
    pub(super) fn check_drained(&mut self, host: usize, target: usize) {
        let hall = self.hall_of_target(target);
        self.halls[hall].last_start = self.now;
        let Some(since) = self.halls[hall].draining_since else {
            return;
        };
        if self.now > since + DRAINED_MS && self.is_in_touch(host, since) {
            let id = self.targets[target].entry.id.clone();
            self.checks.record_start_while_draining(self.now, &id);
        }
    }

    /// Returns whether a host had to know what the store holds since `since`. Where hosts of
    /// large halls tell each other, it doesn't matter that the store serves only a part of
    /// them.
    fn is_in_touch(&self, host: usize, since: Millis) -> bool {
        let there = &self.hosts[host];
        let calm = |troubled: Millis| troubled + CONTACT_MS < self.now;
        let out_for_it = self.store_out > 0 && self.turned_away.is_none();
        let store = if self.hosts_tell_each_other() {
            !out_for_it && calm(self.store_out_for_all)
        } else {
            self.store_out == 0 && self.store_troubled < since
        };
        let hall = self.hall_of_host(host);
        let cut = self.cut_peers.contains_key(&host)
            || self.cut_targets.contains_key(&host)
            || !self.cut_halls.is_empty()
            || self.lossy_peers > 0;
        let calm_host = calm(self.host_troubled[host]) && calm(self.hall_troubled[hall]);
        let known = there.is_up && !there.frozen && calm(there.woke) && calm(there.base);
        store && known && !cut && calm_host && calm(self.peers_troubled)
    }

    /// Halls that were drained and taken back have to have served again by the end, where
    /// they have hosts and targets that can.
    pub(super) fn check_taken_back(&mut self, served_since: Millis) {
        for hall in 0..self.halls.len() {
            let state = self.halls[hall];
            let targets = (0..self.targets.len()).filter(|t| self.hall_of_target(*t) == hall);
            let serving = targets
                .map(|target| &self.targets[target])
                .any(|target| target.is_up && !target.entry.leaving);
            let back = state.was_drained && state.draining_since.is_none();
            if back && serving && state.last_start < served_since {
                self.checks
                    .record_no_service_after_drain(self.now, &hall_name(hall));
            }
        }
    }

    /// Plans the first drained hall.
    pub(super) fn plan_drains(&mut self) {
        if self.scenario.drain_gap_ms > 0 {
            self.at(QUIET_MS, Happening::Drain);
        }
    }
}

fn hall_name(hall: usize) -> Name {
    format!("hall-{hall}").into()
}
