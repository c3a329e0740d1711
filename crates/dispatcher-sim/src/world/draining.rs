//! Drains of halls by the operator, and the checks that nothing starts in a drained hall and
//! that it serves again afterwards.
//!
//! Uses a random generator of its own, so that drains don't change the other faults of a seed.

use gannetridge_dispatcher_core::event::HallChange;
use gannetridge_dispatcher_core::{Event, Millis};
use gannetridge_wire::Name;
use rand::Rng;

use super::model::SimEvent;
use super::{World, STORE_CHANGE_DELAY_MS, WARM_UP_MS};

/// The required bound from the store's acknowledgement of a drain to the last start in the hall,
/// in ms.
const DRAIN_BOUND_MS: Millis = 5_000;
/// The time after a disturbance of a host within which that bound doesn't apply to it, in ms.
const REACTION_BOUND_MS: Millis = 4_000;
/// The bounds of a drain's duration, in ms: some end before hosts can react, others exceed
/// [`DRAIN_BOUND_MS`].
const DRAIN_DURATION_MS: (Millis, Millis) = (100, 14_000);

/// The drains of a hall, and the last start there.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct HallState {
    /// When the current drain began; none if the hall is in service.
    pub(super) draining_since: Option<Millis>,
    /// The hall has been drained at least once, so it has to serve again at the end.
    pub(super) was_drained: bool,
    /// When an attempt was last started there by a call whose reply wasn't lost.
    pub(super) last_start: Millis,
}

impl World {
    /// Drains one, two or all halls, and schedules the next drains.
    pub(super) fn drain_halls(&mut self) {
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
        for hall in (0..count).map(|offset| (first + offset) % halls) {
            let duration_ms = self
                .drain_rng
                .random_range(DRAIN_DURATION_MS.0..DRAIN_DURATION_MS.1);
            self.drain_hall(hall, duration_ms);
        }
        let interval_ms = self
            .drain_rng
            .random_range(0..2 * self.scenario.drain_gap_ms);
        self.schedule(self.now + interval_ms, SimEvent::DrainHalls);
    }

    fn drain_hall(&mut self, hall: usize, duration_ms: Millis) {
        let state = &mut self.halls[hall];
        if state.draining_since.is_some() {
            return;
        }
        state.draining_since = Some(self.now);
        state.was_drained = true;
        *self.outcome.faults.entry("drain hall").or_default() += 1;
        self.announce_hall_change(hall, true);
        let end = (self.now + duration_ms).min(self.scenario.load_ms);
        self.schedule(end, SimEvent::EndDrain(hall));
    }

    /// Puts a hall back into service.
    pub(super) fn end_drain(&mut self, hall: usize) {
        self.halls[hall].draining_since = None;
        self.announce_hall_change(hall, false);
    }

    /// Sends a change of a hall to the hosts, unless the store is out or hosts share reads.
    fn announce_hall_change(&mut self, hall: usize, draining: bool) {
        self.store_version += 1;
        if self.scenario.verbose {
            println!("{:6} hall-{hall} draining {draining}", self.now);
        }
        if self.store_outages > 0 || self.hosts_share_store_reads() {
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
            self.send_event(host, STORE_CHANGE_DELAY_MS, event.clone());
        }
    }

    /// Returns the event of a full read of the draining halls.
    pub(super) fn draining_halls(&self) -> Event {
        let halls = self.halls.iter().enumerate();
        let draining = halls.filter(|(_, state)| state.draining_since.is_some());
        Event::DrainingHallsRead {
            version: self.store_version,
            halls: draining.map(|(hall, _)| hall_name(hall)).collect(),
        }
    }

    /// Records a start, and checks that its hall hasn't been draining for longer than the bound.
    pub(super) fn check_start_in_hall(&mut self, host: usize, target: usize) {
        let hall = self.hall_of_target(target);
        self.halls[hall].last_start = self.now;
        let Some(since) = self.halls[hall].draining_since else {
            return;
        };
        if self.now > since + DRAIN_BOUND_MS && self.must_know_store_since(host, since) {
            let id = self.targets[target].entry.id.clone();
            self.checks.record_start_while_draining(self.now, &id);
        }
    }

    /// Returns `true` if a host must know the store's contents as of `since`. Where hosts share
    /// reads, an outage that hits only one group of hosts is no excuse.
    fn must_know_store_since(&self, host: usize, since: Millis) -> bool {
        let host_state = &self.hosts[host];
        let is_long_ago = |disturbed_at: Millis| disturbed_at + REACTION_BOUND_MS < self.now;
        let is_full_outage = self.store_outages > 0 && self.rejected_host_group.is_none();
        let store_was_available = if self.hosts_share_store_reads() {
            !is_full_outage && is_long_ago(self.last_full_store_outage)
        } else {
            self.store_outages == 0 && self.last_store_outage < since
        };
        let hall = self.hall_of_host(host);
        let is_cut_off = self.hosts_cut_from_peers.contains_key(&host)
            || self.hosts_cut_from_targets.contains_key(&host)
            || !self.cut_off_halls.is_empty()
            || self.lossy_peers > 0;
        let host_is_undisturbed =
            is_long_ago(self.host_disturbed_at[host]) && is_long_ago(self.hall_disturbed_at[hall]);
        let is_running = host_state.is_up
            && !host_state.is_suspended
            && is_long_ago(host_state.resumed_at)
            && is_long_ago(host_state.clock_start);
        store_was_available
            && is_running
            && !is_cut_off
            && host_is_undisturbed
            && is_long_ago(self.peers_disturbed_at)
    }

    /// Checks that every hall in service that was drained, and has a target that can serve, has
    /// started an attempt at or after `served_since`.
    pub(super) fn check_service_after_drains(&mut self, served_since: Millis) {
        for hall in 0..self.halls.len() {
            let state = self.halls[hall];
            let targets = (0..self.targets.len()).filter(|t| self.hall_of_target(*t) == hall);
            let can_serve = targets
                .map(|target| &self.targets[target])
                .any(|target| target.is_up && !target.entry.leaving);
            let is_back_in_service = state.was_drained && state.draining_since.is_none();
            if is_back_in_service && can_serve && state.last_start < served_since {
                self.checks
                    .record_no_service_after_drain(self.now, &hall_name(hall));
            }
        }
    }

    /// Schedules the first drains.
    pub(super) fn schedule_drains(&mut self) {
        if self.scenario.drain_gap_ms > 0 {
            self.schedule(WARM_UP_MS, SimEvent::DrainHalls);
        }
    }
}

fn hall_name(hall: usize) -> Name {
    format!("hall-{hall}").into()
}
