//! One attempt on a target, as the host that holds the target sees it.

use gannetridge_wire::Name;

use crate::decision::EndEvidence;
use crate::event::CallId;
use crate::message::{AttemptEnd, Envelope, SpreadLimit, TaskOrder};
use crate::rules::crashes::{self, RunState};
use crate::rules::long_tasks::TaskSize;
use crate::rules::progress::Progress;
use crate::rules::running_time::TaskKind;
use crate::rules::target_health::{RunningTime, TargetHealth};
use crate::spec::Resources;
use crate::{Millis, Urgency};

/// Identifies on whose behalf an attempt runs: a host and its session with this host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The host that owns the job.
    pub host: Name,
    /// The host's session in which it requested the attempt.
    pub session: OwnerSession,
}

/// A session of another host with this one. Sessions compare by age: the numbers restart with each
/// incarnation of the host.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerSession {
    /// The host's incarnation.
    pub incarnation: u64,
    /// Grows within an incarnation; 0 for this host's own attempts.
    pub number: u64,
}

impl OwnerSession {
    /// Compares as later than every other session.
    pub const MAX: Self = Self {
        incarnation: u64::MAX,
        number: u64::MAX,
    };

    /// Returns the session in which a peer sent a request.
    #[must_use]
    pub fn of(envelope: &Envelope) -> Self {
        Self {
            incarnation: envelope.from.incarnation,
            number: envelope.session,
        }
    }
}

/// The progress of stopping an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopStage {
    /// No stop was requested.
    NotRequested,
    /// A stop is to be sent.
    ToSend,
    /// A stop is in flight.
    Sent {
        /// The call that carries the stop.
        call: CallId,
        /// When the stop was sent.
        at: Millis,
    },
    /// The target confirmed the stop at this time.
    Done(Millis),
}

/// An attempt on a target. Times are in ms of this host's clock.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) owner: Owner,
    pub(super) resources: Resources,
    /// The task's specification while the start waits for a reply from the target; `None` once the
    /// start was sent.
    pub(super) unsent_specification: Option<Name>,
    /// When the start was sent; before that, when the attempt was added.
    pub(super) started: Millis,
    pub(super) estimate_ms: Millis,
    /// The urgency of the task's queue; 0, the most urgent, if it isn't known.
    pub(super) urgency: Urgency,
    /// The group of tasks whose running times are learned together.
    pub(super) kind: TaskKind,
    /// True if the task's data lies in another rack.
    pub(super) is_far: bool,
    /// The expected running time; set only if running times are learned.
    pub(super) forecast: Option<Forecast>,
    /// The step whose tasks are spread over targets.
    pub(super) spread: Option<Name>,
    /// When the target first confirmed that it has the attempt.
    pub(super) confirmed: Option<Millis>,
    /// The latest time at which the target may start the attempt.
    pub(super) latest_start: Millis,
    /// Set once the target has confirmed the attempt.
    pub(super) progress: Option<Progress>,
    /// When the target last reported progress.
    progress_received: Millis,
    /// True if the attempt had stalled when the target last reported its progress.
    pub(super) is_stalled: bool,
    pub(super) stop: StopStage,
    /// True if the owner wants a report of the end.
    pub(super) report_end: bool,
}

impl Attempt {
    /// Creates an attempt whose start has yet to be sent.
    pub(super) fn new(now: Millis, latest_start: Millis, owner: &Owner, order: &TaskOrder) -> Self {
        Self {
            unsent_specification: Some(order.specification.clone()),
            kind: TaskKind::of(order),
            is_far: false,
            forecast: None,
            owner: owner.clone(),
            resources: order.resources,
            started: now,
            estimate_ms: order.estimate_ms,
            urgency: 0,
            spread: order.spread.as_ref().map(|limit| limit.step.clone()),
            confirmed: None,
            latest_start,
            progress: None,
            progress_received: now,
            is_stalled: false,
            stop: StopStage::NotRequested,
            report_end: true,
        }
    }

    pub(super) fn size(&self) -> TaskSize {
        TaskSize {
            urgency: self.urgency,
            cpu: self.resources.cpu,
            estimate_ms: self.estimate_ms,
        }
    }

    /// Records that the start is sent now. Returns the specification to send, or `None` if the
    /// start was sent before.
    pub(super) fn mark_sent(&mut self, now: Millis, latest_start: Millis) -> Option<Name> {
        let specification = self.unsent_specification.take()?;
        self.started = now;
        self.latest_start = latest_start;
        Some(specification)
    }

    /// Records that the target has the attempt; the first confirmation counts.
    pub(super) fn confirm(&mut self, now: Millis) {
        self.confirmed.get_or_insert(now);
    }

    /// Records the progress that the target's listing shows; `clock` is the target's.
    pub(super) fn observe_progress(&mut self, now: Millis, percent: u8, clock: Millis) {
        self.progress_received = now;
        let first = Progress::from_listing(percent, clock);
        let progress = self.progress.get_or_insert(first);
        progress.observe(percent, clock);
        self.is_stalled = match &self.forecast {
            Some(forecast) => progress.is_stalled_for_kind(clock, forecast.longest_ms),
            None => progress.is_stalled(clock, self.estimate_ms),
        };
    }

