//! `gannetridge-lab account`: outcomes of jobs, from the logs of their hosts.

use std::path::PathBuf;

use anyhow::bail;
use gannetridge_host_log::Line;
use gumdrop::Options;

use crate::account::tally::Tally;
use crate::account::{capacity, jobs, plot};

/// Reports the outcomes of jobs from hosts' logs.
#[derive(Debug, Options)]
pub struct Account {
    #[options(help = "print this help")]
    help: bool,
    #[options(free, help = "log files; lines may begin with a time and a host")]
    files: Vec<PathBuf>,
    #[options(
        no_short,
        help = "the length of a window, in ms",
        default = "2000",
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
    #[options(no_short, help = "draw the windows into an SVG file", meta = "FILE")]
    svg: Option<PathBuf>,
}

/// Prints the outcomes, and draws them if asked to.
///
/// # Errors
///
/// Fails if the window isn't above 0, a log can't be read, or the SVG file can't be drawn.
pub fn run(options: &Account) -> anyhow::Result<()> {
    if options.window_ms <= 0 {
        bail!("--window-ms must be greater than 0");
    }
    let mut lines: Vec<Line> = Vec::new();
    for path in &options.files {
        lines.extend(gannetridge_host_log::read(path)?);
    }
    lines.sort_by_key(|line| line.time_ms);
    let jobs = jobs::collect(&lines);
    let capacity = capacity::windows(&jobs, options.window_ms);
    let tally = Tally::new(&jobs, &capacity, options.window_ms, options.trip_ms);
    print!("{tally}");
    if let Some(path) = &options.svg {
        let disruptions = plot::count_disruptions(&lines, options.window_ms);
        plot::draw(path, &tally.windows, &disruptions, options.window_ms)?;
    }
    Ok(())
}
