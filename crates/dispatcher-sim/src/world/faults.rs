//! The start and the end of each fault, and the store's announcements of changes.

use gannetridge_dispatcher_core::decision::StoreReading;
use gannetridge_dispatcher_core::event::TargetChange;
use gannetridge_dispatcher_core::{Event, Millis, StoreTable};
use rand::Rng;

use crate::faults;
use crate::faults::Fault;
use crate::target::Behaviour;

use super::model::SimEvent;
use super::setup::configuration;
use super::{
    end_cut, World, ENTRY_EXPIRY_MS, MAX_HOSTS_WITHOUT_SHARED_READS, STORE_CHANGE_DELAY_MS,
    STORE_HOST_GROUPS, STORE_READ_INTERVAL_MS,
};

impl World {
    /// Begins a random fault, and schedules the next one while the load lasts.
    pub(super) fn inject_fault(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let halls = self.scenario.halls;
        let fault =
            faults::random_fault(&mut self.rng, self.hosts.len(), self.targets.len(), halls);
        let duration_ms = faults::random_duration_ms(&mut self.rng);
        self.begin_fault(fault, duration_ms);
        let interval_ms = self.rng.random_range(0..2 * self.scenario.fault_gap_ms);
        self.schedule(self.now + interval_ms, SimEvent::NextFault);
    }

    pub(super) fn begin_fault(&mut self, fault: Fault, duration_ms: Millis) {
        let name = match fault {
            Fault::Kill(host) => {
                self.kill_host(host, duration_ms.min(3_000));
                "kill"
            }
            Fault::KillAll => {
                for host in 0..self.hosts.len() {
                    self.kill_host(host, duration_ms.min(1_500));
                }
                "kill all"
            }
            Fault::Freeze(host) => {
                self.hosts[host].is_suspended = true;
                "freeze"
            }
            Fault::Stop(host) => {
                self.send_event(host, 0, Event::Stop { age_ms: 0 });
                "stop"
            }
            Fault::CutPeers(host) => {
                *self.hosts_cut_from_peers.entry(host).or_default() += 1;
                "cut peers"
            }
            Fault::CutTargets(host) => {
                *self.hosts_cut_from_targets.entry(host).or_default() += 1;
                "cut targets"
            }
            Fault::CutHall(hall) => {
                *self.cut_off_halls.entry(hall).or_default() += 1;
                "cut hall"
            }
            Fault::CutTarget(target) => {
                *self.cut_off_targets.entry(target).or_default() += 1;
                "cut target"
            }
            Fault::Crash(target) => {
                self.crash_target(target, duration_ms);
                "crash"
            }
            Fault::Misbehave(target, behaviour) => {
                self.targets[target].behaviour = behaviour;
                "misbehaving"
            }
            Fault::Leave(target) => {
                self.mark_target_leaving(target);
                "leave"
            }
            Fault::LateCalls => {
                self.late_calls += 1;
                "late"
            }
            Fault::LostReplies => {
                self.lost_replies += 1;
                "lost answers"
            }
            Fault::LossyPeers => {
                self.lossy_peers += 1;
                "lossy peers"
            }
            Fault::StoreOutage => {
                self.store_outages += 1;
                self.last_store_outage = self.now;
                self.choose_rejected_hosts();
                for host in 0..self.hosts.len() {
                    if self.store_rejects(host) {
                        self.send_event(host, 20, Event::StoreReachable(false));
                    }
                }
                "store out"
            }
        };
        *self.outcome.faults.entry(name).or_default() += 1;
        if self.scenario.verbose {
            println!("{:6} fault {fault:?} for {duration_ms} ms", self.now);
        }
        self.schedule(self.now + duration_ms, SimEvent::FaultEnds(fault));
    }

