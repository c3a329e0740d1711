//! Faults that begin and end.

use gannetridge_dispatcher_core::decision::StoreReading;
use gannetridge_dispatcher_core::event::TargetChange;
use gannetridge_dispatcher_core::{Event, Millis, StoreTable};
use rand::Rng;

use crate::faults;
use crate::faults::Fault;
use crate::target::Behaviour;

use super::building::configuration;
use super::parts::Happening;
use super::{lift, World, LAPSE_MS, LARGE_HALL, NEWS_MS, READ_MS, STORE_PARTS};

impl World {
    pub(super) fn fault(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let halls = self.scenario.halls;
        let fault = faults::draw(&mut self.rng, self.hosts.len(), self.targets.len(), halls);
        let length = faults::length(&mut self.rng);
        self.begin(fault, length);
        let gap = self.rng.random_range(0..2 * self.scenario.fault_gap_ms);
        self.at(self.now + gap, Happening::Fault);
    }

    pub(super) fn begin(&mut self, fault: Fault, length: Millis) {
        let name = match fault {
            Fault::Kill(host) => {
                self.die(host, length.min(3_000));
                "kill"
            }
            Fault::KillAll => {
                for host in 0..self.hosts.len() {
                    self.die(host, length.min(1_500));
                }
                "kill all"
            }
            Fault::Freeze(host) => {
                self.hosts[host].frozen = true;
                "freeze"
            }
            Fault::Stop(host) => {
                self.tell(host, 0, Event::Stop { age_ms: 0 });
                "stop"
            }
            Fault::CutPeers(host) => {
                *self.cut_peers.entry(host).or_default() += 1;
                "cut peers"
            }
            Fault::CutTargets(host) => {
                *self.cut_targets.entry(host).or_default() += 1;
                "cut targets"
            }
            Fault::CutHall(hall) => {
                *self.cut_halls.entry(hall).or_default() += 1;
                "cut hall"
            }
            Fault::CutTarget(target) => {
                *self.cut_target.entry(target).or_default() += 1;
                "cut target"
            }
            Fault::Crash(target) => {
                self.crash(target, length);
                "crash"
            }
            Fault::Misbehave(target, behaviour) => {
                self.targets[target].behaviour = behaviour;
                "moody"
            }
            Fault::Leave(target) => {
                self.target_leaves(target);
                "leave"
            }
            Fault::Late => {
                self.late += 1;
                "late"
            }
            Fault::LostAnswers => {
                self.lost_answers += 1;
                "lost answers"
            }
            Fault::LossyPeers => {
                self.lossy_peers += 1;
                "lossy peers"
            }
            Fault::StoreOut => {
                self.store_out += 1;
                self.store_troubled = self.now;
                self.draw_turned_away();
                for host in 0..self.hosts.len() {
                    if self.is_turned_away(host) {
                        self.tell(host, 20, Event::StoreReachable(false));
                    }
                }
                "store out"
            }
        };
        *self.outcome.faults.entry(name).or_default() += 1;
        if self.scenario.verbose {
            println!("{:6} fault {fault:?} for {length} ms", self.now);
        }
        self.at(self.now + length, Happening::Over(fault));
    }

    pub(super) fn over(&mut self, fault: Fault) {
        self.note_trouble(fault);
        match fault {
            Fault::Freeze(host) => self.wake(host),
            Fault::CutPeers(host) => lift(&mut self.cut_peers, host),
            Fault::CutTargets(host) => lift(&mut self.cut_targets, host),
            Fault::CutHall(hall) => lift(&mut self.cut_halls, hall),
            Fault::CutTarget(target) => lift(&mut self.cut_target, target),
            Fault::Misbehave(target, _) => self.targets[target].behaviour = Behaviour::Normal,
            Fault::Late => self.late -= 1,
            Fault::LostAnswers => self.lost_answers -= 1,
            Fault::LossyPeers => self.lossy_peers -= 1,
            Fault::StoreOut => {
                self.store_out -= 1;
                if self.store_out == 0 {
                    self.store_back();
                }
            }
            _ => {}
        }
    }

    /// Notes the end of what keeps hosts from hearing of the store.
    fn note_trouble(&mut self, fault: Fault) {
        match fault {
            Fault::CutPeers(host) | Fault::CutTargets(host) | Fault::Freeze(host) => {
                self.host_troubled[host] = self.now;
            }
            Fault::CutHall(hall) => self.hall_troubled[hall] = self.now,
            Fault::LossyPeers => self.peers_troubled = self.now,
            Fault::StoreOut if self.turned_away.is_none() => self.store_out_for_all = self.now,
            _ => {}
        }
    }

