//! The life cycle of host processes: delivery of events, suspension, kill, restart and
//! graceful shutdown.

use gannetridge_entry_core::{Event, SendFailure};
use rand::Rng;

use crate::checks::Violation;
use crate::hosts::{add_offset, ProcessId, ProcessState, Requester};
use crate::world::{SimEvent, World};

impl World {
    pub(crate) fn is_current(&self, process: ProcessId) -> bool {
        let host = &self.hosts[process.host];
        host.incarnation == process.incarnation && host.state != ProcessState::Stopped
    }

    /// Hands an event to a host's core. A suspended host gets it when it resumes; an ended
    /// process never does.
    pub(crate) fn deliver(&mut self, process: ProcessId, event: Event) {
        if !self.is_current(process) {
            return;
        }
        let host = &mut self.hosts[process.host];
        if let ProcessState::Paused(_) = host.state {
            host.inbox.push_back(event);
            return;
        }
        if let Event::Submit { token, .. } = &event {
            host.read_requests.insert(*token);
        }
        let now = host.clock(self.now);
        let actions = host.core.handle(now, event);
        if let Some(us) = host.pause_next_us.take_if(|_| !actions.is_empty()) {
            host.delayed_actions = actions;
            host.state = ProcessState::Paused(self.now.plus_micros(us));
            self.schedule(us, SimEvent::Resume(process.host));
            return;
        }
        self.perform_all(process, actions);
        self.schedule_tick(process.host);
    }

    pub(crate) fn schedule_tick(&mut self, index: usize) {
        let host = &self.hosts[index];
        let Some(next) = host.core.next_timer() else {
            return;
        };
        let at = add_offset(next, -host.offset_us).max(self.now);
        if host.next_tick.is_some_and(|planned| planned <= at) {
            return;
        }
        let process = host.process_id(index);
        self.hosts[index].next_tick = Some(at);
        self.schedule(at.micros_since(self.now), SimEvent::Tick(process));
    }

    pub(crate) fn resume(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let ProcessState::Paused(until) = host.state else {
            return;
        };
        if until > self.now {
            return;
        }
        host.state = ProcessState::Running;
        let process = host.process_id(index);
        let delayed = std::mem::take(&mut host.delayed_actions);
        self.perform_all(process, delayed);
        // Queued events are delivered in order of arrival, 1 µs apart.
        let inbox = std::mem::take(&mut self.hosts[index].inbox);
        for (n, event) in inbox.into_iter().enumerate() {
            self.schedule(n as u64, SimEvent::Deliver(process, Box::new(event)));
        }
        self.hosts[index].next_tick = None;
        self.schedule_tick(index);
    }

    /// Ends a host's process. Its open connections break, and it restarts after `back_us`.
    pub(crate) fn kill(&mut self, index: usize, back_us: u64) {
        let host = &mut self.hosts[index];
        if host.state == ProcessState::Stopped {
            return;
        }
        host.state = ProcessState::Stopped;
        host.inbox.clear();
        host.delayed_actions.clear();
        host.open_calls.clear();
        host.read_requests.clear();
        let requesters = std::mem::take(&mut host.requesters);
        let mut requesters: Vec<_> = requesters.into_iter().collect();
        requesters.sort_by_key(|(token, _)| *token);
        for (_, requester) in requesters {
            match requester {
                Requester::Caller(request) => {
                    let delay = self.scenario.delays.caller_us;
                    self.schedule(delay, SimEvent::CallerAnswer(request, None));
                }
                Requester::Peer(Some(call)) => {
                    let reply = Box::new(Err(SendFailure::Unknown));
                    self.schedule(
                        self.scenario.delays.within_hall_us,
                        SimEvent::PeerReply(call, reply),
                    );
                }
                Requester::Peer(None) => {}
                Requester::Operator(change) => {
                    self.schedule(0, SimEvent::OperatorAnswer(change, None))
                }
            }
        }
        self.schedule(back_us, SimEvent::Restart(index));
    }

    pub(crate) fn restart(&mut self, index: usize) {
        if self.hosts[index].state != ProcessState::Stopped {
            return;
        }
        let (name, address, hall, offset_us) = {
            let h = &self.hosts[index];
            (h.name.clone(), h.address.clone(), h.hall, h.offset_us)
        };
        let core = self.new_core(&name, &address, hall, offset_us);
        let host = &mut self.hosts[index];
        host.core = core;
        host.incarnation += 1;
        host.state = ProcessState::Running;
        host.stopping = false;
        host.pause_next_us = None;
        host.next_tick = None;
        host.config_version = 0;
        self.schedule_tick(index);
    }

    pub(crate) fn on_stopped(&mut self, process: ProcessId) {
        // Only requests that the host has read need an answer. For the others the
        // connection breaks, and the caller sends them again.
        let host = &self.hosts[process.host];
        let waiting = host
            .requesters
            .iter()
            .filter(|(token, _)| host.read_requests.contains(token));
        let unanswered = waiting
            .filter(|(_, a)| matches!(a, Requester::Caller(_)))
            .count();
        if unanswered > 0 {
            let name = &self.hosts[process.host].name;
            let text = format!("{name}: {unanswered} callers");
            self.checks
                .record_violation(Violation::UnansweredAtStop(text));
        }
        let back_us = self.rng.random_range(200_000..2_000_000);
        self.kill(process.host, back_us);
    }
}
