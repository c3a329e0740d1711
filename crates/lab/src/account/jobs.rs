//! Jobs and their attempts, collected from log lines.

use std::collections::HashMap;

use gannetridge_host_log::Line;

/// One attempt at a task.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The task's name, such as `JOB.0.STEP.TASK`.
    pub task: String,
    /// The id of its target.
    pub target: String,
    /// The host that started it, which holds the target's lease.
    pub holder: String,
    /// The hall of that host; empty if no line names it.
    pub holder_hall: String,
    /// When its start was sent, in ms of the logs' time.
    pub started_ms: i64,
    /// Its end, if one was logged.
    pub end: Option<AttemptEnd>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// It ended as done, not as failed or lost.
    pub done: bool,
    /// Time since its start was sent, in ms.
    pub took_ms: i64,
}

/// The end of a job.
#[derive(Clone, Debug)]
pub struct JobEnd {
    /// The cause as logged, such as `done`.
    pub cause: String,
    /// Time since it was accepted, in ms.
    pub took_ms: i64,
}

/// A job at the host that accepted it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The host that accepted it.
    pub host: String,
    /// Its queue.
    pub queue: String,
    /// The hall of that host; empty if no line names it.
    pub hall: String,
    /// When it was accepted, in ms of the logs' time.
    pub accepted_ms: i64,
    /// The number of its tasks.
    pub tasks: usize,
    /// Its latency objective by its estimates, in ms.
    pub objective_ms: f64,
    /// The estimate of its longest chain of dependent tasks, in ms.
    pub critical_path_ms: f64,
    /// By how much the objective grows with each ms of that chain.
    pub extension: f64,
    /// All attempts at its tasks.
    pub attempts: Vec<Attempt>,
    /// A peer was asked to start tasks of it.
    pub asked_peer: bool,
    /// Its end, if its host logged one.
    pub end: Option<JobEnd>,
}

/// A job's id and the host that accepted it: callers may send one job to several hosts.
type JobKey = (String, String);

/// Collects the jobs of lines that are in the order of time.
#[must_use]
pub fn collect(lines: &[Line]) -> Vec<Job> {
    let mut collector = Collector::default();
    for line in lines {
        collector.handle_line(line);
    }
    let mut jobs: Vec<Job> = collector.jobs.into_values().collect();
    jobs.sort_by_key(|job| job.accepted_ms);
    jobs
}

/// The job of an attempt, and the index of the attempt there.
type AttemptPosition = (JobKey, usize);

/// The jobs of the lines handled so far.
#[derive(Default)]
struct Collector {
    /// The hall of each host.
    halls: HashMap<String, String>,
    jobs: HashMap<JobKey, Job>,
    /// By task and attempt number.
    attempts: HashMap<(String, i64), AttemptPosition>,
}

impl Collector {
    fn handle_line(&mut self, line: &Line) {
        match line.event() {
            "started" if line.text("task").is_empty() => {
                let hall = line.text("hall").to_owned();
                self.halls.insert(line.host.clone(), hall);
            }
            "job-taken" => self.record_accepted_job(line),
            "peer-asked" => {
                let key = (job_id_of(line.text("task")), line.host.clone());
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.asked_peer = true;
                }
            }
            "started" => self.record_start(line),
            "run-ended" => self.record_end(line),
            "job-ended" => {
                let key = (line.text("job").to_owned(), line.host.clone());
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.end = Some(JobEnd {
                        cause: line.text("cause").to_owned(),
                        took_ms: integer_field(line, "took_ms"),
                    });
                }
            }
            _ => {}
        }
    }

    fn record_accepted_job(&mut self, line: &Line) {
        let key = (line.text("job").to_owned(), line.host.clone());
        let hall = self.halls.get(&line.host).cloned();
        self.jobs.entry(key).or_insert_with(|| Job {
            host: line.host.clone(),
            queue: line.text("queue").to_owned(),
            hall: hall.unwrap_or_default(),
            accepted_ms: line.time_ms,
            tasks: integer_field(line, "tasks") as usize,
            objective_ms: line.number("aim_ms").unwrap_or(0.0),
            critical_path_ms: line.number("chain_ms").unwrap_or(0.0),
            extension: line.number("extension").unwrap_or(0.0),
            attempts: Vec::new(),
            asked_peer: false,
            end: None,
        });
    }

    fn record_start(&mut self, line: &Line) {
        let task = line.text("task");
        let key = (job_id_of(task), line.text("owner").to_owned());
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let position = (key, job.attempts.len());
        let holder_hall = self.halls.get(&line.host).cloned();
        self.attempts
            .insert((task.to_owned(), integer_field(line, "run")), position);
        job.attempts.push(Attempt {
            task: task.to_owned(),
            target: line.text("target").to_owned(),
            holder: line.host.clone(),
            holder_hall: holder_hall.unwrap_or_default(),
            started_ms: line.time_ms,
            end: None,
        });
    }

    fn record_end(&mut self, line: &Line) {
        let key = (line.text("task").to_owned(), integer_field(line, "run"));
        let Some((job_key, index)) = self.attempts.get(&key) else {
            return;
        };
        let job = self
            .jobs
            .get_mut(job_key)
            .expect("attempts are of known jobs");
        job.attempts[*index].end = Some(AttemptEnd {
            done: line.text("end") == "done",
            took_ms: integer_field(line, "took_ms"),
        });
    }
}

/// Returns the id of a task's job.
fn job_id_of(task: &str) -> String {
    task.split('.').next().unwrap_or_default().to_owned()
}

/// Returns a field as an integer; 0 if the line lacks it, as in logs of other versions.
fn integer_field(line: &Line, field: &str) -> i64 {
    line.number(field).unwrap_or(0.0) as i64
}
