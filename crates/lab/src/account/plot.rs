//! Draws the served share and its bound in each window, and when hosts logged disruptions.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::anyhow;
use gannetridge_host_log::Line;
use plotters::prelude::{
    ChartBuilder, IntoDrawingArea, LineSeries, Rectangle, SVGBackend, BLUE, RED, WHITE,
};
use plotters::style::{Color, RGBColor};

use super::tally::WindowTally;

/// The image's width and height.
const SIZE_PX: (u32, u32) = (900, 320);
/// The colour of windows with disruptions.
const DISRUPTION_COLOUR: RGBColor = RGBColor(230, 160, 60);

/// Draws windows of `window_ms` into an SVG file.
///
/// # Errors
///
/// Fails if there are no windows, or the file can't be written.
pub fn draw(
    path: &Path,
    windows: &BTreeMap<i64, WindowTally>,
    disruptions: &BTreeMap<i64, usize>,
    window_ms: i64,
) -> anyhow::Result<()> {
    let seconds = |at: i64| (at * window_ms) as f64 / 1_000.0;
    let (Some(first), Some(last)) = (windows.keys().next(), windows.keys().last()) else {
        return Err(anyhow!("no job in the logs"));
    };
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    root.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(28)
        .y_label_area_size(40)
        .build_cartesian_2d(seconds(*first)..seconds(last + 1), 0.0..1.05)?;
    chart
        .configure_mesh()
        .x_desc("s")
        .y_desc("share served (blue), bound (red)")
        .draw()?;
    let max_count = disruptions.values().copied().max().unwrap_or(1).max(1);
    chart.draw_series(disruptions.iter().map(|(at, count)| {
        let height = *count as f64 / max_count as f64;
        let corners = [(seconds(*at), 0.0), (seconds(at + 1), height)];
        Rectangle::new(corners, DISRUPTION_COLOUR.mix(0.35).filled())
    }))?;
    let points = |value: fn(&WindowTally) -> f64| {
        windows.iter().map(move |(at, window)| {
            let middle = seconds(*at) + window_ms as f64 / 2_000.0;
            (middle, value(window))
        })
    };
    chart.draw_series(LineSeries::new(points(|window| window.bound), RED))?;
    chart.draw_series(LineSeries::new(
        points(|window| window.counts.value_share()),
        BLUE,
    ))?;
    root.present()?;
    Ok(())
}

/// Counts each window's lines that report a disruption: a host that starts, stops or falls silent,
/// a target that falls silent, or an unreachable store.
#[must_use]
pub fn count_disruptions(lines: &[Line], window_ms: i64) -> BTreeMap<i64, usize> {
    let mut disruptions = BTreeMap::new();
    for line in lines.iter().filter(|line| is_disruption(line)) {
        *disruptions
            .entry(line.time_ms.div_euclid(window_ms))
            .or_default() += 1;
    }
    disruptions
}

fn is_disruption(line: &Line) -> bool {
    match line.event() {
        "stopping" | "session-lost" => true,
        "started" => line.text("task").is_empty(),
        "peer" | "target" => line.text("state") == "silent",
        "store" => line
            .fields
            .get("reachable")
            .is_some_and(|reachable| reachable == false),
        _ => false,
    }
}
