//! `gannetridge story`: one request's way through the logs of several hosts.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use anyhow::{bail, Context};
use gannetridge_host_log::Line;
use gumdrop::Options;

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

/// Tells whether a line is about a request.
fn is_about(line: &Line, id: &str) -> bool {
    let task = line.text("task").split('.').next() == Some(id);
    task || line.text("job") == id || line.text("path").ends_with(id)
}

/// Prints the request's lines in the order of time.
pub fn run(options: &Story) -> anyhow::Result<()> {
    let id = options.id.as_deref().context("--id ID is needed")?;
    let mut lines = Vec::new();
    for path in &options.files {
        lines.extend(gannetridge_host_log::read(path)?);
    }
    lines.sort_by_key(|line| line.time_ms);
    let about: Vec<&Line> = lines.iter().filter(|line| is_about(line, id)).collect();
    let (Some(first), Some(last)) = (about.first(), about.last()) else {
        bail!("no line about {id} among {} lines", lines.len());
    };
    let span = first.time_ms - AROUND_MS..=last.time_ms + AROUND_MS;
    let hosts: BTreeSet<&str> = about.iter().map(|line| line.host.as_str()).collect();
    let targets: BTreeSet<&str> = about.iter().map(|line| line.text("target")).collect();
    for line in &lines {
        let of_host = HOST_EVENTS.contains(&line.event()) && !line.fields.contains_key("task");
        let beside = of_host && hosts.contains(line.host.as_str())
            || line.event() == "target" && targets.contains(line.text("target"));
        if is_about(line, id) {
            println!("{}", show(line, first.time_ms, ' '));
        } else if beside && span.contains(&line.time_ms) {
            println!("{}", show(line, first.time_ms, '|'));
        }
    }
    for gap in clock_gaps(&about) {
        println!("{gap}");
    }
    Ok(())
}

fn show(line: &Line, since: i64, mark: char) -> String {
    let fields = line.fields.iter();
    let fields = fields.filter(|(name, _)| !SHOWN_ELSEWHERE.contains(&name.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let (at, host, event) = (line.time_ms - since, &line.host, line.event());
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
            *gap = (*gap).max(taken.time_ms - line.time_ms);
        }
        let done = line.event() == "run-ended" && line.text("end") == "done";
        if let (Some(ended), true) = (ended, done) {
            let completed = ended.text("cause") == "done";
            let gap = ahead.entry(&line.host).or_default();
            *gap = (*gap).max(if completed {
                line.time_ms - ended.time_ms
            } else {
                0
            });
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