    /// Returns true if the attempt runs far longer than expected. Where running times are learned,
    /// an attempt whose progress is reported is never overrunning: it can only stall.
    pub(super) fn overruns(&self, now: Millis, health: &TargetHealth) -> bool {
        let Some(forecast) = &self.forecast else {
            return now > self.started + health.overrun_after_ms(self.estimate_ms);
        };
        let reports_progress = self.progress.is_some_and(|progress| progress.is_reported());
        !reports_progress && now > self.started + forecast.overrun_after_ms
    }

    /// Returns the expected time until the end, in ms. `slowdown` is used only if running times
    /// aren't learned.
    pub(super) fn remaining_ms(&self, now: Millis, slowdown: f64) -> Millis {
        let end = match &self.forecast {
            Some(forecast) => forecast.end,
            None => self.started + (self.estimate_ms as f64 * slowdown) as Millis,
        };
        end.saturating_sub(now)
    }

    /// Requests a stop; `report` is false if the owner needs no report of the end. Returns false if
    /// a stop was already requested.
    pub(super) fn request_stop(&mut self, report: bool) -> bool {
        self.report_end &= report;
        let not_requested = self.stop == StopStage::NotRequested;
        if not_requested {
            self.stop = StopStage::ToSend;
        }
        not_requested
    }

    /// Returns true if the stop isn't confirmed and the owner doesn't wait for the end. The task
    /// may then be started elsewhere as soon as the target's lease has expired, so that the lease
    /// must not be extended.
    pub(super) fn has_unconfirmed_stop(&self) -> bool {
        !self.report_end && matches!(self.stop, StopStage::ToSend | StopStage::Sent { .. })
    }

    /// Returns true if a listing requested at `requested` would show the attempt while it runs.
    /// Events in the same millisecond may have come after the listing, so they don't count.
    pub(super) fn would_be_listed(&self, requested: Millis) -> bool {
        let stopped = matches!(self.stop, StopStage::Done(at) if at < requested);
        let confirmed = self.confirmed.is_some_and(|at| at < requested);
        stopped || confirmed || self.latest_start < requested
    }

    /// Returns how certain it is that the attempt ran when its target was lost. `latest_loss` is
    /// the latest time at which the target can have stopped; with `None`, an attempt whose end
    /// wasn't received counts as running.
    pub(super) fn running_when_lost(&self, latest_loss: Option<Millis>) -> RunState {
        if self.unsent_specification.is_some() {
            return RunState::NotRunning;
        }
        let may_be_done = latest_loss.is_some_and(|latest_loss| self.earliest_end() <= latest_loss);
        match (self.stop, self.confirmed) {
            (StopStage::Done(_), _) => RunState::NotRunning,
            (StopStage::NotRequested, Some(_)) if !may_be_done => RunState::Confirmed,
            (StopStage::NotRequested | StopStage::ToSend | StopStage::Sent { .. }, _) => {
                RunState::Unconfirmed
            }
        }
    }

    /// Returns the earliest time at which the attempt may be done, by its progress or its estimate.
    fn earliest_end(&self) -> Millis {
        let estimate_ms = self.estimate_ms as f64;
        let reported = self.progress.filter(Progress::is_reported);
        let Some(progress) = reported else {
            return self.started + crashes::least_remaining_ms(estimate_ms, 0);
        };
        let total_ms = progress.fastest_total_ms();
        let total_ms = total_ms.unwrap_or(estimate_ms).min(estimate_ms);
        self.progress_received + crashes::least_remaining_ms(total_ms, progress.percent())
    }

    /// Returns true if the attempt belongs to the step that `limit` spreads.
    pub(super) fn counts_towards(&self, limit: &SpreadLimit) -> bool {
        self.spread.as_ref() == Some(&limit.step)
    }

    pub(super) fn running_time(&self, now: Millis) -> RunningTime {
        RunningTime {
            since_ms: now.saturating_sub(self.started),
            estimate_ms: self.estimate_ms,
        }
    }
}

/// The expected running time of an attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// The longest running time expected of its kind on this target, in ms.
    pub(super) longest_ms: f64,
    /// The expected end, in ms of this host's clock.
    pub(super) end: Millis,
    /// The running time, in ms, after which an attempt without reported progress is overrunning.
    pub(super) overrun_after_ms: Millis,
}

/// The properties of a task from which running times are learned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeasuredTask {
    /// The group of tasks whose running times are learned together.
    pub kind: TaskKind,
    /// The caller's estimate, in ms.
    pub estimate_ms: Millis,
    /// True if the task's data lay in another rack.
    pub is_far: bool,
}

/// The end of an attempt, to be reported to its owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// The host and session that requested the attempt.
    pub owner: Owner,
    /// The attempt, its outcome and its target.
    pub end: AttemptEnd,
    /// What showed that the attempt ended.
    pub by: EndEvidence,
    /// Time since the start was sent, in ms.
    pub took_ms: Millis,
    /// The task's properties for learning its running time.
    pub task: MeasuredTask,
    /// True if the owner wants a report.
    pub report_wanted: bool,
}
