//! Callers' attempts to submit jobs, sent to hosts through a load balancer.

use gannetridge_entry_core::Event;
use gannetridge_entry_wire::Submission;
use rand::Rng;

use crate::callers::{AttemptState, RequestId};
use crate::hosts::{ProcessState, Requester};
use crate::load::MIN_RESEND_MS;
use crate::world::{SimEvent, World};

/// Largest number of attempts for one job.
const MAX_ATTEMPTS: usize = 12;

impl World {
    /// Chooses a random host that is neither stopped nor shutting down, or returns `None`
    /// if there is none.
    fn choose_host(&mut self) -> Option<usize> {
        let is_serving =
            |w: &Self, i: usize| w.hosts[i].state != ProcessState::Stopped && !w.hosts[i].stopping;
        for _ in 0..8 {
            let index = self.rng.random_range(0..self.hosts.len());
            if is_serving(self, index) {
                return Some(index);
            }
        }
        (0..self.hosts.len()).find(|i| is_serving(self, *i))
    }

    pub(crate) fn send_attempt(&mut self, index: usize, conflicting: bool) {
        let job = &mut self.callers.jobs[index];
        if job.given_up || job.attempts.len() >= MAX_ATTEMPTS {
            return;
        }
        let attempt = job.attempts.len();
        let mut submission = if conflicting {
            let mut other = job.submission.clone();
            other.tasks[0].input = format!("{} other", other.tasks[0].input);
            job.conflicting.get_or_insert(other).clone()
        } else {
            job.submission.clone()
        };
        submission.attempt = attempt as u32;
        job.attempts.push((AttemptState::Open, conflicting));
        job.attempt_times.push(self.now);
        let request = RequestId {
            job: index,
            attempt,
        };
        let Some(host) = self.choose_host() else {
            // Nothing was sent, as the balancer has no host: withdraws the attempt.
            self.callers.jobs[index].attempts.pop();
            self.callers.jobs[index].attempt_times.pop();
            let us = MIN_RESEND_MS * 1_000;
            return self.schedule(
                us,
                SimEvent::CallerSend {
                    job: index,
                    conflicting,
                },
            );
        };
        let (least, most) = self.scenario.caller_behaviour.timeout_range_ms;
        let patience_us = self.rng.random_range(least..=most) * 1_000;
        self.schedule(patience_us, SimEvent::CallerTimeout(request));
        self.send_to_host(host, request, submission);
    }

    fn send_to_host(&mut self, host: usize, request: RequestId, submission: Submission) {
        let token = self.hosts[host].register_request(Requester::Caller(request));
        let process = self.hosts[host].process_id(host);
        let event = Box::new(Event::Submit { token, submission });
        let delay = self.sample_delay(self.scenario.delays.caller_us);
        self.schedule(delay, SimEvent::Deliver(process, event));
    }

    pub(crate) fn on_caller_timeout(&mut self, request: RequestId) {
        let job = &mut self.callers.jobs[request.job];
        let (attempt, conflicting) = job.attempts[request.attempt];
        if attempt != AttemptState::Open {
            return;
        }
        job.attempts[request.attempt].0 = AttemptState::Abandoned;
        if job.answer.is_none() && !conflicting {
            self.send_attempt(request.job, false);
        }
    }

    pub(crate) fn schedule_retry(&mut self, job: usize, wait_ms: u64) {
        let us = wait_ms.max(MIN_RESEND_MS) * 1_000;
        self.schedule(
            us,
            SimEvent::CallerSend {
                job,
                conflicting: false,
            },
        );
    }
}
