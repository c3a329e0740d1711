//! What the log lines say of each job.

use std::collections::HashMap;

use gannetridge_host_log::Line;

/// One attempt at a task.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The task's name.
    pub task: String,
    /// The target.
    pub target: String,
    /// The host that started it, which holds the target.
    pub holder: String,
    /// The holder's hall; empty if no line tells it.
    pub holder_hall: String,
    /// When its start was sent, in ms of the logs' time.
    pub started: i64,
    /// Its end, if one was noted.
    pub end: Option<AttemptEnd>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptEnd {
    /// Whether it is done.
    pub done: bool,
    /// Time since its start was sent, in ms.
    pub took_ms: i64,
}

/// The end of a job.
#[derive(Clone, Debug)]
pub struct JobEnd {
    /// Why it ended.
    pub cause: String,
    /// Time since it was accepted, in ms.
    pub took_ms: i64,
}

/// One job at the host that accepted it.
#[derive(Clone, Debug)]
pub struct Job {
    /// The host that accepted it.
    pub host: String,
    /// Its queue.
    pub queue: String,
    /// The hall of its host; empty if no line tells it.
    pub hall: String,
    /// When it was accepted, in ms of the logs' time.
    pub accepted: i64,
    /// How many tasks it has.
    pub tasks: usize,
    /// Its latency objective by its estimate, in ms.
    pub objective_ms: f64,
    /// The estimate of its longest chain of tasks, in ms.
    pub chain_ms: f64,
    /// How many times that chain the objective holds.
    pub extension: f64,
    /// All attempts at its tasks.
    pub attempts: Vec<Attempt>,
    /// Whether a peer was asked to start tasks of it.
    pub handed_over: bool,
    /// Its end, if its host noted one.
    pub end: Option<JobEnd>,
}

/// A job's id and the host that accepted it: callers may send a job to several.
type JobKey = (String, String);

/// Gathers the jobs of lines in the order of time.
#[must_use]
pub fn gather(lines: &[Line]) -> Vec<Job> {
    let mut gathering = Gathering::default();
    for line in lines {
        gathering.take(line);
    }
    let mut jobs: Vec<Job> = gathering.jobs.into_values().collect();
    jobs.sort_by_key(|job| job.accepted);
    jobs
}

/// Where an attempt is found: its job, and its position there.
type AttemptPlace = (JobKey, usize);

#[derive(Default)]
struct Gathering {
    halls: HashMap<String, String>,
    jobs: HashMap<JobKey, Job>,
    /// Attempts by task and number.
    attempts: HashMap<(String, i64), AttemptPlace>,
}

impl Gathering {
    fn take(&mut self, line: &Line) {
        match line.event() {
            "started" if line.text("task").is_empty() => {
                let hall = line.text("hall").to_owned();
                self.halls.insert(line.host.clone(), hall);
            }
            "job-taken" => self.job_taken(line),
            "peer-asked" => {
                let key = (job_of(line.text("task")), line.host.clone());
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.handed_over = true;
                }
            }
            "started" => self.attempt_started(line),
            "run-ended" => self.attempt_ended(line),
            "job-ended" => {
                let key = (line.text("job").to_owned(), line.host.clone());
                if let Some(job) = self.jobs.get_mut(&key) {
                    job.end = Some(JobEnd {
                        cause: line.text("cause").to_owned(),
                        took_ms: whole(line, "took_ms"),
                    });
                }
            }
            _ => {}
        }
    }

    fn job_taken(&mut self, line: &Line) {
        let key = (line.text("job").to_owned(), line.host.clone());
        let hall = self.halls.get(&line.host).cloned();
        self.jobs.entry(key).or_insert_with(|| Job {
            host: line.host.clone(),
            queue: line.text("queue").to_owned(),
            hall: hall.unwrap_or_default(),
            accepted: line.at,
            tasks: whole(line, "tasks") as usize,
            objective_ms: line.number("aim_ms").unwrap_or(0.0),
            chain_ms: line.number("chain_ms").unwrap_or(0.0),
            extension: line.number("extension").unwrap_or(0.0),
            attempts: Vec::new(),
            handed_over: false,
            end: None,
        });
    }

    fn attempt_started(&mut self, line: &Line) {
        let task = line.text("task");
        let key = (job_of(task), line.text("owner").to_owned());
        let Some(job) = self.jobs.get_mut(&key) else {
            return;
        };
        let place = (key, job.attempts.len());
        let holder_hall = self.halls.get(&line.host).cloned();
        self.attempts
            .insert((task.to_owned(), whole(line, "run")), place);
        job.attempts.push(Attempt {
            task: task.to_owned(),
            target: line.text("target").to_owned(),
            holder: line.host.clone(),
            holder_hall: holder_hall.unwrap_or_default(),
            started: line.at,
            end: None,
        });
    }

    fn attempt_ended(&mut self, line: &Line) {
        let key = (line.text("task").to_owned(), whole(line, "run"));
        let Some((job, position)) = self.attempts.get(&key) else {
            return;
        };
        let job = self.jobs.get_mut(job).expect("attempts are of known jobs");
        job.attempts[*position].end = Some(AttemptEnd {
            done: line.text("end") == "done",
            took_ms: whole(line, "took_ms"),
        });
    }
}

/// Returns the id of a task's job.
fn job_of(task: &str) -> String {
    task.split('.').next().unwrap_or_default().to_owned()
}

/// Returns a whole number; 0 where the line has none, as in logs of other versions.
fn whole(line: &Line, field: &str) -> i64 {
    line.number(field).unwrap_or(0.0) as i64
}
