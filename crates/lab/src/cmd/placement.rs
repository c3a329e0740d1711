//! `gannetridge-lab placement`: placement of tasks and waiting times, from the logs of the hosts.

use std::path::PathBuf;

use anyhow::bail;
use gannetridge_host_log::Line;
use gumdrop::Options;

use crate::account::jobs;
use crate::placement::gaps;
use crate::placement::table::Table;
use crate::placement::traffic::Traffic;

/// Reports the placement of tasks and the idle times of targets from hosts' logs.
#[derive(Debug, Options)]
pub struct Placement {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "log files; lines may begin with a time and a host")]
    files: Vec<PathBuf>,
    #[options(
        no_short,
        help = "the length of a window, in ms",
        default = "1000",
        meta = "N"
    )]
    window_ms: i64,
    #[options(
        no_short,
        help = "the latency added to each job's time at its host, in ms",
        default = "7",
        meta = "N"
    )]
    trip_ms: f64,
}

/// Prints the table.
///
/// # Errors
///
/// Fails if the window isn't above 0 or a log can't be read.
pub fn run(options: &Placement) -> anyhow::Result<()> {
    if options.window_ms <= 0 {
        bail!("--window-ms must be greater than 0");
    }
    let mut lines: Vec<Line> = Vec::new();
    for path in &options.files {
        lines.extend(gannetridge_host_log::read(path)?);
    }
    lines.sort_by_key(|line| line.time_ms);
    let jobs = jobs::collect(&lines);
    let gaps = gaps::collect(&jobs);
    let traffic = Traffic::new(&lines);
    let table = Table::new(&jobs, &gaps, traffic, options.window_ms, options.trip_ms);
    print!("{table}");
    Ok(())
}
