//! One attempt on a target, as the host that holds the target sees it.

use gannetridge_wire::Name;

use crate::decision::EndEvidence;
use crate::event::CallId;
use crate::message::{AttemptEnd, Envelope, SpreadLimit, TaskOrder};
use crate::rules::crashes::{self, Ran};
use crate::rules::long_tasks::TaskSize;
use crate::rules::progress::Progress;
use crate::rules::running_time::TaskKind;
use crate::rules::target_health::{RunningTime, TargetHealth};
use crate::spec::Resources;
use crate::Millis;

/// The owner of an attempt: a host, and its session with this one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The host that owns the job.
    pub host: Name,
    /// Under which of its sessions it asked for the attempt.
    pub session: OwnerSession,
}

/// A session of a host with this one. Later ones are greater: sessions begin anew with
/// each incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct OwnerSession {
    /// The host's incarnation.
    pub incarnation: u64,
    /// The session's number; 0 for this host's own attempts.
    pub number: u64,
}

impl OwnerSession {
    /// Later than all others.
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

/// How far the stop of an attempt has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopStage {
    /// The attempt is wanted.
    NotRequested,
    /// A stop is to be sent.
    ToSend,
    /// A stop is on its way.
    Sent {
        /// The call that carries it.
        call: CallId,
        /// When it was sent.
        at: Millis,
    },
    /// The target has carried the stop out, at this time.
    Done(Millis),
}

/// An attempt that was sent to a target; times in ms of this host's clock.
#[derive(Clone, Debug)]
pub(super) struct Attempt {
    pub(super) owner: Owner,
    pub(super) resources: Resources,
    /// What its start will carry, while that waits for its target to be heard.
    pub(super) unsent_specification: Option<Name>,
    /// When its start was sent.
    pub(super) started: Millis,
    pub(super) estimate_ms: Millis,
    /// The urgency of its queue; the most urgent where it isn't told.
    pub(super) urgency: u8,
    /// What it has in common with others whose running times are learned together.
    pub(super) kind: TaskKind,
    /// Whether its data lies in another rack.
    pub(super) is_far: bool,
    /// How long it is expected to run, where that is learned.
    pub(super) forecast: Option<Forecast>,
    /// The step by which its tasks are spread over targets.
    pub(super) spread: Option<Name>,
    /// When the target is known to have it.
    pub(super) confirmed: Option<Millis>,
    /// The latest time at which the target may begin it.
    pub(super) latest_start: Millis,
    /// How far it has got, once its target has told that it has it.
    pub(super) progress: Option<Progress>,
    /// When its target last told how far it has got.
    progress_received: Millis,
    /// Whether it stands still, as its target's last listing showed.
    pub(super) stalled: bool,
    pub(super) stop: StopStage,
    /// Whether the owner wants to be told of its end.
    pub(super) report_end: bool,
}

