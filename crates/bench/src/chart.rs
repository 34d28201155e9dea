//! Charts of the curves that the figures are taken from.

use std::path::Path;

use plotters::prelude::*;

/// Width and height of a chart in pixels.
const SIZE: (u32, u32) = (960, 540);
/// Room above the highest point.
const HEADROOM: f64 = 1.05;

/// A line with its name.
pub(crate) type Line = (&'static str, Vec<(f64, f64)>);

/// What a chart shows.
pub(crate) struct Chart<'a> {
    pub(crate) title: &'a str,
    pub(crate) across: &'a str,
    pub(crate) up: &'a str,
    pub(crate) lines: &'a [Line],
}

/// Draws a chart as SVG. Returns what went wrong as text, because the library's error borrows the
/// drawing.
pub(crate) fn draw(path: &Path, chart: &Chart<'_>) -> std::result::Result<(), String> {
    let points = || chart.lines.iter().flat_map(|(_, points)| points);
    let right = points().map(|point| point.0).fold(0.0, f64::max);
    let top = points().map(|point| point.1).fold(0.0, f64::max) * HEADROOM;
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE).map_err(text)?;
    let mut context = ChartBuilder::on(&area)
        .caption(chart.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..right, 0.0..top)
        .map_err(text)?;
    let mut mesh = context.configure_mesh();
    mesh.x_desc(chart.across).y_desc(chart.up);
    mesh.draw().map_err(text)?;
    for (number, (name, points)) in chart.lines.iter().enumerate() {
        let colour = Palette99::pick(number).to_rgba();
        let line = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        let drawn = context.draw_series(line).map_err(text)?;
        drawn.label(*name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
        });
    }
    let mut labels = context.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE);
    labels.draw().map_err(text)?;
    area.present().map_err(text)
}

fn text(err: impl std::fmt::Display) -> String {
    err.to_string()
}
