//! Hosts' processes: events come in, and they pause, die, start again and
//! stop.

use gannetridge_entry_core::{Event, SendFailure};
use rand::Rng;

use crate::checks::Violation;
use crate::hosts::{shift, Asker, Pulse, RunOf};
use crate::world::{Ev, World};

impl World {
    pub(crate) fn is_run(&self, run: RunOf) -> bool {
        let host = &self.hosts[run.host];
        host.run == run.run && host.pulse != Pulse::Dead
    }

    /// Hands an event to a host, unless it is paused or gone.
    pub(crate) fn deliver(&mut self, run: RunOf, event: Event) {
        if !self.is_run(run) {
            return;
        }
        let host = &mut self.hosts[run.host];
        if let Pulse::Frozen(_) = host.pulse {
            host.inbox.push_back(event);
            return;
        }
        if let Event::Submit { token, .. } = &event {
            host.read.insert(*token);
        }
        let now = host.clock(self.now);
        let actions = host.core.handle(now, event);
        if let Some(us) = host.freeze_next_us.take_if(|_| !actions.is_empty()) {
            host.held = actions;
            host.pulse = Pulse::Frozen(self.now.plus_micros(us));
            self.at(us, Ev::Thaw(run.host));
            return;
        }
        self.perform_all(run, actions);
        self.plan_tick(run.host);
    }

    pub(crate) fn plan_tick(&mut self, index: usize) {
        let host = &self.hosts[index];
        let Some(next) = host.core.next_timer() else {
            return;
        };
        let at = shift(next, -host.offset_us).max(self.now);
        if host.tick_at.is_some_and(|planned| planned <= at) {
            return;
        }
        let run = host.run_of(index);
        self.hosts[index].tick_at = Some(at);
        self.at(at.micros_since(self.now), Ev::Tick(run));
    }

    pub(crate) fn thaw(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let Pulse::Frozen(until) = host.pulse else {
            return;
        };
        if until > self.now {
            return;
        }
        host.pulse = Pulse::Runs;
        let run = host.run_of(index);
        let held = std::mem::take(&mut host.held);
        self.perform_all(run, held);
        // What came meanwhile is taken in turn, a little later each.
        let inbox = std::mem::take(&mut self.hosts[index].inbox);
        for (n, event) in inbox.into_iter().enumerate() {
            self.at(n as u64, Ev::Deliver(run, Box::new(event)));
        }
        self.hosts[index].tick_at = None;
        self.plan_tick(index);
    }

    /// Ends a host's process: what waits for it finds its connections broken.
    pub(crate) fn kill(&mut self, index: usize, back_us: u64) {
        let host = &mut self.hosts[index];
        if host.pulse == Pulse::Dead {
            return;
        }
        host.pulse = Pulse::Dead;
        host.inbox.clear();
        host.held.clear();
        host.open.clear();
        host.read.clear();
        let askers = std::mem::take(&mut host.askers);
        let mut askers: Vec<_> = askers.into_iter().collect();
        askers.sort_by_key(|(token, _)| *token);
        for (_, asker) in askers {
            match asker {
                Asker::Caller(request) => {
                    let delay = self.scenario.delays.caller;
                    self.at(delay, Ev::CallerAnswer(request, None));
                }
                Asker::Peer(Some(call)) => {
                    let reply = Box::new(Err(SendFailure::Unknown));
                    self.at(self.scenario.delays.near, Ev::PeerReply(call, reply));
                }
                Asker::Peer(None) => {}
                Asker::Operator(change) => self.at(0, Ev::OperatorAnswer(change, None)),
            }
        }
        self.at(back_us, Ev::Restart(index));
    }

    pub(crate) fn restart(&mut self, index: usize) {
        if self.hosts[index].pulse != Pulse::Dead {
            return;
        }
        let (name, address, hall, offset_us) = {
            let h = &self.hosts[index];
            (h.name.clone(), h.address.clone(), h.hall, h.offset_us)
        };
        let core = self.core(&name, &address, hall, offset_us);
        let host = &mut self.hosts[index];
        host.core = core;
        host.run += 1;
        host.pulse = Pulse::Runs;
        host.stopping = false;
        host.freeze_next_us = None;
        host.tick_at = None;
        host.config_version = 0;
        self.plan_tick(index);
    }

    pub(crate) fn stopped(&mut self, run: RunOf) {
        // What came too late to be read breaks with the connection, and is
        // sent again.
        let host = &self.hosts[run.host];
        let waiting = host
            .askers
            .iter()
            .filter(|(token, _)| host.read.contains(token));
        let cut_off = waiting
            .filter(|(_, a)| matches!(a, Asker::Caller(_)))
            .count();
        if cut_off > 0 {
            let name = &self.hosts[run.host].name;
            let text = format!("{name}: {cut_off} callers");
            self.checks.violated(Violation::CutOffByStop(text));
        }
        let back_us = self.rng.random_range(200_000..2_000_000);
        self.kill(run.host, back_us);
    }
}
