//! A picture of a run: when requests ended late or not at all, and what share of the shards was in.

use std::collections::BTreeMap;

use plotters::prelude::*;

use super::line::Log;
use crate::error::{Error, Result};

/// The size of the picture, in pixels.
const SIZE: (u32, u32) = (1_000, 700);
/// The space around a chart and beside its axes, in pixels; labels of four digits fit.
const MARGIN: u32 = 12;
const LABELS: u32 = 48;

/// A request that was late, refused or left open, as a point of the picture.
struct Point {
    at_s: f64,
    took_ms: f64,
    color: RGBColor,
}

/// Draws a log as an SVG document.
///
/// # Errors
///
/// Returns [`Error::Malformed`] where the log has no lines or the picture can't be drawn.
pub fn svg(log: &Log) -> Result<String> {
    let (Some(first), Some(last)) = (log.lines.first(), log.lines.last()) else {
        return Err(Error::malformed("the log", "there are no lines to draw"));
    };
    let second = |at: jiff::Timestamp| at.duration_since(first.timestamp).as_secs_f64();
    let length_s = second(last.timestamp).max(1.0);
    let points: Vec<Point> = log
        .lines
        .iter()
        .filter(|line| line.message == "request ended")
        .map(|line| Point {
            at_s: second(line.timestamp),
            took_ms: line.number("took_ms").unwrap_or(0.0),
            color: match line.text("outcome").as_str() {
                "answered" => BLUE,
                "not_run" => MAGENTA,
                _ => RED,
            },
        })
        .collect();
    // Only requests with something missing or extra have a line, so this is their coverage alone.
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
        .map_err(|error| Error::malformed("the picture", error))?;
    Ok(text)
}

type Drawn = std::result::Result<(), Box<dyn std::error::Error>>;

fn draw(
    text: &mut String,
    length_s: f64,
    points: &[Point],
    coverage: impl Iterator<Item = (f64, f64)>,
) -> Drawn {
    let area = SVGBackend::with_string(text, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let (upper, lower) = area.split_vertically(SIZE.1 / 2);
    let slowest = points.iter().map(|point| point.took_ms).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(&upper)
        .margin(MARGIN)
        .caption("late (blue), refused (magenta) and open (red) requests", ("sans-serif", 16))
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..length_s, 0.0..slowest)?;
    chart.configure_mesh().x_desc("s").y_desc("ms").draw()?;
    let dot = |point: &Point| Circle::new((point.at_s, point.took_ms), 2, point.color.filled());
    chart.draw_series(points.iter().map(dot))?;
    let mut chart = ChartBuilder::on(&lower)
        .margin(MARGIN)
        .caption("shards in, of requests with something missing or extra", ("sans-serif", 16))
        .x_label_area_size(LABELS)
        .y_label_area_size(LABELS)
        .build_cartesian_2d(0.0..length_s, 0.0..100.0)?;
    chart.configure_mesh().x_desc("s").y_desc("%").draw()?;
    chart.draw_series(LineSeries::new(coverage, &BLUE))?;
    area.present()?;
    Ok(())
}
