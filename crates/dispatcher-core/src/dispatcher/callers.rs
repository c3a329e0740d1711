//! What callers ask of a host.

use super::*;

impl Dispatcher {
    pub(super) fn answer(&mut self, request_id: RequestId, answer: Answer) {
        self.out.push(Action::Answer { request_id, answer });
    }

    pub(super) fn reject(
        &mut self,
        request_id: RequestId,
        path: &Name,
        answer: Answer,
        reason: &'static str,
    ) {
        self.out.push(Action::Record(Decision::JobRejected {
            path: path.clone(),
            reason,
            version: self.version(),
        }));
        self.answer(request_id, answer);
    }

    pub(super) fn submit(&mut self, now: Millis, request_id: RequestId, submit: Submit) {
        let path = submit.path.clone();
        let Some(queues) = &self.queues else {
            return self.reject(request_id, &path, Answer::NotReady, "no configuration");
        };
        let Some(queue) = queues.find(&submit.host, &path).cloned() else {
            return self.reject(request_id, &path, Answer::NoQueue, "no such queue");
        };
        let id: Name = path[queue.prefix.len()..].into();
        let checked = check_id(&id).and_then(|()| submit.spec.check());
        if let Err(error) = checked {
            return self.reject(request_id, &path, Answer::Bad(error), "bad job");
        }
        if self.jobs.state(&id).is_none()
            && self.ends_before(now, queue.latency_objective(submit.spec.chain_ms()))
        {
            let answer = Answer::Refused {
                retry_after_ms: self.settings.bounds.grace_period_ms,
            };
            return self.reject(request_id, &path, answer, "stopping");
        }
        let version = self.version();
        self.jobs
            .submit(now, request_id, id.clone(), submit, &queue, version);
        self.refuse_if_too_large(now, &id);
    }

    /// Ends a job that no known target could ever run.
    pub(super) fn refuse_if_too_large(&mut self, now: Millis, id: &Name) {
        if self.targets.counts().0 == 0 {
            return;
        }
        let mut steps = self.jobs.samples(id).into_iter();
        let too_large = steps.any(|order| !self.targets.could_run(&order));
        if too_large {
            self.jobs.too_large(now, id);
        }
    }

    /// Tells whether the host, if it is stopping, ends before a job of this
    /// aim does.
    pub(super) fn ends_before(&self, now: Millis, latency_objective: Millis) -> bool {
        let grace = self.settings.bounds.grace_period_ms;
        let last = self.stopping.map(|since| since + grace - LAST_WORD_MS);
        last.is_some_and(|last| now + latency_objective >= last)
    }

    pub(super) fn ask(&mut self, request_id: RequestId, host: &Name, path: &Name) {
        let Some(queues) = &self.queues else {
            return self.answer(request_id, Answer::NotReady);
        };
        let Some(queue) = queues.find(host, path) else {
            return self.answer(request_id, Answer::NoQueue);
        };
        let id: Name = path[queue.prefix.len()..].into();
        let answer = if id.is_empty() {
            Answer::Pending(self.jobs.pending(&queue.name))
        } else {
            self.jobs.state(&id).unwrap_or(Answer::NoJob)
        };
        self.answer(request_id, answer);
    }

    pub(super) fn cancel(&mut self, now: Millis, request_id: RequestId, host: &Name, path: &Name) {
        let Some(queues) = &self.queues else {
            return self.answer(request_id, Answer::NotReady);
        };
        let Some(queue) = queues.find(host, path) else {
            return self.answer(request_id, Answer::NoQueue);
        };
        let id: Name = path[queue.prefix.len()..].into();
        let known = self.jobs.cancel(now, &id);
        let answer = if known {
            Answer::Cancelled
        } else {
            Answer::NoJob
        };
        self.answer(request_id, answer);
    }
}
