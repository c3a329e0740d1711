//! Where tasks run, and what the ends of their attempts lead to.
//!
//! Only a task's latest attempt counts: news of earlier ones is ignored. What an end
//! leads to is decided by [`crate::rules::retry`].

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::decision::EndCause;
use crate::message::{AttemptEnd, AttemptId, AttemptOutcome};
use crate::rules::peer_choice::REQUEST_RETRY_MS;
use crate::rules::retry::{self, NextAction};
use crate::Millis;

use super::job::{parse_task, AttemptLocation, TaskState};
use super::{AttemptToStop, Jobs};

/// A task of a job: the job's id, and its position there.
struct Found {
    job: Name,
    index: usize,
}

impl Jobs {
    /// Records that a task is started on a target of this host.
    pub fn record_local_start(&mut self, now: Millis, id: &Name, index: usize) {
        self.set(now, id, index, TaskState::Running(AttemptLocation::Local));
    }

    /// Records that a peer is asked to start a task.
    pub fn record_handover(&mut self, now: Millis, id: &Name, index: usize, peer: &Name) {
        self.set(now, id, index, TaskState::HandedOver(peer.clone()));
    }

    fn set(&mut self, now: Millis, id: &Name, index: usize, state: TaskState) {
        if let Some(job) = self.jobs.get_mut(id) {
            if matches!(state, TaskState::Running(_)) {
                job.begun = true;
                job.starts += 1;
            }
            job.tasks[index].state = state;
            job.next_due = 0;
            self.update_ready(now, id);
        }
    }

    /// Finds the task of an attempt, if the attempt is its latest.
    fn find(&self, id: &AttemptId) -> Option<Found> {
        let name = parse_task(&id.task)?;
        let (job_id, job) = self.jobs.get_key_value(name.job)?;
        let index = job.first_of(name.step)? + name.within;
        let latest = job.tasks.get(index)?.attempt == id.attempt;
        latest.then(|| Found {
            job: job_id.clone(),
            index,
        })
    }

    /// Records whether a peer started a task that it was asked to start.
    pub fn record_placement(&mut self, now: Millis, id: &AttemptId, peer: &Name, started: bool) {
        let Some(Found { job, index }) = self.find(id) else {
            if started {
                // The job ended meanwhile.
                self.stops.push(AttemptToStop {
                    location: AttemptLocation::Peer(peer.clone()),
                    id: id.clone(),
                });
            }
            return;
        };
        let task = &mut self.jobs.get_mut(&job).expect("the job was found").tasks[index];
        if task.state != TaskState::HandedOver(peer.clone()) {
            return;
        }
        let state = if started {
            TaskState::Running(AttemptLocation::Peer(peer.clone()))
        } else {
            task.ask_after = now + REQUEST_RETRY_MS;
            TaskState::Waiting
        };
        self.set(now, &job, index, state);
    }

    /// Handles the end of an attempt.
    pub fn handle_attempt_end(&mut self, now: Millis, end: &AttemptEnd) {
        self.count_crash(now, end);
        let Some(Found { job: id, index }) = self.find(&end.id) else {
            return;
        };
        let job = self.jobs.get_mut(&id).expect("the job was found");
        let max_attempts = job.queue.max_attempts;
        let task = &mut job.tasks[index];
        // What was taken for lost may still turn out to be done.
        let late_success =
            end.outcome == AttemptOutcome::Done && matches!(task.state, TaskState::Lost(_));
        if !task.state.is_running() && !late_success {
            return;
        }
        let begun = end.outcome != AttemptOutcome::NotBegun;
        job.begun |= begun;
        // One that waited at a holder is heard of again only now.
        let waited = matches!(task.state, TaskState::HandedOver(_));
        job.starts += u32::from(begun && waited);
        job.next_due = 0;
        let consequence = retry::consequence_of(end.outcome, task.failures, max_attempts);
        task.attempt += consequence.attempt_increment;
        task.failures += u32::from(consequence.failed);
        if consequence.avoid_target {
            task.avoid(&end.target);
        }
        task.state = match consequence.next {
            NextAction::Done => TaskState::Done,
            NextAction::JobFails | NextAction::TryAgain => TaskState::Waiting,
        };
        if consequence.next == NextAction::Done {
            self.clear_suspicion(&end.id.task);
        }
        let job = self.jobs.get_mut(&id).expect("the job was found");
        match consequence.next {
            NextAction::Done if job.done() == job.tasks.len() => self.end(now, &id, EndCause::Done),
            NextAction::Done => job.unblock(),
            NextAction::JobFails => self.end(now, &id, EndCause::AttemptsExhausted),
            NextAction::TryAgain => {}
        }
        self.update_ready(now, &id);
    }

    /// Returns the peers at which attempts run or may run.
    #[must_use]
    pub fn peers_with_attempts(&self) -> HashSet<Name> {
        let tasks = self.jobs.values().flat_map(|job| &job.tasks);
        let peers = tasks.filter_map(|task| task.state.peer());
        peers.cloned().collect()
    }

    /// Takes all attempts at a peer for lost; they may run until `until` and then
    /// no longer. Returns how many there are.
    pub fn mark_peer_lost(&mut self, peer: &Name, until: Millis) -> usize {
        let mut lost = 0;
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                if task.state.peer() == Some(peer) {
                    job.begun = true;
                    job.next_due = 0;
                    task.state = TaskState::Lost(until);
                    lost += 1;
                }
            }
        }
        lost
    }
}
