//! How jobs end.

use super::*;

impl Jobs {
    /// Does what is due.
    pub fn tick(&mut self, now: Millis) {
        self.ended.retain(|_, (_, until)| *until > now);
        self.next_attempts.retain(|_, (_, until)| *until > now);
        let due = self.jobs.iter().filter(|(_, job)| job.next_look <= now);
        let due: Vec<Name> = due.map(|(id, _)| id.clone()).collect();
        for id in due {
            self.look_at(now, &id);
        }
    }

    /// Does what is due for one job.
    fn look_at(&mut self, now: Millis, id: &Name) {
        let job = self.jobs.get_mut(id).expect("the job was found");
        for task in &mut job.tasks {
            if matches!(task.state, TaskState::Lost(over) if over <= now) {
                task.attempt += 1;
                task.state = TaskState::Waiting;
            }
        }
        if let Some(cause) = due_end(now, job) {
            return self.end(now, id, cause);
        }
        job.next_look = job.next_due();
        self.rank(now, id);
    }

    /// Ends all jobs, since the host does.
    pub fn end_all(&mut self, now: Millis) {
        let ids: Vec<Name> = self.jobs.keys().cloned().collect();
        for id in ids {
            self.end(now, &id, Cause::Stopping);
        }
    }

    /// Ends a job of which a task fits no target.
    pub fn too_large(&mut self, now: Millis, id: &Name) {
        self.end(now, id, Cause::TooLarge);
    }

    pub(super) fn end(&mut self, now: Millis, id: &Name, cause: Cause) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        if let Some(ready) = &job.ready {
            self.ready.remove(ready);
        }
        self.stop_attempts(id, &job);
        let took_ms = now.saturating_sub(job.taken);
        let answer = match cause {
            Cause::Done => Answer::Completed,
            Cause::Cancelled => Answer::Cancelled,
            Cause::Attempts => Answer::Failed,
            _ if !job.may_have_begun() || !self.safeguards.begun_is_not_refused => {
                Answer::Refused {
                    retry_after_ms: job.objective_ms.clamp(RETRY_AFTER_MS.0, RETRY_AFTER_MS.1),
                }
            }
            _ => Answer::Unfinished,
        };
        for request_id in &job.request_ids {
            self.by_request.remove(request_id);
            self.out.push(Action::Answer {
                request_id: *request_id,
                answer: answer.clone(),
            });
        }
        if matches!(answer, Answer::Completed | Answer::Cancelled) {
            self.remember(id, answer, now + REMEMBER_MS);
        } else {
            let last = job.tasks.iter().map(|task| task.attempt).max();
            self.remember_attempt(id, last.unwrap_or(0) + 1, now + REMEMBER_MS);
        }
        self.out.push(Action::Record(Decision::JobEnded {
            job: id.clone(),
            queue: job.queue.name.clone(),
            cause,
            done: job.done(),
            starts: job.starts,
            took_ms,
            objective_ms: job.objective_ms,
        }));
    }

    pub(super) fn stop_attempts(&mut self, id: &Name, job: &Job) {
        let mut within = vec![0; job.spec.steps.len()];
        for task in &job.tasks {
            let place = within[task.step];
            within[task.step] += 1;
            let peer = match &task.state {
                TaskState::Runs(peer) => peer.clone(),
                TaskState::Asked(peer) => Some(peer.clone()),
                _ => continue,
            };
            let key = AttemptId {
                task: format!("{id}.0.{}.{place}", task.step).into(),
                attempt: task.attempt,
            };
            self.stops.push((peer, key));
        }
    }

    pub(super) fn remember_attempt(&mut self, id: &Name, next: u32, until: Millis) {
        if self.next_attempts.len() >= MAX_REMEMBERED {
            self.next_attempts.pop_first();
        }
        self.next_attempts.insert(id.clone(), (next, until));
    }

    pub(super) fn remember(&mut self, id: &Name, answer: Answer, until: Millis) {
        if self.ended.len() >= MAX_REMEMBERED {
            self.ended.pop_first();
        }
        self.ended.insert(id.clone(), (answer, until));
    }
}