    pub(super) fn end_fault(&mut self, fault: Fault) {
        self.record_disturbance(fault);
        match fault {
            Fault::Freeze(host) => self.resume_host(host),
            Fault::CutPeers(host) => end_cut(&mut self.hosts_cut_from_peers, host),
            Fault::CutTargets(host) => end_cut(&mut self.hosts_cut_from_targets, host),
            Fault::CutHall(hall) => end_cut(&mut self.cut_off_halls, hall),
            Fault::CutTarget(target) => end_cut(&mut self.cut_off_targets, target),
            Fault::Misbehave(target, _) => self.targets[target].behaviour = Behaviour::Normal,
            Fault::LateCalls => self.late_calls -= 1,
            Fault::LostReplies => self.lost_replies -= 1,
            Fault::LossyPeers => self.lossy_peers -= 1,
            Fault::StoreOutage => {
                self.store_outages -= 1;
                if self.store_outages == 0 {
                    self.end_store_outage();
                }
            }
            _ => {}
        }
    }

    /// Records the end of a fault that may delay updates from the store.
    fn record_disturbance(&mut self, fault: Fault) {
        match fault {
            Fault::CutPeers(host) | Fault::CutTargets(host) | Fault::Freeze(host) => {
                self.host_disturbed_at[host] = self.now;
            }
            Fault::CutHall(hall) => self.hall_disturbed_at[hall] = self.now,
            Fault::LossyPeers => self.peers_disturbed_at = self.now,
            Fault::StoreOutage if self.rejected_host_group.is_none() => {
                self.last_full_store_outage = self.now
            }
            _ => {}
        }
    }

    pub(super) fn end_store_outage(&mut self) {
        self.last_store_outage = self.now;
        if self.hosts_share_store_reads() {
            return;
        }
        for host in 0..self.hosts.len() {
            self.send_event(host, 20, Event::StoreReachable(true));
            let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
            self.send_event(host, 21, Event::HostsRead(hosts));
            self.send_event(host, 21, Event::ConfigurationRead(configuration()));
            self.send_event(host, 21, self.draining_halls());
            // Some entries expired during the outage; the next read has them again.
            let mut list = self.target_entries();
            list.retain(|_| self.rng.random_bool(0.7));
            self.send_event(host, 21, Event::TargetsRead(list.into()));
            self.schedule(self.now + 1_500, SimEvent::RereadTargets(host));
        }
    }

    /// Returns `true` if halls are so large that hosts share their reads of the store.
    pub(super) fn hosts_share_store_reads(&self) -> bool {
        self.scenario.hosts_per_hall > MAX_HOSTS_WITHOUT_SHARED_READS
    }

    /// Chooses which hosts an outage of the store hits: all, or one group if hosts share reads.
    fn choose_rejected_hosts(&mut self) {
        let is_partial = self.hosts_share_store_reads() && self.rng.random();
        self.rejected_host_group = is_partial.then(|| self.rng.random_range(0..STORE_HOST_GROUPS));
    }

    /// Returns `true` if the store doesn't serve a host.
    pub(super) fn store_rejects(&self, host: usize) -> bool {
        let is_in_group = |group| host % STORE_HOST_GROUPS == group;
        self.store_outages > 0 && self.rejected_host_group.is_none_or(is_in_group)
    }

    /// Has a host read the store, unless it receives the reads of other hosts.
    pub(super) fn read_store(&mut self, host: usize) {
        self.schedule(self.now + STORE_READ_INTERVAL_MS, SimEvent::ReadStore(host));
        let host_state = &self.hosts[host];
        if !host_state.is_up || host_state.is_suspended {
            return;
        }
        let at = self.now - host_state.clock_start;
        if host_state.dispatcher.store_reading(at) == StoreReading::FromPeers {
            return;
        }
        if self.store_rejects(host) {
            return self.send_event(host, 1, Event::StoreReachable(false));
        }
        let version = self.store_version;
        self.send_event(host, 1, Event::StoreReachable(true));
        let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
        self.send_event(host, 1, Event::HostsRead(hosts));
        self.send_event(host, 1, Event::ConfigurationRead(configuration()));
        self.send_event(host, 1, self.draining_halls());
        self.send_event(host, 1, Event::TargetsRead(self.target_entries().into()));
        for table in [StoreTable::Targets, StoreTable::Configuration] {
            let answered = Event::StoreAnswered {
                table,
                version,
                age_ms: 1,
            };
            self.send_event(host, 1, answered);
        }
    }

