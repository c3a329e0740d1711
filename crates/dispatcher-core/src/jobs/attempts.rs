//! Starts, handovers and ends of attempts.
//!
//! Only a task's latest attempt changes its state; reports on earlier ones are ignored.
//! [`crate::rules::retry`] decides what follows from an end.

use std::collections::HashSet;

use gannetridge_wire::Name;

use crate::decision::EndCause;
use crate::message::{AttemptEnd, AttemptId, AttemptOutcome};
use crate::rules::peer_choice::REQUEST_RETRY_MS;
use crate::rules::retry::{self, NextAction};
use crate::Millis;

use super::job::{parse_task_name, AttemptLocation, TaskState};
use super::{AttemptToStop, Jobs};

/// A task: its job's id and its position in the job.
struct TaskPosition {
    job: Name,
    index: usize,
}

impl Jobs {
    /// Records that a task was sent to a target of this host.
    pub fn record_local_start(&mut self, now: Millis, id: &Name, index: usize) {
        self.set_task_state(now, id, index, TaskState::Running(AttemptLocation::Local));
    }

    /// Records that a task was sent to a peer, to be started or queued there.
    pub fn record_handover(&mut self, now: Millis, id: &Name, index: usize, peer: &Name) {
        self.set_task_state(now, id, index, TaskState::HandedOver(peer.clone()));
    }

    fn set_task_state(&mut self, now: Millis, id: &Name, index: usize, state: TaskState) {
        if let Some(job) = self.jobs.get_mut(id) {
            if matches!(state, TaskState::Running(_)) {
                job.started = true;
                job.starts += 1;
            }
            job.tasks[index].state = state;
            job.next_due = 0;
            self.update_ready(now, id);
        }
    }

    /// Finds the task of an attempt, if the attempt is the task's latest.
    fn find_latest(&self, id: &AttemptId) -> Option<TaskPosition> {
        let name = parse_task_name(&id.task)?;
        let (job_id, job) = self.jobs.get_key_value(name.job)?;
        let index = job.first_task_of(name.step)? + name.index_in_step;
        let latest = job.tasks.get(index)?.attempt == id.attempt;
        latest.then(|| TaskPosition {
            job: job_id.clone(),
            index,
        })
    }

    /// Records a peer's reply to the request to start a task.
    pub fn record_placement(&mut self, now: Millis, id: &AttemptId, peer: &Name, started: bool) {
        let Some(TaskPosition { job, index }) = self.find_latest(id) else {
            if started {
                // The job ended, or a later attempt was made, in the meantime.
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
            task.ask_peers_after = now + REQUEST_RETRY_MS;
            TaskState::Waiting
        };
        self.set_task_state(now, &job, index, state);
    }

    /// Handles the end of an attempt; ends the job if it is complete or has failed.
    pub fn handle_attempt_end(&mut self, now: Millis, end: &AttemptEnd) {
        self.count_crash(now, end);
        let Some(TaskPosition { job: id, index }) = self.find_latest(&end.id) else {
            return;
        };
        let job = self.jobs.get_mut(&id).expect("the job was found");
        let max_attempts = job.queue.max_attempts;
        let task = &mut job.tasks[index];
        // An attempt that was assumed lost may still report success.
        let late_success =
            end.outcome == AttemptOutcome::Done && matches!(task.state, TaskState::Lost(_));
        if !task.state.is_running() && !late_success {
            return;
        }
        let started = end.outcome != AttemptOutcome::NotStarted;
        job.started |= started;
        // A holder that queues a task reports its end only, not its start.
        let was_handed_over = matches!(task.state, TaskState::HandedOver(_));
        job.starts += u32::from(started && was_handed_over);
        job.next_due = 0;
        let consequence = retry::consequence_of(end.outcome, task.failures, max_attempts);
        task.attempt += consequence.attempt_increment;
        task.failures += u32::from(consequence.failed);
        if consequence.avoid_target {
            task.avoid_target(&end.target);
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
            NextAction::Done if job.done_count() == job.tasks.len() => {
                self.end(now, &id, EndCause::Done)
            }
            NextAction::Done => job.unblock_tasks(),
            NextAction::JobFails => self.end(now, &id, EndCause::AttemptsExhausted),
            NextAction::TryAgain => {}
        }
        self.update_ready(now, &id);
    }

    /// Returns the peers at which attempts run or may run, lost ones excepted.
    #[must_use]
    pub fn peers_with_attempts(&self) -> HashSet<Name> {
        let tasks = self.jobs.values().flat_map(|job| &job.tasks);
        let peers = tasks.filter_map(|task| task.state.peer());
        peers.cloned().collect()
    }

    /// Marks all attempts at a peer as lost and returns their number. Their tasks wait until
    /// `until`, when the attempts have ended, before they are tried again.
    pub fn mark_peer_lost(&mut self, peer: &Name, until: Millis) -> usize {
        let mut lost = 0;
        for job in self.jobs.values_mut() {
            for task in &mut job.tasks {
                if task.state.peer() == Some(peer) {
                    job.started = true;
                    job.next_due = 0;
                    task.state = TaskState::Lost(until);
                    lost += 1;
                }
            }
        }
        lost
    }
}
