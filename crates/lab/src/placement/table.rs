//! Adds up jobs, gaps and starts, and prints them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use super::gaps::Gap;
use super::traffic::Traffic;
use crate::account::jobs::{Attempt, Job};
use crate::account::outcome::{classify, Outcome, Reason};
use crate::account::tally::{Counts, COUNTS_HEADER};

/// Durations of gaps in ms, in ascending order.
#[derive(Debug, Default)]
struct Durations(Vec<i64>);

impl Durations {
    fn collect<'a>(gaps: impl Iterator<Item = &'a Gap>) -> Self {
        let mut durations: Vec<i64> = gaps.map(|gap| gap.duration_ms).collect();
        durations.sort_unstable();
        Self(durations)
    }

    /// Returns the duration that `percent` of 100 gaps don't exceed.
    fn percentile(&self, percent: usize) -> Option<i64> {
        let position = (self.0.len() * percent).div_ceil(100);
        self.0.get(position.checked_sub(1)?).copied()
    }
}

impl fmt::Display for Durations {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:>7}", self.0.len())?;
        for percent in [50, 75, 90] {
            match self.percentile(percent) {
                Some(ms) => write!(f, " {ms:>5}")?,
                None => write!(f, " {:>5}", "-")?,
            }
        }
        Ok(())
    }
}

/// The attempts that a holder started, by where the owner of the job is.
#[derive(Debug, Default)]
struct StartCounts {
    own_host: u64,
    own_hall: u64,
    other_hall: u64,
    /// The hall of the holder or of the owner isn't known.
    unknown: u64,
}

impl StartCounts {
    fn add_attempt(&mut self, job: &Job, attempt: &Attempt) {
        if attempt.holder == job.host {
            self.own_host += 1;
        } else if attempt.holder_hall.is_empty() || job.hall.is_empty() {
            self.unknown += 1;
        } else if attempt.holder_hall == job.hall {
            self.own_hall += 1;
        } else {
            self.other_hall += 1;
        }
    }

    fn total(&self) -> u64 {
        self.own_host + self.own_hall + self.other_hall + self.unknown
    }
}

/// The jobs that one host accepted, and the attempts that it started.
#[derive(Debug, Default)]
struct HostTally {
    hall: String,
    accepted: Counts,
    passed_over: usize,
    starts: StartCounts,
    /// The targets on which it started attempts.
    targets: BTreeSet<String>,
}

/// The gaps that began in one window, or in all.
#[derive(Debug, Default)]
struct GapTally {
    all: Durations,
    while_waiting: Durations,
}

impl GapTally {
    fn new(gaps: &[&Gap]) -> Self {
        let waiting = gaps.iter().copied().filter(|gap| gap.while_waiting);
        Self {
            all: Durations::collect(gaps.iter().copied()),
            while_waiting: Durations::collect(waiting),
        }
    }
}

/// All sums, by window, queue, hall and host.
#[derive(Debug)]
pub struct Table {
    window_ms: i64,
    /// By window, numbered from the logs' time 0.
    windows: BTreeMap<i64, (Counts, GapTally)>,
    queues: BTreeMap<String, Counts>,
    halls: BTreeMap<String, Counts>,
    hosts: BTreeMap<String, HostTally>,
    all: Counts,
    gaps: GapTally,
    starts: StartCounts,
    traffic: Traffic,
}

impl Table {
    /// Adds up jobs, gaps and traffic; see [`classify`] for `added_latency_ms`.
    #[must_use]
    pub fn new(
        jobs: &[Job],
        gaps: &[Gap],
        traffic: Traffic,
        window_ms: i64,
        added_latency_ms: f64,
    ) -> Self {
        let mut table = Self {
            window_ms,
            windows: BTreeMap::new(),
            queues: BTreeMap::new(),
            halls: BTreeMap::new(),
            hosts: BTreeMap::new(),
            all: Counts::default(),
            gaps: GapTally::new(&gaps.iter().collect::<Vec<_>>()),
            starts: StartCounts::default(),
            traffic,
        };
        for job in jobs {
            table.add_job(job, classify(job, added_latency_ms));
        }
        let mut by_window: BTreeMap<i64, Vec<&Gap>> = BTreeMap::new();
        for gap in gaps {
            let window = gap.start_ms.div_euclid(window_ms);
            by_window.entry(window).or_default().push(gap);
        }
        for (window, gaps) in by_window {
            table.windows.entry(window).or_default().1 = GapTally::new(&gaps);
        }
        table
    }