    pub(super) fn store_back(&mut self) {
        self.store_troubled = self.now;
        if self.hosts_tell_each_other() {
            return;
        }
        for host in 0..self.hosts.len() {
            self.tell(host, 20, Event::StoreReachable(true));
            let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
            self.tell(host, 21, Event::HostsRead(hosts));
            self.tell(host, 21, Event::ConfigurationRead(configuration()));
            self.tell(host, 21, self.draining_halls());
            // Some entries lapsed meanwhile, and are back soon.
            let mut list = self.list();
            list.retain(|_| self.rng.random_bool(0.7));
            self.tell(host, 21, Event::TargetsRead(list.into()));
            self.at(self.now + 1_500, Happening::ReadAgain(host));
        }
    }

    /// Returns whether halls are so large that hosts tell each other what the store holds.
    pub(super) fn hosts_tell_each_other(&self) -> bool {
        self.scenario.hosts_per_hall > LARGE_HALL
    }

    /// Draws which hosts the store turns away while it is out: all, or a part of those that
    /// tell each other what it holds.
    fn draw_turned_away(&mut self) {
        let some = self.hosts_tell_each_other() && self.rng.random();
        self.turned_away = some.then(|| self.rng.random_range(0..STORE_PARTS));
    }

    /// Returns whether the store doesn't serve a host.
    pub(super) fn is_turned_away(&self, host: usize) -> bool {
        let struck = |part| host % STORE_PARTS == part;
        self.store_out > 0 && self.turned_away.is_none_or(struck)
    }

    /// Lets a host read the store, unless others tell it.
    pub(super) fn read_store(&mut self, host: usize) {
        self.at(self.now + READ_MS, Happening::Read(host));
        let there = &self.hosts[host];
        if !there.is_up || there.frozen {
            return;
        }
        let at = self.now - there.base;
        if there.dispatcher.store_reading(at) == StoreReading::FromPeers {
            return;
        }
        if self.is_turned_away(host) {
            return self.tell(host, 1, Event::StoreReachable(false));
        }
        let version = self.store_version;
        self.tell(host, 1, Event::StoreReachable(true));
        let hosts = self.hosts.iter().map(|host| host.info.clone()).collect();
        self.tell(host, 1, Event::HostsRead(hosts));
        self.tell(host, 1, Event::ConfigurationRead(configuration()));
        self.tell(host, 1, self.draining_halls());
        self.tell(host, 1, Event::TargetsRead(self.list().into()));
        for table in [StoreTable::Targets, StoreTable::Configuration] {
            let answered = Event::StoreAnswered {
                table,
                version,
                age_ms: 1,
            };
            self.tell(host, 1, answered);
        }
    }

    pub(super) fn wake(&mut self, host: usize) {
        let there = &mut self.hosts[host];
        there.frozen = false;
        there.woke = self.now;
        let life = there.life;
        let queued = std::mem::take(&mut there.queue);
        for event in queued {
            self.give(host, life, event);
        }
        self.give(host, life, Event::Tick);
    }

    pub(super) fn die(&mut self, host: usize, down_ms: Millis) {
        if !self.hosts[host].is_up {
            return;
        }
        let there = &mut self.hosts[host];
        there.is_up = false;
        there.frozen = false;
        there.queue.clear();
        there.peers.clear();
        let callers: Vec<usize> = there.callers.drain().map(|(_, caller)| caller).collect();
        let mut callers = callers;
        callers.sort_unstable();
        for caller in callers {
            self.broken(caller);
        }
        self.at(self.now + down_ms, Happening::Restart(host));
    }

    pub(super) fn restart(&mut self, host: usize) {
        self.hosts[host] = self.new_host(host);
        self.welcome(host);
    }

    pub(super) fn crash(&mut self, index: usize, length: Millis) {
        if self.stop_target(index) {
            let id = self.targets[index].entry.id.clone();
            self.at(self.now + LAPSE_MS, Happening::Lapse(id));
            self.at(self.now + length, Happening::NewTarget(index));
        }
    }

    /// Ends a target's process with all that runs there; returns false if there is none.
    pub(super) fn stop_target(&mut self, index: usize) -> bool {
        if !self.targets[index].is_up {
            return false;
        }
        self.advance(index);
        let target = &mut self.targets[index];
        target.is_up = false;
        let id = target.entry.id.clone();
        let keys: Vec<_> = target.attempts.keys().cloned().collect();
        for key in keys {
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
        self.news(vec![TargetChange::Listed(entry)]);
    }

    pub(super) fn target_leaves(&mut self, index: usize) {
        let target = &mut self.targets[index];
        if !target.is_up || target.entry.leaving {
            return;
        }
        target.entry.leaving = true;
        let entry = target.entry.clone();
        self.leaving_since.insert(entry.id.clone(), self.now);
        self.news(vec![TargetChange::Listed(entry)]);
    }

    pub(super) fn news(&mut self, changes: Vec<TargetChange>) {
        self.store_version += 1;
        if self.store_out == 0 && !self.hosts_tell_each_other() {
            for host in 0..self.hosts.len() {
                self.tell(host, NEWS_MS, Event::TargetsChanged(changes.clone()));
            }
        }
    }
}
