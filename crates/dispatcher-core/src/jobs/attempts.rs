//! Where tasks run, and how their runs end.

use super::*;

impl Jobs {
    /// Takes note that a task is started on a target of this host.
    pub fn started(&mut self, now: Millis, id: &Name, index: usize) {
        self.set(now, id, index, TaskState::Runs(None));
    }

    /// Takes note that a peer is asked to start a task.
    pub fn asked(&mut self, now: Millis, id: &Name, index: usize, peer: &Name) {
        self.set(now, id, index, TaskState::Asked(peer.clone()));
    }

    pub(super) fn set(&mut self, now: Millis, id: &Name, index: usize, state: TaskState) {
        if let Some(job) = self.jobs.get_mut(id) {
            if matches!(state, TaskState::Runs(_)) {
                job.begun = true;
                job.starts += 1;
            }
            job.tasks[index].state = state;
            job.next_look = 0;
            self.rank(now, id);
        }
    }

    /// Finds the task of a run, if the run is its last.
    pub(super) fn find(&mut self, key: &AttemptId) -> Option<(Name, usize)> {
        let (id, rest) = key.task.split_once('.')?;
        let (id, job) = self.jobs.get_key_value(id)?;
        let mut numbers = rest.split('.').skip(1);
        let step: usize = numbers.next()?.parse().ok()?;
        let within: usize = numbers.next()?.parse().ok()?;
        let first = job.tasks.iter().position(|task| task.step == step)?;
        let index = first + within;
        let current = job.tasks.get(index)?.attempt == key.attempt;
        current.then(|| (id.clone(), index))
    }

    /// Takes a peer's word on a task that it was asked to start.
    pub fn placed(&mut self, now: Millis, key: &AttemptId, peer: &Name, taken: bool) {
        let Some((id, index)) = self.find(key) else {
            if taken {
                // The job ended meanwhile.
                self.stops.push((Some(peer.clone()), key.clone()));
            }
            return;
        };
        let state = &self.jobs[&id].tasks[index].state;
        if *state == TaskState::Asked(peer.clone()) {
            let state = if taken {
                TaskState::Runs(Some(peer.clone()))
            } else {
                let job = self.jobs.get_mut(&id).expect("the job was found");
                job.tasks[index].ask_after = now + ASK_PAUSE_MS;
                TaskState::Waiting
            };
            self.set(now, &id, index, state);
        }
    }

    /// Takes the end of a run in.
    pub fn attempt_ended(&mut self, now: Millis, end: &AttemptEnd) {
        let Some((id, index)) = self.find(&end.key) else {
            return;
        };
        let job = self.jobs.get_mut(&id).expect("the job was found");
        let task = &mut job.tasks[index];
        if !matches!(task.state, TaskState::Runs(_) | TaskState::Asked(_)) {
            // What is over by reckoning may still be told to be done.
            let done = end.end == AttemptOutcome::Done && matches!(task.state, TaskState::Lost(_));
            if !done {
                return;
            }
        }
        job.begun = true;
        job.next_look = 0;
        match end.end {
            AttemptOutcome::Done => {
                task.state = TaskState::Done;
                if job.done() == job.tasks.len() {
                    self.end(now, &id, Cause::Done);
                } else {
                    job.unblock();
                }
            }
            AttemptOutcome::Failed => {
                task.failures += 1;
                task.attempt += 1;
                task.state = TaskState::Waiting;
                avoid(task, &end.target);
                if task.failures >= job.queue.max_attempts.max(1) {
                    self.end(now, &id, Cause::Attempts);
                }
            }
            AttemptOutcome::Lost => {
                task.attempt += 1;
                task.state = TaskState::Waiting;
                avoid(task, &end.target);
            }
            AttemptOutcome::StaleAttempt => {
                task.attempt += STALE_ATTEMPT_SKIP;
                task.state = TaskState::Waiting;
            }
        }
        self.rank(now, &id);
    }

    /// Returns the peers that have been handed tasks which aren't over.
    #[must_use]
    pub fn peers_with_attempts(&self) -> HashSet<Name> {
        let tasks = self.jobs.values().flat_map(|job| &job.tasks);
        let peers = tasks.filter_map(|task| match &task.state {
            TaskState::Asked(peer) | TaskState::Runs(Some(peer)) => Some(peer),
            _ => None,
        });
        peers.cloned().collect()
    }

    /// Runs at a peer may go on until `over` and then no longer.
    ///
    /// Returns how many there are.
    pub fn peer_lost(&mut self, peer: &Name, over: Millis) -> usize {
        let mut lost = 0;
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                let there = match &task.state {
                    TaskState::Asked(at) | TaskState::Runs(Some(at)) => at == peer,
                    _ => false,
                };
                if there {
                    job.begun = true;
                    job.next_look = 0;
                    task.state = TaskState::Lost(over);
                    lost += 1;
                }
            }
        }
        lost
    }
}
