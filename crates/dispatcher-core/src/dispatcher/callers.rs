//! What callers ask of a host.

use super::*;

impl Dispatcher {
    pub(super) fn answer(&mut self, token: Token, answer: Answer) {
        self.out.push(Action::Answer { token, answer });
    }

    pub(super) fn reject(
        &mut self,
        token: Token,
        path: &Name,
        answer: Answer,
        reason: &'static str,
    ) {
        self.out.push(Action::Note(Note::JobRejected {
            path: path.clone(),
            reason,
            version: self.version(),
        }));
        self.answer(token, answer);
    }

    pub(super) fn submit(&mut self, now: Millis, token: Token, submit: Submit) {
        let path = submit.path.clone();
        let Some(queues) = &self.queues else {
            return self.reject(token, &path, Answer::NotReady, "no configuration");
        };
        let Some(queue) = queues.find(&submit.host, &path).cloned() else {
            return self.reject(token, &path, Answer::NoQueue, "no such queue");
        };
        let id: Name = path[queue.prefix.len()..].into();
        let checked = check_id(&id).and_then(|()| submit.spec.check());
        if let Err(error) = checked {
            return self.reject(token, &path, Answer::Bad(error), "bad job");
        }
        if self.jobs.state(&id).is_none()
            && self.ends_before(now, queue.aim(submit.spec.chain_ms()))
        {
            let answer = Answer::Refused {
                retry_after_ms: self.settings.bounds.grace_period_ms,
            };
            return self.reject(token, &path, answer, "stopping");
        }
        let version = self.version();
        self.jobs
            .submit(now, token, id.clone(), submit, &queue, version);
        self.refuse_if_too_large(now, &id);
    }

    /// Ends a job that no known target could ever run.
    pub(super) fn refuse_if_too_large(&mut self, now: Millis, id: &Name) {
        if self.keeper.counts().0 == 0 {
            return;
        }
        let mut steps = self.jobs.samples(id).into_iter();
        let too_large = steps.any(|order| !self.keeper.could_run(&order));
        if too_large {
            self.jobs.too_large(now, id);
        }
    }

    /// Tells whether the host, if it is stopping, ends before a job of this
    /// aim does.
    pub(super) fn ends_before(&self, now: Millis, aim: Millis) -> bool {
        let grace = self.settings.bounds.grace_period_ms;
        let last = self.stopping.map(|since| since + grace - LAST_WORD_MS);
        last.is_some_and(|last| now + aim >= last)
    }

    pub(super) fn ask(&mut self, token: Token, host: &Name, path: &Name) {
        let Some(queues) = &self.queues else {
            return self.answer(token, Answer::NotReady);
        };
        let Some(queue) = queues.find(host, path) else {
            return self.answer(token, Answer::NoQueue);
        };
        let id: Name = path[queue.prefix.len()..].into();
        let answer = if id.is_empty() {
            Answer::Pending(self.jobs.pending(&queue.name))
        } else {
            self.jobs.state(&id).unwrap_or(Answer::NoJob)
        };
        self.answer(token, answer);
    }

    pub(super) fn cancel(&mut self, now: Millis, token: Token, host: &Name, path: &Name) {
        let Some(queues) = &self.queues else {
            return self.answer(token, Answer::NotReady);
        };
        let Some(queue) = queues.find(host, path) else {
            return self.answer(token, Answer::NoQueue);
        };
        let id: Name = path[queue.prefix.len()..].into();
        let known = self.jobs.cancel(now, &id);
        let answer = if known {
            Answer::Cancelled
        } else {
            Answer::NoJob
        };
        self.answer(token, answer);
    }
}