    fn add_job(&mut self, job: &Job, outcome: Outcome) {
        let window = job.accepted_ms.div_euclid(self.window_ms);
        let queue = self.queues.entry(job.queue.clone()).or_default();
        let hall = self.halls.entry(job.hall.clone()).or_default();
        let host = self.hosts.entry(job.host.clone()).or_default();
        host.hall.clone_from(&job.hall);
        let passed_over = outcome == Outcome::Refused(Reason::PassedOver);
        host.passed_over += usize::from(passed_over);
        let by_window = &mut self.windows.entry(window).or_default().0;
        for counts in [by_window, queue, hall, &mut host.accepted, &mut self.all] {
            counts.add(outcome);
        }
        for attempt in &job.attempts {
            self.starts.add_attempt(job, attempt);
            let holder = self.hosts.entry(attempt.holder.clone()).or_default();
            holder.hall.clone_from(&attempt.holder_hall);
            holder.starts.add_attempt(job, attempt);
            holder.targets.insert(attempt.target.clone());
        }
    }

    fn write_windows(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let gaps = "gaps: 50 75 90 of 100, ms  while tasks wait";
        writeln!(f, "{:>20}  {COUNTS_HEADER}  {gaps}", "window, s")?;
        for (at, (counts, gaps)) in &self.windows {
            let seconds = (at * self.window_ms) as f64 / 1_000.0;
            writeln!(
                f,
                "{seconds:>20.1}  {counts}  {}  {}",
                gaps.all, gaps.while_waiting
            )?;
        }
        writeln!(
            f,
            "{:>20}  {}  {}  {}",
            "all", self.all, self.gaps.all, self.gaps.while_waiting
        )
    }

    fn write_hosts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let head = "late  passed over  targets  started for itself    hall  others  hall of it";
        writeln!(f, "{:>28}  {COUNTS_HEADER}  {head}", "host")?;
        let mut hosts: Vec<_> = self.hosts.iter().collect();
        hosts.sort_by_key(|(_, host)| std::cmp::Reverse(host.targets.len()));
        for (name, host) in hosts {
            let share = |part: usize| part as f64 / host.accepted.total.max(1) as f64;
            writeln!(
                f,
                "{name:>28}  {}  {:>4.2}  {:>11.2}  {:>7}  {:>18}  {:>6}  {:>6}  {}",
                host.accepted,
                share(host.accepted.late),
                share(host.passed_over),
                host.targets.len(),
                host.starts.own_host,
                host.starts.own_hall,
                host.starts.other_hall,
                host.hall
            )?;
        }
        Ok(())
    }

    fn write_starts(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let starts = &self.starts;
        writeln!(
            f,
            "starts: {}, for callers of the host itself {}, of its hall {}, of other halls {}, of unknown halls {}",
            starts.total(),
            starts.own_host,
            starts.own_hall,
            starts.other_hall,
            starts.unknown
        )?;
        let per_start = |count: u64| count as f64 / starts.total().max(1) as f64;
        let traffic = &self.traffic;
        writeln!(
            f,
            "peer-asked: {} lines ({:.2} a start), {} tasks ({:.2} a start)",
            traffic.asked_lines,
            per_start(traffic.asked_lines),
            traffic.asked_tasks,
            per_start(traffic.asked_tasks)
        )?;
        writeln!(
            f,
            "messages up to the last traffic lines, and for each start:"
        )?;
        for (kind, count) in &traffic.messages {
            writeln!(f, "{kind:>24} {count:>9} {:>7.2}", per_start(*count))?;
        }
        Ok(())
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.write_windows(f)?;
        for (title, parts) in [("queue", &self.queues), ("hall", &self.halls)] {
            writeln!(f, "{title:>20}  {COUNTS_HEADER}")?;
            for (name, counts) in parts {
                writeln!(f, "{name:>20}  {counts}")?;
            }
        }
        self.write_hosts(f)?;
        self.write_starts(f)
    }
}