impl Attempt {
    /// Creates an attempt whose start is to be sent.
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
            stalled: false,
            stop: StopStage::NotRequested,
            report_end: true,
        }
    }

    /// Returns its size.
    pub(super) fn size(&self) -> TaskSize {
        TaskSize {
            urgency: self.urgency,
            cpu: self.resources.cpu,
            estimate_ms: self.estimate_ms,
        }
    }

    /// Records that its start is sent now; returns what that carries, unless it was sent before.
    pub(super) fn mark_sent(&mut self, now: Millis, latest_start: Millis) -> Option<Name> {
        let specification = self.unsent_specification.take()?;
        self.started = now;
        self.latest_start = latest_start;
        Some(specification)
    }

    /// Records that the target has it.
    pub(super) fn confirm(&mut self, now: Millis) {
        self.confirmed.get_or_insert(now);
    }

    /// Records how far its target's listing says that it has got.
    pub(super) fn observe_progress(&mut self, now: Millis, percent: u8, clock: Millis) {
        self.progress_received = now;
        let first = Progress::first_told(percent, clock);
        let progress = self.progress.get_or_insert(first);
        progress.observe(percent, clock);
        self.stalled = match &self.forecast {
            Some(forecast) => progress.is_stalled_beside(clock, forecast.longest_ms),
            None => progress.is_stalled(clock, self.estimate_ms),
        };
    }

    /// Returns whether it runs far longer than expected. One whose target tells its progress is
    /// judged by that alone where running times are learned.
    pub(super) fn overruns(&self, now: Millis, health: &TargetHealth) -> bool {
        let Some(forecast) = &self.forecast else {
            return now > self.started + health.overrun_after_ms(self.estimate_ms);
        };
        let reports_progress = self.progress.is_some_and(|progress| progress.is_told());
        !reports_progress && now > self.started + forecast.overrun_after_ms
    }

    /// Returns the expected time until its end, in ms; `slowdown` counts where running times
    /// aren't learned.
    pub(super) fn remaining_ms(&self, now: Millis, slowdown: f64) -> Millis {
        let end = match &self.forecast {
            Some(forecast) => forecast.end,
            None => self.started + (self.estimate_ms as f64 * slowdown) as Millis,
        };
        end.saturating_sub(now)
    }

    /// Has it stopped, with `report` telling whether its owner wants to know of
    /// its end. Returns false if it is being stopped already.
    pub(super) fn request_stop(&mut self, report: bool) -> bool {
        self.report_end &= report;
        let not_requested = self.stop == StopStage::NotRequested;
        if not_requested {
            self.stop = StopStage::ToSend;
        }
        not_requested
    }

    /// Returns whether nobody waits to hear of its end, and its target hasn't confirmed its stop:
    /// its owner, or a caller that comes again, counts on its lease to end it.
    pub(super) fn has_unconfirmed_stop(&self) -> bool {
        !self.report_end && matches!(self.stop, StopStage::ToSend | StopStage::Sent { .. })
    }

    /// Returns whether a listing that was asked for at `asked` would show it if it
    /// ran: what came in the same millisecond may have come after.
    pub(super) fn would_be_listed(&self, requested: Millis) -> bool {
        let stopped = matches!(self.stop, StopStage::Done(at) if at < requested);
        let confirmed = self.confirmed.is_some_and(|at| at < requested);
        stopped || confirmed || self.latest_start < requested
    }

    /// Returns whether it ran when its target was lost, which was known to be gone at `gone_by`;
    /// without that an attempt whose end wasn't heard counts as running.
    pub(super) fn running_when_lost(&self, gone_by: Option<Millis>) -> Ran {
        if self.unsent_specification.is_some() {
            return Ran::No;
        }
        let may_be_done = gone_by.is_some_and(|gone_by| self.earliest_end() <= gone_by);
        match (self.stop, self.confirmed) {
            (StopStage::Done(_), _) => Ran::No,
            (StopStage::NotRequested, Some(_)) if !may_be_done => Ran::Surely,
            (StopStage::NotRequested | StopStage::ToSend | StopStage::Sent { .. }, _) => {
                Ran::Perhaps
            }
        }
    }

    /// Returns the earliest time at which it may be done, as far as it has shown.
    fn earliest_end(&self) -> Millis {
        let estimate_ms = self.estimate_ms as f64;
        let reported = self.progress.filter(Progress::is_told);
        let Some(progress) = reported else {
            return self.started + crashes::least_remaining_ms(estimate_ms, 0);
        };
        let total_ms = progress.quickest_total_ms();
        let total_ms = total_ms.unwrap_or(estimate_ms).min(estimate_ms);
        self.progress_received + crashes::least_remaining_ms(total_ms, progress.percent())
    }

    /// Returns whether it counts for a limit of tasks of one step.
    pub(super) fn counts_towards(&self, limit: &SpreadLimit) -> bool {
        self.spread.as_ref() == Some(&limit.step)
    }

    /// Returns how long it has been running.
    pub(super) fn running_time(&self, now: Millis) -> RunningTime {
        RunningTime {
            since_ms: now.saturating_sub(self.started),
            estimate_ms: self.estimate_ms,
        }
    }
}

/// How long an attempt is expected to run.
#[derive(Clone, Copy, Debug)]
pub(super) struct Forecast {
    /// The longest time to reckon with for its kind there, in ms.
    pub(super) longest_ms: f64,
    /// Its expected end, on this host's clock.
    pub(super) end: Millis,
    /// When it overruns if its target tells no progress, in ms from its start.
    pub(super) overrun_after_ms: Millis,
}

/// What running times are learned by.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MeasuredTask {
    /// What the task has in common with others.
    pub kind: TaskKind,
    /// Its estimate, in ms.
    pub estimate_ms: Millis,
    /// Whether its data lay in another rack.
    pub is_far: bool,
}

/// The end of an attempt, and who is to be told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndReport {
    /// The owner.
    pub owner: Owner,
    /// The end.
    pub end: AttemptEnd,
    /// What showed it.
    pub by: EndEvidence,
    /// Time since its start was sent.
    pub took_ms: Millis,
    /// What its running time is learned by.
    pub task: MeasuredTask,
    /// Whether the owner wants to be told.
    pub report_wanted: bool,
}
