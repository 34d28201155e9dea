//! Charts of the curves behind the figures.

use std::path::Path;

use plotters::prelude::*;

/// Width and height of a chart, in pixels.
const SIZE_PX: (u32, u32) = (960, 540);
/// Ratio of the upper end of the y axis to the highest point.
const Y_AXIS_HEADROOM: f64 = 1.05;

/// A named series of points.
pub(crate) type Series = (&'static str, Vec<(f64, f64)>);

/// Title, axis labels and data of a chart.
pub(crate) struct Chart<'a> {
    pub(crate) title: &'a str,
    pub(crate) x_label: &'a str,
    pub(crate) y_label: &'a str,
    pub(crate) series: &'a [Series],
}

/// Draws a chart as an SVG file.
///
/// # Errors
///
/// Returns the message of the library's error, because that error borrows the drawing area.
pub(crate) fn draw(path: &Path, chart: &Chart<'_>) -> std::result::Result<(), String> {
    let points = || chart.series.iter().flat_map(|(_, points)| points);
    let x_limit = points().map(|point| point.0).fold(0.0, f64::max);
    let y_limit = points().map(|point| point.1).fold(0.0, f64::max) * Y_AXIS_HEADROOM;
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE).map_err(error_text)?;
    let mut context = ChartBuilder::on(&area)
        .caption(chart.title, ("sans-serif", 22))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..x_limit, 0.0..y_limit)
        .map_err(error_text)?;
    let mut mesh = context.configure_mesh();
    mesh.x_desc(chart.x_label).y_desc(chart.y_label);
    mesh.draw().map_err(error_text)?;
    for (index, (name, points)) in chart.series.iter().enumerate() {
        let colour = Palette99::pick(index).to_rgba();
        let line_series = LineSeries::new(points.iter().copied(), colour.stroke_width(2));
        let annotation = context.draw_series(line_series).map_err(error_text)?;
        annotation.label(*name).legend(move |(x, y)| {
            PathElement::new(vec![(x, y), (x + 18, y)], colour.stroke_width(2))
        });
    }
    let mut labels = context.configure_series_labels();
    labels.border_style(BLACK).background_style(WHITE);
    labels.draw().map_err(error_text)?;
    area.present().map_err(error_text)
}

fn error_text(err: impl std::fmt::Display) -> String {
    err.to_string()
}