    /// Resumes a suspended host, which handles the events that arrived meanwhile.
    pub(super) fn resume_host(&mut self, host: usize) {
        let host_state = &mut self.hosts[host];
        host_state.is_suspended = false;
        host_state.resumed_at = self.now;
        let instance = host_state.instance;
        let queued = std::mem::take(&mut host_state.deferred_events);
        for event in queued {
            self.deliver_event(host, instance, event);
        }
        self.deliver_event(host, instance, Event::Tick);
    }

    /// Kills a host's process, which breaks its callers' connections, and schedules its restart.
    pub(super) fn kill_host(&mut self, host: usize, down_ms: Millis) {
        if !self.hosts[host].is_up {
            return;
        }
        let host_state = &mut self.hosts[host];
        host_state.is_up = false;
        host_state.is_suspended = false;
        host_state.deferred_events.clear();
        host_state.waiting_peers.clear();
        let callers: Vec<usize> = host_state
            .waiting_callers
            .drain()
            .map(|(_, caller)| caller)
            .collect();
        let mut callers = callers;
        callers.sort_unstable();
        for caller in callers {
            self.connection_lost(caller);
        }
        self.schedule(self.now + down_ms, SimEvent::HostRestarts(host));
    }

    pub(super) fn restart_host(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.send_initial_state(host);
    }

    /// Crashes a target, which is replaced by one with another id after `duration_ms`.
    pub(super) fn crash_target(&mut self, index: usize, duration_ms: Millis) {
        if self.stop_target(index) {
            let id = self.targets[index].entry.id.clone();
            self.schedule(self.now + ENTRY_EXPIRY_MS, SimEvent::EntryExpires(id));
            self.schedule(self.now + duration_ms, SimEvent::ReplaceTarget(index));
        }
    }

    /// Ends a target's process and its attempts; returns `false` if it wasn't running.
    pub(super) fn stop_target(&mut self, index: usize) -> bool {
        if !self.targets[index].is_up {
            return false;
        }
        self.advance_target(index);
        let target = &mut self.targets[index];
        target.is_up = false;
        let id = target.entry.id.clone();
        let attempts: Vec<_> = target.attempts.keys().cloned().collect();
        for key in attempts {
            let outcome = gannetridge_dispatcher_core::event::ListedOutcome::Interrupted;
            self.checks.record_end(&id, &key, outcome);
            self.checks.record_crash(&key);
        }
        true
    }

    pub(super) fn replace_target(&mut self, index: usize) {
        self.targets[index] = self.new_target(index);
        self.targets[index].advance(self.now);
        let entry = self.targets[index].entry.clone();
        self.announce_target_changes(vec![TargetChange::Listed(entry)]);
    }

    pub(super) fn mark_target_leaving(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.is_up || target.entry.leaving {
            return;
        }
        target.entry.leaving = true;
        let entry = target.entry.clone();
        self.leaving_since.insert(entry.id.clone(), self.now);
        self.announce_target_changes(vec![TargetChange::Listed(entry)]);
    }

    /// Sends changes of targets to the hosts, unless the store is out or hosts share reads.
    pub(super) fn announce_target_changes(&mut self, changes: Vec<TargetChange>) {
        self.store_version += 1;
        if self.store_outages == 0 && !self.hosts_share_store_reads() {
            for host in 0..self.hosts.len() {
                self.send_event(
                    host,
                    STORE_CHANGE_DELAY_MS,
                    Event::TargetsChanged(changes.clone()),
                );
            }
        }
    }
}
