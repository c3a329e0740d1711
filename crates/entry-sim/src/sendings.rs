//! Callers' sendings, on their way to a host by way of a balancer.

use gannetridge_entry_core::Event;
use gannetridge_entry_wire::Submission;
use rand::Rng;

use crate::callers::{RequestId, Sending};
use crate::hosts::{Asker, Pulse};
use crate::load::LEAST_RESEND_MS;
use crate::world::{Ev, World};

/// Most times that a caller sends a job. Chosen, not measured.
const MOST_SENDINGS: usize = 12;

impl World {
    /// Chooses an entry host, as a balancer does that learns late of deaths.
    fn balance(&mut self) -> Option<usize> {
        let open = |w: &Self, i: usize| w.hosts[i].pulse != Pulse::Dead && !w.hosts[i].stopping;
        for _ in 0..8 {
            let index = self.rng.random_range(0..self.hosts.len());
            if open(self, index) {
                return Some(index);
            }
        }
        (0..self.hosts.len()).find(|i| open(self, *i))
    }

    pub(crate) fn caller_send(&mut self, index: usize, clash: bool) {
        let job = &mut self.callers.jobs[index];
        if job.given_up || job.sendings.len() >= MOST_SENDINGS {
            return;
        }
        let sending = job.sendings.len();
        let mut submission = if clash {
            let mut other = job.submission.clone();
            other.tasks[0].input = format!("{} other", other.tasks[0].input);
            job.clash.get_or_insert(other).clone()
        } else {
            job.submission.clone()
        };
        submission.attempt = sending as u32;
        job.sendings.push((Sending::Open, clash));
        job.sent_at.push(self.now);
        let request = RequestId {
            job: index,
            sending,
        };
        let Some(host) = self.balance() else {
            // Nothing was sent: the balancer has no host.
            self.callers.jobs[index].sendings.pop();
            self.callers.jobs[index].sent_at.pop();
            let us = LEAST_RESEND_MS * 1_000;
            return self.at(us, Ev::CallerSend { job: index, clash });
        };
        let (least, most) = self.scenario.manners.patience_ms;
        let patience_us = self.rng.random_range(least..=most) * 1_000;
        self.at(patience_us, Ev::CallerTimeout(request));
        self.send_to_host(host, request, submission);
    }

    fn send_to_host(&mut self, host: usize, request: RequestId, submission: Submission) {
        let token = self.hosts[host].token(Asker::Caller(request));
        let run = self.hosts[host].run_of(host);
        let event = Box::new(Event::Submit { token, submission });
        let delay = self.delay(self.scenario.delays.caller);
        self.at(delay, Ev::Deliver(run, event));
    }

    pub(crate) fn caller_timeout(&mut self, request: RequestId) {
        let job = &mut self.callers.jobs[request.job];
        let (sending, clash) = job.sendings[request.sending];
        if sending != Sending::Open {
            return;
        }
        job.sendings[request.sending].0 = Sending::Forgotten;
        if job.answer.is_none() && !clash {
            self.caller_send(request.job, false);
        }
    }

    pub(crate) fn send_again(&mut self, job: usize, wait_ms: u64) {
        let us = wait_ms.max(LEAST_RESEND_MS) * 1_000;
        self.at(us, Ev::CallerSend { job, clash: false });
    }
}
