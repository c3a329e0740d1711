//! Adds outcomes up by window, queue and hall, and prints them.

use std::collections::BTreeMap;
use std::fmt;

use super::capacity::Window;
use super::jobs::Job;
use super::outcome::{judge, Outcome, Reason};

/// What a late answer is worth, as a part of one on time: what the users' deployments
/// pay for.
const LATE_WORTH: f64 = 0.2;

/// Outcomes of some jobs.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// Jobs.
    pub asked: usize,
    /// Answered on time.
    pub on_time: usize,
    /// Answered late.
    pub late: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Neither.
    pub unfinished: usize,
}

impl Counts {
    /// Adds a job's outcome.
    pub fn add(&mut self, outcome: Outcome) {
        self.asked += 1;
        match outcome {
            Outcome::OnTime => self.on_time += 1,
            Outcome::Late(_) => self.late += 1,
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Unfinished(_) => self.unfinished += 1,
        }
    }

    /// Returns what was served, as a part of what was asked.
    #[must_use]
    pub fn worth(&self) -> f64 {
        let served = self.on_time as f64 + LATE_WORTH * self.late as f64;
        served / self.asked.max(1) as f64
    }
}

/// The heads of the columns in which [`Counts`] are printed.
pub const COUNTS_HEAD: &str = " asked  on time   late  refused  unfinished   worth";

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} {:>8} {:>6} {:>8} {:>11} {:>7.3}",
            self.asked,
            self.on_time,
            self.late,
            self.refused,
            self.unfinished,
            self.worth()
        )
    }
}

/// One window's outcomes and its bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowTally {
    /// The outcomes.
    pub counts: Counts,
    /// The largest part of its jobs that could be served.
    pub bound: f64,
}

impl WindowTally {
    /// Returns how many jobs' worth was lost beyond what the bound took.
    fn lost_to_decisions(&self) -> f64 {
        let asked = self.counts.asked as f64;
        (asked * (self.bound - self.counts.worth())).max(0.0)
    }
}

/// All outcomes.
#[derive(Debug, Default)]
pub struct Tally {
    window_ms: i64,
    all: Counts,
    /// By window, numbered from the logs' time 0.
    pub windows: BTreeMap<i64, WindowTally>,
    queues: BTreeMap<String, Counts>,
    halls: BTreeMap<String, Counts>,
    /// The worth that each reason took, in jobs.
    reasons: BTreeMap<(Loss, Reason), f64>,
}

/// How a job was lost, whole or in part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Late,
    Refused,
    Unfinished,
}

impl Tally {
    /// Adds jobs up; see [`judge`] for `trip_ms`.
    #[must_use]
    pub fn new(
        jobs: &[Job],
        capacity: &BTreeMap<i64, Window>,
        window_ms: i64,
        trip_ms: f64,
    ) -> Self {
        let mut tally = Self {
            window_ms,
            ..Self::default()
        };
        for job in jobs {
            let outcome = judge(job, trip_ms);
            let at = job.accepted.div_euclid(window_ms);
            tally.all.add(outcome);
            tally.windows.entry(at).or_default().counts.add(outcome);
            tally
                .queues
                .entry(job.queue.clone())
                .or_default()
                .add(outcome);
            tally
                .halls
                .entry(job.hall.clone())
                .or_default()
                .add(outcome);
            if let Some((loss, reason)) = loss(outcome) {
                let lost = if loss == Loss::Late {
                    1.0 - LATE_WORTH
                } else {
                    1.0
                };
                *tally.reasons.entry((loss, reason)).or_default() += lost;
            }
        }
        for (at, window) in &mut tally.windows {
            window.bound = capacity.get(at).map_or(1.0, Window::bound);
        }
        tally
    }
}

fn loss(outcome: Outcome) -> Option<(Loss, Reason)> {
    match outcome {
        Outcome::OnTime => None,
        Outcome::Late(reason) => Some((Loss::Late, reason)),
        Outcome::Refused(reason) => Some((Loss::Refused, reason)),
        Outcome::Unfinished(reason) => Some((Loss::Unfinished, reason)),
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:>20}  {COUNTS_HEAD}  bound", "window, s")?;
        for (at, window) in &self.windows {
            let seconds = (at * self.window_ms) as f64 / 1_000.0;
            writeln!(
                f,
                "{seconds:>20.1}  {} {:>6.3}",
                window.counts, window.bound
            )?;
        }
        for (title, parts) in [("queue", &self.queues), ("hall", &self.halls)] {
            writeln!(f, "{title:>20}  {COUNTS_HEAD}")?;
            for (name, counts) in parts {
                writeln!(f, "{name:>20}  {counts}")?;
            }
        }
        writeln!(f, "{:>20}  {}", "all", self.all)?;
        let lost: f64 = self.reasons.values().sum();
        let decisions: f64 = self
            .windows
            .values()
            .map(WindowTally::lost_to_decisions)
            .sum();
        let bound = (lost - decisions).max(0.0);
        writeln!(
            f,
            "worth lost, in jobs: {lost:.1}; to the bound {bound:.1}, beyond it {decisions:.1}"
        )?;
        let mut reasons: Vec<_> = self.reasons.iter().collect();
        reasons.sort_by(|(_, a), (_, b)| b.total_cmp(a));
        for ((loss, reason), lost) in reasons {
            let loss = format!("{loss:?}").to_lowercase();
            writeln!(f, "{lost:>9.1}  {loss:<10}  {reason}")?;
        }
        Ok(())
    }
}
