//! `gannetridge story`: one request's way through the logs of several hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use anyhow::{bail, Context};
use gumdrop::Options;
use serde_json::{Map, Value};

/// Lines on hosts and targets are shown from so long before the request's
/// first line until so long after its last.
const AROUND_MS: i64 = 1_000;
/// Fields that are shown in front of a line, or say nothing.
const SHOWN_ELSEWHERE: [&str; 4] = ["timestamp", "level", "event", "message"];
/// Events of a host that may explain what became of a request.
const HOST_EVENTS: [&str; 8] = [
    "started",
    "stopping",
    "stopped",
    "reload",
    "store",
    "configuration",
    "peer",
    "session-lost",
];

/// Options of `story`.
#[derive(Debug, Options)]
pub struct Story {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the request's id", meta = "ID")]
    id: Option<String>,
    #[options(free, help = "log files; lines may begin with a time and a host")]
    files: Vec<PathBuf>,
}

/// A log line.
struct Line {
    /// In ms; of the host's clock, or as the line's own prefix says.
    at: i64,
    host: String,
    fields: Map<String, Value>,
}

impl Line {
    fn text(&self, field: &str) -> &str {
        self.fields.get(field).and_then(Value::as_str).unwrap_or("")
    }

    fn event(&self) -> &str {
        self.text("event")
    }

    /// Tells whether the line is about the request.
    fn is_about(&self, id: &str) -> bool {
        let task = self.text("task").split('.').next() == Some(id);
        task || self.text("job") == id || self.text("path").ends_with(id)
    }
}

/// Prints the request's lines in the order of time.
pub fn run(options: &Story) -> anyhow::Result<()> {
    let id = options.id.as_deref().context("--id ID is needed")?;
    let mut lines = Vec::new();
    for path in &options.files {
        read(path, &mut lines)?;
    }
    lines.sort_by_key(|line| line.at);
    let about: Vec<&Line> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        bail!("no line about {id} among {} lines", lines.len());
    };
    let span = first.at - AROUND_MS..=last.at + AROUND_MS;
    let hosts: BTreeSet<&str> = about.iter().map(|line| line.host.as_str()).collect();
    let targets: BTreeSet<&str> = about.iter().map(|line| line.text("target")).collect();
    for line in &lines {
        let of_host = HOST_EVENTS.contains(&line.event()) && !line.fields.contains_key("task");
        let beside = of_host && hosts.contains(line.host.as_str())
            || line.event() == "target" && targets.contains(line.text("target"));
        if line.is_about(id) {
            println!("{}", show(line, first.at, ' '));
        } else if beside && span.contains(&line.at) {
            println!("{}", show(line, first.at, '|'));
        }
    }
    for gap in clock_gaps(&about) {
        println!("{gap}");
    }
    Ok(())
}

fn read(path: &Path, lines: &mut Vec<Line>) -> anyhow::Result<()> {
    let bytes = std::fs::read(path).with_context(|| format!("can't read {}", path.display()))?;
    let text = String::from_utf8_lossy(&bytes);
    let mut host = path
        .file_stem()
        .unwrap_or_default()
        .to_string_lossy()
        .into_owned();
    for line in text.lines() {
        let Some(start) = line.find('{') else {
            continue;
        };
        let Ok(fields) = serde_json::from_str::<Map<String, Value>>(&line[start..]) else {
            continue;
        };
        if let Some(name) = fields.get("name").and_then(Value::as_str) {
            host = name.to_owned();
        }
        let prefixed = prefix(&line[..start]);
        let timestamp = fields.get("timestamp").and_then(Value::as_str);
        let (at, host) = match (prefixed, timestamp.and_then(millis)) {
            (Some(prefixed), _) => prefixed,
            (None, Some(at)) => (at, host.clone()),
            (None, None) => continue,
        };
        lines.push(Line { at, host, fields });
    }
    Ok(())
}

/// Reads a prefix of a time in seconds and a host's name.
fn prefix(text: &str) -> Option<(i64, String)> {
    let mut words = text.split_whitespace();
    let seconds: f64 = words.next()?.parse().ok()?;
    let host = words.next()?.to_owned();
    Some(((seconds * 1_000.0) as i64, host))
}

/// Reads the time of day of a timestamp such as `2026-01-20T22:07:31.551343Z`,
/// with the day of the month, in ms.
fn millis(timestamp: &str) -> Option<i64> {
    let (date, time) = timestamp.trim_end_matches('Z').split_once('T')?;
    let day: i64 = date.rsplit('-').next()?.parse().ok()?;
    let mut parts = time.split(':');
    let hours: i64 = parts.next()?.parse().ok()?;
    let minutes: i64 = parts.next()?.parse().ok()?;
    let seconds: f64 = parts.next()?.parse().ok()?;
    Some(((day * 24 + hours) * 60 + minutes) * 60_000 + (seconds * 1_000.0) as i64)
}

fn show(line: &Line, since: i64, mark: char) -> String {
    let fields = line.fields.iter();
    let fields = fields.filter(|(name, _)| !SHOWN_ELSEWHERE.contains(&name.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let (at, host, event) = (line.at - since, &line.host, line.event());
    format!("{mark} {at:>7} ms  {host}  {event}  {}", fields.join(" "))
}

/// Tells which hosts' clocks can't agree: an effect before its cause.
fn clock_gaps(about: &[&Line]) -> Vec<String> {
    let taken = about.iter().find(|line| line.event() == "job-taken");
    let ended = about.iter().find(|line| line.event() == "job-ended");
    let mut behind: BTreeMap<&str, i64> = BTreeMap::new();
    let mut ahead: BTreeMap<&str, i64> = BTreeMap::new();
    for line in about {
        if let (Some(taken), "started") = (taken, line.event()) {
            let gap = behind.entry(&line.host).or_default();
            *gap = (*gap).max(taken.at - line.at);
        }
        let done = line.event() == "run-ended" && line.text("end") == "done";
        if let (Some(ended), true) = (ended, done) {
            let completed = ended.text("cause") == "done";
            let gap = ahead.entry(&line.host).or_default();
            *gap = (*gap).max(if completed { line.at - ended.at } else { 0 });
        }
    }
    let tell = |(host, gap): (&str, i64), side: &str| {
        (gap > 0).then(|| format!("clock: {host} is {gap} ms or more {side}"))
    };
    let behind = behind
        .into_iter()
        .filter_map(|gap| tell(gap, "behind the owner"));
    let ahead = ahead
        .into_iter()
        .filter_map(|gap| tell(gap, "ahead of the owner"));
    behind.chain(ahead).collect()
}
