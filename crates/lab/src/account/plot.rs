//! Draws what was served in each window, the bound, and when hosts saw trouble.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::anyhow;
use gannetridge_host_log::Line;
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Rectangle, SVGBackend, BLUE, RED, WHITE,
};
use plotters::style::{Color, RGBColor};

use super::tally::WindowTally;

/// The picture's size, in points.
const SIZE: (u32, u32) = (900, 320);
/// The colour of windows in which hosts saw trouble.
const TROUBLE: RGBColor = RGBColor(230, 160, 60);

/// Draws windows of `window_ms` into an SVG file.
///
/// # Errors
///
/// Fails if there are no windows, or the file can't be written.
pub fn draw(
    path: &Path,
    windows: &BTreeMap<i64, WindowTally>,
    troubles: &BTreeMap<i64, usize>,
    window_ms: i64,
) -> anyhow::Result<()> {
    let seconds = |at: i64| (at * window_ms) as f64 / 1_000.0;
    let (Some(first), Some(last)) = (windows.keys().next(), windows.keys().last()) else {
        return Err(anyhow!("no job in the logs"));
    };
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .build_cartesian_2d(seconds(*first)..seconds(last + 1), 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("part served (blue), bound (red)")
        .draw()?;
    let most = troubles.values().copied().max().unwrap_or(1).max(1);
    chart.draw_series(troubles.iter().map(|(at, count)| {
        let height = *count as f64 / most as f64;
        let corners = [(seconds(*at), 0.0), (seconds(at + 1), height)];
        Rectangle::new(corners, TROUBLE.mix(0.35).filled())
    }))?;
    let points = |value: fn(&WindowTally) -> f64| {
        windows.iter().map(move |(at, window)| {
            let middle = seconds(*at) + window_ms as f64 / 2_000.0;
            (middle, value(window))
        })
    };
    chart.draw_series(LineSeries::new(points(|window| window.bound), RED))?;
    chart.draw_series(LineSeries::new(
        points(|window| window.counts.worth()),
        BLUE,
    ))?;
    root.present()?;
    Ok(())
}

/// Counts the lines of each window that tell of trouble: hosts that start, stop or fall
/// silent, targets that do or are lost, a store without answer.
#[must_use]
pub fn troubles(lines: &[Line], window_ms: i64) -> BTreeMap<i64, usize> {
    let mut troubles = BTreeMap::new();
    for line in lines.iter().filter(|line| is_trouble(line)) {
        *troubles.entry(line.at.div_euclid(window_ms)).or_default() += 1;
    }
    troubles
}

fn is_trouble(line: &Line) -> bool {
    match line.event() {
        "stopping" | "session-lost" => true,
        "started" => line.text("task").is_empty(),
        "peer" | "target" => line.text("state") == "silent",
        "store" => line
            .fields
            .get("reachable")
            .is_some_and(|there| there == false),
        _ => false,
    }
}
