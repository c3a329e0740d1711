//! `gannetridge story`: prints the log lines of several hosts about one request.

use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;

use anyhow::{bail, Context};
use gannetridge_host_log::Line;
use gumdrop::Options;

/// Lines about the hosts and targets involved are shown from this long before the request's
/// first line until this long after its last one.
const CONTEXT_MS: i64 = 1_000;
/// Fields left out of the printed list: they are printed before it or add nothing.
const OMITTED_FIELDS: [&str; 4] = ["timestamp", "level", "event", "message"];
/// Events of a host that may explain the outcome of a request.
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

/// Prints the log lines about one request, in the order of time.
#[derive(Debug, Options)]
pub struct Story {
    #[options(help = "print this help")]
    help: bool,
    #[options(no_short, help = "the request's id", meta = "ID")]
    id: Option<String>,
    #[options(free, help = "log files; lines may begin with a time and a host")]
    files: Vec<PathBuf>,
}

/// Returns true if a line is about the request.
fn is_about(line: &Line, id: &str) -> bool {
    let is_task = line.text("task").split('.').next() == Some(id);
    is_task || line.text("job") == id || line.text("path").ends_with(id)
}

/// Prints the lines about the request, with lines that give the context (marked `|`), and
/// then the differences between hosts' clocks that the lines prove.
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
    let span = first.time_ms - CONTEXT_MS..=last.time_ms + CONTEXT_MS;
    let hosts: BTreeSet<&str> = about.iter().map(|line| line.host.as_str()).collect();
    let targets: BTreeSet<&str> = about.iter().map(|line| line.text("target")).collect();
    for line in &lines {
        let of_host = HOST_EVENTS.contains(&line.event()) && !line.fields.contains_key("task");
        let is_context = of_host && hosts.contains(line.host.as_str())
            || line.event() == "target" && targets.contains(line.text("target"));
        if is_about(line, id) {
            println!("{}", format_line(line, first.time_ms, ' '));
        } else if is_context && span.contains(&line.time_ms) {
            println!("{}", format_line(line, first.time_ms, '|'));
        }
    }
    for difference in clock_differences(&about) {
        println!("{difference}");
    }
    Ok(())
}

/// Formats a line with its time relative to `start_ms`.
fn format_line(line: &Line, start_ms: i64, mark: char) -> String {
    let fields = line.fields.iter();
    let fields = fields.filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()));
    let fields: Vec<String> = fields
        .map(|(name, value)| format!("{name}={value}"))
        .collect();
    let (offset_ms, host, event) = (line.time_ms - start_ms, &line.host, line.event());
    format!(
        "{mark} {offset_ms:>7} ms  {host}  {event}  {}",
        fields.join(" ")
    )
}

/// Describes hosts whose clocks must differ from the owner's, because an effect is logged
/// before its cause.
fn clock_differences(about: &[&Line]) -> Vec<String> {
    let accepted = about.iter().find(|line| line.event() == "job-taken");
    let ended = about.iter().find(|line| line.event() == "job-ended");
    let mut behind: BTreeMap<&str, i64> = BTreeMap::new();
    let mut ahead: BTreeMap<&str, i64> = BTreeMap::new();
    for line in about {
        if let (Some(accepted), "started") = (accepted, line.event()) {
            let behind_ms = behind.entry(&line.host).or_default();
            *behind_ms = (*behind_ms).max(accepted.time_ms - line.time_ms);
        }
        let is_done = line.event() == "run-ended" && line.text("end") == "done";
        if let (Some(ended), true) = (ended, is_done) {
            let is_complete = ended.text("cause") == "done";
            let ahead_ms = ahead.entry(&line.host).or_default();
            *ahead_ms = (*ahead_ms).max(if is_complete {
                line.time_ms - ended.time_ms
            } else {
                0
            });
        }
    }
    let describe = |(host, difference_ms): (&str, i64), side: &str| {
        (difference_ms > 0).then(|| format!("clock: {host} is {difference_ms} ms or more {side}"))
    };
    let behind = behind
        .into_iter()
        .filter_map(|entry| describe(entry, "behind the owner"));
    let ahead = ahead
        .into_iter()
        .filter_map(|entry| describe(entry, "ahead of the owner"));
    behind.chain(ahead).collect()
}
