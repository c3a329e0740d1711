//! Adds up outcomes by window, queue and hall, and prints them.

use std::collections::BTreeMap;
use std::fmt;

use super::capacity::Window;
use super::jobs::Job;
use super::outcome::{classify, Outcome, Reason};

/// The value of a late answer as a share of one on time, as the users' deployments pay for it.
const LATE_VALUE: f64 = 0.2;

/// The number of jobs with each outcome.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    /// All jobs.
    pub total: usize,
    /// Answered on time.
    pub on_time: usize,
    /// Answered late.
    pub late: usize,
    /// Refused as not run.
    pub refused: usize,
    /// Not answered, or answered too late to have value.
    pub unfinished: usize,
}

impl Counts {
    /// Adds a job's outcome.
    pub fn add(&mut self, outcome: Outcome) {
        self.total += 1;
        match outcome {
            Outcome::OnTime => self.on_time += 1,
            Outcome::Late(_) => self.late += 1,
            Outcome::Refused(_) => self.refused += 1,
            Outcome::Unfinished(_) => self.unfinished += 1,
        }
    }

    /// Returns the value of the answers, as a share of the value of all jobs on time.
    #[must_use]
    pub fn value_share(&self) -> f64 {
        let served = self.on_time as f64 + LATE_VALUE * self.late as f64;
        served / self.total.max(1) as f64
    }
}

/// The column headings of printed [`Counts`].
pub const COUNTS_HEADER: &str = " asked  on time   late  refused  unfinished   worth";

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:>6} {:>8} {:>6} {:>8} {:>11} {:>7.3}",
            self.total,
            self.on_time,
            self.late,
            self.refused,
            self.unfinished,
            self.value_share()
        )
    }
}

/// The outcomes of one window's jobs, and their bound.
#[derive(Clone, Copy, Debug, Default)]
pub struct WindowTally {
    /// The outcomes of the jobs accepted in it.
    pub counts: Counts,
    /// The largest share of its jobs that could have been served.
    pub bound: f64,
}

impl WindowTally {
    /// Returns the value lost, in jobs, that the bound doesn't explain.
    fn lost_beyond_bound(&self) -> f64 {
        let jobs = self.counts.total as f64;
        (jobs * (self.bound - self.counts.value_share())).max(0.0)
    }
}

/// The outcomes of all jobs.
#[derive(Debug, Default)]
pub struct Tally {
    window_ms: i64,
    all: Counts,
    /// By window, numbered from the logs' time 0.
    pub windows: BTreeMap<i64, WindowTally>,
    queues: BTreeMap<String, Counts>,
    halls: BTreeMap<String, Counts>,
    /// The value lost for each reason, in jobs.
    reasons: BTreeMap<(Loss, Reason), f64>,
}

/// How the value of a job was lost, wholly or in part; the names are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Loss {
    Late,
    Refused,
    Unfinished,
}

impl Tally {
    /// Adds up the jobs' outcomes; see [`classify`] for `added_latency_ms`.
    #[must_use]
    pub fn new(
        jobs: &[Job],
        capacity: &BTreeMap<i64, Window>,
        window_ms: i64,
        added_latency_ms: f64,
    ) -> Self {
        let mut tally = Self {
            window_ms,
            ..Self::default()
        };
        for job in jobs {
            let outcome = classify(job, added_latency_ms);
            let at = job.accepted_ms.div_euclid(window_ms);
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
            if let Some((loss, reason)) = loss_of(outcome) {
                let lost = if loss == Loss::Late {
                    1.0 - LATE_VALUE
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

fn loss_of(outcome: Outcome) -> Option<(Loss, Reason)> {
    match outcome {
        Outcome::OnTime => None,
        Outcome::Late(reason) => Some((Loss::Late, reason)),
        Outcome::Refused(reason) => Some((Loss::Refused, reason)),
        Outcome::Unfinished(reason) => Some((Loss::Unfinished, reason)),
    }
}

impl fmt::Display for Tally {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:>20}  {COUNTS_HEADER}  bound", "window, s")?;
        for (at, window) in &self.windows {
            let seconds = (at * self.window_ms) as f64 / 1_000.0;
            writeln!(
                f,
                "{seconds:>20.1}  {} {:>6.3}",
                window.counts, window.bound
            )?;
        }
        for (title, parts) in [("queue", &self.queues), ("hall", &self.halls)] {
            writeln!(f, "{title:>20}  {COUNTS_HEADER}")?;
            for (name, counts) in parts {
                writeln!(f, "{name:>20}  {counts}")?;
            }
        }
        writeln!(f, "{:>20}  {}", "all", self.all)?;
        let lost: f64 = self.reasons.values().sum();
        let beyond_bound: f64 = self
            .windows
            .values()
            .map(WindowTally::lost_beyond_bound)
            .sum();
        let bound = (lost - beyond_bound).max(0.0);
        writeln!(
            f,
            "worth lost, in jobs: {lost:.1}; to the bound {bound:.1}, beyond it {beyond_bound:.1}"
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
