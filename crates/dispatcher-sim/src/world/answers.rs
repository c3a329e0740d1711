//! Callers that submit, wait, leave and come again.

use gannetridge_dispatcher_core::{Answer, Event, Millis, RequestId};
use rand::Rng;

use crate::callers::Caller;

use super::parts::Happening;
use super::{World, HURRY_MS, MAX_ATTEMPTS, PROBES};

impl World {
    pub(super) fn new_job(&mut self) {
        if self.now >= self.scenario.load_ms {
            return;
        }
        let number = self.callers.len() as u64;
        let caller = Caller::draw(&mut self.rng, number, self.now);
        let step = &caller.spec.steps[0];
        let work = (step.resources, step.estimate_ms);
        self.resources.insert(caller.id.clone(), work);
        let index = self.callers.len();
        self.at(caller.until, Happening::Deadline(index));
        if self.rng.random_bool(0.1) {
            let after = self.rng.random_range(10..600);
            self.at(self.now + after, Happening::Leave(index));
        }
        self.callers.push(caller);
        self.outcome.jobs += 1;
        self.at(self.now, Happening::Try(index));
        let gap = 1_000.0 / self.scenario.jobs_per_s;
        let gap = self.rng.random_range(0.0..2.0 * gap) as Millis;
        self.at(self.now + gap.max(1), Happening::NewJob);
    }

    /// Asks one host for a short job, when all should serve.
    pub(super) fn probe(&mut self, host: usize) {
        let number = self.callers.len() as u64;
        let caller = Caller::probe(&mut self.rng, host, number, self.now);
        let step = &caller.spec.steps[0];
        self.resources
            .insert(caller.id.clone(), (step.resources, step.estimate_ms));
        let index = self.callers.len();
        self.at(caller.until, Happening::Deadline(index));
        self.callers.push(caller);
        self.at(self.now, Happening::Try(index));
    }

    /// Hosts that can reach a target have to complete most of their probes.
    pub(super) fn check_recovery(&mut self) {
        for host in 0..self.hosts.len() {
            let callers = self.callers.iter();
            let probes = callers.filter(|caller| caller.probes == Some(host));
            let served = probes.filter(|caller| caller.served).count() as u64;
            if served * 2 < PROBES {
                let name = self.hosts[host].info.name.clone();
                self.checks.record_no_recovery(self.now, &name);
            }
        }
    }

    pub(super) fn try_at(&mut self, index: usize) {
        let caller = &self.callers[index];
        if caller.over || caller.until <= self.now {
            return;
        }
        let any = self.rng.random_range(0..self.hosts.len());
        let host = self.callers[index].probes.unwrap_or(any);
        if !self.hosts[host].is_up {
            self.come_again(index);
            return;
        }
        self.request_ids += 1;
        let request_id = self.request_ids;
        let submit = self.callers[index].submit(self.now);
        self.callers[index].waits_at = Some((host, request_id));
        self.callers[index].tried = self.now;
        let there = &mut self.hosts[host];
        there.callers.insert(request_id, index);
        let life = there.life;
        let request_id = RequestId(request_id);
        self.give(host, life, Event::Submit { request_id, submit });
    }

    pub(super) fn come_again(&mut self, index: usize) {
        let again = self.now + self.scenario.bounds.retransmit_ms;
        self.at(again, Happening::Try(index));
    }

    pub(super) fn answer(&mut self, host: usize, request_id: u64, answer: &Answer) {
        let Some(index) = self.hosts[host].callers.remove(&request_id) else {
            return;
        };
        self.callers[index].waits_at = None;
        if self.callers[index].over {
            return;
        }
        let (id, tasks) = (self.callers[index].id.clone(), self.callers[index].tasks);
        let seen = Some(answer);
        self.checks
            .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, seen);
        let kind = match answer {
            Answer::Completed => "completed",
            Answer::Failed => "failed",
            Answer::Refused { .. } => "refused",
            Answer::NotReady => "not ready",
            Answer::Unfinished => "unfinished",
            _ => "other",
        };
        *self.outcome.answers.entry(kind).or_default() += 1;
        self.callers[index].served = *answer == Answer::Completed;
        if *answer == Answer::Unfinished {
            self.come_again(index);
        } else {
            self.callers[index].over = true;
        }
    }

    /// A caller's connection broke without an answer.
    pub(super) fn broken(&mut self, index: usize) {
        self.callers[index].waits_at = None;
        if !self.callers[index].over {
            let (id, tasks) = (self.callers[index].id.clone(), self.callers[index].tasks);
            self.checks
                .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.come_again(index);
        }
    }

    pub(super) fn deadline(&mut self, index: usize) {
        let caller = &mut self.callers[index];
        if let (false, Some((host, request_id))) = (caller.over, caller.waits_at) {
            let (id, tasks) = (caller.id.clone(), caller.tasks);
            // A host that stood still meanwhile may be late, and a try in the
            // last moment has no time for an answer.
            let there = &self.hosts[host];
            let frozen = there.frozen || there.woke >= self.callers[index].tried;
            let hurried = self.callers[index].tried + HURRY_MS > self.now;
            if !frozen && !hurried {
                self.checks.record_missed_deadline(self.now, &id);
            }
            self.checks
                .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.gone(index, host, request_id);
        }
        self.callers[index].over = true;
    }

    pub(super) fn leave(&mut self, index: usize) {
        let caller = &self.callers[index];
        if let (false, Some((host, request_id))) = (caller.over, caller.waits_at) {
            let (id, tasks) = (caller.id.clone(), caller.tasks);
            self.checks
                .record_answer(self.now, &id, tasks, MAX_ATTEMPTS, None);
            self.gone(index, host, request_id);
        }
        self.callers[index].over = true;
    }

    pub(super) fn gone(&mut self, index: usize, host: usize, request_id: u64) {
        self.callers[index].over = true;
        self.callers[index].waits_at = None;
        self.hosts[host].callers.remove(&request_id);
        let request_id = RequestId(request_id);
        self.tell(host, 1, Event::CallerGone { request_id });
    }
}
