//! Draws charts of a run: late, refused and unknown requests, and the share of shards covered.

use std::collections::BTreeMap;

use plotters::prelude::*;

use super::line::Log;
use crate::error::{Error, Result};

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_000, 700);
/// Margin around a chart and space for axis labels, in pixels; labels of four digits fit.
const MARGIN: u32 = 12;
const LABEL_AREA: u32 = 48;

/// A request that was late, refused or of unknown outcome, as a point of the chart.
struct DataPoint {
    at_s: f64,
    took_ms: f64,
    color: RGBColor,
}

/// Draws the charts of a log as an SVG document.
///
/// # Errors
///
/// Returns [`Error::Malformed`] if the log has no lines or the charts can't be drawn.
pub fn svg(log: &Log) -> Result<String> {
    let (Some(first), Some(last)) = (log.lines.first(), log.lines.last()) else {
        return Err(Error::malformed("the log", "there are no lines to draw"));
    };
    let second = |at: jiff::Timestamp| at.duration_since(first.timestamp).as_secs_f64();
    let length_s = second(last.timestamp).max(1.0);
    let points: Vec<DataPoint> = log
        .lines
        .iter()
        .filter(|line| line.message == "request ended")
        .map(|line| DataPoint {
            at_s: second(line.timestamp),
            took_ms: line.number("took_ms").unwrap_or(0.0),
            color: match line.text("outcome").as_str() {
                "answered" => BLUE,
                "not_run" => MAGENTA,
                _ => RED,
            },
        })
        .collect();
    // Only requests with missing shards or extra attempts are logged, so this covers only these.
    let mut by_second: BTreeMap<u64, (f64, f64)> = BTreeMap::new();
    for line in log.lines.iter().filter(|line| line.message.starts_with("gathered in part")) {
        let (shards, missing) = by_second.entry(second(line.timestamp) as u64).or_default();
        *shards += line.number("shards").unwrap_or(0.0);
        *missing += line.number("missing").unwrap_or(0.0);
    }
    let coverage = by_second.into_iter().map(|(second, (shards, missing))| {
        (second as f64, 100.0 * (1.0 - missing / shards.max(1.0)))
    });
    let mut text = String::new();
    draw(&mut text, length_s, &points, coverage)
        .map_err(|error| Error::malformed("the chart", error))?;
    Ok(text)
}

type DrawResult = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(
    text: &mut String,
    length_s: f64,
    points: &[DataPoint],
    coverage: impl Iterator<Item = (f64, f64)>,
) -> DrawResult {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    let slowest = points.iter().map(|point| point.took_ms).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&upper)
        .margin(MARGIN)
        .caption("late (blue), refused (magenta) and unknown (red) requests", ("sans-serif", 16))
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..length_s, 0.0..slowest)?;
    chart.configure_mesh().x_desc("s").y_desc("ms").draw()?;
    let dot = |point: &DataPoint| Circle::new((point.at_s, point.took_ms), 2, point.color.filled());
    chart.draw_series(points.iter().map(dot))?;
    let mut chart = ChartBuilder::on(&lower)
        .margin(MARGIN)
        .caption(
            "shard coverage of requests with missing shards or extra attempts",
            ("sans-serif", 16),
        )
        .x_label_area_size(LABEL_AREA)
        .y_label_area_size(LABEL_AREA)
        .build_cartesian_2d(0.0..length_s, 0.0..100.0)?;
    chart.configure_mesh().x_desc("s").y_desc("%").draw()?;
    chart.draw_series(LineSeries::new(coverage, &BLUE))?;
    area.present()?;
    Ok(())
}
